//! Decides when an order may be sent to a target.
//!
//! Only the leader of the replicated log sends orders. A target that checks fencing numbers refuses
//! the orders of a previous leader by itself. For a target that ignores them, a new leader first
//! waits until the previous leader's lease has expired and its last order must have completed.

use std::time::Duration;

use indexmap::IndexSet;

use crate::document::Fencing;
use crate::ids::Term;
use crate::names::TargetName;
use crate::time::Instant;

/// Timing of leases and orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderSettings {
    /// Time after the last renewal at which a leader's lease has expired.
    pub lease: Duration,
    /// Time after sending at which an unanswered order is abandoned.
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
    /// This instance is not the leader or does not hold the lease.
    NotLeader,
    /// An order of a previous leader may still be in flight until this time.
    NotBefore(Instant),
    /// Another order to the same target is in flight.
    Busy,
}

/// Term in which this instance leads and holds the lease, or `None` if it does not.
pub type LeaderTerm = Option<Term>;

/// Decides whether this instance may send an order to a target.
#[derive(Clone, Debug, Default)]
pub struct OrderGate {
    settings: OrderSettings,
    term: Term,
    term_start: Instant,
    in_flight: IndexSet<TargetName>,
}

impl OrderGate {
    /// Creates the gate of an instance that has not been the leader so far.
    pub fn new(settings: OrderSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Updates the leadership of this instance.
    ///
    /// Must be called frequently, because the wait is counted from the first call in a term.
    pub fn observe(&mut self, now: Instant, leading: LeaderTerm) {
        if let Some(term) = leading
            && term != self.term
        {
            self.term = term;
            self.term_start = now;
        }
    }

    /// Marks an order to `target` as in flight if it may be sent now.
    ///
    /// # Errors
    /// Fails if this instance is not the leader, has to wait, or has another order to the target in
    /// flight.
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
        let safe_from = self.term_start + self.settings.lease + self.settings.timeout;
        match fencing {
            Fencing::Ignored if now < safe_from => return Err(OrderError::NotBefore(safe_from)),
            Fencing::Ignored | Fencing::Checked => {}
        }
        if !self.in_flight.insert(target.clone()) {
            return Err(OrderError::Busy);
        }
        Ok(())
    }

    /// Marks the order to `target` as answered or abandoned.
    pub fn finish(&mut self, target: &TargetName) {
        self.in_flight.swap_remove(target);
    }
}
