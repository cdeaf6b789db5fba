//! Data centres taken out without the log.
//!
//! An order to take a data centre out is in force at each instance that hears it, at once and
//! without a quorum. It holds until its place in the log is known and the log, followed up to that
//! place, decides. Bringing back is decided by the log alone.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::names::CentreName;
use crate::state::command::CentreOrder;
use crate::state::command::CentreRecord;
use crate::state::command::CentreState;

/// Orders remembered, at most.
pub const MAX_TAKE_OUTS: usize = 256;

/// Order to take a data centre out, as one instance knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TakeOut {
    /// Order proper.
    pub order: CentreOrder,
    /// Log position from which on the log decides, or `None` while the order is not logged.
    #[serde(rename = "floor")]
    pub log_index: Option<LogIndex>,
}

/// What came of an order that was heard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// It is new here, and is to be passed on.
    New,
    /// Nothing changed.
    Known,
    /// The sender lacks what is known here, and is to be told.
    Outdated,
    /// It can't be remembered: too many orders are not logged.
    Full,
    /// It is not an order to take a data centre out.
    Ignored,
}

/// Orders to take data centres out that one instance knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TakeOuts {
    holds: Vec<TakeOut>,
}

impl TakeOuts {
    /// Takes in an order from an operator or a peer.
    pub fn merge(&mut self, heard: &TakeOut) -> MergeOutcome {
        if heard.order.state != CentreState::TakenOut {
            return MergeOutcome::Ignored;
        }
        if let Some(hold) = self.find(&heard.order) {
            if hold.log_index > heard.log_index {
                return MergeOutcome::Outdated;
            }
            let known = hold.log_index == heard.log_index;
            hold.log_index = heard.log_index;
            return if known { MergeOutcome::Known } else { MergeOutcome::New };
        }
        if self.holds.len() >= MAX_TAKE_OUTS && !self.forget_logged() {
            return MergeOutcome::Full;
        }
        self.holds.push(heard.clone());
        MergeOutcome::New
    }

    /// Notes that `order` stands in the log at `index`.
    ///
    /// Where the log refused the order, because its operation number was used before, the position
    /// after what is followed is to be given: the order then holds until a later one is logged.
    pub fn mark_logged(&mut self, order: &CentreOrder, index: LogIndex) {
        if let Some(hold) = self.find(order) {
            hold.log_index = hold.log_index.max(Some(index));
        }
    }

    /// Returns the order as known here.
    pub fn get(&self, order: &CentreOrder) -> Option<&TakeOut> {
        self.holds.iter().find(|h| h.order == *order)
    }

    /// Returns all orders known.
    pub fn all(&self) -> &[TakeOut] {
        &self.holds
    }

    /// Returns the orders that are not logged as far as is known here.
    pub fn unlogged(&self) -> impl Iterator<Item = &TakeOut> {
        self.holds.iter().filter(|h| h.log_index.is_none())
    }

    /// Returns the data centres that take no new work, given the records followed.
    pub fn taken_out(&self, records: &IndexMap<CentreName, CentreRecord>) -> Vec<CentreName> {
        let logged = records.values().filter(|r| r.order.state == CentreState::TakenOut);
        let held = self.holds.iter().filter(|h| in_force(h, records));
        let mut centres: Vec<_> =
            logged.map(|r| &r.order).chain(held.map(|h| &h.order)).map(|o| &o.centre).collect();
        centres.sort();
        centres.dedup();
        centres.into_iter().cloned().collect()
    }

    fn find(&mut self, order: &CentreOrder) -> Option<&mut TakeOut> {
        self.holds.iter_mut().find(|h| h.order == *order)
    }

    /// Forgets the oldest order whose place in the log is known.
    fn forget_logged(&mut self) -> bool {
        let oldest = self.holds.iter().position(|h| h.log_index.is_some());
        oldest.map(|at| self.holds.remove(at)).is_some()
    }
}

/// Tells whether an order holds whatever `records` say.
fn in_force(hold: &TakeOut, records: &IndexMap<CentreName, CentreRecord>) -> bool {
    let Some(log_index) = hold.log_index else { return true };
    records.get(&hold.order.centre).is_none_or(|r| r.index < log_index)
}
