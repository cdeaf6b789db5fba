//! Leaving targets and data centres that were taken out get nothing new; late lists harm nothing.

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

/// Creates a router that has proved both targets warm.
fn router() -> Router {
    warm_router(&document(16, &[("w", 1)]), &targets(), RouterSettings::default())
}

/// Returns the target that a call goes to, and why.
fn goes_to(router: &mut Router, millis: u64, number: u128) -> (String, Reason) {
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
fn near_target_goes_first() {
    let (name, reason) = goes_to(&mut router(), 1, 1);
    assert_eq!((name.as_str(), reason), ("near", Reason::Near));
}

#[test]
fn leaving_by_the_list_gets_nothing_new() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    let mut list = targets();
    list[0].lifecycle = Lifecycle::Draining;
    router.update_targets(at(2), &list);
    assert_eq!(goes_to(&mut router, 3, 2), ("far".to_owned(), Reason::NearGone));
    router.finish_call(at(4), permit, answered());
    assert_eq!(goes_to(&mut router, 5, 3).0, "far", "an answer doesn't bring it back");
}

#[test]
fn own_mark_wins_over_a_late_list() {
    let mut router = router();
    let report = LoadReport { draining: true, ..LoadReport::default() };
    router.report_load(at(1), &"near".into(), report);
    router.update_targets(at(2), &targets());
    assert_eq!(goes_to(&mut router, 3, 1).0, "far");
    router.report_load(at(4), &"near".into(), LoadReport::default());
    assert_eq!(goes_to(&mut router, 5, 2).0, "far", "a late report doesn't take the mark back");
    let new = LoadReport { incarnation: Some(Incarnation(2)), ..LoadReport::default() };
    router.report_load(at(6), &"near".into(), new);
    let status = router.status(&"near".into()).unwrap();
    assert!(status.accepts_work, "a new process may take work");
    assert_eq!(status.warmth, Warmth::Suspect);
}

#[test]
fn absence_from_the_list_stops_nothing_that_answers() {
    let mut router = router();
    for second in 1..120 {
        router.update_targets(at(second * 1_000), &targets()[1..]);
        assert_eq!(goes_to(&mut router, second * 1_000, u128::from(second)).0, "near");
    }
}

#[test]
fn absent_and_silent_target_is_dropped() {
    let mut router = router();
    router.update_targets(at(31_000), &targets()[1..]);
    assert!(router.status(&"near".into()).is_none());
    assert_eq!(goes_to(&mut router, 31_001, 1).0, "far");
}

#[test]
fn absent_target_with_a_call_in_flight_is_kept() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    router.update_targets(at(31_000), &targets()[1..]);
    assert!(router.status(&"near".into()).is_some());
    router.finish_call(at(31_001), permit, answered());
    assert_eq!(router.status(&"near".into()).unwrap().running, 0);
}

#[test]
fn refused_connection_counts_at_once() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    router.finish_call(at(2), permit, CallOutcome::ConnectFailed);
    assert_eq!(goes_to(&mut router, 3, 2).0, "far");
}

#[test]
fn taken_out_data_centre_gets_nothing_new_until_it_returns() {
    let mut router = router();
    router.set_taken_out(at(1), &["a".into()]);
    assert_eq!(goes_to(&mut router, 2, 1), ("far".to_owned(), Reason::NearGone));
    let mut list = targets().to_vec();
    list.push(target("new", "a"));
    router.update_targets(at(3), &list);
    assert!(!router.status(&"new".into()).unwrap().accepts_work, "nor do its new targets");
    router.set_taken_out(at(4), &[]);
    assert_eq!(goes_to(&mut router, 5, 2).0, "near");
}

#[test]
fn all_targets_gone_lets_calls_wait_until_one_returns() {
    let mut router = router();
    router.set_taken_out(at(1), &["a".into(), "b".into()]);
    let decision = router.choose(at(2), &request(1, "w"));
    assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    router.set_taken_out(at(500), &["a".into()]);
    let ready = router.take_ready(at(500) + Duration::from_millis(1));
    assert!(matches!(ready[0].decision, Decision::Send { .. }), "{ready:?}");
}
