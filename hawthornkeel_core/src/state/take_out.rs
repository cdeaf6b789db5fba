//! Take-out orders that are applied before they are in the replicated log.
//!
//! An instance applies an order to take a data centre out as soon as it receives it, without a
//! quorum. The order overrides the log until its log position is known and the instance has
//! received the state up to that position. Bringing a data centre back requires the log.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::names::CentreName;
use crate::state::command::CentreOrder;
use crate::state::command::CentreRecord;
use crate::state::command::CentreState;

/// Maximum number of take-out orders stored by an instance.
pub const MAX_TAKE_OUTS: usize = 256;

/// Order to take a data centre out, with its log position as known to one instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TakeOut {
    /// Order to apply.
    pub order: CentreOrder,
    /// Log position from which the log takes precedence, or `None` while the order is not logged.
    #[serde(rename = "floor")]
    pub log_index: Option<LogIndex>,
}

/// Result of merging a received order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The order or its log position is new here and must be forwarded.
    New,
    /// The order was known; nothing changed.
    Known,
    /// The sender has older information and must be sent the order as known here.
    Outdated,
    /// The order was not stored, because too many orders are not logged.
    Full,
    /// The order does not take a data centre out.
    Ignored,
}

/// Take-out orders known to one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TakeOuts {
    take_outs: Vec<TakeOut>,
}

impl TakeOuts {
    /// Merges an order from an operator or a peer.
    pub fn merge(&mut self, received: &TakeOut) -> MergeOutcome {
        if received.order.state != CentreState::TakenOut {
            return MergeOutcome::Ignored;
        }
        if let Some(take_out) = self.find(&received.order) {
            if take_out.log_index > received.log_index {
                return MergeOutcome::Outdated;
            }
            let known = take_out.log_index == received.log_index;
            take_out.log_index = received.log_index;
            return if known { MergeOutcome::Known } else { MergeOutcome::New };
        }
        if self.take_outs.len() >= MAX_TAKE_OUTS && !self.evict_logged() {
            return MergeOutcome::Full;
        }
        self.take_outs.push(received.clone());
        MergeOutcome::New
    }

    /// Records that `order` is in the log at `index`.
    ///
    /// If the log refused the order because its operation number was already used, `index` must be
    /// the position after the state received so far; the order then applies until a later one is
    /// logged.
    pub fn mark_logged(&mut self, order: &CentreOrder, index: LogIndex) {
        if let Some(take_out) = self.find(order) {
            take_out.log_index = take_out.log_index.max(Some(index));
        }
    }

    /// Returns the order with its log position as known here.
    pub fn get(&self, order: &CentreOrder) -> Option<&TakeOut> {
        self.take_outs.iter().find(|t| t.order == *order)
    }

    /// Returns all known orders.
    pub fn all(&self) -> &[TakeOut] {
        &self.take_outs
    }

    /// Returns the orders that are not known to be logged.
    pub fn unlogged(&self) -> impl Iterator<Item = &TakeOut> {
        self.take_outs.iter().filter(|t| t.log_index.is_none())
    }

    /// Returns the data centres that accept no new work, given the records from the log.
    pub fn taken_out(&self, records: &IndexMap<CentreName, CentreRecord>) -> Vec<CentreName> {
        let logged = records.values().filter(|r| r.order.state == CentreState::TakenOut);
        let overriding = self.take_outs.iter().filter(|t| overrides_log(t, records));
        let mut centres: Vec<_> = logged
            .map(|r| &r.order)
            .chain(overriding.map(|t| &t.order))
            .map(|o| &o.centre)
            .collect();
        centres.sort();
        centres.dedup();
        centres.into_iter().cloned().collect()
    }

    fn find(&mut self, order: &CentreOrder) -> Option<&mut TakeOut> {
        self.take_outs.iter_mut().find(|t| t.order == *order)
    }

    /// Removes the oldest order with a known log position and returns whether there was one.
    fn evict_logged(&mut self) -> bool {
        let oldest = self.take_outs.iter().position(|t| t.log_index.is_some());
        oldest.map(|index| self.take_outs.remove(index)).is_some()
    }
}

/// Returns whether an order takes precedence over `records`.
fn overrides_log(take_out: &TakeOut, records: &IndexMap<CentreName, CentreRecord>) -> bool {
    let Some(log_index) = take_out.log_index else { return true };
    records.get(&take_out.order.centre).is_none_or(|r| r.index < log_index)
}
