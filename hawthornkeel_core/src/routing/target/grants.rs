//! Grants held for a target, and when the next one is requested.

use crate::lease::LeaseSettings;
use crate::lease::message::GrantId;
use crate::routing::target::Target;
use crate::routing::target::Warmth;
use crate::time::Instant;

/// A request that stays pending for this fraction of a grant's duration gets a new number.
const RENUMBER_DIVISOR: u32 = 4;

/// Unused grant.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub id: GrantId,
    pub received: Instant,
    /// Time until which a call may be sent; half of the grant's duration is left for the call then.
    pub use_by: Instant,
    /// Time at which the call must have ended.
    pub expires: Instant,
}

/// Grant request that awaits a reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub number: u64,
    pub first_sent: Instant,
}

impl Target {
    /// Returns whether a grant could be used now.
    pub fn needs_grant(&self, now: Instant) -> bool {
        let proved = self.warmth == Warmth::Warm;
        self.accepts_work() && !proved && now >= self.backoff_until && self.grants.is_empty()
    }

    /// Returns the number of a grant request to send now, either a new request or a resend.
    ///
    /// A resend keeps the number and the time of the first transmission, from which the grant's
    /// duration is counted.
    pub fn due_request(
        &mut self,
        now: Instant,
        lease: &LeaseSettings,
        counter: &mut u64,
    ) -> Option<u64> {
        if now < self.next_request {
            return None;
        }
        self.next_request = now + lease.resend_timeout;
        self.direct_probe.grant_requested(now, lease);
        let old =
            |p: &PendingRequest| now.since(p.first_sent) >= lease.grant_duration / RENUMBER_DIVISOR;
        self.pending.take_if(|p| old(p));
        let pending = self.pending.get_or_insert_with(|| {
            *counter += 1;
            PendingRequest { number: *counter, first_sent: now }
        });
        Some(pending.number)
    }

    /// Allows the next grant request at once, after a call under the last grant was answered.
    ///
    /// The resend interval still applies after a failed call, as grants of calls that may still be
    /// running remain in use.
    pub fn request_now(&mut self, now: Instant) {
        if self.pending.is_none() {
            self.next_request = now;
        }
    }
}
