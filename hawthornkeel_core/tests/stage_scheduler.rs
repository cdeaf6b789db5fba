//! Scheduler on a virtual clock: bursts, slow and lost targets, memory limits and locality.

mod scheduler_harness;

use std::time::Duration;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::stages::admission::Timeliness;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Locality;
use hawthornkeel_core::stages::scheduler::CallFailure;
use rstest::rstest;

use crate::scheduler_harness::Harness;
use crate::scheduler_harness::job;

#[test]
fn pieces_share_calls() {
    let mut harness = Harness::new(1);
    for number in 0..9 {
        harness.submit(job(number, 1));
    }
    harness.run(2_000);
    // The first job found the target free; the others waited and share the next call.
    assert_eq!(harness.sizes(), [1, 8]);
    assert!((0..9).all(|n| harness.is_done(n)));
}

#[test]
fn urgent_goes_first() {
    let mut harness = Harness::new(1);
    harness.submit(job(0, 8));
    let late = |n| scheduler_harness::JobSpec { due_ms: 3_000, ..job(n, 8) };
    harness.submit(late(1));
    harness.submit(scheduler_harness::JobSpec { due_ms: 700, ..job(2, 8) });
    harness.run(2_000);
    assert_eq!(harness.order(), [0, 2, 1]);
}

#[test]
fn excess_load_is_rejected() {
    let mut harness = Harness::new(4);
    let (mut accepted, mut refused) = (Vec::new(), 0);
    // Twice the capacity of the four targets, for three seconds.
    for number in 0..600 {
        let spec = scheduler_harness::JobSpec { due_ms: 900, ..job(number, 1) };
        if harness.try_reserve(&spec) {
            harness.submit(spec);
            accepted.push(number);
        } else {
            refused += 1;
        }
        harness.run(5);
    }
    harness.run(3_000);
    let late = accepted.iter().filter(|n| harness.took(**n) > Duration::from_millis(1_000)).count();
    assert!(accepted.iter().all(|n| harness.is_done(*n)));
    assert!(refused > 150, "{refused}");
    assert!(late * 50 <= accepted.len(), "{late} of {}", accepted.len());
    // Most of the capacity was used.
    assert!(accepted.len() > 250, "{}", accepted.len());
}

#[test]
fn reservations_use_capacity() {
    let mut harness = Harness::new(1);
    let spec = |n| scheduler_harness::JobSpec { due_ms: 900, ..job(n, 8) };
    let reserved = (0..10).filter(|n| harness.try_reserve(&spec(*n))).count();
    // No job has been submitted, but the reservations use up the capacity.
    assert!((2..=4).contains(&reserved), "{reserved}");
    harness.cancel(0);
    assert!(harness.try_reserve(&spec(20)));
}

#[test]
fn lost_call_done_elsewhere() {
    let mut harness = Harness::new(2);
    harness.hang(0);
    harness.submit(job(0, 2));
    harness.submit(job(1, 2));
    harness.run(1_500);
    assert!(harness.is_done(0) && harness.is_done(1));
    assert!(
        harness.took(0) < Duration::from_millis(1_000)
            && harness.took(1) < Duration::from_millis(1_000)
    );
}

#[rstest]
#[case::refused(CallFailure::Refused, 34)]
#[case::unreached(CallFailure::Unreached, 4)]
fn unrun_call_is_no_attempt(#[case] failure: CallFailure, #[case] most: usize) {
    let mut harness = Harness::new(1);
    harness.fail(0, failure);
    harness.submit(job(0, 2));
    harness.run(2_000);
    assert_eq!(harness.outcome(0), None);
    // A full target is tried every 60 ms, an unreachable one after pauses that double.
    assert!(harness.sizes().len() <= most, "{}", harness.sizes().len());
    harness.recover(0);
    harness.run(2_500);
    assert!(harness.is_done(0));
}

#[test]
fn failing_target_ends_job() {
    let mut harness = Harness::new(1);
    harness.fail(0, CallFailure::Lost);
    harness.submit(scheduler_harness::JobSpec { end_ms: 30_000, ..job(0, 1) });
    harness.run(20_000);
    assert_eq!(harness.outcome(0), Some(&JobOutcome::Failed));
}

#[test]
fn late_job_fails_early() {
    let mut harness = Harness::new(1);
    harness.hang(0);
    harness.submit(job(0, 8));
    harness.submit(scheduler_harness::JobSpec { end_ms: 400, ..job(1, 8) });
    // It is reported as soon as no call could end in time, before its end time.
    harness.run(300);
    assert_eq!(harness.outcome(1), Some(&JobOutcome::Late));
}

#[test]
fn memory_limit_is_kept() {
    let mut harness = Harness::new(1);
    let large = |n| scheduler_harness::JobSpec { bytes: 3_000_000, ..job(n, 5) };
    for number in 0..3 {
        harness.submit(large(number));
        harness.run(1);
    }
    harness.run(1_500);
    assert!(harness.held_bytes() <= 41_000_000);
    let done = [0, 1, 2].map(|n| harness.is_done(n));
    assert_eq!(done, [true, true, false], "{:?}", harness.sizes());
    harness.release(0);
    harness.run(600);
    assert!(harness.is_done(2));
}

#[test]
fn waits_for_local_target() {
    let mut harness = Harness::new(3);
    let near = |wait_ms| Some(Locality { centre: CentreName::new("c0"), wait_ms });
    harness.submit(scheduler_harness::JobSpec { near: near(400), ..job(0, 8) });
    harness.submit(scheduler_harness::JobSpec { near: near(400), ..job(1, 8) });
    harness.submit(scheduler_harness::JobSpec { near: near(100), ..job(2, 8) });
    harness.run(1_000);
    assert_eq!((harness.centre_of(0), harness.centre_of(1)), ("c0", "c0"));
    assert_ne!(harness.centre_of(2), "c0");
}

