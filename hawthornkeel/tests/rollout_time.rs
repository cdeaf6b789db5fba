//! Time since the order of a rollout, as a member of the control group knows it.

use std::time::Duration;

use hawthornkeel::forward::rollout_clock::RolloutClock;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::state::clock::Clock;
use hawthornkeel_core::time::Instant;
use hawthornkeel_core::time::WallTime;
use rstest::rstest;

// A wall clock that is off moves the deadline at a member that applied the order itself; a member that
// applied it late, or after a restart, takes the rollout for younger than it is.
#[rstest]
#[case::at_once(Some(9_500), 7_000, 0)]
#[case::cut_off(Some(4_000), 3_000, 3_000)]
#[case::cut_off_with_fast_clock(Some(4_000), 60_000, 6_000)]
#[case::restarted(None, 3_000, 3_000)]
fn age_when_applied(#[case] current_ms: Option<u64>, #[case] wall_ms: u64, #[case] age_ms: u64) {
    let mut clock = RolloutClock::default();
    if let Some(at) = current_ms {
        clock.set_current(Instant::from_millis(at));
    }
    let record = RolloutRecord { id: LogIndex(7), ..RolloutRecord::default() };
    let now = Instant::from_millis(10_000);
    clock.observe(now, &record, Duration::from_millis(wall_ms));
    // The wall clock has jumped when the record is looked at again.
    clock.observe(now, &record, Duration::from_secs(99));
    let later = now + Duration::from_millis(500);
    assert_eq!(clock.elapsed(later, &record), Some(Duration::from_millis(age_ms + 500)));
    let other = RolloutRecord { id: LogIndex(8), ..record };
    assert_eq!(clock.elapsed(later, &other), None);
}

// Idle time that the clock of the replicated state does not count makes a rollout look past its deadline
// at a member that restarts.
#[test]
fn uncounted_idle_time() {
    let hours = |h: u64| WallTime::from_millis(h * 3_600_000);
    let mut clock = Clock::default();
    clock.advance(hours(100));
    let began = clock.advance(hours(109));
    let soon = WallTime::from_millis(hours(109).as_millis() + 2_000);
    assert_eq!(clock.elapsed_since(began, soon), Duration::from_secs(2));
    assert_eq!(clock.elapsed_since(began, hours(1)), Duration::ZERO);
}
