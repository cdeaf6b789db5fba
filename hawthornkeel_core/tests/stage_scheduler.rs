//! Desk of a pool's stages on a virtual clock: bursts, slow and lost targets, room and places.

mod scheduler_harness;

use std::time::Duration;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::stages::admission::Timeliness;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Locality;
use hawthornkeel_core::stages::scheduler::CallFailure;
use rstest::rstest;

use crate::scheduler_harness::Site;
use crate::scheduler_harness::job;

#[test]
fn pieces_share_calls() {
    let mut site = Site::new(1);
    for number in 0..9 {
        site.offer(job(number, 1));
    }
    site.run(2_000);
    // The first found the target free; the others waited for it and went together.
    assert_eq!(site.sizes(), [1, 8]);
    assert!((0..9).all(|n| site.is_done(n)));
}

#[test]
fn urgent_goes_first() {
    let mut site = Site::new(1);
    site.offer(job(0, 8));
    let late = |n| scheduler_harness::Wanted { due_ms: 3_000, ..job(n, 8) };
    site.offer(late(1));
    site.offer(scheduler_harness::Wanted { due_ms: 700, ..job(2, 8) });
    site.run(2_000);
    assert_eq!(site.order(), [0, 2, 1]);
}

#[test]
fn burst_turned_away() {
    let mut site = Site::new(4);
    let (mut taken, mut refused) = (Vec::new(), 0);
    // Twice what the four targets can do, for three seconds.
    for number in 0..600 {
        let wanted = scheduler_harness::Wanted { due_ms: 900, ..job(number, 1) };
        if site.book(&wanted) {
            site.offer(wanted);
            taken.push(number);
        } else {
            refused += 1;
        }
        site.run(5);
    }
    site.run(3_000);
    let late = taken.iter().filter(|n| site.took(**n) > Duration::from_millis(1_000)).count();
    assert!(taken.iter().all(|n| site.is_done(*n)));
    assert!(refused > 150, "{refused}");
    assert!(late * 50 <= taken.len(), "{late} of {}", taken.len());
    // The targets were not left idle for it.
    assert!(taken.len() > 250, "{}", taken.len());
}

#[test]
fn bookings_count() {
    let mut site = Site::new(1);
    let wanted = |n| scheduler_harness::Wanted { due_ms: 900, ..job(n, 8) };
    let booked = (0..10).filter(|n| site.book(&wanted(*n))).count();
    // Nothing has been offered, and still there is no room for more.
    assert!((2..=4).contains(&booked), "{booked}");
    site.withdraw(0);
    assert!(site.book(&wanted(20)));
}

#[test]
fn lost_call_done_elsewhere() {
    let mut site = Site::new(2);
    site.silence(0);
    site.offer(job(0, 2));
    site.offer(job(1, 2));
    site.run(1_500);
    assert!(site.is_done(0) && site.is_done(1));
    assert!(
        site.took(0) < Duration::from_millis(1_000) && site.took(1) < Duration::from_millis(1_000)
    );
}

#[rstest]
#[case::refused(CallFailure::Refused, 34)]
#[case::unreached(CallFailure::Unreached, 4)]
fn call_that_did_not_run_is_no_try(#[case] failure: CallFailure, #[case] most: usize) {
    let mut site = Site::new(1);
    site.fail(0, failure);
    site.offer(job(0, 2));
    site.run(2_000);
    assert_eq!(site.outcome(0), None);
    // One that is full is tried every 60 ms, one that is gone after a pause that doubles.
    assert!(site.sizes().len() <= most, "{}", site.sizes().len());
    site.heal(0);
    site.run(2_500);
    assert!(site.is_done(0));
}

#[test]
fn failing_target_ends_job() {
    let mut site = Site::new(1);
    site.fail(0, CallFailure::Lost);
    site.offer(scheduler_harness::Wanted { end_ms: 30_000, ..job(0, 1) });
    site.run(20_000);
    assert_eq!(site.outcome(0), Some(&JobOutcome::Failed));
}

#[test]
fn late_at_once() {
    let mut site = Site::new(1);
    site.silence(0);
    site.offer(job(0, 8));
    site.offer(scheduler_harness::Wanted { end_ms: 400, ..job(1, 8) });
    // It is told as soon as no call could end in time, not at its end.
    site.run(300);
    assert_eq!(site.outcome(1), Some(&JobOutcome::Late));
}

#[test]
fn room_is_kept() {
    let mut site = Site::new(1);
    let large = |n| scheduler_harness::Wanted { bytes: 3_000_000, ..job(n, 5) };
    for number in 0..3 {
        site.offer(large(number));
        site.run(1);
    }
    site.run(1_500);
    assert!(site.held() <= 41_000_000);
    let done = [0, 1, 2].map(|n| site.is_done(n));
    assert_eq!(done, [true, true, false], "{:?}", site.sizes());
    site.release(0);
    site.run(600);
    assert!(site.is_done(2));
}

