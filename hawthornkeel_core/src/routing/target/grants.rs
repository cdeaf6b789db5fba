//! Grants in hand for a target, and when the next one is asked for.

use crate::lease::LeaseSettings;
use crate::lease::message::GrantId;
use crate::routing::target::Target;
use crate::routing::target::Warmth;
use crate::time::Instant;

/// Part of a grant's time after which a request for one gets a new number.
const RENUMBER_PART: u32 = 4;

/// Grant in hand.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub id: GrantId,
    pub got: Instant,
    /// Time until which a call may be sent: half of the grant's time is left for it then.
    pub use_by: Instant,
    /// Time at which the call must have ended.
    pub until: Instant,
}

/// Grant request that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub number: u64,
    pub sent: Instant,
}

impl Target {
    /// Tells whether a grant would be of use now.
    pub fn wants_grant(&self, now: Instant) -> bool {
        let proved = self.warmth == Warmth::Warm;
        self.accepts_work() && !proved && now >= self.down_until && self.grants.is_empty()
    }

    /// Returns the number of a grant request that is due now: a new one, or one sent again.
    ///
    /// A request that is sent again keeps its number and the time of its first sending, from which
    /// the grant's time counts.
    pub fn due_request(
        &mut self,
        now: Instant,
        lease: &LeaseSettings,
        next: &mut u64,
    ) -> Option<u64> {
        if now < self.ask_after {
            return None;
        }
        self.ask_after = now + lease.resend_timeout;
        let old = |p: &Pending| now.since(p.sent) >= lease.grant_duration / RENUMBER_PART;
        self.pending.take_if(|p| old(p));
        let pending = self.pending.get_or_insert_with(|| {
            *next += 1;
            Pending { number: *next, sent: now }
        });
        Some(pending.number)
    }

    /// Lets the next grant be asked for at once, after a call under the last one was answered.
    ///
    /// After a failed call the pause stands: grants of calls that may still run stay used up.
    pub fn ask_again(&mut self, now: Instant) {
        if self.pending.is_none() {
            self.ask_after = now;
        }
    }
}
