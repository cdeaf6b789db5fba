//! Unreachable data centre: its entries lose their shares, and its targets are tried again with
//! their first load report.

mod common;

use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;

use common::answered;
use common::at;
use common::document;
use common::member;
use common::request;
use common::target;
use common::warm_router;

/// Interval between load reports, in milliseconds.
const REPORT_MILLIS: u64 = 500;

/// Creates a router with one warm target in another data centre, which has sent a load report.
fn router() -> Router {
    let targets = [target("t", "b")];
    let mut router = warm_router(&document(16, &[("w", 1)]), &targets, RouterSettings::default());
    report(&mut router, 0);
    router
}

/// Applies a load report of the idle target.
fn report(router: &mut Router, millis: u64) {
    router.report_load(at(millis), &"t".into(), LoadReport::default());
}

/// Sends probes that time out until `end`. Returns the time at which the last one ended.
fn time_out_probes(router: &mut Router, end: u64, reported: bool) -> u64 {
    let mut last = 0;
    for step in 1..=end / REPORT_MILLIS {
        let millis = step * REPORT_MILLIS;
        if reported {
            report(router, millis);
        }
        if let Some(permit) = probe(router, millis) {
            router.finish_call(at(millis), permit, CallOutcome::TimedOut);
            last = millis;
        }
    }
    last
}

/// Requests the target once, without waiting.
fn probe(router: &mut Router, millis: u64) -> Option<Permit> {
    let mut call = request(1, "w");
    call.deadline = at(millis + 60_000);
    match router.choose(at(millis), &call) {
        Decision::Send { permit, .. } => Some(permit),
        _ => {
            router.cancel(at(millis), call.call);
            None
        }
    }
}

#[test]
fn target_is_tried_with_its_first_report_after_a_gap() {
    let mut router = router();
    let last = time_out_probes(&mut router, 10_000, false);
    assert!(probe(&mut router, last + 10).is_none(), "backs off after a failed probe");
    report(&mut router, last + 20);
    let permit = probe(&mut router, last + 20).expect("tried after its report");
    router.finish_call(at(last + 120), permit, answered());
    assert!(!router.status(&"t".into()).expect("known").down);
}

#[test]
fn target_that_fails_after_its_return_backs_off_again() {
    let mut router = router();
    let last = time_out_probes(&mut router, 10_000, false);
    report(&mut router, last + 20);
    let permit = probe(&mut router, last + 20).expect("tried after its report");
    router.finish_call(at(last + 20), permit, CallOutcome::TimedOut);
    report(&mut router, last + 30);
    assert!(probe(&mut router, last + 30).is_none(), "one report after a gap allows one probe");
}

#[test]
fn failing_target_with_regular_reports_keeps_its_backoff() {
    let mut router = router();
    let last = time_out_probes(&mut router, 10_000, true);
    report(&mut router, last + 20);
    assert!(
        probe(&mut router, last + 20).is_none(),
        "reports never stopped, so nothing has changed"
    );
}

/// Creates a router that shares the target of its data centre with three entries of another one.
fn shared() -> Router {
    let targets = [target("own", "a"), target("t", "b")];
    let mut router = warm_router(&document(16, &[("w", 1)]), &targets, RouterSettings::default());
    let entry = |name: &str, centre: &str| EntryInfo { id: member(name), centre: centre.into() };
    let far = ["e1", "e2", "e3"].map(|name| entry(name, "b"));
    let entries = [vec![entry("e0", "a")], far.to_vec()].concat();
    router.set_entries(at(0), &entries);
    report(&mut router, 0);
    router
}

/// Returns the limit for the own target, which other entries keep full, after `t` failed.
fn limit_after_failures(router: &mut Router, reported: bool) -> u32 {
    for millis in (0..10_000).step_by(REPORT_MILLIS as usize) {
        if reported {
            report(router, millis);
        }
        let full = LoadReport { running: 16, ..LoadReport::default() };
        router.report_load(at(millis), &"own".into(), full);
        router.update_targets(at(millis), &[target("own", "a"), target("t", "b")]);
        let permits: Vec<Permit> = (0..40).map_while(|_| probe(router, millis)).collect();
        for permit in permits {
            let own = permit.target == "own".into();
            let outcome = if own { answered() } else { CallOutcome::TimedOut };
            router.finish_call(at(millis), permit, outcome);
        }
    }
    assert!(router.status(&"t".into()).expect("known").down);
    router.status(&"own".into()).expect("known").limit
}

#[test]
fn entries_of_an_unreachable_data_centre_get_no_share() {
    assert_eq!(limit_after_failures(&mut shared(), false), 16, "no other entry reaches the target");
}

#[test]
fn entries_keep_their_share_while_failing_targets_report() {
    let limit = limit_after_failures(&mut shared(), true);
    assert!(limit <= 8, "{limit}: the other entries can still reach the target");
}
