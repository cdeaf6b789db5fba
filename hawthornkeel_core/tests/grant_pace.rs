//! Timing of an entry's grant requests for a cold target.

use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::Workspace;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::message::GrantId;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::StageRequest;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::routing::router::EntryInfo;
use hawthornkeel_core::routing::types::CallOutcome;
use hawthornkeel_core::routing::types::Permit;
use hawthornkeel_core::time::Instant;

/// Interval at which a router's messages are taken, in milliseconds.
const STEP_MS: u64 = 10;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn issuer() -> MemberId {
    MemberId { name: "entry-1".into(), boot: 1 }
}

/// Returns the router of an entry with one cold target and a known issuer.
fn router() -> Router {
    let own = EntryInfo { id: MemberId::default(), centre: "dc-0".into() };
    let mut router = Router::new(RouterSettings::default(), LeaseSettings::default(), own.clone());
    let pool = Pool { name: "readers".into(), ..Pool::default() };
    let workspace = Workspace { name: "makers".into(), ..Workspace::default() };
    let document =
        Document { pools: vec![pool], workspaces: vec![workspace], ..Document::default() };
    router.set_entries(at(0), &[own]);
    router.apply_document(&document);
    let target = TargetInfo {
        name: "readers-0".into(),
        address: "127.0.0.1:1".into(),
        pool: "readers".into(),
        centre: "dc-0".into(),
        ..TargetInfo::default()
    };
    router.update_targets(at(0), &[target]);
    let announce = GrantMessage::Announce { centre: "dc-0".into(), issuer: issuer(), term: 1 };
    router.handle_message(at(0), &announce);
    router
}

fn request(number: u128) -> StageRequest {
    StageRequest {
        call: CallId { request: RequestId(number), ..CallId::default() },
        workspace: "makers".into(),
        pool: "readers".into(),
        deadline: at(8_000),
        ..StageRequest::default()
    }
}

/// Returns the number of the grant request sent at `now`, if any.
fn requested_number(router: &mut Router, now: Instant) -> Option<u64> {
    router.take_messages(now).into_iter().find_map(|m| match m.message {
        GrantMessage::Request { number, .. } => Some(number),
        _ => None,
    })
}

/// Grants request `number` and returns the permit of the call that waited for it.
fn grant(router: &mut Router, now: Instant, number: u64) -> Permit {
    let grant = GrantId { issuer: issuer(), number };
    let lasts = LeaseSettings::default().grant_duration;
    let granted = GrantMessage::Granted { number, grant, target: "readers-0".into(), lasts };
    router.handle_message(now, &granted);
    let ready = router.take_ready(now).into_iter().next().expect("the waiting call");
    match ready.decision {
        Decision::Send { permit, .. } => permit,
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn next_grant_is_requested_immediately() {
    let mut router = router();
    for number in 1..=2 {
        let decision = router.choose(at(1), &request(number));
        assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    }
    let first = requested_number(&mut router, at(1)).expect("a first request");
    let permit = grant(&mut router, at(2), first);
    let latency = Duration::from_millis(20);
    router.finish_call(
        at(22),
        permit,
        CallOutcome::Answered { latency, tokens: 0, incarnation: None },
    );
    let next = requested_number(&mut router, at(22 + STEP_MS));
    assert!(next.is_some_and(|n| n > first), "{next:?} after {first}");
}

#[test]
fn unanswered_request_is_resent_after_the_timeout() {
    let mut router = router();
    router.choose(at(1), &request(1));
    let first = requested_number(&mut router, at(1)).expect("a first request");
    let resend = LeaseSettings::default().resend_timeout.as_millis() as u64;
    for millis in (1 + STEP_MS..1 + resend).step_by(STEP_MS as usize) {
        assert_eq!(requested_number(&mut router, at(millis)), None, "at {millis} ms");
    }
    assert_eq!(requested_number(&mut router, at(1 + resend)), Some(first));
}
