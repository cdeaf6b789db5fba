//! Event streams with each kind of line end that the format allows: events are split where they
//! end, and go to the caller as the target sent them.

mod forward_harness;

use hawthornkeel::forward::event_buffer::EventBuffer;
use hawthornkeel::http::response_bound::ResponseBound;
use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::requests::whole_body;

const KEY: &str = "Authorization: Token k1\r\nRequest-Id: r1\r\n";
/// Second byte of the loopback addresses of the harness.
const NET: u8 = 104;
/// Size of an event that is larger than its bound, in bytes.
const LARGE_EVENT_BYTES: usize = (1 << 20) + 1;

/// Appends each chunk and returns what was complete after it.
fn split(events: &mut EventBuffer, chunks: &[&'static str]) -> Vec<String> {
    let push = |chunk: &&'static str| {
        let complete = events.push(chunk.as_bytes()).unwrap();
        String::from_utf8(complete.unwrap_or_default().to_vec()).unwrap()
    };
    chunks.iter().map(push).collect()
}

#[rstest]
#[case::lf(&["id: 1\ndata: a\n\nid: 2\nda"], &["id: 1\ndata: a\n\n"])]
#[case::crlf(&["id: 1\r\ndata: a\r\n\r\nid: 2\r\nda"], &["id: 1\r\ndata: a\r\n\r\n"])]
#[case::cr(&["id: 1\rdata: a\r\rid: 2\rda"], &["id: 1\rdata: a\r\r"])]
#[case::lf_crlf(&["id: 1\ndata: a\n\r\nid: 2\nda"], &["id: 1\ndata: a\n\r\n"])]
#[case::crlf_lf(&["id: 1\r\ndata: a\r\n\nid: 2\nda"], &["id: 1\r\ndata: a\r\n\n"])]
#[case::cr_crlf(&["id: 1\rdata: a\r\r\nid: 2\nda"], &["id: 1\rdata: a\r\r\n"])]
#[case::lf_cr(&["id: 1\ndata: a\n\rid: 2\rda"], &["id: 1\ndata: a\n\r"])]
#[case::single_crlf(&["id: 1\r\ndata: a\r", "\nid: 2\r\n"], &["", ""])]
#[case::split_crlf(
    &["id: 1\r\ndata: a\r", "\n\r", "\n", "id: 2\r\n", "\r\nid"],
    &["", "id: 1\r\ndata: a\r\n\r", "\n", "", "id: 2\r\n\r\n"]
)]
#[case::crlf_cut_before_next(
    &["id: 1\r\ndata: a\r\n\r", "\nid: 2\r\n\r\nid"],
    &["id: 1\r\ndata: a\r\n\r", "\nid: 2\r\n\r\n"]
)]
#[case::several(&["id: 1\r\n\r\nid: 2\n\nid: 3\r\rid"], &["id: 1\r\n\r\nid: 2\n\nid: 3\r\r"])]
#[case::byte_order_mark(&["\u{feff}id: 1\r\n\r\nid"], &["\u{feff}id: 1\r\n\r\n"])]
#[case::comments(&[":\r\n\r\n", ":\r\n"], &[":\r\n\r\n", ""])]
fn split_after_events(#[case] chunks: &[&'static str], #[case] expected: &[&str]) {
    let mut events = EventBuffer::default();
    assert_eq!(split(&mut events, chunks), expected);
    assert!(events.has_partial_event());
}

#[rstest]
#[case::lf("id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n")]
#[case::crlf("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: id: 9\r\n\r\n")]
#[case::cr("id: 1\rdata: a\r\rid:2\rdata: id: 9\r\r")]
#[case::byte_order_mark("\u{feff}id: 2\r\n\r\n")]
#[case::data_only("id: 2\r\n\r\ndata: b\r\n\r\n")]
fn last_identity(#[case] stream: &'static str) {
    for at in 0..stream.len() {
        let mut events = EventBuffer::default();
        let (first, second) = stream.as_bytes().split_at(at);
        let mut got = events.push(first).unwrap().unwrap_or_default().to_vec();
        got.extend(events.push(second).unwrap().unwrap_or_default());
        assert_eq!(got, stream.as_bytes(), "split at {at}");
        assert_eq!(events.last_id(), Some("2"), "split at {at}");
        assert!(!events.has_partial_event(), "split at {at}");
    }
}

#[test]
fn identity_among_bytes() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\ndata: \xff\n\n").unwrap();
    assert_eq!(events.last_id(), Some("1"));
}

#[test]
fn blank_lines_end() {
    let mut events = EventBuffer::default();
    let got = split(&mut events, &["data: a\n\n\n", "\n", "\r\n"]);
    assert_eq!(got.concat(), "data: a\n\n\n\n\r\n");
    assert!(!events.has_partial_event());
}

#[test]
fn resumed_stream_mark() {
    let mut events = EventBuffer::default();
    assert_eq!(split(&mut events, &["\u{feff}id: 1\n\nid: 2"]), ["\u{feff}id: 1\n\n"]);
    events.restart();
    // For the caller it would be in the middle of the stream, and part of a field's name.
    assert_eq!(split(&mut events, &["\u{feff}id: 2\n\n"]), ["id: 2\n\n"]);
    assert_eq!(events.last_id(), Some("2"));
}

#[test]
fn other_line_end() {
    let mut events = EventBuffer::default();
    assert_eq!(split(&mut events, &["id: 1\r\r", "id: 2\r"]), ["id: 1\r\r", ""]);
    events.restart();
    assert_eq!(split(&mut events, &["\nid: 2\n\n"]).concat(), "\nid: 2\n\n");
}

#[rstest]
#[case::lines("data: x\r\n")]
#[case::no_lines("x")]
fn large_event(#[case] unit: &str) {
    let mut events = EventBuffer::default();
    let large = unit.repeat(LARGE_EVENT_BYTES / unit.len() + 1);
    assert_eq!(events.push(large.as_bytes()), Err(ResponseBound::Event));
}

#[rstest]
#[case::crlf("/events/lines-crlf", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", NET)]
#[case::cr("/events/lines-cr", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", NET + 1)]
fn resumed_after_event(#[case] path: &str, #[case] expected: &str, #[case] net: u8) {
    let harness = Harness::start(net);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    let got = harness.call("GET", path, KEY, "");
    assert_eq!(got.status, 200);
    assert_eq!(whole_body(&got.body), expected, "{got:?}");
    let attempts = harness.requests(&format!("GET {path}"));
    assert_eq!(attempts.len(), 2);
    assert_eq!(attempts[1].headers.get("last-event-id").unwrap(), "1");
}
