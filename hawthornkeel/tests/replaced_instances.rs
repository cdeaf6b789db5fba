//! Control instances that are replaced by new ones at other addresses, one after the other.

mod forward_harness;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use rustix::process::Signal;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::requests::fields;
use crate::forward_harness::waits::CONTROLS;

/// Time for which a new instance runs before the one that it replaces is lost; `catch_up_s` is 4.
const SUCCESSOR_TIME: Duration = Duration::from_millis(4_500);
/// Time after which a process that is to stop is killed; `grace_period_s`.
const GRACE_TIME: Duration = Duration::from_secs(8);
/// Time in which the group serves again; `recovery_s`.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// How a control instance is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// It stops as planned.
    Stop,
    /// It is killed and does not come back.
    Kill,
    /// It is killed and comes back with an empty disk.
    Wipe,
}

/// Starts three control instances and two entries, which serve.
fn start(net: u8) -> Harness {
    let harness = Harness::with_control_instances(net, 3);
    harness.serve_routes();
    harness
}

/// Ends the process `at` and returns once it has ended.
fn lose(harness: &mut Harness, at: usize, loss: Loss) {
    match loss {
        Loss::Stop => {
            harness.signal(at, Signal::TERM);
            harness.kill_at(at, Instant::now() + GRACE_TIME);
        }
        Loss::Kill => harness.kill(at),
        Loss::Wipe => {
            harness.kill(at);
            harness.remove_data(at);
            harness.replace_setting(at, "[control]", "[control]\nfound = false");
            harness.spawn(at);
        }
    }
}

/// Checks that the instances in `controls` take a document, show it and pass it on in time.
fn check_service(harness: &Harness, controls: &[usize], version: u32) {
    let until = Instant::now() + RECOVERY_TIME;
    let wait_for = |what: &str, condition: &dyn Fn() -> bool| {
        while !condition() {
            assert!(Instant::now() < until, "{what}:\n{}", harness.logs());
            thread::sleep(Duration::from_millis(50));
        }
    };
    let text = document(version, "/lots/");
    let accepts = |at: usize| {
        harness.try_replace_document(at, &text).is_some_and(|response| response.status == 200)
    };
    wait_for("no document is accepted", &|| controls.iter().any(|at| accepts(*at)));
    wait_for("an instance doesn't show the document", &|| {
        controls.iter().all(|at| harness.shows_document(*at, version))
    });
    harness.call_until(200, "/lots/after", &fields("after"));
}

/// A lost voter kept its vote for longer than its successor needs, so a second one cost the quorum.
#[rstest]
#[case::both_stopped(82, Loss::Stop, Loss::Stop)]
#[case::both_killed(83, Loss::Kill, Loss::Kill)]
#[case::second_wiped(84, Loss::Stop, Loss::Wipe)]
fn replaced_in_turn(#[case] net: u8, #[case] first: Loss, #[case] second: Loss) {
    let mut harness = start(net);
    for (at, loss) in [first, second].into_iter().enumerate() {
        let control = CONTROLS + at;
        harness.add_control(u8::try_from(control + CONTROLS).unwrap());
        thread::sleep(SUCCESSOR_TIME);
        lose(&mut harness, at, loss);
    }
    check_service(&harness, &[2, 3, 4], 2);
}

/// A stopped voter left its vote to the group's timeout, in which the loss of another cost the quorum.
#[test]
fn loss_right_after_stop() {
    let mut harness = start(85);
    harness.add_control(6);
    thread::sleep(SUCCESSOR_TIME);
    lose(&mut harness, 0, Loss::Stop);
    lose(&mut harness, 1, Loss::Kill);
    check_service(&harness, &[2, 3], 2);
}

/// A stopping voter fell silent before another one had its vote, so a disk lost meanwhile cost the quorum.
#[rstest]
#[case::at_once(86, 0)]
#[case::while_handing_over(87, 60)]
#[case::after_half_a_second(88, 500)]
fn disk_lost_amid_stop(#[case] net: u8, #[case] gap_ms: u64) {
    let mut harness = start(net);
    harness.add_control(6);
    thread::sleep(SUCCESSOR_TIME);
    lose(&mut harness, 0, Loss::Stop);
    thread::sleep(Duration::from_millis(gap_ms));
    lose(&mut harness, 1, Loss::Wipe);
    check_service(&harness, &[1, 2, 3], 2);
}

/// Two stopping voters were both silent, which alone cost the quorum.
#[test]
fn stops_overlap() {
    let mut harness = start(89);
    harness.add_control(6);
    harness.add_control(7);
    thread::sleep(SUCCESSOR_TIME);
    (0..2).for_each(|at| lose(&mut harness, at, Loss::Stop));
    check_service(&harness, &[2, 3, 4], 2);
    for at in 0..2 {
        assert!(harness.wait_exit(at, GRACE_TIME), "{}", harness.settled_log(at));
        let log = harness.settled_log(at);
        assert!(log.contains("handed_over=true"), "{log}");
    }
}

/// A voter that ended with its vote, as there was no learner, did not say so.
#[test]
fn kept_vote_is_logged() {
    let mut harness = start(91);
    lose(&mut harness, 0, Loss::Stop);
    assert!(harness.wait_exit(0, GRACE_TIME));
    let log = harness.settled_log(0);
    assert!(log.contains("handed_over=false outcome=no-learner"), "{log}");
}
