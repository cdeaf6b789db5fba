//! Orders about data centres and fencing numbers.

mod state_common;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreOutcome;
use hawthornkeel_core::state::command::CentreRecord;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use state_common::Driver;

const CENTRE: &str = "yatsushiro";

fn order(who: &str, number: u64, state: CentreState) -> CentreOrder {
    CentreOrder {
        operator: OperatorName::new(who),
        operation: OperationNumber(number),
        centre: CentreName::new(CENTRE),
        state,
    }
}

fn give(driver: &mut Driver, order: &CentreOrder) -> CentreOutcome {
    match driver.apply(Command::Centre(order.clone())) {
        Outcome::Centre(outcome) => outcome,
        other => panic!("not a centre's outcome: {other:?}"),
    }
}

fn in_force(driver: &Driver) -> CentreRecord {
    driver.state.published().centres.get(CENTRE).cloned().expect("an order was given")
}

fn record(order: &CentreOrder, index: u64) -> CentreRecord {
    CentreRecord { order: order.clone(), index: LogIndex(index) }
}

#[test]
fn latest_logged_order_stands() {
    let mut driver = Driver::default();
    let out = order("mori", 1, CentreState::TakenOut);
    let back = order("ueda", 2, CentreState::InService);
    assert_eq!(give(&mut driver, &out), CentreOutcome::Recorded(record(&out, 1)));
    assert_eq!(in_force(&driver), record(&out, 1));
    assert_eq!(give(&mut driver, &back), CentreOutcome::Recorded(record(&back, 2)));
    assert_eq!(in_force(&driver), record(&back, 2));
    assert_eq!(driver.state.published().index, LogIndex(2));
}

#[test]
fn resend_does_not_undo_later_order() {
    let mut driver = Driver::default();
    let out = order("mori", 1, CentreState::TakenOut);
    let back = order("mori", 2, CentreState::InService);
    give(&mut driver, &out);
    give(&mut driver, &back);
    driver.restore();
    assert_eq!(give(&mut driver, &out), CentreOutcome::Recorded(record(&out, 1)));
    assert_eq!(in_force(&driver), record(&back, 2));
    assert_eq!(driver.state.published().index, LogIndex(2), "a resend changes nothing");
}

#[test]
fn equal_numbers_have_one_winner() {
    let mut driver = Driver::default();
    let out = order("mori", 1, CentreState::TakenOut);
    give(&mut driver, &out);
    let back = order("ueda", 1, CentreState::InService);
    assert_eq!(give(&mut driver, &back), CentreOutcome::Conflict(record(&out, 1)));
    assert_eq!(in_force(&driver), record(&out, 1));
}

#[test]
fn fencing_numbers_rise() {
    let mut driver = Driver::default();
    let mut last = None;
    for number in 0..20 {
        if number % 5 == 0 {
            driver.restore();
        }
        let target = TargetName::new(if number % 2 == 0 { "engine-1" } else { "engine-2" });
        let drawn = driver.apply(Command::Fence(target));
        let Outcome::Fence(drawn) = drawn else { panic!("not a fencing number: {drawn:?}") };
        assert!(Some(drawn) > last, "{drawn} after {last:?}");
        last = Some(drawn);
    }
}
