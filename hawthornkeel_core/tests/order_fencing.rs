//! Orders to targets across leader changes.

use std::time::Duration;

use hawthornkeel_core::document::Fencing;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::orders::OrderError;
use hawthornkeel_core::orders::OrderGate;
use hawthornkeel_core::orders::OrderSettings;
use hawthornkeel_core::time::Instant;

const SETTINGS: OrderSettings =
    OrderSettings { lease: Duration::from_secs(1), timeout: Duration::from_secs(5) };
const START: Instant = Instant::from_millis(100_000);

fn target() -> TargetName {
    "engine-1".into()
}

#[test]
fn new_leader_waits_if_numbers_are_ignored() {
    let mut gate = OrderGate::new(SETTINGS);
    let leading = Some(Term(7));
    let safe_from = START + Duration::from_secs(6);
    let early = gate.begin(START, leading, &target(), Fencing::Ignored);
    assert_eq!(early, Err(OrderError::NotBefore(safe_from)));
    assert_eq!(gate.begin(safe_from, leading, &target(), Fencing::Ignored), Ok(()));
}

#[test]
fn new_leader_sends_at_once_if_numbers_are_checked() {
    let mut gate = OrderGate::new(SETTINGS);
    assert_eq!(gate.begin(START, Some(Term(7)), &target(), Fencing::Checked), Ok(()));
}

#[test]
fn wait_restarts_with_each_term() {
    let mut gate = OrderGate::new(SETTINGS);
    gate.observe(START, Some(Term(7)));
    gate.observe(START + Duration::from_secs(1), None);
    let again = START + Duration::from_secs(60);
    let held = gate.begin(again, Some(Term(9)), &target(), Fencing::Ignored);
    assert_eq!(held, Err(OrderError::NotBefore(again + Duration::from_secs(6))));
}

#[test]
fn instance_without_lease_sends_nothing() {
    let mut gate = OrderGate::new(SETTINGS);
    gate.observe(START, Some(Term(7)));
    let later = START + Duration::from_secs(60);
    let held = gate.begin(later, None, &target(), Fencing::Checked);
    assert_eq!(held, Err(OrderError::NotLeader));
}

#[test]
fn orders_to_one_target_are_serialised() {
    let mut gate = OrderGate::new(SETTINGS);
    let leading = Some(Term(7));
    assert_eq!(gate.begin(START, leading, &target(), Fencing::Checked), Ok(()));
    let second = gate.begin(START, leading, &target(), Fencing::Checked);
    assert_eq!(second, Err(OrderError::Busy));
    gate.finish(&target());
    assert_eq!(gate.begin(START, leading, &target(), Fencing::Checked), Ok(()));
}
