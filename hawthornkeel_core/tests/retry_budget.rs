//! Repeated calls come from a budget, and wait while the whole pool fails.

mod common;

use std::time::Duration;

use hawthornkeel_core::routing::AttemptKind;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Reason;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::time::Instant;

use common::answered;
use common::at;
use common::document;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

/// Creates a router with two warm targets in two data centres.
fn router(settings: RouterSettings) -> Router {
    let targets = [target("t0", "a"), target("t1", "b")];
    warm_router(&document(64, &[("w", 1)]), &targets, settings)
}

/// Makes `count` first calls at one point, and returns the repeated calls that were sent.
fn storm(router: &mut Router, count: u128) -> usize {
    let now = at(10);
    let mut repeated = 0;
    for number in 0..count {
        let Decision::Send { permit, .. } = router.choose(now, &request(number, "w")) else {
            continue;
        };
        // A good call after each failed one keeps the pool from counting as down.
        router.finish_call(now, permit, CallOutcome::Truncated);
        if let Decision::Send { permit, .. } = router.choose(now, &request(1 << 32 | number, "w")) {
            router.finish_call(now, permit, answered());
        }
        let mut again = request(number, "w");
        again.kind = AttemptKind::Retry;
        again.call.attempt.0 = 1;
        let mut decisions = vec![router.choose(now, &again)];
        decisions.extend(router.take_ready(now).into_iter().map(|r| r.decision));
        for decision in decisions {
            if let Decision::Send { permit, .. } = decision {
                repeated += usize::from(permit.call.attempt.0 == 1);
                router.finish_call(now, permit, answered());
            }
        }
    }
    repeated
}

#[test]
fn repeated_calls_stay_within_their_share() {
    let set = RouterSettings { retry_share: 0.1, retry_burst: 5.0, ..RouterSettings::default() };
    let mut router = router(set);
    let repeated = storm(&mut router, 500);
    assert!(repeated >= 50, "{repeated}");
    assert!(repeated <= 5 + 100, "{repeated} repeated for 1,000 first calls");
}

#[test]
fn repeated_call_goes_to_another_data_centre() {
    let mut router = router(RouterSettings::default());
    let permit = sent(router.choose(at(1), &request(1, "w")));
    let first = permit.target.clone();
    router.finish_call(at(1), permit, CallOutcome::Truncated);
    let mut again = request(1, "w");
    (again.kind, again.excluded) = (AttemptKind::Retry, vec![first.clone()]);
    let permit = sent(router.choose(at(1), &again));
    assert_ne!(permit.target, first);
}

#[test]
fn repeated_calls_wait_while_the_pool_fails() {
    let mut router = router(RouterSettings::default());
    for number in 0..4 {
        let permit = sent(router.choose(at(1), &request(number, "w")));
        router.finish_call(at(1), permit, CallOutcome::Failed);
    }
    let mut again = request(0, "w");
    again.kind = AttemptKind::Retry;
    let decision = router.choose(at(2), &again);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let mut now: Instant = at(2);
    let mut answered_once = false;
    for number in 10..200 {
        now = now + Duration::from_millis(20);
        for ready in router.take_ready(now) {
            if ready.call == again.call {
                assert!(answered_once, "sent before the pool answered");
                return;
            }
            router.finish_call(now, sent(ready.decision), answered());
            answered_once = true;
        }
        if let Decision::Send { permit, .. } = router.choose(now, &request(number, "w")) {
            router.finish_call(now, permit, answered());
            answered_once = true;
        }
    }
    panic!("the repeated call was never sent");
}

#[test]
fn failures_in_a_row_hold_repeated_calls_back_from_untried_targets() {
    let mut router = router(RouterSettings::default());
    for number in 0..2 {
        let permit = sent(router.choose(at(1), &request(number, "w")));
        assert_eq!(permit.target.as_str(), "t0");
        router.finish_call(at(1), permit, CallOutcome::Failed);
    }
    let mut again = request(0, "w");
    (again.kind, again.excluded) = (AttemptKind::Retry, vec!["t0".into()]);
    let decision = router.choose(at(2), &again);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let permit = sent(router.choose(at(3), &request(5, "w")));
    assert_eq!(permit.target.as_str(), "t1", "a first call tries the pool");
    router.finish_call(at(103), permit, answered());
    let ready = router.take_ready(at(104));
    assert!(ready.iter().any(|r| r.call == again.call), "{ready:?}");
}

#[test]
fn hedges_stay_within_their_share() {
    let set = RouterSettings { hedge_share: 0.02, ..RouterSettings::default() };
    let mut router = router(set);
    let mut hedged = 0;
    for number in 0..1_000 {
        let permit = sent(router.choose(at(1), &request(number, "w")));
        let mut hedge = request(number, "w");
        (hedge.kind, hedge.excluded) = (AttemptKind::Hedge, vec![permit.target.clone()]);
        match router.choose(at(1), &hedge) {
            Decision::Send { permit: second, .. } => {
                assert_ne!(second.target, permit.target);
                hedged += 1;
                router.finish_call(at(1), second, CallOutcome::Cancelled);
            }
            Decision::Refuse { reason, .. } => assert_eq!(reason, Reason::HedgeBudget),
            Decision::Wait { .. } => panic!("a hedge never waits"),
        }
        router.finish_call(at(1), permit, answered());
    }
    assert!((15..=25).contains(&hedged), "{hedged}");
}

#[test]
fn call_that_did_not_run_costs_no_budget() {
    let set = RouterSettings { retry_share: 0.0, retry_burst: 0.0, ..RouterSettings::default() };
    let mut router = router(set);
    let mut again = request(1, "w");
    again.kind = AttemptKind::SafeRetry;
    sent(router.choose(at(1), &again));
    again.kind = AttemptKind::Retry;
    assert!(matches!(router.choose(at(1), &again), Decision::Wait { .. }));
    let ready = router.take_ready(at(8_000));
    let refused = |d: &Decision| matches!(d, Decision::Refuse { reason: Reason::RetryBudget, .. });
    assert!(ready.iter().any(|r| refused(&r.decision)), "{ready:?}");
}
