//! Orders of operators that a control instance reads long after they were sent.

mod forward_harness;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_fakes::raw_client::RawClient;
use rstest::rstest;
use rustix::process::Signal;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::operators::call;
use crate::forward_harness::operators::centre_order;
use crate::forward_harness::operators::is_taken_out;
use crate::forward_harness::operators::must_order;
use crate::forward_harness::waits::CONTROLS;
use crate::forward_harness::waits::eventually;
use crate::forward_harness::waits::leader;

/// Data centre that the orders are about.
const CENTRE: &str = "z1";
/// Time in which an order that was read late would have been committed.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Starts control instances that serve; returns as well the one that leads.
fn start(net: u8) -> (Harness, usize) {
    let harness = Harness::with_control_instances(net, 3);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    let leader = leader(&harness);
    (harness, leader)
}

/// Returns the request of an order about the data centre.
fn order(take_out: bool) -> String {
    centre_order(CENTRE, take_out)
}

/// Waits until all control instances have the data centre in a state.
fn wait_taken_out(harness: &Harness, expected: bool) {
    eventually(harness, "not in force", || {
        let holds = |at| is_taken_out(harness, at, CENTRE) == Some(expected);
        (0..CONTROLS).all(holds).then_some(())
    });
}

/// Returns the position up to which a control instance has put changes in force, by its own lines.
fn published(log: &str) -> u64 {
    let newest = log.lines().rfind(|l| l.contains("event=published-in-force"));
    let index = newest.and_then(|l| l.split("index=").nth(1)?.split(' ').next()?.parse().ok());
    index.unwrap_or_default()
}

/// Waits until a control instance that woke has in force what the others had.
///
/// Until then it shows the orders that it missed, one after the other.
fn wait_caught_up(harness: &Harness, at: usize, others: &[usize]) {
    let newest = others.iter().map(|other| published(&harness.settled_log(*other))).max();
    let has_newest = || Some(published(&harness.log(at))) >= newest;
    eventually(harness, "not caught up", || has_newest().then_some(()));
}

/// Gives one order to each control instance at once, and returns the status of each response.
fn order_at_once(harness: &Harness, take_outs: [bool; CONTROLS]) -> Vec<Option<u16>> {
    thread::scope(|scope| {
        let calls: Vec<_> = (0..CONTROLS)
            .map(|at| {
                let (to, request) = (harness.operators(at), order(take_outs[at]));
                scope.spawn(move || call(to, &request).map(|r| r.status))
            })
            .collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    })
}

// A control instance that woke had an order committed that was superseded while it stood still.
#[rstest]
#[case::follower_wakes_with_finish(241, false, false)]
#[case::follower_wakes_with_begin(242, false, true)]
#[case::leader_wakes_with_finish(243, true, false)]
#[case::leader_wakes_with_begin(244, true, true)]
fn superseded_order_obeyed(#[case] net: u8, #[case] leads: bool, #[case] take_out: bool) {
    let (harness, leader) = start(net);
    let frozen = if leads { leader } else { (leader + 1) % CONTROLS };
    let others: Vec<_> = (0..CONTROLS).filter(|at| *at != frozen).collect();
    must_order(&harness, &others, &order(!take_out));
    harness.signal(frozen, Signal::STOP);
    let mut given_up = RawClient::connect(harness.operators(frozen)).unwrap();
    given_up.send(order(take_out)).unwrap();
    drop(given_up);
    must_order(&harness, &others, &order(take_out));
    must_order(&harness, &others, &order(!take_out));
    harness.signal(frozen, Signal::CONT);
    let until = Instant::now() + SETTLE_TIME;
    wait_caught_up(&harness, frozen, &others);
    wait_taken_out(&harness, !take_out);
    while Instant::now() < until {
        for at in 0..CONTROLS {
            let taken_out = is_taken_out(&harness, at, CENTRE);
            assert!(taken_out.is_none_or(|t| t != take_out), "{at}:\n{}", harness.logs());
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn orders_follow_one_another() {
    let (harness, _) = start(245);
    for round in 0..6 {
        let take_out = round % 2 == 0;
        // Each instance gets a copy, as from an operator whose acknowledgements are lost.
        let statuses = order_at_once(&harness, [take_out; CONTROLS]);
        assert!(statuses.iter().all(|s| *s == Some(200)), "{round}: {statuses:?}");
        wait_taken_out(&harness, take_out);
    }
}

#[test]
fn opposite_orders_at_once() {
    let (harness, _) = start(246);
    for round in 0..4 {
        let statuses = order_at_once(&harness, [true, false, true]);
        assert!(statuses.iter().all(|s| *s == Some(200)), "{round}: {statuses:?}");
        let same = || {
            let all: Vec<_> = (0..CONTROLS).map(|at| is_taken_out(&harness, at, CENTRE)).collect();
            (all[0].is_some() && all.iter().all(|s| *s == all[0])).then_some(())
        };
        eventually(&harness, "not the same everywhere", same);
    }
}
