//! Findings about the settings of one process.

use std::path::Path;

use hawthornkeel_config::Finding;
use hawthornkeel_config::check_settings;
use hawthornkeel_config::findings::Severity;
use hawthornkeel_config::load_settings;
use hawthornkeel_config::settings::Forward;
use rstest::rstest;

const VALID: &str = r#"[instance]
name = "entry-1"
data_centre = "kumamoto"
admin = "127.0.0.1:9901"

[entry]
enabled = true
listen = "127.0.0.1:8080"

[control]
enabled = true
founders = ["entry-1", "entry-2"]

[peers]
listen = "127.0.0.1:7070"
certificate = "keys/entry-1.pem"
key = "keys/entry-1.key"
authority = "keys/authority.pem"

[[peers.peer]]
name = "entry-2"
address = "127.0.0.2:7070"
data_centre = "yatsushiro"
control = true

[[peers.peer]]
name = "entry-3"
address = "127.0.0.3:7070"
data_centre = "aso"

[platform]
address = "127.0.0.1:9000"

[keys]
9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 = "kumamoto"
"#;

/// Returns the findings about the valid settings with one part replaced.
fn findings(from: &str, to: &str) -> Vec<Finding> {
    assert_eq!(VALID.matches(from).count(), 1, "{from:?} must occur once");
    check_settings("entry.toml", &VALID.replace(from, to)).findings.list().to_vec()
}

#[test]
fn valid_settings_pass() {
    let checked = check_settings("entry.toml", VALID);
    assert!(checked.findings.is_empty(), "{}", checked.findings);
    assert_eq!(checked.value.peers.peers.len(), 2);
    assert_eq!(checked.value.entry.max_head, 16 * 1024);
}

#[rstest]
#[case::no_instance_name("name = \"entry-1\"\n", "", "1:1 instance.name: missing")]
#[case::upper_case(
    "name = \"entry-1\"",
    "name = \"Entry-1\"",
    "2:8 instance.name: \"Entry-1\" is not accepted"
)]
#[case::no_listen("listen = \"127.0.0.1:8080\"\n", "", "6:1 entry.listen: missing")]
#[case::bad_address(
    "listen = \"127.0.0.1:8080\"",
    "listen = \"localhost:8080\"",
    "8:10 entry.listen: \"localhost:8080\" is not accepted"
)]
#[case::same_address(
    "admin = \"127.0.0.1:9901\"",
    "admin = \"127.0.0.1:8080\"",
    "4:9 instance.admin: same address as entry.listen"
)]
#[case::stop_below_drain(
    "[control]",
    "drain_ms = 900\nstop_ms = 800\n[control]",
    "11:11 entry.stop_ms: 800 is below entry.drain_ms"
)]
#[case::short_control_grace(
    "[peers]\nlisten",
    "grace_s = 1.1\n[peers]\nlisten",
    "14:11 control.grace_s: 1.1 is below 2 times control.election_ms"
)]
#[case::long_control_grace(
    "[peers]\nlisten",
    "grace_s = 601\n[peers]\nlisten",
    "14:11 control.grace_s: 601 is above 600"
)]
#[case::endless_entry_grace(
    "[platform]",
    "[forward]\ngrace_s = 1e30\n[platform]",
    "32:11 forward.grace_s: 1000000000000000000000000000000 is above 600"
)]
#[case::endless_retry_window(
    "[platform]",
    "[forward]\nretry_window_s = 601\n[platform]",
    "32:18 forward.retry_window_s: 601 is above 600"
)]
#[case::large_hedge_share(
    "[platform]",
    "[forward]\nhedge_share = 1.1\n[platform]",
    "32:15 forward.hedge_share: 1.1 is above 1"
)]
#[case::low_hedge_quantile(
    "[platform]",
    "[forward]\nhedge_quantile = 0.4\n[platform]",
    "32:18 forward.hedge_quantile: 0.4 is below 0.5"
)]
#[case::high_hedge_quantile(
    "[platform]",
    "[forward]\nhedge_quantile = 1.0\n[platform]",
    "32:18 forward.hedge_quantile: 1 is above 0.999"
)]
#[case::no_platform(
    "[platform]\naddress = \"127.0.0.1:9000\"\n",
    "",
    "1:1 platform.address: missing"
)]
#[case::no_keys(
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 = \"kumamoto\"\n",
    "",
    "34:1 keys: no caller keys are configured"
)]
#[case::no_founders(
    "founders = [\"entry-1\", \"entry-2\"]\n",
    "",
    "10:1 control.founders: no founders"
)]
#[case::unknown_founder(
    "founders = [\"entry-1\", \"entry-2\"]",
    "founders = [\"entry-9\"]",
    "12:12 control.founders: \"entry-9\" is neither a peer nor this instance"
)]
#[case::duplicate_founder(
    "founders = [\"entry-1\", \"entry-2\"]",
    "founders = [\"entry-1\", \"entry-1\"]",
    "12:12 control.founders: the name \"entry-1\" stands twice"
)]
#[case::founder_without_control(
    "founders = [\"entry-1\", \"entry-2\"]",
    "founders = [\"entry-3\"]",
    "12:12 control.founders: \"entry-3\" is a peer without control = true"
)]
#[case::short_election(
    "[peers]\nlisten",
    "election_ms = 200\n[peers]\nlisten",
    "14:15 control.election_ms: 200 is below 3 times control.heartbeat_ms"
)]
#[case::no_certificate(
    "certificate = \"keys/entry-1.pem\"\n",
    "",
    "14:1 peers.certificate: missing, required with peers"
)]
#[case::peer_is_itself(
    "name = \"entry-3\"",
    "name = \"entry-1\"",
    "27:8 peers.peer[1].name: the instance is its own peer"
)]
#[case::duplicate_peer(
    "name = \"entry-3\"",
    "name = \"entry-2\"",
    "27:8 peers.peer[1].name: the name \"entry-2\" stands twice"
)]
#[case::shared_address(
    "127.0.0.3:7070",
    "127.0.0.2:7070",
    "28:11 peers.peer[1].address: same address as peer \"entry-2\""
)]
#[case::own_address(
    "127.0.0.3:7070",
    "127.0.0.1:7070",
    "28:11 peers.peer[1].address: same address as peers.listen"
)]
#[case::no_peer_address(
    "address = \"127.0.0.3:7070\"\n",
    "",
    "26:1 peers.peer[1].address: missing"
)]
fn reports_finding(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let formatted: Vec<String> = findings(from, to)
        .iter()
        .map(|f| format!("{}:{} {}: {}", f.line, f.column, f.key, f.message))
        .collect();
    assert_eq!(formatted, [expected]);
}

