//! Metrics of forwarding entries and control instances, on an address of their own.

mod forward_harness;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::requests::fields;

/// Index of the first entry among the processes.
const ENTRY: usize = 1;
/// Time within which a condition must hold.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a harness whose control instance and first entry serve metrics.
fn start(net: u8) -> Harness {
    let mut harness = Harness::start(net);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    for at in [0, ENTRY] {
        let address = address(&harness, at);
        let setting = format!("data_centre = \"a\"\nmetrics = \"{address}\"");
        harness.restart_with(at, "data_centre = \"a\"", &setting);
    }
    harness.call_until(200, "/lots/warm", &fields("warm"));
    harness
}

fn address(harness: &Harness, at: usize) -> SocketAddr {
    // The harness leaves the second of its ports free at these addresses.
    let (instance, offset) =
        if at == 0 { (harness.operators(0), 1) } else { (harness.entry(at - 1), 2) };
    SocketAddr::new(instance.ip(), instance.port() - offset)
}

/// Returns the status and body of a response to a request line.
fn request(to: SocketAddr, line: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(to).unwrap();
    let head = format!("{line} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
}

fn page(harness: &Harness, at: usize) -> String {
    let (status, body) = request(address(harness, at), "GET /metrics");
    assert_eq!(status, 200);
    body
}

/// Returns the value of a series; zero without one.
fn value(page: &str, series: &str) -> f64 {
    let line = page.lines().find_map(|l| l.strip_prefix(series)?.strip_prefix(' '));
    line.map_or(0.0, |l| l.parse().unwrap())
}

/// Waits until a series of a process has a value of at least `least`.
fn wait_for(harness: &Harness, at: usize, series: &str, least: f64) {
    let until = Instant::now() + TEST_TIMEOUT;
    while value(&page(harness, at), series) < least {
        assert!(Instant::now() < until, "never {series}:\n{}", page(harness, at));
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn requests_are_counted() {
    let harness = start(166);
    let before = page(&harness, ENTRY);
    for number in 0..10 {
        assert_eq!(harness.call("GET", "/lots/1", &fields(&format!("r{number}")), "").status, 200);
    }
    harness.call("GET", "/events/1", &fields("stream"), "");
    let pieces = "Pieces: 2\r\nPiece-Key: a\r\n";
    assert_eq!(harness.call("GET", "/review/1", &(fields("staged") + pieces), "").status, 200);
    // Its denial may have to wait for a confirmed document.
    harness.call_until(404, "/none", &fields("denied"));
    let after = page(&harness, ENTRY);
    let grown = |series: &str| value(&after, series) - value(&before, series);
    let expected = [
        ("hawthornkeel_forwarded_total{route=\"lots\",outcome=\"answered\"}", 10.0),
        ("hawthornkeel_forwarded_seconds_count{route=\"lots\"}", 10.0),
        ("hawthornkeel_response_seconds_count{route=\"events\"}", 1.0),
        ("hawthornkeel_staged_seconds_count{route=\"review\"}", 1.0),
        ("hawthornkeel_denied_total{reason=\"no-route\"}", 1.0),
        // The first leg of the stream breaks off, and the retry budget carries the second.
        ("hawthornkeel_retry_grants_total{pool=\"ledger\",granted=\"yes\"}", 1.0),
    ];
    for (series, count) in expected {
        assert_eq!(grown(series), count, "{series}\n{after}");
    }
    let attempts =
        "hawthornkeel_attempts_total{pool=\"ledger\",centre=\"a\",outcome=\"succeeded\"}";
    assert!(grown(attempts) >= 11.0, "{after}");
}

// Nothing read the loads that targets state.
#[test]
fn stated_loads_are_read() {
    let harness = start(216);
    let set = |load: &'static str| {
        for target in ["i-plain", "i-other", "i-stage"] {
            harness.set_target(target, |t| t.load = Some(load));
        }
    };
    let series = |event: &str| format!("hawthornkeel_target_loads_total{{event=\"{event}\"}}");
    let call = |path: &str, id: &str| {
        let fields = fields(id) + "Pieces: 2\r\nPiece-Key: a\r\n";
        assert_eq!(harness.call("GET", path, &fields, "").status, 200, "{}", harness.logs());
    };
    set("1,0,4,120");
    call("/lots/1", "read");
    wait_for(&harness, ENTRY, &series("read"), 1.0);
    // The pieces of a stage and the request itself have an answer each.
    call("/review/1", "staged");
    wait_for(&harness, ENTRY, &series("read"), 3.0);
    assert_eq!(value(&page(&harness, ENTRY), &series("unreadable")), 0.0);
    for (number, load) in ["1,-1,4", "99999999999,0,4", "1,0", "1,0,4000"].into_iter().enumerate() {
        set(load);
        call("/lots/1", &format!("unreadable-{number}"));
    }
    wait_for(&harness, ENTRY, &series("unreadable"), 4.0);
    harness.wait_for_log("event=target-loads");
}

/// Returns the values of the labels of a series, but for the bounds of buckets.
fn label_values(series: &str) -> Vec<&str> {
    let Some((_, labels)) = series.split_once('{') else { return Vec::new() };
    let pairs = labels.split(',').filter_map(|l| l.split_once("=\""));
    let named = pairs.filter(|(name, _)| *name != "le");
    named.filter_map(|(_, value)| value.split('"').next()).collect()
}

#[test]
fn labels_stay_bounded() {
    let harness = start(167);
    for number in 0..200 {
        let path = format!("/lots/{number}");
        harness.call("GET", &path, &fields(&format!("r{number}")), "");
        harness.call("GET", &format!("/other-{number}"), &fields("x"), "");
    }
    let page = page(&harness, ENTRY);
    let lines = page.lines().filter(|l| !l.starts_with('#'));
    let values: Vec<&str> = lines.flat_map(label_values).collect();
    assert!(values.contains(&"lots") && values.contains(&"no-route"), "{page}");
    // Paths and identities of requests have a digit or a slash, the document's names have none.
    let is_name = |v: &&&str| v.chars().all(|c| c.is_ascii_lowercase() || c == '-');
    assert_eq!(values.iter().find(|v| !is_name(v)), None, "{page}");
}

#[test]
fn state_is_shown() {
    let harness = start(168);
    wait_for(&harness, ENTRY, "hawthornkeel_document_version", 1.0);
    wait_for(&harness, ENTRY, "hawthornkeel_serving_entries", 2.0);
    assert!(value(&page(&harness, ENTRY), "hawthornkeel_document_age_seconds") < 5.0);
    wait_for(&harness, 0, "hawthornkeel_log_index", 1.0);
    wait_for(&harness, 0, "hawthornkeel_sync_seconds_count", 1.0);
}

#[test]
fn only_metrics() {
    let harness = start(169);
    let to = address(&harness, 0);
    for line in ["GET /", "POST /metrics", "GET /admin/status", "POST /admin/submit"] {
        assert_eq!(request(to, line).0, 404, "{line}");
    }
}

#[test]
fn address_in_use() {
    let mut harness = Harness::start(170);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    let listen = harness.entry(0);
    let setting = format!("data_centre = \"a\"\nmetrics = \"{listen}\"");
    harness.restart_with(ENTRY, "data_centre = \"a\"", &setting);
    harness.call_until(200, "/lots/warm", &fields("warm"));
    harness.wait_for_log("event=metrics-unserved");
    for number in 0..40 {
        assert_eq!(harness.call("GET", "/lots/1", &fields(&format!("r{number}")), "").status, 200);
    }
}

#[test]
fn unreached_costs_nothing() {
    let mut harness = start(171);
    harness.restart_with(ENTRY, "retry_slack = 100", "retry_slack = 10000");
    harness.call_until(200, "/lots/warm", &fields("warm"));
    // Nothing listens at the address of one target.
    let dead = SocketAddr::new(harness.entry(0).ip(), 9);
    harness.set_target("i-plain", |t| {
        t.address = Some(dead);
        t.copies = vec!["a"; 3];
    });
    std::thread::sleep(Duration::from_secs(1));
    let granted = "hawthornkeel_retry_grants_total{pool=\"ledger\",granted=\"yes\"}";
    let before = value(&page(&harness, ENTRY), granted);
    for number in 0..15 {
        // The first target that is reached fails the request.
        let path = format!("/lots/broken?{number}");
        let response = harness.call("GET", &path, &fields(&format!("r{number}")), "");
        assert_eq!(response.status, 200, "{response:?}\n{}", harness.logs());
    }
    let after = value(&page(&harness, ENTRY), granted);
    assert_eq!(after - before, 15.0, "{}", harness.logs());
    harness.wait_for_log("outcome=unreached");
}
