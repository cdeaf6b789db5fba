//! Draining targets and data centres that are taken out get no new calls, and a late list doesn't
//! change that.

mod common;

use std::time::Duration;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Lifecycle;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::Reason;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::routing::Warmth;

use common::answered;
use common::at;
use common::document;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

/// Returns a near and a far target.
fn targets() -> [TargetInfo; 2] {
    [target("near", "a"), target("far", "b")]
}

/// Creates a router with both targets proved warm.
fn router() -> Router {
    warm_router(&document(16, &[("w", 1)]), &targets(), RouterSettings::default())
}

/// Sends a call and returns its target and the reason of the choice.
fn send_call(router: &mut Router, millis: u64, number: u128) -> (String, Reason) {
    let mut call = request(number, "w");
    call.deadline = at(millis + 8_000);
    match router.choose(at(millis), &call) {
        Decision::Send { target, permit, reason, .. } => {
            router.finish_call(at(millis), permit, answered());
            (target.as_str().to_owned(), reason)
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn near_target_is_preferred() {
    let (name, reason) = send_call(&mut router(), 1, 1);
    assert_eq!((name.as_str(), reason), ("near", Reason::Near));
}

#[test]
fn target_listed_as_draining_gets_no_new_calls() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    let mut list = targets();
    list[0].lifecycle = Lifecycle::Draining;
    router.update_targets(at(2), &list);
    assert_eq!(send_call(&mut router, 3, 2), ("far".to_owned(), Reason::NearGone));
    router.finish_call(at(4), permit, answered());
    assert_eq!(send_call(&mut router, 5, 3).0, "far", "an answer doesn't end the draining");
}

#[test]
fn own_report_of_draining_overrides_a_late_list() {
    let mut router = router();
    let report = LoadReport { draining: true, ..LoadReport::default() };
    router.report_load(at(1), &"near".into(), report);
    router.update_targets(at(2), &targets());
    assert_eq!(send_call(&mut router, 3, 1).0, "far");
    router.report_load(at(4), &"near".into(), LoadReport::default());
    assert_eq!(send_call(&mut router, 5, 2).0, "far", "a late report doesn't end the draining");
    let new = LoadReport { incarnation: Some(Incarnation(2)), ..LoadReport::default() };
    router.report_load(at(6), &"near".into(), new);
    let status = router.status(&"near".into()).unwrap();
    assert!(status.accepts_work, "a new process accepts work");
    assert_eq!(status.warmth, Warmth::Suspect);
}

#[test]
fn unlisted_target_that_answers_is_kept() {
    let mut router = router();
    for second in 1..120 {
        router.update_targets(at(second * 1_000), &targets()[1..]);
        assert_eq!(send_call(&mut router, second * 1_000, u128::from(second)).0, "near");
    }
}

#[test]
fn unlisted_target_without_answers_is_dropped() {
    let mut router = router();
    router.update_targets(at(31_000), &targets()[1..]);
    assert!(router.status(&"near".into()).is_none());
    assert_eq!(send_call(&mut router, 31_001, 1).0, "far");
}

#[test]
fn unlisted_target_with_a_call_in_flight_is_kept() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    router.update_targets(at(31_000), &targets()[1..]);
    assert!(router.status(&"near".into()).is_some());
    router.finish_call(at(31_001), permit, answered());
    assert_eq!(router.status(&"near".into()).unwrap().running, 0);
}

#[test]
fn refused_connection_marks_the_target_down_at_once() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    router.finish_call(at(2), permit, CallOutcome::ConnectFailed);
    assert_eq!(send_call(&mut router, 3, 2).0, "far");
}

#[test]
fn taken_out_data_centre_gets_no_new_calls_until_brought_back() {
    let mut router = router();
    router.set_taken_out(at(1), &["a".into()]);
    assert_eq!(send_call(&mut router, 2, 1), ("far".to_owned(), Reason::NearGone));
    let mut list = targets().to_vec();
    list.push(target("new", "a"));
    router.update_targets(at(3), &list);
    assert!(
        !router.status(&"new".into()).unwrap().accepts_work,
        "its new targets get no calls either"
    );
    router.set_taken_out(at(4), &[]);
    assert_eq!(send_call(&mut router, 5, 2).0, "near");
}

#[test]
fn calls_wait_until_any_target_returns() {
    let mut router = router();
    router.set_taken_out(at(1), &["a".into(), "b".into()]);
    let decision = router.choose(at(2), &request(1, "w"));
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    router.set_taken_out(at(500), &["a".into()]);
    let ready = router.take_ready(at(500) + Duration::from_millis(1));
    assert!(matches!(ready[0].decision, Decision::Send { .. }), "{ready:?}");
}
