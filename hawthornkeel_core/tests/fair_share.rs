//! Waiting calls are served by the weights of their workspaces and refused once they can't meet
//! their deadline.

mod common;

use std::time::Duration;

use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Reason;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::time::Instant;

use common::answered;
use common::at;
use common::document;
use common::request;
use common::target;
use common::warm_router;

/// Serves `count` waiting calls one by one. Returns how many are of the small workspace, whose
/// request numbers start at `small_from`.
fn count_small(
    router: &mut Router,
    mut running: Vec<Permit>,
    small_from: u128,
    count: usize,
) -> usize {
    let (mut now, mut small) = (at(0), 0);
    for _ in 0..count {
        now = now + Duration::from_millis(1);
        router.finish_call(now, running.remove(0), answered());
        for ready in router.take_ready(now) {
            let Decision::Send { permit, .. } = ready.decision else {
                panic!("refused: {ready:?}");
            };
            small += usize::from(ready.call.request.0 >= small_from);
            running.push(permit);
        }
    }
    small
}

/// Fills the target, then queues `large` calls of one workspace before `small` calls of another.
fn contended(large: u128, small: u128) -> (Router, Vec<Permit>) {
    let document = document(4, &[("large", 3), ("small", 1)]);
    let mut router = warm_router(&document, &[target("t", "a")], RouterSettings::default());
    let mut running = Vec::new();
    for number in 0..large + small {
        let workspace = if number < large { "large" } else { "small" };
        if let Decision::Send { permit, .. } = router.choose(at(0), &request(number, workspace)) {
            running.push(permit);
        }
    }
    assert_eq!(running.len(), 4, "the target's limit is in use");
    (router, running)
}

#[test]
fn large_workspace_does_not_starve_a_small_one() {
    let (mut router, running) = contended(150, 40);
    let small = count_small(&mut router, running, 150, 40);
    assert!((9..=11).contains(&small), "{small} of 40 for a weight of 1 in 4");
}

#[test]
fn only_workspace_gets_all_capacity() {
    let (mut router, running) = contended(60, 0);
    assert_eq!(count_small(&mut router, running, 0, 40), 40);
}

#[test]
fn call_that_cannot_meet_its_deadline_is_refused_at_once() {
    let (mut router, _running) = contended(400, 0);
    let decision = router.choose(at(0), &request(999, "large"));
    let Decision::Refuse { reason, retry_after, .. } = decision else {
        panic!("{decision:?}");
    };
    assert_eq!(reason, Reason::Deadline);
    assert!(retry_after >= Duration::from_secs(1), "{retry_after:?}");
}

#[test]
fn small_workspace_waits_less_than_a_large_one() {
    let (mut router, _running) = contended(150, 0);
    let mut soon = request(999, "small");
    soon.deadline = at(1_000);
    let decision = router.choose(at(0), &soon);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
}

#[test]
fn waiting_call_is_refused_at_its_expiry() {
    let (mut router, _running) = contended(8, 0);
    let end: Instant = at(8_000);
    let ready = router.take_ready(end);
    assert_eq!(ready.len(), 4);
    let refused = |d: &Decision| matches!(d, Decision::Refuse { reason: Reason::Deadline, .. });
    assert!(ready.iter().all(|r| refused(&r.decision)));
}

#[test]
fn cancelled_call_leaves_the_queue() {
    let (mut router, _running) = contended(5, 0);
    assert!(router.cancel(at(1), request(4, "large").call));
    assert!(!router.cancel(at(1), request(4, "large").call));
    assert!(router.take_ready(at(8_000)).is_empty());
}
