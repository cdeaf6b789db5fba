//! Reused connections that make no progress: when a call is sent again, and how often.

mod common;

use std::time::Duration;

use hawthornkeel_core::routing::AttemptKind;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;

use common::LATENCY;
use common::answered;
use common::at;
use common::document;
use common::grant;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

/// Retries allowed in one burst.
const BURST: f64 = 5.0;
/// Retries allowed per first call.
const SHARE: f64 = 0.1;

fn router() -> Router {
    let set =
        RouterSettings { retry_share: SHARE, retry_burst: BURST, ..RouterSettings::default() };
    warm_router(&document(64, &[("w", 1)]), &[target("t0", "a"), target("t1", "b")], set)
}

fn first(router: &mut Router, number: u128) -> Permit {
    sent(router.choose(at(1), &request(number, "w")))
}

/// A call waited for a silent connection for 4.8 s, whatever its target's usual time.
#[test]
fn limit_follows_latency() {
    let mut router = router();
    let permit = first(&mut router, 1);
    let (limit, hedge) = (router.silence_limit(&permit), router.hedge_delay(&permit));
    let limit = limit.unwrap();
    assert!(limit >= LATENCY * 10 && limit <= LATENCY * 12, "{limit:?}");
    assert!(hedge.unwrap() < limit, "a hedge comes first");
}

/// A resend of a call to a cold target would run outside of its grant.
#[test]
fn cold_calls_wait() {
    let mut router = router();
    router.connection_lost(at(1), &"t0".into());
    grant(&mut router, at(1));
    let cold = first(&mut router, 1);
    assert!(cold.grant.is_some());
    assert_eq!(router.silence_limit(&cold), None);
}

/// A target that is only slow got each call twice.
#[test]
fn resends_are_bounded() {
    let mut router = router();
    let (calls, mut resends) = (500, 0.0);
    for number in 0..calls {
        let permit = first(&mut router, number);
        if router.take_resend(&permit) {
            resends += 1.0;
        }
        router.finish_call(at(1), permit, answered());
    }
    let budget = BURST + SHARE * calls as f64;
    assert!(resends >= budget - 1.0 && resends <= budget, "{resends} of {budget}");
}

/// Resends took the hedges of the calls that another target could have answered.
#[test]
fn resends_leave_hedges() {
    let mut router = router();
    let permit = first(&mut router, 1);
    while router.take_resend(&permit) {}
    let mut hedge = request(1, "w");
    hedge.call.attempt.0 = 1;
    (hedge.kind, hedge.excluded) = (AttemptKind::Hedge, vec![permit.target.clone()]);
    let decision = router.choose(at(300), &hedge);
    assert!(matches!(decision, Decision::Send { .. }), "{decision:?}");
    assert!(router.silence_limit(&permit).is_some_and(|limit| limit > Duration::ZERO));
}
