//! Orders that take data centres out of service and bring them back.
//!
//! The last order in the log determines a data centre's state. An operation number belongs to the
//! first order that used it: a retry returns the first record again and changes nothing, even if a
//! later order has reverted it, and a different order with the same number conflicts with the first.
//!
//! An order whose operator gives no number is made conditional by [`operation_after`].

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::LogIndex;
use crate::ids::OperationNumber;
use crate::names::CentreName;
use crate::state::command::CentreOrder;
use crate::state::command::CentreOutcome;
use crate::state::command::CentreRecord;
use crate::state::history::History;

/// Returns the operation number of an order that is to follow the one logged at `last`.
///
/// All orders that are to follow the same one share it, so at most one of them is recorded: an order
/// that is committed late changes nothing once another has followed.
pub fn operation_after(centre: &CentreName, last: LogIndex) -> OperationNumber {
    OperationNumber(xxh3_64_with_seed(centre.as_str().as_bytes(), last.0))
}

/// Last order about each data centre, with a bounded history of orders.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Centres {
    records: IndexMap<CentreName, CentreRecord>,
    history: History<CentreRecord>,
}

impl Centres {
    /// Returns the last order about each data centre.
    pub fn records(&self) -> &IndexMap<CentreName, CentreRecord> {
        &self.records
    }

    /// Applies an order logged at `index` and returns its outcome and whether it changed a record.
    pub fn apply(&mut self, index: LogIndex, order: &CentreOrder) -> (CentreOutcome, bool) {
        if let Some(first) = self.history.get(order.operation) {
            let outcome = match first.order == *order {
                true => CentreOutcome::Recorded(first.clone()),
                false => CentreOutcome::Conflict(first.clone()),
            };
            return (outcome, false);
        }
        let record = CentreRecord { order: order.clone(), index };
        self.records.insert(order.centre.clone(), record.clone());
        self.history.record(order.operation, record.clone());
        (CentreOutcome::Recorded(record), true)
    }
}
