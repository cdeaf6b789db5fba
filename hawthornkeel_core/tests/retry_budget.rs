//! Retries are charged to a budget and wait while the whole pool is failing.

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

/// Fails and retries `count` first calls at one instant. Returns the number of retries sent.
fn send_retries(router: &mut Router, count: u128) -> usize {
    let now = at(10);
    let mut retries = 0;
    for number in 0..count {
        let Decision::Send { permit, .. } = router.choose(now, &request(number, "w")) else {
            continue;
        };
        // An answered call after each failed one keeps the pool from counting as failing.
        router.finish_call(now, permit, CallOutcome::Truncated);
        if let Decision::Send { permit, .. } = router.choose(now, &request(1 << 32 | number, "w")) {
            router.finish_call(now, permit, answered());
        }
        let mut retry = request(number, "w");
        retry.kind = AttemptKind::Retry;
        retry.call.attempt.0 = 1;
        let mut decisions = vec![router.choose(now, &retry)];
        decisions.extend(router.take_ready(now).into_iter().map(|r| r.decision));
        for decision in decisions {
            if let Decision::Send { permit, .. } = decision {
                retries += usize::from(permit.call.attempt.0 == 1);
                router.finish_call(now, permit, answered());
            }
        }
    }
    retries
}

#[test]
fn retries_stay_within_their_share() {
    let set = RouterSettings { retry_share: 0.1, retry_burst: 5.0, ..RouterSettings::default() };
    let mut router = router(set);
    let retries = send_retries(&mut router, 500);
    assert!(retries >= 50, "{retries}");
    assert!(retries <= 5 + 100, "{retries} retries for 1,000 first calls");
}

#[test]
fn retry_goes_to_another_data_centre() {
    let mut router = router(RouterSettings::default());
    let permit = sent(router.choose(at(1), &request(1, "w")));
    let first = permit.target.clone();
    router.finish_call(at(1), permit, CallOutcome::Truncated);
    let mut retry = request(1, "w");
    (retry.kind, retry.excluded) = (AttemptKind::Retry, vec![first.clone()]);
    let permit = sent(router.choose(at(1), &retry));
    assert_ne!(permit.target, first);
}

#[test]
fn retries_wait_while_the_pool_is_failing() {
    let mut router = router(RouterSettings::default());
    for number in 0..4 {
        let permit = sent(router.choose(at(1), &request(number, "w")));
        router.finish_call(at(1), permit, CallOutcome::Failed);
    }
    let mut retry = request(0, "w");
    retry.kind = AttemptKind::Retry;
    let decision = router.choose(at(2), &retry);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let mut now: Instant = at(2);
    let mut answered_once = false;
    for number in 10..200 {
        now = now + Duration::from_millis(20);
        for ready in router.take_ready(now) {
            if ready.call == retry.call {
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
    panic!("the retry was never sent");
}

#[test]
fn consecutive_failures_delay_retries_to_untried_targets() {
    let mut router = router(RouterSettings::default());
    for number in 0..2 {
        let permit = sent(router.choose(at(1), &request(number, "w")));
        assert_eq!(permit.target.as_str(), "t0");
        router.finish_call(at(1), permit, CallOutcome::Failed);
    }
    let mut retry = request(0, "w");
    (retry.kind, retry.excluded) = (AttemptKind::Retry, vec!["t0".into()]);
    let decision = router.choose(at(2), &retry);
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    let permit = sent(router.choose(at(3), &request(5, "w")));
    assert_eq!(permit.target.as_str(), "t1", "a first call probes the pool");
    router.finish_call(at(103), permit, answered());
    let ready = router.take_ready(at(104));
    assert!(ready.iter().any(|r| r.call == retry.call), "{ready:?}");
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
fn retry_of_a_call_that_did_not_run_costs_no_budget() {
    let set = RouterSettings { retry_share: 0.0, retry_burst: 0.0, ..RouterSettings::default() };
    let mut router = router(set);
    let mut retry = request(1, "w");
    retry.kind = AttemptKind::SafeRetry;
    sent(router.choose(at(1), &retry));
    retry.kind = AttemptKind::Retry;
    assert!(matches!(router.choose(at(1), &retry), Decision::Wait { .. }));
    let ready = router.take_ready(at(8_000));
    let refused = |d: &Decision| matches!(d, Decision::Refuse { reason: Reason::RetryBudget, .. });
    assert!(ready.iter().any(|r| refused(&r.decision)), "{ready:?}");
}
