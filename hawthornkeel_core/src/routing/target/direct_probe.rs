//! Calls without a grant to a target that only seems overloaded, while its issuer doesn't respond.
//!
//! Answers the load of an entry that is cut off from the issuer after one stall: the process that it
//! proved warm still runs there, but nobody could confirm that, and all calls would wait until
//! their deadlines.

use std::time::Duration;

use crate::lease::LeaseSettings;
use crate::lease::SuspectReason;
use crate::time::Instant;

/// Number of unanswered grant requests after which the issuer counts as unreachable.
const UNANSWERED_REQUESTS: u32 = 5;

/// State of the direct probes of one target. Probes run one at a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DirectProbe {
    /// Whether the target is suspect only because it was slow or refused calls.
    allowed: bool,
    /// Time of the next probe, once grants have been requested.
    due: Option<Instant>,
    /// Time at which the probe in progress was sent.
    sent_at: Option<Instant>,
}

impl DirectProbe {
    /// Records why the target became suspect. Only a restart needs the issuer in any case.
    pub(crate) fn suspect(&mut self, reason: SuspectReason) {
        self.allowed = reason == SuspectReason::Overload;
        self.due = None;
    }

    /// Records that a grant was requested.
    pub(crate) fn grant_requested(&mut self, now: Instant, lease: &LeaseSettings) {
        if self.allowed {
            self.due.get_or_insert(now + lease.resend_timeout * UNANSWERED_REQUESTS);
        }
    }

    /// Records that the issuer granted a call.
    pub(crate) fn grant_received(&mut self) {
        self.due = None;
    }

    /// Returns whether a probe may be sent.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.allowed && self.due.is_some_and(|due| due <= now)
    }

    /// Records that a probe was sent.
    pub(crate) fn sent(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }

    /// Returns whether an ended call that was sent at `issued` was the probe.
    pub(crate) fn finish(&mut self, issued: Instant) -> bool {
        self.sent_at.take_if(|at| *at == issued).is_some()
    }

    /// Schedules the next probe after one that proved nothing.
    pub(crate) fn retry_after(&mut self, now: Instant, pause: Duration) {
        self.due = Some(now + pause);
    }
}
