//! Sizes of the calls to a stage, and the order of the jobs in them, under a steady load.

mod scheduler_harness;

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use scheduler_harness::Harness;
use scheduler_harness::JobSpec;
use scheduler_harness::job;

/// Length of a replay in milliseconds.
const LENGTH_MS: u64 = 30_000;
/// Jobs per millisecond at which five targets are busy most of the time.
const RATE: f64 = 0.04;
/// Part of an objective of 1,500 ms for one of three stages, without the engine and a tenth in reserve.
const STAGE_TIME: Duration = Duration::from_millis(400);

// The first target that became free took all waiting jobs, and the one that became free just after
// it got a call for a single job: most jobs ended in a long call.
#[test]
fn waiting_jobs_are_shared() {
    let mut harness = Harness::new(2);
    harness.submit(job(1, 1));
    harness.run(20);
    harness.submit(job(2, 1));
    for number in 3..=6 {
        harness.submit(job(number, 2));
    }
    harness.run(1_000);

    // Both targets become free within 20 ms.
    assert_eq!(harness.sizes(), [1, 1, 4, 4]);
}

// A target that becomes free much later gets no share: its part would only wait longer.
#[test]
fn later_targets_get_no_share() {
    let mut harness = Harness::new(2);
    harness.submit(job(1, 1));
    harness.run(100);
    harness.submit(job(2, 1));
    for number in 3..=5 {
        harness.submit(job(number, 2));
    }
    harness.run(1_000);

    assert_eq!(harness.sizes(), [1, 1, 6]);
}

// Calls that take only a share, filled by priority, leave the least urgent job to the next one each
// time, also while there is room for all.
#[rstest]
fn less_urgent_jobs_keep_up(#[values(1, 2, 3)] seed: u64) {
    let spec = |number| JobSpec { priority: (number % 3) as u16, ..job(number, 2) };
    let mut random = StdRng::seed_from_u64(seed);
    let mut harness = Harness::new(5);
    let mut count = 0;
    for _ in 0..LENGTH_MS {
        if random.random_bool(RATE) {
            count += 1;
            harness.submit(spec(count));
        }
        harness.run(1);
    }
    harness.run(3_000);

    for priority in 0..3 {
        let jobs = (1..=count).filter(|n| n % 3 == priority);
        let mut took: Vec<Duration> = jobs.map(|n| harness.took(n)).collect();
        took.sort_unstable();
        let p90 = took[took.len() * 9 / 10];
        assert!(p90 <= STAGE_TIME, "priority {priority}: p90 {p90:?}");
    }
}