#[rstest]
#[case::stop("[control]", "drain_ms = 900\nstop_ms = 900\n[control]")]
#[case::control_grace("[peers]\nlisten", "grace_s = 1.2\n[peers]\nlisten")]
#[case::long_control_grace("[peers]\nlisten", "grace_s = 600\n[peers]\nlisten")]
#[case::entry_grace("[platform]", "[forward]\ngrace_s = 600\n[platform]")]
#[case::retry_window("[platform]", "[forward]\nretry_window_s = 600\n[platform]")]
#[case::hedges("[platform]", "[forward]\nhedge_share = 1\nhedge_quantile = 0.5\n[platform]")]
#[case::late_hedges("[platform]", "[forward]\nhedge_quantile = 0.999\n[platform]")]
#[case::election("[peers]\nlisten", "election_ms = 300\n[peers]\nlisten")]
fn bounds_are_inclusive(#[case] from: &str, #[case] to: &str) {
    assert!(findings(from, to).is_empty());
}

#[test]
fn missing_role() {
    let text = VALID.replace("enabled = true", "enabled = false");
    let findings = check_settings("entry.toml", &text).findings;
    assert_eq!(findings.list().len(), 1);
    assert_eq!(findings.list()[0].message, "the instance has no role");
}

#[test]
fn invalid_digest() {
    let findings = findings("[keys]", "[keys]\nplain-secret = \"kumamoto\"");
    assert_eq!(findings[0].message, "not a SHA-256 digest");
}

#[test]
fn unknown_key_is_a_warning() {
    let text = VALID.replace("[entry]", "[entry]\nlisten_to = 4");
    let checked = check_settings("entry.toml", &text);
    let finding = &checked.findings.list()[0];
    assert_eq!((finding.severity, finding.line), (Severity::Warning, 7));
    assert!(finding.accepted.contains("listen, max_head"), "{}", finding.accepted);
    assert!(checked.into_result().is_ok());
}

#[test]
fn relative_paths_are_resolved() {
    let folder = std::env::temp_dir().join(format!("hawthornkeel-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("can create a folder");
    let file = folder.join("entry.toml");
    std::fs::write(&file, VALID).expect("can write the file");
    let settings = load_settings(&file).expect("the settings are valid");
    std::fs::remove_dir_all(&folder).expect("can remove the folder");
    assert_eq!(settings.control.data, folder.join("data"));
    assert_eq!(settings.peers.key, Some(folder.join("keys/entry-1.key")));
}

#[test]
fn unreadable_file() {
    let findings = load_settings(Path::new("/nonexistent/entry.toml")).expect_err("no such file");
    assert_eq!(findings.list().len(), 1);
    assert!(findings.to_string().starts_with("/nonexistent/entry.toml:0:0: error: "));
}

#[rstest]
#[case::half("memory_mb = 64\nresponse_memory_mb = 32", None)]
#[case::more("memory_mb = 64\nresponse_memory_mb = 33", Some("at most 32"))]
#[case::too_small("response_memory_mb = 15", Some("16 to 1000000"))]
#[case::default("memory_mb = 16", None)]
fn response_memory(#[case] forward: &str, #[case] expected: Option<&str>) {
    let found = findings("[platform]", &format!("[forward]\n{forward}\n\n[platform]"));
    match expected {
        Some(accepted) => {
            assert_eq!(found.len(), 1, "{found:?}");
            assert_eq!(found[0].key, "forward.response_memory_mb");
            assert!(found[0].accepted.contains(accepted), "{found:?}");
        }
        None => assert!(found.is_empty(), "{found:?}"),
    }
}

#[rstest]
#[case::given(256, Some(100), 100)]
#[case::share(256, None, 64)]
#[case::smallest(16, None, 16)]
fn response_memory_bytes(#[case] memory: u64, #[case] given: Option<u64>, #[case] expected: usize) {
    let forward = Forward { memory_mb: memory, response_memory_mb: given, ..Forward::default() };
    assert_eq!(forward.response_memory(), expected << 20);
}
