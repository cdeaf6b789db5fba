//! Runs that are silent for a while, and what other targets do when they are asked beside them.

mod forward_harness;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::requests::assert_whole_stream;

/// Pause of a sound target, in ms.
const PAUSE_MS: u32 = 1_500;
/// Pause of a sound target that its callers just wait for, in ms.
const LONG_PAUSE_MS: u32 = 2_000;
/// Silence of a target that never goes on, in ms.
const HUNG_MS: u32 = 60_000;
/// Time without an event after which callers leave: four times the objective.
const PATIENCE: Duration = Duration::from_millis(3_200);
/// Longest time for which two targets may work on one stream.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

fn fields(id: &str) -> String {
    format!("Authorization: Token k1\r\nRequest-Id: {id}\r\n")
}

fn start(net: u8) -> Harness {
    let harness = Harness::start(net);
    harness.serve_routes();
    // The time in which targets usually answer.
    for number in 0..20 {
        harness.call("GET", "/lots/1", &fields(&format!("usual{number}")), "");
    }
    harness
}

/// A run that paused was given up for a target that was full, broke off or was late.
#[rstest]
#[case::before_head(118, "head")]
#[case::behind_head(119, "body")]
#[case::between_events(120, "between")]
fn paused_run_goes_on(#[case] net: u8, #[case] place: &str) {
    let harness = start(net);
    for other in ["full", "cut", "late", "hung", "whole"] {
        let path = format!("/paused/{place}/{other}/{PAUSE_MS}");
        let got = harness.call("GET", &path, &fields(other), "");
        assert_eq!(got.status, 200, "{other}: {got:?}\n{}", harness.logs());
        assert_whole_stream(&got.body);
        assert!(harness.requests(&format!("GET {path}?")).len() <= 2, "{other}");
    }
}

/// The time of the stages counted as silence of the target, so its run was given up in its first pause.
#[test]
fn stages_are_no_silence() {
    let harness = start(126);
    let path = format!("/paused-staged/head/hung/{PAUSE_MS}");
    let fields = format!("{}Pieces: 2\r\nPiece-Key: slow\r\n", fields("staged"));
    let got = harness.call("GET", &path, &fields, "");
    assert_eq!(got.status, 200, "{got:?}\n{}", harness.logs());
    assert_whole_stream(&got.body);
}

/// A run that never goes on is replaced before its caller leaves.
#[rstest]
#[case::before_head(121, "head")]
#[case::behind_head(122, "body")]
#[case::between_events(123, "between")]
fn hung_run_is_replaced(#[case] net: u8, #[case] place: &str) {
    let harness = start(net);
    let path = format!("/paused/{place}/whole/{HUNG_MS}");
    let began = Instant::now();
    let got = harness.call("GET", &path, &fields("hung"), "");
    assert_eq!(got.status, 200, "{got:?}\n{}", harness.logs());
    assert_whole_stream(&got.body);
    assert!(began.elapsed() < PATIENCE, "{:?}", began.elapsed());
}

/// The request to replace a silent stream was cancelled when that broke off, and no attempt was left.
#[test]
fn run_breaks_during_overlap() {
    let harness = start(127);
    // The other target is asked after 1.28 s and answers after 1.48 s.
    let path = "/paused/break/soon/1400";
    let got = harness.call("GET", path, &fields("breaks"), "");
    assert_eq!(harness.requests(&format!("GET {path}?")).len(), 2, "{}", harness.logs());
    assert_whole_stream(&got.body);
}

/// Each silent stream asked each target that was full.
#[test]
fn full_target_is_asked_once() {
    const STREAMS: usize = 12;
    let harness = start(124);
    let path = format!("/paused/between/full/{PAUSE_MS}");
    thread::scope(|scope| {
        for number in 0..STREAMS {
            let (harness, path) = (&harness, format!("{path}?{number}"));
            scope.spawn(move || {
                let got = harness.call("GET", &path, &fields(&format!("many{number}")), "");
                assert_whole_stream(&got.body);
            });
        }
    });
    let asked = harness.requests("GET /paused/between/full").len();
    assert!(asked <= STREAMS + 4, "{asked} requests for {STREAMS} streams");
}

/// Two targets worked on one stream for as long as the one that was asked did not answer.
#[test]
fn overlap_is_bounded() {
    let harness = start(125);
    let path = format!("/paused/between/hung/{LONG_PAUSE_MS}");
    thread::scope(|scope| {
        let call = scope.spawn(|| harness.call("GET", &path, &fields("overlap"), ""));
        harness.wait_for_disconnects(1);
        let requests = harness.requests(&format!("GET {path}?"));
        assert_eq!(requests.len(), 2, "{}", harness.logs());
        let overlap = requests[1].received.elapsed();
        assert!(overlap < MAX_OVERLAP, "{overlap:?}");
        assert_whole_stream(&call.join().unwrap().body);
    });
}
