//! Restarts detected from the incarnations that a target names, in any order of arrival.

mod common;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::message::GrantId;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::Warmth;

use common::LATENCY;
use common::answered;
use common::at;
use common::document;
use common::member;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

/// Creates a router whose only target is proved warm at incarnation 1.
fn router() -> Router {
    warm_router(&document(16, &[("w", 1)]), &[target("t", "a")], RouterSettings::default())
}

/// Returns the outcome of an answered call that named `incarnation`, if any.
fn answered_by(incarnation: Option<u64>) -> CallOutcome {
    CallOutcome::Answered { latency: LATENCY, tokens: 0, incarnation: incarnation.map(Incarnation) }
}

fn report(incarnation: u64) -> LoadReport {
    LoadReport { incarnation: Some(Incarnation(incarnation)), ..LoadReport::default() }
}

fn warmth(router: &Router) -> Warmth {
    router.status(&"t".into()).unwrap().warmth
}

/// Grants the router's request and returns the permit of a call under that grant.
fn granted(router: &mut Router, millis: u64) -> (Permit, GrantId) {
    let waiting = request(u128::from(millis), "w");
    let _ = router.choose(at(millis), &waiting);
    let requests = router.take_messages(at(millis + 20)).into_iter();
    let numbers = requests.filter_map(|o| match o.message {
        GrantMessage::Request { number, .. } => Some(number),
        _ => None,
    });
    let number = numbers.last().expect("no grant was requested");
    let grant = GrantId { issuer: member("a"), number };
    let granted = GrantMessage::Granted {
        number,
        grant: grant.clone(),
        target: "t".into(),
        lasts: LATENCY * 50,
    };
    router.handle_message(at(millis + 21), &granted);
    let mut ready = router.take_ready(at(millis + 21));
    (sent(ready.remove(0).decision), grant)
}

fn confirm_warm(router: &mut Router, millis: u64, grant: GrantId, incarnation: Option<u64>) {
    let incarnation = incarnation.map(Incarnation);
    let warm = GrantMessage::Warm { grant, target: "t".into(), incarnation };
    router.handle_message(at(millis), &warm);
}

#[test]
fn late_answer_does_not_hide_a_restart() {
    let mut router = router();
    let early = sent(router.choose(at(1), &request(1, "w")));
    router.report_load(at(2), &"t".into(), report(2));
    assert_eq!(warmth(&router), Warmth::Suspect);
    let (permit, grant) = granted(&mut router, 3);
    router.finish_call(at(200), permit, answered_by(Some(2)));
    router.finish_call(at(201), early, answered());
    confirm_warm(&mut router, 202, grant, Some(2));
    assert_eq!(warmth(&router), Warmth::Warm, "the answer of incarnation 1 was late");
    router.report_load(at(203), &"t".into(), report(1));
    assert_eq!(warmth(&router), Warmth::Warm, "and so was its report");
    router.report_load(at(204), &"t".into(), report(3));
    assert_eq!(warmth(&router), Warmth::Suspect);
}

#[test]
fn report_shows_a_restart_if_answers_name_no_incarnation() {
    let mut router = router();
    for millis in 1..20 {
        let permit = sent(router.choose(at(millis), &request(u128::from(millis), "w")));
        router.finish_call(at(millis), permit, answered_by(None));
    }
    assert_eq!(warmth(&router), Warmth::Warm, "an answer without an incarnation isn't suspicious");
    router.report_load(at(20), &"t".into(), report(2));
    assert_eq!(warmth(&router), Warmth::Suspect);
    let (permit, grant) = granted(&mut router, 21);
    router.finish_call(at(200), permit, answered_by(None));
    confirm_warm(&mut router, 201, grant, None);
    assert_eq!(warmth(&router), Warmth::Warm, "answers without an incarnation prove it warm");
}

#[test]
fn warm_call_is_bound_to_the_proved_incarnation() {
    let mut router = router();
    let permit = sent(router.choose(at(1), &request(1, "w")));
    assert_eq!(permit.incarnation, Some(Incarnation(1)));
    router.report_incarnation(at(2), &permit, Incarnation(2));
    assert_eq!(warmth(&router), Warmth::Suspect, "reported before the call has ended");
    router.finish_call(at(3), permit, answered_by(Some(2)));
    let (permit, _) = granted(&mut router, 4);
    assert_eq!(permit.incarnation, None, "a call under a grant may reach any incarnation");
}
