//! A pool that the document no longer names is kept until its last admitted request has ended.

mod common;

use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::routing::Admission;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Reason;
use hawthornkeel_core::routing::RequestPlan;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;

use common::answered;
use common::at;
use common::document;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

/// Creates a router with one warm target that sustains one call.
fn router() -> Router {
    warm_router(&document(1, &[("w", 1)]), &[target("t0", "a")], RouterSettings::default())
}

/// Admits request `number` to the pool `p`.
fn admit(router: &mut Router, number: u128) {
    let plan = RequestPlan {
        request: RequestId(number),
        workspace: "w".into(),
        pools: vec!["p".into()],
        deadline: at(8_000),
        floor: Duration::from_millis(1),
    };
    assert_eq!(router.admit(at(0), &plan), Admission::Admitted);
}

#[test]
fn waiting_call_of_a_removed_pool_is_decided() {
    let mut router = router();
    admit(&mut router, 1);
    admit(&mut router, 2);
    let permit = sent(router.choose(at(0), &request(1, "w")));
    let waits = router.choose(at(0), &request(2, "w"));
    assert!(matches!(waits, Decision::Wait { .. }), "{waits:?}");
    router.apply_document(&Document::default());
    router.finish_call(at(100), permit, answered());
    let ready = router.take_ready(at(100));
    assert!(ready.iter().any(|r| r.call == request(2, "w").call), "not decided: {ready:?}");
}

#[test]
fn removed_pool_serves_admitted_requests_until_the_last() {
    let mut router = router();
    admit(&mut router, 1);
    admit(&mut router, 2);
    router.apply_document(&Document::default());
    router.update_targets(at(0), &[target("t0", "a")]);
    let permit = sent(router.choose(at(0), &request(1, "w")));
    router.finish_call(at(100), permit, answered());
    router.finish_request(at(100), RequestId(1));
    assert_eq!(router.subset_size(&"p".into()), 1, "the second request still needs the pool");
    router.finish_request(at(200), RequestId(2));
    assert_eq!(router.subset_size(&"p".into()), 0);
    let late = router.choose(at(200), &request(3, "w"));
    assert!(matches!(late, Decision::Refuse { reason: Reason::UnknownPool, .. }), "{late:?}");
}

#[test]
fn pool_named_again_is_kept() {
    let mut router = router();
    admit(&mut router, 1);
    router.apply_document(&Document::default());
    router.apply_document(&document(1, &[("w", 1)]));
    router.finish_request(at(100), RequestId(1));
    sent(router.choose(at(100), &request(2, "w")));
}
