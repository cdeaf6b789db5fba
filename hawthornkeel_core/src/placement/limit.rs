//! Limits that targets name: the requests a second that one takes from all entries together.
//!
//! A few entries, the senders, share out the rate of a target in equal parts, and each may send one
//! request at once. All together they send at most `senders + window * rate` requests in a window,
//! and there are only as many senders as [`LimitBounds`] allow. The other entries send nothing; they
//! hear of changes through the control instances.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::ProcessId;
use crate::names::InstanceName;
use crate::time::Instant;

/// Requests by which the senders stay below the bound, as requests may be held up on their way.
const SENDER_MARGIN: f64 = 1.0;
/// Time after which an entry that does not send to a target asks again whether it may.
const OTHERS_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which a sender waits for its next request.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Part of a token that rounding may take.
const ROUNDING: f64 = 1e-6;
/// Time for which a control instance keeps a report that nobody repeats.
const REPORT_TTL: Duration = Duration::from_secs(120);

/// Rate of requests, in requests per 1,000 s.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// Bound of the requests that a limited target gets from all entries in any window: `factor` times
/// what its limit allows, and `slack` more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBounds {
    /// Window.
    pub window: Duration,
    /// Factor of the requests that the limit allows.
    pub factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for LimitBounds {
    fn default() -> Self {
        Self { window: Duration::from_secs(4), factor: 1.5, slack: 5.0 }
    }
}

impl LimitBounds {
    /// Returns the number of entries that may each send one request at once, beside the rate.
    fn max_senders(&self, rate: RequestRate) -> usize {
        let allowed = rate.per_second() * self.window.as_secs_f64();
        let room = allowed * (self.factor - 1.0) + self.slack - SENDER_MARGIN;
        // The cast saturates.
        room.max(1.0) as usize
    }
}

/// What an entry knows of the entries that may send to targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryView {
    /// This entry.
    pub own: InstanceName,
    /// Entries that serve callers, this one included.
    pub entries: Vec<InstanceName>,
    /// Recent peak of their number; those that are gone may still send.
    pub peak: usize,
}

/// Part of an entry in the limit of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct LimitShare {
    /// Number of entries that share out the rate.
    senders: usize,
    /// Whether this entry is one of them.
    sends: bool,
}

impl LimitShare {
    /// Part of an entry that may send nothing.
    pub(super) const NONE: Self = Self { senders: 1, sends: false };
}

impl EntryView {
    /// Returns the part in the limit of a process; entries with the same view agree on the senders.
    pub(super) fn share(
        &self,
        process: ProcessId,
        rate: RequestRate,
        bounds: &LimitBounds,
    ) -> LimitShare {
        let count = self.peak.max(self.entries.len()).max(1);
        let senders = count.min(bounds.max_senders(rate));
        let own = self.rank(process, &self.own);
        let is_before = |e: &&InstanceName| **e != self.own && self.rank(process, e) < own;
        let before = self.entries.iter().filter(is_before).count();
        LimitShare { senders, sends: before < senders }
    }

    /// Returns the rank of an entry at a process, by which entries with the same view agree.
    pub(super) fn rank(&self, process: ProcessId, name: &InstanceName) -> u64 {
        xxh3_64_with_seed(name.as_str().as_bytes(), process.0)
    }
}

/// Requests that one entry may send to a limited target: a token bucket for one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitBucket {
    rate: RequestRate,
    share: LimitShare,
    tokens: f64,
    refilled: Instant,
}

impl LimitBucket {
    /// Creates a bucket without a token: others may have sent just now.
    pub(super) fn new(now: Instant, rate: RequestRate, share: LimitShare) -> Self {
        Self { rate, share, tokens: 0.0, refilled: now }
    }

    /// Applies another rate or share. An entry that becomes a sender starts without a token.
    pub(super) fn update(&mut self, now: Instant, rate: RequestRate, share: LimitShare) {
        let keeps = self.share.sends && share.sends;
        let tokens = if keeps { self.tokens_at(now) } else { 0.0 };
        *self = Self { rate, share, tokens, refilled: now };
    }

    /// Returns the rate of all entries together.
    pub(super) fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Takes the token of a request that is sent at `now`.
    pub(super) fn record_sent(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.refilled = now;
    }

    /// Returns the time at which the next request may be sent; `None` if it may at `now`.
    pub(super) fn opens_at(&self, now: Instant) -> Option<Instant> {
        if !self.share.sends {
            return Some(now + OTHERS_WAIT);
        }
        let missing = 1.0 - self.tokens_at(now);
        if missing <= ROUNDING {
            return None;
        }
        let wait = Duration::try_from_secs_f64(missing / self.pace()).unwrap_or(MAX_WAIT);
        Some(now + wait.min(MAX_WAIT))
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let earned = now.since(self.refilled).as_secs_f64() * self.pace();
        (self.tokens + earned).min(1.0)
    }

    /// Returns this entry's requests a second.
    fn pace(&self) -> f64 {
        self.rate.per_second() / self.share.senders as f64
    }
}

/// What an instance has heard of the limit of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Process.
    pub process: ProcessId,
    /// Limit, or `None` if the process names none any more.
    pub rate: Option<RequestRate>,
    /// Time since that was heard, in milliseconds.
    pub age_ms: u32,
}

/// Limits of all targets as a control instance knows them from the entries.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    limits: IndexMap<ProcessId, (Option<RequestRate>, Instant)>,
}

impl LimitTable {
    /// Merges reports of entries or of another control instance.
    pub fn merge(&mut self, now: Instant, reports: &[LimitReport]) {
        for report in reports {
            let heard = now.before_millis(report.age_ms);
            let known = self.limits.entry(report.process).or_insert((report.rate, heard));
            if heard.is_clearly_after(known.1) {
                *known = (report.rate, heard);
            }
        }
        self.limits.retain(|_, (_, heard)| now.since(*heard) < REPORT_TTL);
    }

    /// Returns all that is known.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let report = |(process, (rate, heard)): (&ProcessId, &(_, Instant))| LimitReport {
            process: *process,
            rate: *rate,
            age_ms: now.millis_since(*heard),
        };
        self.limits.iter().map(report).collect()
    }

    /// Returns a hash that differs between different limits; never zero.
    pub fn mark(&self) -> u64 {
        let text = |(process, (rate, _)): (&ProcessId, &(Option<RequestRate>, _))| {
            format!("{}/{rate:?};", process.0)
        };
        let mut texts: Vec<String> = self.limits.iter().map(text).collect();
        texts.sort();
        xxh3_64(texts.concat().as_bytes()).max(1)
    }
}
