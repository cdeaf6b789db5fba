//! An entry's limit for a target grows on answers, yields to other entries and falls on refusals.

mod common;

use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::Warmth;

use common::answered;
use common::at;
use common::document;
use common::member;
use common::request;
use common::target;
use common::warm_router;

/// Creates a router that shares a warm target with a limit of 16 calls with another entry.
fn shared() -> Router {
    let mut router =
        warm_router(&document(16, &[("w", 1)]), &[target("t", "a")], RouterSettings::default());
    let entry = |name: &str| EntryInfo { id: member(name), centre: "a".into() };
    router.set_entries(at(0), &[entry("e0"), entry("e1")]);
    router
}

/// Sends as many calls as the target's limit allows.
fn fill(router: &mut Router, millis: u64) -> Vec<Permit> {
    let mut permits = Vec::new();
    for number in 0..100 {
        let mut call = request(number, "w");
        call.deadline = at(millis + 8_000);
        match router.choose(at(millis), &call) {
            Decision::Send { permit, .. } => permits.push(permit),
            _ => {
                router.cancel(at(millis), request(number, "w").call);
                return permits;
            }
        }
    }
    permits
}

/// Fills the target and answers all calls, `rounds` times, while other entries run `others` calls.
///
/// Returns the number of calls of the last round.
fn rounds(router: &mut Router, rounds: u64, others: u32) -> usize {
    let mut most = 0;
    for round in 1..=rounds {
        let permits = fill(router, round * 100);
        most = permits.len();
        let running = others + most as u32;
        let report = LoadReport { running, ..LoadReport::default() };
        router.report_load(at(round * 100 + 50), &"t".into(), report);
        for permit in permits {
            router.finish_call(at(round * 100 + 90), permit, answered());
        }
    }
    most
}

#[test]
fn spare_capacity_is_used() {
    assert_eq!(rounds(&mut shared(), 150, 0), 16, "no other entry calls the target");
}

#[test]
fn limit_falls_to_the_own_share_at_a_full_target() {
    let mut router = shared();
    rounds(&mut router, 60, 0);
    assert_eq!(rounds(&mut router, 30, 12), 8, "half of the target's limit");
}

#[test]
fn refusals_lower_the_limit_and_keep_the_target_warm() {
    let mut router = shared();
    let before = fill(&mut router, 0);
    let count = before.len();
    for (number, permit) in before.into_iter().enumerate() {
        router.finish_call(at(100 * number as u64), permit, CallOutcome::Refused);
    }
    let status = router.status(&"t".into()).unwrap();
    assert!((status.limit as usize) < count / 2, "{status:?} after {count}");
    assert_eq!(status.warmth, Warmth::Warm);
}

#[test]
fn target_that_slows_down_alone_becomes_suspect() {
    let targets = [target("t", "a"), target("u", "a")];
    let mut router = warm_router(&document(4, &[("w", 1)]), &targets, RouterSettings::default());
    for round in 0..200_u64 {
        let Decision::Send { permit, .. } = router.choose(at(round), &request(1, "w")) else {
            break;
        };
        let slow = permit.target.as_str() == "t" && round > 100;
        let latency = common::LATENCY * if slow { 20 } else { 1 };
        let CallOutcome::Answered { tokens, incarnation, .. } = answered() else {
            panic!("not an answer");
        };
        let outcome = CallOutcome::Answered { latency, tokens, incarnation };
        router.finish_call(at(round), permit, outcome);
        if slow && router.status(&"t".into()).unwrap().warmth == Warmth::Suspect {
            return;
        }
    }
    panic!("{:?}", router.status(&"t".into()));
}

#[test]
fn new_entry_has_no_warm_targets() {
    let own = EntryInfo { id: member("e9"), centre: "a".into() };
    let mut router = Router::new(RouterSettings::default(), LeaseSettings::default(), own);
    router.apply_document(&document(16, &[]));
    router.update_targets(at(0), &[target("t", "a")]);
    assert!(fill(&mut router, 0).is_empty(), "no call without a grant");
}
