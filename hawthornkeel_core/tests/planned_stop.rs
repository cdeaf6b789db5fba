//! Phases of a planned stop, and the work that is still begun during it.

use std::time::Duration;

use hawthornkeel_core::stop::ControlStop;
use hawthornkeel_core::stop::PendingRequest;
use hawthornkeel_core::stop::PlannedStop;
use hawthornkeel_core::stop::RecentDurations;
use hawthornkeel_core::stop::RequestTimes;
use hawthornkeel_core::stop::StopTimes;
use hawthornkeel_core::table::route::RouteKind;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

const START: Instant = Instant::from_millis(5_000);
/// Latency objective of the requests.
const OBJECTIVE: Duration = Duration::from_secs(2);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[rstest]
#[case(0.4)]
#[case(2.0)]
#[case(8.0)]
#[case(60.0)]
#[case(600.0)]
fn phases_in_order(#[case] grace: f64) {
    let grace = seconds(grace);
    let times = StopTimes::within(grace);
    assert!(times.drain < times.finish, "{times:?}");
    assert!(times.finish < times.end && times.end < grace, "{times:?}");
    // Most of the grace time is for requests, and final responses have time to be written.
    assert!(times.finish >= grace.mul_f64(0.75), "{times:?}");
    assert!(times.end - times.finish >= grace.mul_f64(0.03).min(Duration::from_secs(1)));
}

#[rstest]
#[case(2.0)]
#[case(5.0)]
#[case(8.0)]
#[case(600.0)]
fn control_phases(#[case] grace: f64) {
    let grace = seconds(grace);
    let stop = ControlStop::within(grace, seconds(0.6));
    let ControlStop { orders, handover, vote, .. } = stop;
    assert_eq!(orders.drain, Duration::ZERO);
    assert!(orders.finish >= grace / 2 && orders.finish < orders.end, "{orders:?}");
    // Time is left to close the endpoint and for the disk.
    assert!(orders.end + handover < grace.mul_f64(0.96), "{orders:?} {handover:?}");
    assert!(handover >= seconds(0.3), "{handover:?}");
    // Whenever the wait for another voter begins, it leaves that time as well.
    for elapsed in [Duration::ZERO, orders.finish, orders.end + handover, grace] {
        let wait = stop.vote_wait(elapsed);
        assert!(wait <= vote, "{wait:?} after {elapsed:?}");
        assert!(
            wait.is_zero() || elapsed + wait < grace.mul_f64(0.96),
            "{wait:?} after {elapsed:?}"
        );
        let left = stop.time_left(elapsed);
        assert!(left.is_zero() || elapsed + left < grace.mul_f64(0.96), "{left:?}");
    }
}

#[test]
fn default_control_times() {
    let stop = ControlStop::within(seconds(5.0), seconds(0.6));
    assert_eq!((stop.orders.finish, stop.orders.end), (seconds(3.0), seconds(4.0)));
    assert_eq!(stop.handover, seconds(0.6));
}

/// Returns the durations of `count` requests, of which the first took `longest`.
fn recent(count: usize, longest: f64) -> RecentDurations {
    let mut recent = RecentDurations::default();
    (0..count).for_each(|n| recent.record(took(if n == 0 { longest } else { longest / 4.0 })));
    recent
}

/// Returns the times of a request without a number of tokens.
fn took(time: f64) -> RequestTimes {
    RequestTimes::without_size(seconds(time))
}

/// Returns an idempotent request that arrived before the stop.
fn pending(deadline: f64) -> PendingRequest {
    PendingRequest {
        kind: RouteKind::Idempotent,
        arrived: Instant::from_millis(0),
        deadline: seconds(deadline),
        max_tokens: None,
    }
}

#[rstest]
#[case::ends_by_its_deadline(1.0, 2.0, recent(0, 0.0), true, true)]
#[case::ends_soon_enough(1.0, 15.0, recent(10, 3.0), true, true)]
#[case::might_take_longer(3.1, 15.0, recent(10, 3.0), false, true)]
#[case::would_be_cut(5.0, 15.0, recent(10, 3.0), false, false)]
#[case::hardly_known(1.0, 15.0, recent(2, 0.5), false, true)]
#[case::not_known(1.0, 15.0, recent(0, 0.0), false, true)]
#[case::not_known_and_late(7.0, 15.0, recent(0, 0.0), false, false)]
#[case::late_but_short(7.0, 1.0, recent(10, 0.1), true, true)]
#[case::over(8.0, 1.0, recent(10, 0.1), false, false)]
fn time_left(
    #[case] at: f64,
    #[case] deadline: f64,
    #[case] recent: RecentDurations,
    #[case] begins: bool,
    #[case] goes_on: bool,
) {
    let stop = PlannedStop::new(START, &StopTimes::within(seconds(8.0)));
    let now = START + seconds(at);
    assert_eq!(stop.begins(now, &pending(deadline), &recent), begins);
    assert_eq!(stop.goes_on(now, &pending(deadline), &recent, OBJECTIVE), goes_on);
}

