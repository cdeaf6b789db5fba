//! Findings about environment documents: position, key and accepted values.

use hawthornkeel_config::Finding;
use hawthornkeel_config::check_document;
use hawthornkeel_config::parse_document;
use rstest::rstest;

const VALID: &str = r#"name = "batch review"

[[workspace]]
name = "kumamoto"

[[workspace]]
name = "kagoshima"
weight = 4

[[pool]]
name = "readers"

[[pool]]
name = "engines"
kind = "engine"
model = "draft-7b"
warm_limit = 8
cold_limit = 2

[[pipeline]]
name = "review"
deadline_ms = 8000

[[pipeline.stage]]
name = "read"
pool = "readers"
floor_ms = 100

[[pipeline.stage]]
name = "sign"
pool = "readers"
idempotent = false
"#;

/// Returns the findings about the valid document with one part replaced.
fn findings(from: &str, to: &str) -> Vec<Finding> {
    assert_eq!(VALID.matches(from).count(), 1, "{from:?} must occur once");
    check_document("env.toml", &VALID.replace(from, to)).findings.list().to_vec()
}

/// Formats the position, key and message of each finding.
fn format_findings(findings: &[Finding]) -> Vec<String> {
    let line = |f: &Finding| format!("{}:{} {}: {}", f.line, f.column, f.key, f.message);
    findings.iter().map(line).collect()
}

#[test]
fn valid_document_passes() {
    let document = parse_document("env.toml", VALID).expect("the document is valid");
    assert_eq!(document.pipelines[0].stages[1].max_attempts, 1, "a stage that is not idempotent");
    assert_eq!(document.pipelines[0].stages[0].max_attempts, 3);
    assert_eq!(document.pools[1].model.as_ref().map(|m| m.as_str()), Some("draft-7b"));
    assert_eq!(document.workspaces[1].weight, 4);
}

#[rstest]
#[case::unknown_key("weight = 4", "wieght = 4", "8:1 workspace[1].wieght: unknown key")]
#[case::unknown_table(
    "[[pool]]\nname = \"readers\"",
    "[pol]\n[[pool]]\nname = \"readers\"",
    "10:2 pol: unknown key"
)]
#[case::wrong_type("weight = 4", "weight = \"4\"", "8:10 workspace[1].weight: a string")]
#[case::float("weight = 4", "weight = 4.5", "8:10 workspace[1].weight: a float")]
#[case::zero_weight("weight = 4", "weight = 0", "8:10 workspace[1].weight: 0 is not accepted")]
#[case::negative("weight = 4", "weight = -4", "8:10 workspace[1].weight: -4 is not accepted")]
#[case::zero_limit(
    "cold_limit = 2",
    "cold_limit = 0",
    "18:14 pool[1].cold_limit: 0 is not accepted"
)]
#[case::cold_above_warm(
    "cold_limit = 2",
    "cold_limit = 9",
    "18:14 pool[1].cold_limit: 9 is above warm_limit, 8"
)]
#[case::unknown_kind(
    "kind = \"engine\"",
    "kind = \"motor\"",
    "15:8 pool[1].kind: \"motor\" is not accepted"
)]
#[case::no_model("model = \"draft-7b\"\n", "", "13:1 pool[1].model: missing")]
#[case::service_model(
    "kind = \"engine\"\n",
    "",
    "15:9 pool[1].model: a pool of plain services has no model"
)]
#[case::duplicate_workspace(
    "name = \"kagoshima\"",
    "name = \"kumamoto\"",
    "7:8 workspace[1].name: the name \"kumamoto\" stands twice"
)]
#[case::duplicate_stage(
    "name = \"sign\"",
    "name = \"read\"",
    "30:8 pipeline[0].stage[1].name: the name \"read\" stands twice"
)]
#[case::duplicate_pool(
    "name = \"engines\"",
    "name = \"readers\"",
    "14:8 pool[1].name: the name \"readers\" stands twice"
)]
#[case::bad_name(
    "name = \"kagoshima\"",
    "name = \"kago shima\"",
    "7:8 workspace[1].name: \"kago shima\" is not accepted"
)]
#[case::no_name("name = \"sign\"\n", "", "29:1 pipeline[0].stage[1].name: missing")]
#[case::unknown_pool(
    "pool = \"readers\"\nidempotent",
    "pool = \"reader\"\nidempotent",
    "31:8 pipeline[0].stage[1].pool: no pool is called \"reader\""
)]
#[case::short_deadline(
    "deadline_ms = 8000",
    "deadline_ms = 100",
    "22:15 pipeline[0].deadline_ms: 100 ms is shorter than the floors of the stages together, 101 ms"
)]
#[case::too_many_attempts(
    "idempotent = false",
    "idempotent = false\nmax_attempts = 2",
    "33:16 pipeline[0].stage[1].max_attempts: 2 attempts at a stage that is not idempotent"
)]
#[case::bad_path(
    "idempotent = false",
    "idempotent = false\npath = \"sign\"",
    "33:8 pipeline[0].stage[1].path: \"sign\" is not accepted"
)]
#[case::target_address(
    "name = \"readers\"",
    "name = \"readers\"\naddress = \"127.0.0.1:80\"",
    "12:1 pool[0].address: unknown key"
)]
fn reports_finding(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert_eq!(format_findings(&findings(from, to)), [expected]);
}

