//! End-to-end tests of forwarded routes, from the operators' document to the caller's response.

mod forward_harness;

use crate::forward_harness::Harness;
use crate::forward_harness::RecordedRequest;
use crate::forward_harness::document::document;
use crate::forward_harness::requests::assert_whole_stream;

const KEY: &str = "Authorization: Token k1\r\nRequest-Id: r1\r\n";

#[test]
fn request_passes() {
    let harness = Harness::start(71);
    assert_eq!(harness.replace_document(&document(3, "/lots/")), 200);
    harness.call_until(200, "/lots/warm", KEY);
    let fields =
        format!("{KEY}Deadline-Milliseconds: 900\r\nTenant: other\r\nHold: 1\r\nX-Kept: yes\r\n");
    let got = harness.call("POST", "/lots/a%20b?c=d&e", &fields, "the body");
    assert_eq!((got.status, got.body.ends_with(" /lots/a%20b")), (200, true), "{got:?}");
    assert!(got.head.contains("server-signature: s.1") && got.head.contains("request-id: r1"));
    let seen = harness.requests("POST /lots/a%20b?c=d&e").remove(0);
    let header = |name: &str| seen.headers.get(name).map(|v| v.to_str().unwrap());
    assert_eq!(&seen.body[..], b"the body");
    assert_eq!(
        (header("tenant"), header("expected-instance")),
        (Some("makers"), Some(seen.target))
    );
    assert_eq!((header("host"), header("x-kept")), (Some("a.example"), Some("yes")));
    assert_eq!((header("authorization"), header("hold"), header("connection")), (None, None, None));
    let left: u64 = header("deadline-milliseconds").unwrap().parse().unwrap();
    assert!((500..=900).contains(&left), "{left}");
}

#[test]
fn denied_and_unready() {
    let harness = Harness::start(72);
    // Without a document, even a missing route can't be denied.
    harness.call_until(503, "/lots/1", KEY);
    assert_eq!(harness.replace_document(&document(3, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    assert_eq!(harness.call("GET", "/lots/1", "", "").status, 401);
    assert_eq!(harness.call("GET", "/lots/1", "Authorization: Token k2\r\n", "").status, 401);
    assert_eq!(harness.call("GET", "/other/1", KEY, "").status, 404);
    assert_eq!(harness.call("GET", "/open/1", "", "").status, 200);
}

#[test]
fn highest_document() {
    let harness = Harness::start(73);
    assert_eq!(harness.replace_document(&document(5, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    assert_eq!(harness.replace_document(&document(4, "/old/")), 200);
    assert_eq!(harness.replace_document(&document(5, "/same/")), 200);
    assert_eq!(harness.replace_document("{\"version\": 9"), 400);
    let read = harness.read_document().unwrap();
    assert_eq!((read.status, read.body), (200, document(5, "/lots/")));
    assert_eq!(harness.replace_document(&document(8, "/new/")), 200);
    harness.call_until(200, "/new/1", KEY);
    assert_eq!(harness.call("GET", "/lots/1", KEY, "").status, 404);
}

#[test]
fn retries() {
    let harness = Harness::start(74);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    for path in ["/lots/full", "/lots/broken"] {
        assert_eq!(harness.call("GET", path, KEY, "").status, 200, "{path}");
        let targets: Vec<_> =
            harness.requests(&format!("GET {path}")).iter().map(|s| s.target).collect();
        assert_eq!(targets.len(), 2);
        assert_ne!(targets[0], targets[1]);
    }
}

#[test]
fn truncated_answer_retry() {
    let mut harness = Harness::start(174);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    // Each request adds one retry, and no second one is kept.
    harness.restart_with(1, "retry_slack = 100", "retry_slack = 0\nretry_ratio = 1.5");
    harness.call_until(200, "/lots/1", KEY);
    let got = harness.call("GET", "/lots/cut", KEY, "");
    assert_eq!(got.status, 200, "{}", harness.logs());
    assert_eq!(harness.requests("GET /lots/cut?").len(), 2);
}

#[test]
fn stages_run_first() {
    let harness = Harness::start(75);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    let fields = format!("{KEY}Pieces: 2\r\nPiece-Key: 7c1e\r\n");
    let got = harness.call("POST", "/review/1", &fields, "x");
    assert_eq!(got.status, 200, "{got:?}\n{}", harness.logs());
    let run = harness.requests("POST /stage-run").remove(0);
    let run = String::from_utf8_lossy(&run.body).into_owned();
    assert!(
        run.contains(r#""identifier":"r1","stage":0,"piece":1"#) && run.contains(r#""key":"7c1e""#),
        "{run}"
    );
    let seen = harness.requests("POST /review/1").remove(0);
    assert_eq!(seen.headers.get("inputs").unwrap(), "10.0.0.1:1/aa,10.0.0.1:1/bb");
    let freed = harness.wait_for_request("POST /stage-free");
    assert_eq!(&freed.body[..], br#"{"handles":["10.0.0.1:1/aa","10.0.0.1:1/bb"]}"#);
}

#[test]
fn stream_resumes() {
    let harness = Harness::start(76);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    let got = harness.call("GET", "/events/1", KEY, "");
    assert_eq!(got.status, 200);
    assert_whole_stream(&got.body);
    let attempts = harness.requests("GET /events/1");
    assert_eq!(attempts[1].headers.get("last-event-id").unwrap(), "1");
    assert_ne!(attempts[0].target, attempts[1].target);
}

#[test]
fn staged_stream_resumes() {
    let harness = Harness::start(77);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    let fields = format!("{KEY}Pieces: 2\r\nPiece-Key: 7c1e\r\n");
    let got = harness.call("GET", "/staged/1", &fields, "");
    assert_eq!(got.status, 200, "{got:?}");
    assert_whole_stream(&got.body);
    // The results of the stages were released when the first response began, so they run again.
    let inputs = |r: &RecordedRequest| r.headers.get("inputs").is_some();
    let attempts = harness.requests("GET /staged/1");
    assert!(attempts.len() == 2 && attempts.iter().all(inputs), "{attempts:?}");
    assert_eq!(harness.requests("POST /stage-run").len(), 2);
}

#[test]
fn silent_stream_goes_on() {
    let harness = Harness::start(78);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    let got = harness.call("GET", "/pausing/1", KEY, "");
    assert_eq!(got.status, 200, "{got:?}");
    assert_whole_stream(&got.body);
    assert_eq!(harness.requests("GET /pausing/1").len(), 1);
}
