//! Take-out orders that are applied before they are in the replicated log.

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

fn take_out(operation: u64, log_index: Option<u64>) -> TakeOut {
    TakeOut { order: order(operation, CentreState::TakenOut), log_index: log_index.map(LogIndex) }
}

fn records(last: Option<(u64, CentreState)>) -> IndexMap<CentreName, CentreRecord> {
    let record =
        |(index, state)| CentreRecord { order: order(index, state), index: LogIndex(index) };
    last.map(record).into_iter().map(|r| (r.order.centre.clone(), r)).collect()
}

#[rstest]
#[case::nothing_logged(None, None, true)]
#[case::unlogged_overrides_return(None, Some((7, CentreState::InService)), true)]
#[case::later_state_not_received(Some(9), Some((7, CentreState::InService)), true)]
#[case::earlier_return(Some(9), Some((8, CentreState::InService)), true)]
#[case::own_log_index(Some(9), Some((9, CentreState::TakenOut)), true)]
#[case::later_return(Some(9), Some((10, CentreState::InService)), false)]
#[case::taken_out_again(Some(9), Some((11, CentreState::TakenOut)), true)]
fn log_precedence(
    #[case] log_index: Option<u64>,
    #[case] last: Option<(u64, CentreState)>,
    #[case] taken_out: bool,
) {
    let mut take_outs = TakeOuts::default();
    assert_eq!(take_outs.merge(&take_out(1, None)), MergeOutcome::New);
    if let Some(log_index) = log_index {
        take_outs.mark_logged(&order(1, CentreState::TakenOut), LogIndex(log_index));
    }
    let expected: Vec<CentreName> = if taken_out { vec!["east".into()] } else { Vec::new() };
    assert_eq!(take_outs.taken_out(&records(last)), expected);
}

#[test]
fn stale_copy_ignored() {
    let mut take_outs = TakeOuts::default();
    take_outs.merge(&take_out(1, Some(9)));
    let in_service = records(Some((10, CentreState::InService)));
    // A copy from a peer that does not know the log position of the order changes nothing.
    assert_eq!(take_outs.merge(&take_out(1, None)), MergeOutcome::Outdated);
    assert!(take_outs.taken_out(&in_service).is_empty());
    assert_eq!(take_outs.unlogged().count(), 0);
}

#[test]
fn log_index_merged() {
    let mut take_outs = TakeOuts::default();
    take_outs.merge(&take_out(1, None));
    assert_eq!(take_outs.merge(&take_out(1, None)), MergeOutcome::Known);
    assert_eq!(take_outs.merge(&take_out(1, Some(9))), MergeOutcome::New);
    assert_eq!(take_outs.get(&order(1, CentreState::TakenOut)), Some(&take_out(1, Some(9))));
}

#[test]
fn bring_back_ignored() {
    let mut take_outs = TakeOuts::default();
    let bring_back = TakeOut { order: order(1, CentreState::InService), log_index: None };
    assert_eq!(take_outs.merge(&bring_back), MergeOutcome::Ignored);
}

#[test]
fn memory_bounded() {
    let mut take_outs = TakeOuts::default();
    for number in 0..MAX_TAKE_OUTS as u64 {
        take_outs.merge(&take_out(number, None));
    }
    // Unlogged orders are never evicted; orders with a known log position are.
    assert_eq!(take_outs.merge(&take_out(1_000, None)), MergeOutcome::Full);
    take_outs.mark_logged(&order(3, CentreState::TakenOut), LogIndex(1));
    assert_eq!(take_outs.merge(&take_out(1_000, None)), MergeOutcome::New);
    assert!(take_outs.get(&order(3, CentreState::TakenOut)).is_none());
}