#[test]
fn findings_are_sorted() {
    let text = VALID
        .replace("weight = 4", "weight = 0")
        .replace("cold_limit = 2", "cold_limit = 9\nspeed = 1")
        .replace("pool = \"readers\"\nfloor_ms = 100", "pool = 7\nfloor_ms = 9000");
    let findings = check_document("env.toml", &text).findings;
    let expected = [
        "8:10 workspace[1].weight: 0 is not accepted",
        "18:14 pool[1].cold_limit: 9 is above warm_limit, 8",
        "19:1 pool[1].speed: unknown key",
        "23:15 pipeline[0].deadline_ms: 8000 ms is shorter than the floors of the stages together, \
         9001 ms",
        "27:8 pipeline[0].stage[0].pool: an integer",
    ];
    assert_eq!(format_findings(findings.list()), expected);
}

#[test]
fn finding_format() {
    let findings = findings("weight = 4", "weight = 0");
    let expected = "env.toml:8:10: error: workspace[1].weight: 0 is not accepted; accepted: a \
                    whole number from 1 to 1000";
    assert_eq!(findings[0].to_string(), expected);
}

#[test]
fn columns_count_characters() {
    let text = "workspace = [{ name = \"a\", label = \"白銀\", y = 1 }]";
    let findings = check_document("env.toml", text).findings;
    let unknown = findings.list().iter().find(|f| f.key == "workspace[0].y");
    assert_eq!(unknown.map(|f| (f.line, f.column)), Some((1, 42)));
}

#[rstest]
#[case::deadline("deadline_ms = 8000", "deadline_ms = 101")]
#[case::cold_limit("cold_limit = 2", "cold_limit = 8")]
#[case::one_attempt("idempotent = false", "idempotent = false\nmax_attempts = 1")]
fn bounds_are_inclusive(#[case] from: &str, #[case] to: &str) {
    assert_eq!(format_findings(&findings(from, to)), Vec::<String>::new());
}

#[test]
fn no_follow_up_findings() {
    let findings = findings("warm_limit = 8\ncold_limit = 2", "warm_limit = 0\ncold_limit = 99");
    assert_eq!(format_findings(&findings), ["17:14 pool[1].warm_limit: 0 is not accepted"]);
}

#[rstest]
#[case::unclosed("name = \"kagoshima\"", "name = \"kagoshima")]
#[case::duplicate_key("weight = 4", "weight = 4\nweight = 5")]
fn syntax_error_position(#[case] from: &str, #[case] to: &str) {
    let findings = findings(from, to);
    assert!(!findings.is_empty());
    assert!(findings.iter().all(|f| f.line >= 7 && f.line <= 9 && f.accepted == "TOML"));
}

#[test]
fn empty_document_findings() {
    let findings = check_document("env.toml", "").findings;
    let keys: Vec<&str> = findings.list().iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, ["pipeline", "pool", "workspace"]);
}