// Long streams were begun as the recent ones had been short, and cut at the end of the stop.
#[rstest]
#[case::as_long_as_others(1.0, Some(60), true)]
#[case::longer(1.0, Some(500), false)]
#[case::size_not_stated(1.0, None, true)]
#[case::too_late_for_others(2.5, Some(60), false)]
#[case::shorter(2.5, Some(5), true)]
fn long_streams_cut(#[case] at: f64, #[case] max_tokens: Option<u32>, #[case] begins: bool) {
    let stop = PlannedStop::new(START, &StopTimes::within(seconds(6.0)));
    let mut recent = RecentDurations::default();
    for _ in 0..10 {
        let response_began = seconds(0.2);
        recent.record(RequestTimes { response_began, ended: seconds(2.0), max_tokens: Some(60) });
    }
    let stream = RouteKind::Stream { resumable: false };
    let request = PendingRequest { kind: stream, max_tokens, arrived: START, ..pending(60.0) };
    assert_eq!(stop.begins(START + seconds(at), &request, &recent), begins);
}

// Requests that came during a stop were begun on a prediction, and cut when it was wrong.
#[rstest]
#[case::idempotent(RouteKind::Idempotent, 4.0, 15.0, true)]
#[case::signature(RouteKind::NonIdempotent, 1.0, 15.0, false)]
#[case::signature_ends_by_deadline(RouteKind::NonIdempotent, 4.0, 3.0, true)]
#[case::early_stream(RouteKind::Stream { resumable: false }, 2.9, 15.0, true)]
#[case::stream_after_balancer_left(RouteKind::Stream { resumable: false }, 3.2, 15.0, false)]
#[case::stream(RouteKind::Stream { resumable: false }, 4.0, 15.0, false)]
#[case::resumable_stream(RouteKind::Stream { resumable: true }, 4.0, 15.0, false)]
#[case::stream_ends_by_deadline(RouteKind::Stream { resumable: true }, 4.0, 3.0, true)]
fn late_requests_cut(
    #[case] kind: RouteKind,
    #[case] at: f64,
    #[case] deadline: f64,
    #[case] begins: bool,
) {
    let stop = PlannedStop::new(START, &StopTimes::within(seconds(8.0)));
    let before = PendingRequest { kind, ..pending(deadline) };
    let during = PendingRequest { arrived: START, ..before };
    assert_eq!(stop.begins(START + seconds(at), &during, &recent(10, 0.1)), begins);
    // What was arriving when the stop began is in progress, such as an upload.
    assert!(stop.begins(START + seconds(at), &before, &recent(10, 0.1)));
}

// A request that had arrived during the stop was sent late without the margin of its admission.
#[rstest]
#[case::before(-1.0, true)]
#[case::during(1.0, false)]
fn queued_requests_cut(#[case] arrived: f64, #[case] goes_on: bool) {
    let stop = PlannedStop::new(START, &StopTimes::within(seconds(8.0)));
    let arrived = Instant::from_millis((5_000.0 + arrived * 1_000.0) as u64);
    let request = PendingRequest { arrived, ..pending(15.0) };
    let now = START + seconds(5.0);
    assert_eq!(stop.goes_on(now, &request, &recent(10, 2.0), OBJECTIVE), goes_on);
}

#[test]
fn longest_recent_duration() {
    let mut recent = RecentDurations::default();
    assert_eq!(recent.predict(None), None);
    recent.record(took(4.0));
    recent.record(took(1.0));
    assert_eq!(recent.predict(None), Some(seconds(4.0)));
    // A single long one is forgotten after a while.
    (0..100).for_each(|_| recent.record(took(1.0)));
    assert_eq!(recent.predict(None), Some(seconds(1.0)));
}

#[test]
fn limit_counts_from_end_of_drain() {
    let times = StopTimes::after_drain(Duration::from_secs(5), Duration::from_secs(30));
    assert_eq!(times.drain, Duration::from_secs(5));
    assert_eq!(times.finish, Duration::from_secs(35));
    assert_eq!(times.end, Duration::from_secs(37));
}

#[test]
fn abandoned_work() {
    let mut recent = RecentDurations::default();
    recent.record_abandoned(took(9.0));
    assert_eq!(recent.predict(None), None);
    recent.record(took(2.0));
    // What was abandoned early may have taken any time.
    recent.record_abandoned(took(1.0));
    assert_eq!((recent.count(), recent.predict(None)), (1, Some(seconds(2.0))));
    recent.record_abandoned(took(9.0));
    assert_eq!(recent.predict(None), Some(seconds(9.0)));
}
