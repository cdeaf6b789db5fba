//! Orders to targets across a change of leaders.

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
fn new_leader_waits_where_numbers_are_ignored() {
    let mut gate = OrderGate::new(SETTINGS);
    let leading = Some(Term(7));
    let clear = START + Duration::from_secs(6);
    let early = gate.begin(START, leading, &target(), Fencing::Ignored);
    assert_eq!(early, Err(OrderError::NotBefore(clear)));
    assert_eq!(gate.begin(clear, leading, &target(), Fencing::Ignored), Ok(()));
}

#[test]
fn new_leader_orders_at_once_where_numbers_are_checked() {
    let mut gate = OrderGate::new(SETTINGS);
    assert_eq!(gate.begin(START, Some(Term(7)), &target(), Fencing::Checked), Ok(()));
}

#[test]
fn wait_begins_anew_with_each_term() {
    let mut gate = OrderGate::new(SETTINGS);
    gate.observe(START, Some(Term(7)));
    gate.observe(START + Duration::from_secs(1), None);
    let again = START + Duration::from_secs(60);
    let held = gate.begin(again, Some(Term(9)), &target(), Fencing::Ignored);
    assert_eq!(held, Err(OrderError::NotBefore(again + Duration::from_secs(6))));
}

#[test]
fn instance_without_the_lease_orders_nothing() {
    let mut gate = OrderGate::new(SETTINGS);
    gate.observe(START, Some(Term(7)));
    let later = START + Duration::from_secs(60);
    let held = gate.begin(later, None, &target(), Fencing::Checked);
    assert_eq!(held, Err(OrderError::NotLeader));
}

#[test]
fn orders_to_one_target_follow_each_other() {
    let mut gate = OrderGate::new(SETTINGS);
    let leading = Some(Term(7));
    assert_eq!(gate.begin(START, leading, &target(), Fencing::Checked), Ok(()));
    let second = gate.begin(START, leading, &target(), Fencing::Checked);
    assert_eq!(second, Err(OrderError::Busy));
    gate.finish(&target());
    assert_eq!(gate.begin(START, leading, &target(), Fencing::Checked), Ok(()));
}
