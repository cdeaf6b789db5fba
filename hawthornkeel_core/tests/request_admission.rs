//! Whether a request with stages is begun, and at what pace, by what its bookings come to.

use std::time::Duration;

use hawthornkeel_core::stages::admission::Outlook;
use hawthornkeel_core::stages::admission::StageTiming;
use hawthornkeel_core::stages::admission::Timeliness;
use hawthornkeel_core::stages::admission::Times;
use hawthornkeel_core::stages::admission::first_attempt_slack;
use hawthornkeel_core::stages::job::ReservationEstimate;
use indexmap::IndexMap;
use rstest::rstest;

const REST: Duration = Duration::from_millis(200);
const TIMES: Times = Times {
    objective: Duration::from_millis(1_500),
    due: Duration::from_millis(1_500),
    left: Duration::from_millis(6_000),
    fresh: Duration::ZERO,
};

/// Returns two stages, the second after the first.
fn steps() -> Vec<StageTiming> {
    let step = |at, after| StageTiming { stage: at, after, expected: Duration::from_millis(300) };
    vec![step(0, vec![]), step(1, vec![0])]
}

fn booked(drain_ms: u64, harm_ms: u64) -> Option<ReservationEstimate> {
    Some(ReservationEstimate { drain_ms, run_ms: 200, harm_ms, slot_wait_ms: 60 })
}

fn outlook(bookings: &[Option<ReservationEstimate>]) -> Outlook {
    let booked: IndexMap<u16, Option<ReservationEstimate>> =
        (0..).zip(bookings.iter().copied()).collect();
    Outlook::new(&steps(), &booked, REST)
}

#[test]
fn stages_follow_each_other() {
    // The second drains while the first runs, and then waits for a target that is free.
    assert_eq!(outlook(&[booked(50, 0), booked(100, 0)]).end, Duration::from_millis(740));
    // A desk that does not answer counts with the usual time.
    assert_eq!(outlook(&[booked(50, 0)]).end, Duration::from_millis(765));
}

#[rstest]
#[case::calm(50, 0, true, true)]
#[case::backlog(1_200, 0, false, true)]
#[case::others_would_be_late(50, 300, false, true)]
#[case::longer_than_callers_wait(4_000, 0, false, false)]
fn late_work_is_begun(
    #[case] drain_ms: u64,
    #[case] harm_ms: u64,
    #[case] prompt: bool,
    #[case] late: bool,
) {
    let outlook = outlook(&[booked(50, 0), booked(drain_ms, harm_ms)]);
    assert_eq!(outlook.allows(Timeliness::OnTime, &TIMES), prompt);
    assert_eq!(outlook.allows(Timeliness::Late, &TIMES), late);
}

#[test]
fn lost_stage_begins_nothing() {
    let outlook = outlook(&[booked(50, 0), None]);
    assert!(!outlook.allows(Timeliness::OnTime, &TIMES));
    assert!(!outlook.allows(Timeliness::Late, &TIMES));
    assert_eq!(outlook.retry_after(Timeliness::Late, &TIMES), Duration::from_secs(5));
}

#[test]
fn return_is_known() {
    let outlook = outlook(&[booked(50, 0), booked(3_500, 0)]);
    let early = Times { fresh: Duration::from_millis(900), ..TIMES };
    assert!(outlook.retry_after(Timeliness::Late, &TIMES) < early.fresh);
    assert_eq!(outlook.retry_after(Timeliness::Late, &early), early.fresh);
}

#[test]
fn late_goes_behind_every_rank() {
    assert!(Timeliness::Late.priority(0) > Timeliness::OnTime.priority(300));
    assert!(Timeliness::Late.priority(0) < Timeliness::Late.priority(1));
}

#[rstest]
#[case::patient(6_000, false)]
#[case::impatient(5_120, false)]
#[case::came_back(4_900, true)]
fn first_tries_differ(#[case] left_ms: u64, #[case] known: bool) {
    let fresh = first_attempt_slack(Duration::from_millis(6_000), Duration::from_millis(left_ms));
    assert_eq!(fresh.is_zero(), known);
}