#[test]
fn slow_target_is_avoided() {
    let mut harness = Harness::new(2);
    harness.slow(0, 5.0);
    for number in 0..40 {
        harness.submit(job(number, 1));
        harness.run(100);
    }
    harness.run(2_000);
    let slow = (0..40).filter(|n| harness.took(*n) > Duration::from_millis(900)).count();
    assert!(slow <= 4, "{slow}");
}

#[test]
fn cancelled_results_are_freed() {
    let mut harness = Harness::new(1);
    harness.submit(job(0, 2));
    harness.run(1_000);
    assert_eq!(harness.freed(), 0);
    harness.cancel(0);
    assert_eq!(harness.freed(), 2);
}

#[test]
fn late_work_goes_last() {
    let mut harness = Harness::new(1);
    harness.submit(job(0, 8));
    // Late already, with an earlier due time.
    let late = scheduler_harness::JobSpec {
        due_ms: 0,
        priority: Timeliness::Late.priority(0),
        ..job(1, 8)
    };
    harness.submit(late);
    harness.submit(scheduler_harness::JobSpec { due_ms: 1_200, ..job(2, 8) });
    harness.run(2_000);
    assert_eq!(harness.order(), [0, 2, 1]);
    // It does not delay new work.
    harness.submit(job(3, 8));
    harness.submit(scheduler_harness::JobSpec {
        due_ms: 0,
        priority: Timeliness::Late.priority(0),
        ..job(4, 8)
    });
    assert!(harness.try_reserve(&scheduler_harness::JobSpec { due_ms: 900, ..job(5, 8) }));
}

#[test]
fn late_work_gets_residual_capacity() {
    let drain = |flow_ms: Option<u64>| {
        let mut harness = Harness::new(2);
        for number in 0..flow_ms.map_or(0, |f| 2_000 / f) {
            harness.submit(job(u32::try_from(number).unwrap(), 1));
            harness.run(flow_ms.unwrap());
        }
        let late =
            scheduler_harness::JobSpec { priority: Timeliness::Late.priority(0), ..job(5_000, 1) };
        harness.drain(&late)
    };
    // Timely work that uses nine tenths of the capacity leaves little for late work.
    assert!(drain(Some(18)) > drain(Some(60)) * 2, "{:?} {:?}", drain(Some(18)), drain(Some(60)));
    assert_eq!(drain(None), Duration::ZERO);
}

#[test]
fn estimates_learn_piece_times() {
    let mut harness = Harness::new(2);
    let run_time = |harness: &mut Harness, number| {
        let estimate = harness.reserve(&job(number, 8));
        Duration::from_millis(estimate.run_ms)
    };
    let before = run_time(&mut harness, 9_000);
    assert_eq!(before, Duration::from_millis(278));
    // Pieces of this kind take 1.5 times as long, because they also fetch their inputs.
    harness.scale_piece_time(1.5);
    for number in 0..200 {
        harness.submit(job(number, 8));
        harness.run(250);
    }
    let after = run_time(&mut harness, 9_001);
    assert!(after > Duration::from_millis(325), "{after:?}");
}

#[test]
fn busy_targets_have_slot_wait() {
    let mut harness = Harness::new(3);
    assert_eq!(harness.reserve(&job(900, 8)).slot_wait_ms, 0);
    for number in 0..3 {
        harness.submit(job(number, 8));
    }
    // Three calls of 278 ms that end at independent times: the first after about a quarter.
    assert_eq!(harness.reserve(&job(901, 8)).slot_wait_ms, 69);
}

#[rstest]
#[case::routes_of_one_workspace(0, 1)]
#[case::routes_of_a_later_workspace(16, 17)]
#[case::workspaces_before_routes(2, 16)]
fn higher_priorities_go_first(#[case] high: u16, #[case] low: u16) {
    let mut harness = Harness::new(1);
    harness.submit(job(0, 8));
    harness.submit(scheduler_harness::JobSpec { priority: low, ..job(1, 8) });
    harness.submit(scheduler_harness::JobSpec { priority: high, due_ms: 2_300, ..job(2, 8) });
    harness.run(2_000);
    assert_eq!(harness.order(), [0, 2, 1]);
}

/// Submits single pieces of the highest priority at an interval in milliseconds.
fn load_urgent(interval: u64) -> Harness {
    let mut harness = Harness::new(2);
    for number in 0..160 {
        harness.submit(job(number, 1));
        harness.run(interval);
    }
    harness
}

#[test]
fn lower_priorities_leave_capacity() {
    // Work of the highest priority uses nearly all of the capacity of full calls.
    let mut harness = load_urgent(18);
    let mut drain =
        |priority| harness.drain(&scheduler_harness::JobSpec { priority, ..job(5_000, 1) });
    let (high, low) = (drain(0), drain(1));
    assert!(low > high * 2, "{high:?} {low:?}");
}

// Requests of low priority were expected to be late, and then put behind all others, while every
// call had room for them.
#[test]
fn lower_priorities_share_free_capacity() {
    // Two thirds of the capacity of full calls: calls of four or five pieces, of at most eight.
    let mut harness = load_urgent(25);
    let low = scheduler_harness::JobSpec { priority: 2, ..job(5_000, 1) };
    let estimate = harness.reserve(&low);
    harness.submit(low);
    harness.run(1_000);
    let (expected, took) = (estimate.drain_ms + estimate.run_ms, harness.took(5_000));
    assert!(took <= Duration::from_millis(expected), "{took:?}, expected {expected} ms");
    // At most the end of a call, and a call with the others that wait.
    assert!(expected <= 2 * 278, "expected {expected} ms, took {took:?}");
}
