//! Helpers of the routing tests: one entry with targets that are proved warm.
#![allow(dead_code)]

use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::Workspace;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::message::GrantId;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::StageRequest;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::routing::Warmth;
use hawthornkeel_core::time::Instant;

/// Duration of a call in these tests.
pub const LATENCY: Duration = Duration::from_millis(100);

/// Returns a member on its first boot.
pub fn member(name: &str) -> MemberId {
    MemberId { name: name.into(), boot: 1 }
}

/// Time before the start of a test in which targets are warmed up, in milliseconds.
const WARM_UP_MILLIS: u64 = 20_000;

/// Returns the instant `millis` after the start.
pub fn at(millis: u64) -> Instant {
    Instant::from_millis(WARM_UP_MILLIS + millis)
}

/// Returns a target in the pool `p`.
pub fn target(name: &str, centre: &str) -> TargetInfo {
    TargetInfo {
        name: name.into(),
        address: name.into(),
        pool: "p".into(),
        centre: centre.into(),
        ..TargetInfo::default()
    }
}

/// Returns a document with the pool `p` and workspaces with the given weights.
pub fn document(warm_limit: u32, weights: &[(&str, u32)]) -> Document {
    let workspace = |(name, weight): &(&str, u32)| Workspace {
        name: (*name).into(),
        weight: *weight,
        ..Workspace::default()
    };
    Document {
        workspaces: weights.iter().map(workspace).collect(),
        pools: vec![Pool { name: "p".into(), warm_limit, ..Pool::default() }],
        ..Document::default()
    }
}

/// Returns the first call of request `number`, due 8 s after the start.
pub fn request(number: u128, workspace: &str) -> StageRequest {
    StageRequest {
        call: CallId {
            request: RequestId(number),
            stage: StageIndex(0),
            attempt: AttemptNumber(0),
        },
        workspace: workspace.into(),
        pool: "p".into(),
        deadline: at(8_000),
        floor: Duration::from_millis(1),
        ..StageRequest::default()
    }
}

/// Returns the outcome of a call answered by incarnation 1.
pub fn answered() -> CallOutcome {
    CallOutcome::Answered { latency: LATENCY, tokens: 0, incarnation: Some(Incarnation(1)) }
}

/// Returns the permit of a `Send` decision.
pub fn sent(decision: Decision) -> Permit {
    match decision {
        Decision::Send { permit, .. } => permit,
        other => panic!("not sent: {other:?}"),
    }
}

/// Acts as the issuers: grants the first due request and returns the grant.
pub fn grant(router: &mut Router, now: Instant) -> GrantId {
    for out in router.take_messages(now) {
        let GrantMessage::Request { number, target, .. } = out.message else {
            continue;
        };
        let (grant, lasts) = (GrantId { issuer: out.issuer, number }, Duration::from_secs(9));
        let granted = grant.clone();
        router.handle_message(now, &GrantMessage::Granted { number, grant, target, lasts });
        return granted;
    }
    panic!("no grant was requested");
}

/// Creates a router in data centre `a` whose targets are all proved warm, with limits at the own
/// shares.
pub fn warm_router(
    document: &Document,
    targets: &[TargetInfo],
    settings: RouterSettings,
) -> Router {
    let own = EntryInfo { id: member("e0"), centre: "a".into() };
    let mut router = Router::new(settings, LeaseSettings::default(), own);
    router.apply_document(document);
    router.update_targets(Instant::ZERO, targets);
    for target in targets {
        let (centre, issuer) = (target.centre.clone(), member(target.centre.as_str()));
        router.handle_message(Instant::ZERO, &GrantMessage::Announce { centre, issuer, term: 1 });
    }
    for step in 0..100 {
        warm_up(&mut router, Instant::from_millis(step * 100));
    }
    let warm = |t: &TargetInfo| router.status(&t.name).map(|s| s.warmth) == Some(Warmth::Warm);
    assert!(targets.iter().all(warm), "targets are warm");
    router.update_targets(at(0), targets);
    grow(&mut router, document.pools[0].warm_limit as usize * targets.len());
    router
}

/// Acts as the issuers for one step: grants every request and confirms every answered target as
/// warm.
fn warm_up(router: &mut Router, now: Instant) {
    let probe = request(u128::MAX, "w");
    for out in router.take_messages(now) {
        let GrantMessage::Request { number, target, .. } = out.message else {
            continue;
        };
        let (grant, lasts) = (GrantId { issuer: out.issuer, number }, Duration::from_secs(9));
        router.handle_message(now, &GrantMessage::Granted { number, grant, target, lasts });
    }
    let mut permits = Vec::new();
    loop {
        match router.choose(now, &probe) {
            Decision::Send { permit, .. } if permit.grant.is_some() => permits.push(permit),
            Decision::Send { permit, .. } => {
                permits.push(permit);
                break;
            }
            _ => {
                router.cancel(now, probe.call);
                break;
            }
        }
    }
    for permit in permits {
        let (grant, target) = (permit.grant.clone(), permit.target.clone());
        router.finish_call(now, permit, answered());
        if let Some(grant) = grant {
            let incarnation = Some(Incarnation(1));
            router.handle_message(now, &GrantMessage::Warm { grant, target, incarnation });
        }
    }
}

/// Sends calls until the limits have grown to the own shares.
fn grow(router: &mut Router, calls: usize) {
    for round in 0..8 {
        let mut permits = Vec::new();
        for number in 0..calls {
            let number = (round * calls + number) as u128 + (1 << 64);
            match router.choose(at(0), &request(number, "w")) {
                Decision::Send { permit, .. } => permits.push(permit),
                Decision::Wait { .. } => {
                    router.cancel(at(0), request(number, "w").call);
                }
                Decision::Refuse { .. } => {}
            }
        }
        for permit in permits {
            router.finish_call(at(0), permit, answered());
        }
    }
}
