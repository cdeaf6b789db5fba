//! Data centres taken out of service and brought back.
//!
//! The order logged last decides. An operation number belongs to the first order that used it: a
//! resend gets the first record again and changes nothing, even where a later order has undone it,
//! and another order under the number is told which came first.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::names::CentreName;
use crate::state::command::CentreOrder;
use crate::state::command::CentreOutcome;
use crate::state::command::CentreRecord;
use crate::state::history::History;

/// Last order about each data centre, with the history of orders.
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

    /// Decides an order logged at `index`, and tells whether it changed a record.
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
