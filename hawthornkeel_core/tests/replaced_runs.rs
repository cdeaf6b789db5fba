//! When a silent run is given up, and which targets are asked to replace it.

use std::time::Duration;

use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::replacement::AskedTargets;
use hawthornkeel_core::placement::replacement::MAX_OVERLAP;
use hawthornkeel_core::placement::replacement::StreamSilence;
use hawthornkeel_core::placement::replacement::SurplusRun;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

/// Pause of a sound target.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Longest time for which the users let two targets work on one stream.
const OVERLAP_BOUND: Duration = Duration::from_millis(400);
/// Step by which silences are swept.
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Instant {
    Instant::from_micros(ms * 1_000)
}

fn silence(patience_ms: u64, latency_ms: u64) -> StreamSilence {
    StreamSilence {
        patience: ms(patience_ms),
        latency: ms(latency_ms),
        has_begun: true,
        is_unreachable: false,
        overlapped: false,
    }
}

#[test]
fn overlap_keeps_bound() {
    assert!(MAX_OVERLAP + ms(50) < OVERLAP_BOUND);
}

/// A run that paused was given up for one that had not answered.
#[rstest]
fn paused_run_is_kept(
    #[values(2_000, 3_200, 7_600)] patience: u64,
    #[values(20, 150, 400, 2_000)] latency: u64,
    #[values(false, true)] has_begun: bool,
    #[values(false, true)] overlapped: bool,
) {
    let silence = StreamSilence { has_begun, overlapped, ..silence(patience, latency) };
    // A target that is asked during the pause has not answered when the overlap ends.
    let mut asked = silence.ask_after();
    while asked + MAX_OVERLAP < PAUSE {
        assert_eq!(silence.surplus(asked + MAX_OVERLAP), SurplusRun::Latter, "{asked:?}");
        asked += STEP;
    }
}

/// A run that hangs for good was not replaced where targets take longer than the overlap.
#[rstest]
fn hung_run_is_replaced(
    #[values(2_000, 3_200, 7_600)] patience: u64,
    #[values(20, 150, 400)] latency: u64,
    #[values(false, true)] has_begun: bool,
) {
    // The first target that is asked doesn't answer in the overlap either.
    let silence = StreamSilence { has_begun, overlapped: true, ..silence(patience, latency) };
    let given_up = silence.ask_after() + MAX_OVERLAP;
    assert_eq!(silence.surplus(given_up), SurplusRun::Former);
    assert!(given_up + ms(400) <= ms(patience), "{given_up:?}");
}

#[test]
fn unreachable_target_is_left_at_once() {
    let unreachable = StreamSilence { is_unreachable: true, ..silence(3_200, 400) };
    assert!(unreachable.ask_after() < silence(3_200, 400).ask_after());
    assert_eq!(unreachable.surplus(unreachable.ask_after()), SurplusRun::Former);
}

fn closed(asked: &AskedTargets, now: Instant) -> Vec<&str> {
    asked.closed(now).map(|name| name.as_str()).collect()
}

/// Each silent stream asked each target that was full.
#[test]
fn one_stream_asks_first() {
    let (first, second) = (TargetName::new("t1"), TargetName::new("t2"));
    let mut asked = AskedTargets::default();
    asked.begin(at(0), &first);
    assert_eq!(closed(&asked, at(10)), ["t1"]);
    asked.refuse(at(20), &first);
    asked.begin(at(20), &second);
    assert_eq!(closed(&asked, at(30)), ["t1", "t2"]);
    asked.accept(at(60), &second);
    // The others follow, and asking again closes nothing.
    asked.begin(at(70), &second);
    assert_eq!(closed(&asked, at(80)), ["t1"]);
    assert_eq!(closed(&asked, at(600)), Vec::<&str>::new());
}

/// A target that does not answer is no reason for the others to wait for longer.
#[test]
fn unanswered_ask_ends() {
    let target = TargetName::new("t1");
    let mut asked = AskedTargets::default();
    asked.begin(at(0), &target);
    assert_eq!(closed(&asked, at(299)), ["t1"]);
    assert_eq!(closed(&asked, at(300)), Vec::<&str>::new());
}
