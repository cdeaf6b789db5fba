//! Targets that ask for a pause, and the return of work after it.

mod notice_harness;
mod scheduler_harness;

use std::time::Duration;

use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::placement::notice::NoticeChange;
use hawthornkeel_core::placement::notice::PauseWait;
use hawthornkeel_core::placement::notice::return_delay;
use hawthornkeel_core::stages::job::JobOutcome;
use rstest::rstest;

use crate::notice_harness::Fleet;
use crate::notice_harness::at;
use crate::notice_harness::listed;
use crate::notice_harness::pause;
use crate::notice_harness::pool;
use crate::scheduler_harness::Harness;
use crate::scheduler_harness::JobSpec;
use crate::scheduler_harness::job;

#[test]
fn nothing_within_a_pause() {
    let mut fleet = Fleet::new(1);
    let run = fleet.choose(0, 7).unwrap().run();
    let changes = fleet.tell(0, &run, pause(1_500));
    let expected = Duration::from_millis(1_500);
    assert_eq!(changes, [NoticeChange::Paused { pause: expected, bounded: false, extended: None }]);
    for ms in 0..1_500 {
        let until = at(1_500);
        assert_eq!(fleet.choose(ms, ms).unwrap_err(), NoTarget::Paused { until });
    }
    assert!(fleet.choose(1_500, 7).is_ok());
}

#[test]
fn others_take_the_work() {
    let mut fleet = Fleet::new(3);
    let run = fleet.choose(0, 7).unwrap().run();
    fleet.tell(0, &run, pause(1_000));
    assert!((0..200).all(|s| fleet.choose(1, s).unwrap().name != run.name));
    assert_eq!(fleet.choose(9_000, 7).unwrap().name, run.name);
}

#[test]
fn work_returns_gradually() {
    let mut fleet = Fleet::new(1);
    let run = fleet.choose(0, 7).unwrap().run();
    fleet.tell(0, &run, pause(1_000));
    let mut sent = Vec::new();
    for ms in 1_000..2_100 {
        (0..20).filter(|_| fleet.choose(ms, ms).is_ok()).for_each(|_| sent.push(ms));
    }
    let by = |ms: u64| sent.iter().filter(|s| **s < ms).count();
    assert_eq!(by(1_050), 1);
    assert!((2..=5).contains(&by(1_100)), "{}", by(1_100));
    assert!((20..=130).contains(&by(1_500)), "{}", by(1_500));
    assert_eq!(by(2_100) - by(2_000), 2_000, "no limit any more");
}

#[test]
fn pauses_only_grow() {
    let mut fleet = Fleet::new(1);
    let run = fleet.choose(0, 7).unwrap().run();
    fleet.tell(0, &run, pause(2_000));
    // Answers of requests that were in flight.
    assert!(fleet.tell(10, &run, pause(500)).is_empty());
    assert!(fleet.tell(20, &run, Notice::default()).is_empty());
    let extended = Some(Duration::from_millis(30));
    let pause_time = Duration::from_millis(3_000);
    assert_eq!(
        fleet.tell(30, &run, pause(3_000)),
        [NoticeChange::Paused { pause: pause_time, bounded: false, extended }]
    );
    assert!(fleet.choose(3_029, 7).is_err() && fleet.choose(3_030, 7).is_ok());
}

#[test]
fn zero_and_endless_pauses() {
    let mut fleet = Fleet::new(1);
    let run = fleet.choose(0, 7).unwrap().run();
    assert!(fleet.tell(0, &run, pause(0)).is_empty());
    assert!(fleet.choose(0, 7).is_ok());
    let endless = Notice { pause: Some(Duration::MAX), ..Notice::default() };
    let hour = Duration::from_secs(3_600);
    assert_eq!(
        fleet.tell(0, &run, endless),
        [NoticeChange::Paused { pause: hour, bounded: true, extended: None }]
    );
    assert!(fleet.choose(3_599_999, 7).is_err() && fleet.choose(3_600_000, 7).is_ok());
}

#[test]
fn list_does_not_end_it() {
    let mut fleet = Fleet::new(1);
    let run = fleet.choose(0, 7).unwrap().run();
    fleet.tell(0, &run, pause(5_000));
    fleet.list(100, &[]);
    fleet.list(200, &[listed(0, None)]);
    assert!(fleet.choose(200, 7).is_err());
    fleet.list(300, &[listed(0, Some(7))]);
    assert!(fleet.choose(300, 7).is_err(), "perhaps the same process");
    fleet.list(400, &[listed(0, Some(8))]);
    assert!(fleet.choose(1_300, 7).is_ok(), "another process");
}

#[test]
fn pause_is_no_failure() {
    let mut fleet = Fleet::new(3);
    let run = fleet.choose(0, 7).unwrap().run();
    for _ in 0..50 {
        fleet.balancer.record_outcome(at(0), &run.name, TargetOutcome::Paused);
    }
    fleet.tell(0, &run, pause(1_000));
    let share = |fleet: &mut Fleet| {
        (0..300).filter(|s| fleet.choose(5_000, *s).unwrap().name == run.name).count()
    };
    assert_eq!(share(&mut fleet), share(&mut Fleet::new(3)));
}

