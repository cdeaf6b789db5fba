//! Requests that arrive during a planned stop: what would be cut at its end is refused.

mod forward_harness;

use std::thread;
use std::time::Duration;

use hawthornkeel_fakes::raw_client::RawClient;
use rustix::process::Signal;

use crate::forward_harness::Harness;

/// Header fields of all requests.
const KEY: &str = "Authorization: Token k1\r\nRequest-Id: r1\r\n";
/// Position of the entry's process among those of the harness.
const ENTRY: usize = 1;
/// Time after which a process that should have ended fails the test.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a harness whose first entry serves and has `grace` seconds for a stop.
fn start(net: u8, grace: u32) -> Harness {
    let mut harness = Harness::start(net);
    harness.serve_routes();
    harness.restart_with_grace(ENTRY, grace);
    harness.call_until(200, "/lots/1", KEY);
    harness
}

/// Sends a request on a connection that was idle when the stop began, `delay` after that; returns
/// the status and the end of the response.
fn call_late(harness: &mut Harness, delay: Duration, line: &str, fields: &str) -> (String, String) {
    let mut kept = RawClient::connect(harness.entry(0)).unwrap();
    kept.send(format!("GET /lots/kept HTTP/1.1\r\nHost: a.example\r\n{KEY}\r\n")).unwrap();
    assert_eq!(kept.read_response().unwrap().status, 200);
    harness.signal(ENTRY, Signal::TERM);
    thread::sleep(delay);
    let request = format!("{line} HTTP/1.1\r\nHost: a.example\r\n{KEY}{fields}\r\n");
    kept.send(request).unwrap();
    let data = String::from_utf8(kept.read_to_end().unwrap()).unwrap();
    let status = data.split(' ').nth(1).unwrap_or_default().to_owned();
    (status, data)
}

// A stream of up to 450 tokens was begun, as those of 30 tokens before it had been short, and cut.
#[test]
fn long_stream_refused() {
    let mut harness = start(231, 7);
    let client = harness.client();
    let short = format!("{KEY}Token-Counts: 100,30\r\n");
    for number in 0..10 {
        let got = client.try_call(0, "GET", &format!("/events/drip-3/{number}"), &short).unwrap();
        assert!(got.status == 200 && got.body.ends_with("0\r\n\r\n"), "{got:?}");
    }
    let line = "GET /events/drip-45/late";
    let delay = Duration::from_millis(2_700);
    let (status, data) = call_late(&mut harness, delay, line, "Token-Counts: 100,450\r\n");
    let whole = data.ends_with("0\r\n\r\n");
    assert!(status == "503" || whole, "begun and cut: {data}\n{}", harness.logs());
    let reached = harness.requests(line).len();
    assert!(status != "503" || reached == 0, "refused and sent to {reached} targets");
    assert!(harness.wait_exit(ENTRY, EXIT_TIMEOUT));
}

// A stream that isn't longer than those before it is begun early in a stop.
#[test]
fn short_stream_served() {
    let mut harness = start(232, 7);
    let client = harness.client();
    let fields = "Token-Counts: 100,30\r\n";
    for number in 0..10 {
        let path = format!("/events/drip-3/{number}");
        assert_eq!(
            client.try_call(0, "GET", &path, &format!("{KEY}{fields}")).unwrap().status,
            200
        );
    }
    let delay = Duration::from_millis(2_700);
    let (status, data) = call_late(&mut harness, delay, "GET /events/drip-3/late", fields);
    assert!(status == "200" && data.ends_with("0\r\n\r\n"), "{data}\n{}", harness.logs());
    assert!(harness.wait_exit(ENTRY, EXIT_TIMEOUT));
}

// A signature was sent on as those before it had been short, and its outcome was unknown at the end.
#[test]
fn long_signature_refused() {
    let mut harness = start(233, 4);
    for number in 0..10 {
        assert_eq!(harness.call("POST", &format!("/sign/{number}"), KEY, "x").status, 200);
    }
    let line = "POST /sign/wait-3000/late";
    let delay = Duration::from_millis(1_500);
    let (status, data) = call_late(&mut harness, delay, line, "Content-Length: 0\r\n");
    assert_eq!(status, "503", "{data}\n{}", harness.logs());
    assert!(data.contains("\"ran\":\"not-run\""), "{data}");
    assert!(harness.requests(line).is_empty(), "refused and run");
    assert!(harness.wait_exit(ENTRY, EXIT_TIMEOUT));
}