#[test]
fn waits_for_near() {
    let mut site = Site::new(3);
    let near = |wait_ms| Some(Locality { centre: CentreName::new("c0"), wait_ms });
    site.offer(scheduler_harness::Wanted { near: near(400), ..job(0, 8) });
    site.offer(scheduler_harness::Wanted { near: near(400), ..job(1, 8) });
    site.offer(scheduler_harness::Wanted { near: near(100), ..job(2, 8) });
    site.run(1_000);
    assert_eq!((site.place(0), site.place(1)), ("c0", "c0"));
    assert_ne!(site.place(2), "c0");
}

#[test]
fn slow_target_left_out() {
    let mut site = Site::new(2);
    site.slow(0, 5.0);
    for number in 0..40 {
        site.offer(job(number, 1));
        site.run(100);
    }
    site.run(2_000);
    let slow = (0..40).filter(|n| site.took(*n) > Duration::from_millis(900)).count();
    assert!(slow <= 4, "{slow}");
}

#[test]
fn withdrawn_results_freed() {
    let mut site = Site::new(1);
    site.offer(job(0, 2));
    site.run(1_000);
    assert_eq!(site.freed(), 0);
    site.withdraw(0);
    assert_eq!(site.freed(), 2);
}

#[test]
fn late_work_waits() {
    let mut site = Site::new(1);
    site.offer(job(0, 8));
    // Late already, and with the earlier due.
    let late = scheduler_harness::Wanted {
        due_ms: 0,
        priority: Timeliness::Late.priority(0),
        ..job(1, 8)
    };
    site.offer(late);
    site.offer(scheduler_harness::Wanted { due_ms: 1_200, ..job(2, 8) });
    site.run(2_000);
    assert_eq!(site.order(), [0, 2, 1]);
    // It makes no new work wait.
    site.offer(job(3, 8));
    site.offer(scheduler_harness::Wanted {
        due_ms: 0,
        priority: Timeliness::Late.priority(0),
        ..job(4, 8)
    });
    assert!(site.book(&scheduler_harness::Wanted { due_ms: 900, ..job(5, 8) }));
}

#[test]
fn late_work_expects_what_is_left() {
    let booked = |flow_ms: Option<u64>| {
        let mut site = Site::new(2);
        for number in 0..flow_ms.map_or(0, |f| 2_000 / f) {
            site.offer(job(u32::try_from(number).unwrap(), 1));
            site.run(flow_ms.unwrap());
        }
        let late =
            scheduler_harness::Wanted { priority: Timeliness::Late.priority(0), ..job(5_000, 1) };
        site.drain(&late)
    };
    // Work in time that takes nine tenths of the targets leaves late work little.
    assert!(
        booked(Some(18)) > booked(Some(60)) * 2,
        "{:?} {:?}",
        booked(Some(18)),
        booked(Some(60))
    );
    assert_eq!(booked(None), Duration::ZERO);
}

#[test]
fn estimates_learn_piece_times() {
    let mut site = Site::new(2);
    let one = |site: &mut Site, number| {
        let booked = site.booked(&job(number, 8));
        Duration::from_millis(booked.run_ms)
    };
    let before = one(&mut site, 9_000);
    assert_eq!(before, Duration::from_millis(278));
    // Pieces of this kind take half as long again, as their inputs are fetched as well.
    site.pieces_take(1.5);
    for number in 0..200 {
        site.offer(job(number, 8));
        site.run(250);
    }
    let after = one(&mut site, 9_001);
    assert!(after > Duration::from_millis(325), "{after:?}");
}

#[test]
fn busy_targets_take_turns() {
    let mut site = Site::new(3);
    assert_eq!(site.booked(&job(900, 8)).slot_wait_ms, 0);
    for number in 0..3 {
        site.offer(job(number, 8));
    }
    // Three calls of 278 ms that end at any time: the first after a quarter, about.
    assert_eq!(site.booked(&job(901, 8)).slot_wait_ms, 69);
}

#[rstest]
#[case::routes_of_one_workspace(0, 1)]
#[case::routes_of_a_later_workspace(16, 17)]
#[case::workspaces_before_routes(2, 16)]
fn higher_ranks_go_first(#[case] high: u16, #[case] low: u16) {
    let mut site = Site::new(1);
    site.offer(job(0, 8));
    site.offer(scheduler_harness::Wanted { priority: low, ..job(1, 8) });
    site.offer(scheduler_harness::Wanted { priority: high, due_ms: 2_300, ..job(2, 8) });
    site.run(2_000);
    assert_eq!(site.order(), [0, 2, 1]);
}

#[test]
fn lower_ranks_leave_room() {
    let mut site = Site::new(2);
    // Work of the highest rank takes two thirds of the targets.
    for number in 0..80 {
        site.offer(job(number, 1));
        site.run(25);
    }
    let mut drain = |priority| site.drain(&scheduler_harness::Wanted { priority, ..job(5_000, 1) });
    let (high, low) = (drain(0), drain(1));
    assert!(low > high * 2, "{high:?} {low:?}");
}