#[test]
fn soonest_end_of_a_pool() {
    let mut fleet = Fleet::new(3);
    for (number, ms) in [(0, 4_000), (1, 2_000)] {
        fleet.tell(0, &listed(number, None).run(), pause(ms));
    }
    assert_eq!(fleet.balancer.pool_opens_at(at(0), &pool()), None, "one is open");
    fleet.tell(0, &listed(2, None).run(), pause(3_000));
    assert_eq!(fleet.balancer.pool_opens_at(at(0), &pool()), Some(at(2_000)));
    assert_eq!(fleet.choose(0, 7).unwrap_err(), NoTarget::Paused { until: at(2_000) });
    // One that was tried does not count, the others do.
    let tried = [listed(1, None).name];
    let until = at(3_000);
    assert_eq!(fleet.choose_other(0, 7, &tried).unwrap_err(), NoTarget::Paused { until });
    // A target that leaves does not open.
    let leaving = Notice { leaving: true, ..Notice::default() };
    fleet.tell(0, &listed(1, None).run(), leaving);
    assert_eq!(fleet.balancer.pool_opens_at(at(0), &pool()), Some(at(3_000)));
}

#[test]
fn cold_tokens_are_kept() {
    let mut fleet = Fleet::new(1);
    fleet.list(1, &[listed(0, None), listed(1, None)]);
    let tried = [listed(0, None).name];
    let cold = listed(1, None).run();
    fleet.tell(1, &cold, pause(1_000));
    assert!((2..1_001).all(|ms| fleet.choose_other(ms, 7, &tried).is_err()));
    // Not more than the cold rule allows after the pause either.
    let sent = (1_001..2_001).filter(|ms| fleet.choose_other(*ms, 7, &tried).is_ok()).count();
    assert!((1..=4).contains(&sent), "{sent}");
}

#[rstest]
#[case::in_time(0, 800, 200, 1_000, true)]
#[case::too_late(0, 900, 200, 1_000, false)]
#[case::late_anyway(0, 100, 1_500, 1_000, true)]
#[case::late_and_long(0, 300, 1_500, 1_000, false)]
#[case::waited_enough(100, 100, 1_500, 900, false)]
#[case::endless(0, u64::MAX, 200, 1_000, false)]
fn waits_that_are_worthwhile(
    #[case] waited: u64,
    #[case] wait: u64,
    #[case] latency: u64,
    #[case] left: u64,
    #[case] expected: bool,
) {
    let [waited, wait, latency, left] = [waited, wait, latency, left].map(Duration::from_millis);
    let objective = Duration::from_secs(1);
    let times = PauseWait { waited, wait, latency, left, objective };
    assert_eq!(times.is_worthwhile(), expected);
}

#[test]
fn callers_return_spread() {
    let left = Duration::from_secs(2);
    let delays: Vec<Duration> = (0..=10).map(|n| return_delay(left, u64::MAX / 10 * n)).collect();
    assert!(delays.iter().all(|d| *d > left && *d < left + Duration::from_millis(1_100)));
    assert!(delays.windows(2).all(|w| w[1] - w[0] > Duration::from_millis(90)), "{delays:?}");
}

#[test]
fn pieces_wait_for_the_end() {
    let mut harness = Harness::new(1);
    harness.tell(0, pause(1_000));
    harness.submit(job(1, 2));
    harness.run(999);
    assert!(harness.sizes().is_empty());
    harness.run(500);
    assert_eq!((harness.sizes(), harness.is_done(1)), (vec![2], true));
}

#[test]
fn job_that_cannot_wait_leaves() {
    let mut harness = Harness::new(2);
    harness.tell(0, pause(8_000));
    harness.submit(job(1, 2));
    harness.submit(job(2, 2));
    harness.run(10);
    harness.tell(1, pause(9_000));
    harness.submit(job(3, 2));
    // The soonest end is after the time by which the job must start.
    assert_eq!(harness.outcome(3), Some(&JobOutcome::Paused { left_ms: 7_990 }));
    harness.run(1_000);
    assert!(harness.is_done(1), "what runs is finished");
}

#[test]
fn late_job_waits_until_its_end() {
    let mut harness = Harness::new(1);
    harness.tell(0, pause(3_000));
    // It would miss its due time, so its caller is better told to come back.
    harness.submit(JobSpec { due_ms: 2_000, ..job(1, 2) });
    assert_eq!(harness.outcome(1), Some(&JobOutcome::Paused { left_ms: 3_000 }));
    // Its due time has passed anyway.
    harness.submit(JobSpec { due_ms: 0, ..job(2, 2) });
    harness.run(3_500);
    assert!(harness.is_done(2));
}

#[test]
fn estimate_tells_the_pause() {
    let mut harness = Harness::new(2);
    harness.tell(0, pause(3_000));
    assert_eq!(harness.reserve(&job(1, 2)).paused_ms, 0, "one is open");
    harness.tell(1, pause(6_000));
    assert_eq!(harness.reserve(&job(2, 2)).paused_ms, 3_000);
}

#[test]
fn estimate_counts_with_the_pause() {
    let mut harness = Harness::new(2);
    let before = harness.drain(&job(1, 2));
    harness.cancel(1);
    harness.tell(0, pause(1_500));
    assert!(harness.drain(&job(2, 2)) < before + Duration::from_millis(300), "one is open");
    harness.cancel(2);
    harness.tell(1, pause(2_500));
    let drain = harness.drain(&job(3, 2));
    assert!(drain >= Duration::from_millis(1_500), "{drain:?}");
}
