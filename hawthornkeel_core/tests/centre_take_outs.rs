//! Data centres taken out without the log.

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreRecord;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::take_out::MAX_TAKE_OUTS;
use hawthornkeel_core::state::take_out::MergeOutcome;
use hawthornkeel_core::state::take_out::TakeOut;
use hawthornkeel_core::state::take_out::TakeOuts;
use indexmap::IndexMap;
use rstest::rstest;

fn order(operation: u64, state: CentreState) -> CentreOrder {
    let operation = OperationNumber(operation);
    CentreOrder { operator: "ops".into(), operation, centre: "east".into(), state }
}

fn hold(operation: u64, log_index: Option<u64>) -> TakeOut {
    TakeOut { order: order(operation, CentreState::TakenOut), log_index: log_index.map(LogIndex) }
}

fn records(last: Option<(u64, CentreState)>) -> IndexMap<CentreName, CentreRecord> {
    let record =
        |(index, state)| CentreRecord { order: order(index, state), index: LogIndex(index) };
    last.map(record).into_iter().map(|r| (r.order.centre.clone(), r)).collect()
}

#[rstest]
#[case::nothing_logged(None, None, true)]
#[case::unlogged_beats_return(None, Some((7, CentreState::InService)), true)]
#[case::log_not_followed_so_far(Some(9), Some((7, CentreState::InService)), true)]
#[case::earlier_return(Some(9), Some((8, CentreState::InService)), true)]
#[case::own_place(Some(9), Some((9, CentreState::TakenOut)), true)]
#[case::later_return(Some(9), Some((10, CentreState::InService)), false)]
#[case::taken_out_again(Some(9), Some((11, CentreState::TakenOut)), true)]
fn log_decides(
    #[case] log_index: Option<u64>,
    #[case] last: Option<(u64, CentreState)>,
    #[case] out: bool,
) {
    let mut holds = TakeOuts::default();
    assert_eq!(holds.merge(&hold(1, None)), MergeOutcome::New);
    if let Some(log_index) = log_index {
        holds.mark_logged(&order(1, CentreState::TakenOut), LogIndex(log_index));
    }
    let expected: Vec<CentreName> = if out { vec!["east".into()] } else { Vec::new() };
    assert_eq!(holds.taken_out(&records(last)), expected);
}

#[test]
fn late_copy_harmless() {
    let mut holds = TakeOuts::default();
    holds.merge(&hold(1, Some(9)));
    let returned = records(Some((10, CentreState::InService)));
    // A copy from a peer that does not know that the order was logged changes nothing.
    assert_eq!(holds.merge(&hold(1, None)), MergeOutcome::Outdated);
    assert!(holds.taken_out(&returned).is_empty());
    assert_eq!(holds.unlogged().count(), 0);
}

#[test]
fn place_spreads() {
    let mut holds = TakeOuts::default();
    holds.merge(&hold(1, None));
    assert_eq!(holds.merge(&hold(1, None)), MergeOutcome::Known);
    assert_eq!(holds.merge(&hold(1, Some(9))), MergeOutcome::New);
    assert_eq!(holds.get(&order(1, CentreState::TakenOut)), Some(&hold(1, Some(9))));
}

#[test]
fn return_ignored() {
    let mut holds = TakeOuts::default();
    let back = TakeOut { order: order(1, CentreState::InService), log_index: None };
    assert_eq!(holds.merge(&back), MergeOutcome::Ignored);
}

#[test]
fn memory_bounded() {
    let mut holds = TakeOuts::default();
    for number in 0..MAX_TAKE_OUTS as u64 {
        holds.merge(&hold(number, None));
    }
    // An order in force is never forgotten; one that the log has taken over is.
    assert_eq!(holds.merge(&hold(1_000, None)), MergeOutcome::Full);
    holds.mark_logged(&order(3, CentreState::TakenOut), LogIndex(1));
    assert_eq!(holds.merge(&hold(1_000, None)), MergeOutcome::New);
    assert!(holds.get(&order(3, CentreState::TakenOut)).is_none());
}
