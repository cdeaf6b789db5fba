//! When an order may be sent to a target.
//!
//! Only the leader of the replicated log sends orders. A target that checks fencing numbers refuses
//! an old leader's order by itself. For one that ignores them, a new leader first waits until the
//! old leader's lease and the longest order that it may have sent are over.

use std::time::Duration;

use indexmap::IndexSet;

use crate::document::Fencing;
use crate::ids::Term;
use crate::names::TargetName;
use crate::time::Instant;

/// Settings of orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderSettings {
    /// Longest time for which a leader's lease lasts after its last renewal.
    pub lease: Duration,
    /// Longest time from the sending of an order until it is answered or given up.
    pub timeout: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { lease: Duration::from_secs(1), timeout: Duration::from_secs(5) }
    }
}

/// Why an order may not be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// This instance does not lead with its lease.
    NotLeader,
    /// An earlier leader's order may still be on its way, until this time.
    NotBefore(Instant),
    /// An order to the same target is on its way.
    Busy,
}

/// Leadership as seen now: the term, where this instance leads with its lease.
pub type LeaderTerm = Option<Term>;

/// Decides when this instance may send orders.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    settings: OrderSettings,
    term: Term,
    since: Instant,
    busy: IndexSet<TargetName>,
}

impl OrderGate {
    /// Creates the gate of an instance that has not led yet.
    pub fn new(settings: OrderSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes in whether this instance leads; to be called often, so that a term's begin is seen.
    pub fn observe(&mut self, now: Instant, leading: LeaderTerm) {
        if let Some(term) = leading
            && term != self.term
        {
            self.term = term;
            self.since = now;
        }
    }

    /// Begins an order to `target`, or tells why it may not be sent now.
    ///
    /// # Errors
    /// Fails where this instance does not lead, has to wait, or has an order to the target on its
    /// way.
    pub fn begin(
        &mut self,
        now: Instant,
        leading: LeaderTerm,
        target: &TargetName,
        fencing: Fencing,
    ) -> Result<(), OrderError> {
        self.observe(now, leading);
        if leading.is_none() {
            return Err(OrderError::NotLeader);
        }
        let clear = self.since + self.settings.lease + self.settings.timeout;
        match fencing {
            Fencing::Ignored if now < clear => return Err(OrderError::NotBefore(clear)),
            Fencing::Ignored | Fencing::Checked => {}
        }
        if !self.busy.insert(target.clone()) {
            return Err(OrderError::Busy);
        }
        Ok(())
    }

    /// Notes that the order to `target` was answered or given up.
    pub fn finish(&mut self, target: &TargetName) {
        self.busy.swap_remove(target);
    }
}
