//! Orders about data centres, and allocation of fencing numbers.

mod state_common;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::state::centres::operation_after;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreOutcome;
use hawthornkeel_core::state::command::CentreRecord;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use state_common::Driver;

const CENTRE: &str = "yatsushiro";

fn order(operator: &str, number: u64, state: CentreState) -> CentreOrder {
    CentreOrder {
        operator: OperatorName::new(operator),
        operation: OperationNumber(number),
        centre: CentreName::new(CENTRE),
        state,
    }
}

fn apply(driver: &mut Driver, order: &CentreOrder) -> CentreOutcome {
    match driver.apply(Command::Centre(order.clone())) {
        Outcome::Centre(outcome) => outcome,
        other => panic!("unexpected outcome of a data centre order: {other:?}"),
    }
}

fn current(driver: &Driver) -> CentreRecord {
    driver.state.published().centres.get(CENTRE).cloned().expect("the data centre has a record")
}

fn record(order: &CentreOrder, index: u64) -> CentreRecord {
    CentreRecord { order: order.clone(), index: LogIndex(index) }
}

#[test]
fn last_logged_order_applies() {
    let mut driver = Driver::default();
    let out = order("mori", 1, CentreState::TakenOut);
    let back = order("ueda", 2, CentreState::InService);
    assert_eq!(apply(&mut driver, &out), CentreOutcome::Recorded(record(&out, 1)));
    assert_eq!(current(&driver), record(&out, 1));
    assert_eq!(apply(&mut driver, &back), CentreOutcome::Recorded(record(&back, 2)));
    assert_eq!(current(&driver), record(&back, 2));
    assert_eq!(driver.state.published().index, LogIndex(2));
}

#[test]
fn retry_does_not_revert_later_order() {
    let mut driver = Driver::default();
    let out = order("mori", 1, CentreState::TakenOut);
    let back = order("mori", 2, CentreState::InService);
    apply(&mut driver, &out);
    apply(&mut driver, &back);
    driver.restore();
    assert_eq!(apply(&mut driver, &out), CentreOutcome::Recorded(record(&out, 1)));
    assert_eq!(current(&driver), record(&back, 2));
    assert_eq!(driver.state.published().index, LogIndex(2), "a retry changes nothing");
}

/// Returns an order without a number of its operator, which is to follow the one logged at `last`.
fn order_after(last: u64, state: CentreState) -> CentreOrder {
    let operation = operation_after(&CentreName::new(CENTRE), LogIndex(last));
    CentreOrder { operation, ..order("", 0, state) }
}

// A copy of an order was committed after the one that had superseded it, and took its place.
#[test]
fn late_copy_changes_nothing() {
    let mut driver = Driver::default();
    apply(&mut driver, &order_after(0, CentreState::TakenOut));
    let back = order_after(1, CentreState::InService);
    apply(&mut driver, &back);
    let out = order_after(2, CentreState::TakenOut);
    assert_eq!(apply(&mut driver, &out), CentreOutcome::Recorded(record(&out, 3)));
    driver.restore();
    let late = order_after(1, CentreState::InService);
    assert_eq!(apply(&mut driver, &late), CentreOutcome::Recorded(record(&back, 2)));
    assert_eq!(current(&driver), record(&out, 3));
    let late = order_after(1, CentreState::TakenOut);
    assert_eq!(apply(&mut driver, &late), CentreOutcome::Conflict(record(&back, 2)));
    assert_eq!(current(&driver), record(&out, 3));
}

#[test]
fn one_of_two_orders_follows() {
    let mut driver = Driver::default();
    let out = order_after(0, CentreState::TakenOut);
    let back = order_after(0, CentreState::InService);
    assert_eq!(apply(&mut driver, &out), CentreOutcome::Recorded(record(&out, 1)));
    assert_eq!(apply(&mut driver, &back), CentreOutcome::Conflict(record(&out, 1)));
    let again = order_after(1, CentreState::InService);
    assert_eq!(apply(&mut driver, &again), CentreOutcome::Recorded(record(&again, 3)));
}

#[test]
fn reused_number_conflicts() {
    let mut driver = Driver::default();
    let out = order("mori", 1, CentreState::TakenOut);
    apply(&mut driver, &out);
    let back = order("ueda", 1, CentreState::InService);
    assert_eq!(apply(&mut driver, &back), CentreOutcome::Conflict(record(&out, 1)));
    assert_eq!(current(&driver), record(&out, 1));
}

#[test]
fn fencing_numbers_increase() {
    let mut driver = Driver::default();
    let mut last = None;
    for step in 0..20 {
        if step % 5 == 0 {
            driver.restore();
        }
        let target = TargetName::new(if step % 2 == 0 { "engine-1" } else { "engine-2" });
        let number = driver.apply(Command::Fence(target));
        let Outcome::Fence(number) = number else {
            panic!("unexpected outcome of an allocation: {number:?}")
        };
        assert!(Some(number) > last, "{number} after {last:?}");
        last = Some(number);
    }
}
