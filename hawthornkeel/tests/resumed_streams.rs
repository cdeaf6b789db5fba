//! Streams that break off: what another target answers that is asked to go on with them.

mod forward_harness;

use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::requests::assert_whole_stream;
use crate::forward_harness::requests::unchunked;

/// Header fields of all requests.
const KEY: &str = "Authorization: Token k1\r\nRequest-Id: r1\r\n";

// The answer of a target that was to go on with a stream was passed on as a part of it.
#[rstest]
#[case::server_error(235, "500")]
#[case::unavailable(236, "503")]
#[case::not_found(237, "404")]
#[case::redirect(238, "302")]
#[case::no_content(239, "204")]
#[case::partial_content(240, "206")]
#[case::json(247, "json")]
#[case::plain_text(248, "plain")]
#[case::encoded(249, "encoded")]
fn error_within_stream(#[case] net: u8, #[case] answer: &str) {
    let harness = Harness::start(net);
    harness.serve_routes();
    let path = format!("/events/next-{answer}");
    let got = harness.call("GET", &path, KEY, "");
    let attempts = harness.requests(&format!("GET {path}"));
    assert!(attempts.len() > 1, "not resumed: {got:?}\n{}", harness.logs());
    assert_eq!(unchunked(&got.body), "id: 1\ndata: a\n\n", "{got:?}");
    assert!(!got.body.ends_with("0\r\n\r\n"), "looks complete: {got:?}");
}

#[test]
fn events_go_on() {
    let harness = Harness::start(250);
    harness.serve_routes();
    let got = harness.call("GET", "/events/next-events", KEY, "");
    assert_whole_stream(&got.body);
}
