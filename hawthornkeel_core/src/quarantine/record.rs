//! What is believed of one subject, as instances tell each other.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::quarantine::evidence::Subject;
use crate::time::Instant;

/// Time after a subject was rejected until one request with it may run as a probe.
const FIRST_PROBE: Duration = Duration::from_secs(20);
/// Factor by which the time to each further probe grows: each that fails ends one more target.
const PROBE_GROWTH: u32 = 8;
/// Longest time between two probes.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(6 * 3_600);

/// Suspicion of a subject.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Suspicion {
    /// None.
    #[default]
    Clear,
    /// Requests with it are not repeated.
    Suspected,
    /// Requests with it are rejected, but for a probe.
    Rejected,
}

/// What is believed of a subject. Every time only rises as records are merged.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Belief {
    /// Last time at which it became suspected.
    pub(super) suspected: Option<Instant>,
    /// Last time at which it became rejected.
    pub(super) rejected: Option<Instant>,
    /// Time of the last sound run that is known.
    pub(super) sound: Option<Instant>,
    /// Parts that all its evidence holds as well and that are no less suspect.
    pub(super) companions: Vec<Subject>,
    /// Time at which a probe was lent last.
    pub(super) probed: Option<Instant>,
    /// Number of probes since it was rejected.
    pub(super) probes: u32,
}

impl Belief {
    /// Returns the suspicion, which a later sound run ends.
    pub(super) fn suspicion(&self) -> Suspicion {
        let stands = |at: Option<Instant>| at.is_some() && at > self.sound;
        match (stands(self.rejected), stands(self.suspected)) {
            (true, _) => Suspicion::Rejected,
            (false, true) => Suspicion::Suspected,
            (false, false) => Suspicion::Clear,
        }
    }

    /// Returns the time from which the next probe may be lent.
    pub(super) fn probe_at(&self) -> Option<Instant> {
        let rejected = self.rejected.filter(|_| self.suspicion() == Suspicion::Rejected)?;
        let interval = FIRST_PROBE.saturating_mul(PROBE_GROWTH.saturating_pow(self.probes));
        Some(self.probed.unwrap_or(rejected).max(rejected) + interval.min(MAX_PROBE_INTERVAL))
    }

    /// Rejects the subject.
    pub(super) fn reject(&mut self, now: Instant, companions: Vec<Subject>) {
        self.suspected = Some(now);
        self.rejected = Some(now);
        self.companions = companions;
        (self.probed, self.probes) = (None, 0);
    }

    /// Returns the time of the last change.
    pub(super) fn changed(&self) -> Option<Instant> {
        self.suspected.max(self.rejected).max(self.sound).max(self.probed)
    }

    /// Merges what another instance believes.
    pub(super) fn merge(&mut self, other: Self) {
        let both_reject = [&*self, &other].iter().all(|b| b.suspicion() == Suspicion::Rejected);
        if both_reject {
            // The evidence of both holds, so only what both name is left.
            self.companions.retain(|c| other.companions.contains(c));
        } else if other.rejected > self.rejected {
            self.companions = other.companions;
        }
        if other.probed > self.probed {
            self.probes = other.probes;
        }
        self.suspected = later(self.suspected, other.suspected);
        self.rejected = later(self.rejected, other.rejected);
        self.sound = later(self.sound, other.sound);
        self.probed = later(self.probed, other.probed);
    }

    /// Returns the record of a subject for another instance.
    pub(super) fn record(&self, now: Instant, subject: Subject) -> SubjectRecord {
        let age = |at: Option<Instant>| at.map(|at| now.millis_since(at));
        SubjectRecord {
            subject,
            suspected_ms: age(self.suspected),
            rejected_ms: age(self.rejected),
            sound_ms: age(self.sound),
            companions: self.companions.clone(),
            probed_ms: age(self.probed),
            probes: self.probes,
        }
    }
}

/// Returns the later one of two times of an event.
///
/// Times that may be the same stay as they are, so that they do not rise with each exchange.
fn later(own: Option<Instant>, other: Option<Instant>) -> Option<Instant> {
    match (own, other) {
        (Some(own), Some(other)) if other.is_clearly_after(own) => Some(other),
        (None, other) => other,
        (own, _) => own,
    }
}

/// What an instance believes of a subject; times are relative to when it is sent, in milliseconds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubjectRecord {
    /// Part.
    pub subject: Subject,
    /// Time since it became suspected last.
    pub suspected_ms: Option<u32>,
    /// Time since it became rejected last.
    pub rejected_ms: Option<u32>,
    /// Time since the last sound run.
    pub sound_ms: Option<u32>,
    /// Parts that all its evidence holds as well: only requests with all of them are rejected.
    pub companions: Vec<Subject>,
    /// Time since a probe was lent last.
    pub probed_ms: Option<u32>,
    /// Number of probes since it was rejected.
    pub probes: u32,
}

impl SubjectRecord {
    /// Returns the belief that a record received at `now` tells.
    pub(super) fn belief(&self, now: Instant) -> Belief {
        let at = |ms: Option<u32>| ms.map(|ms| now.before_millis(ms));
        Belief {
            suspected: at(self.suspected_ms),
            rejected: at(self.rejected_ms),
            sound: at(self.sound_ms),
            companions: self.companions.clone(),
            probed: at(self.probed_ms),
            probes: self.probes,
        }
    }
}
