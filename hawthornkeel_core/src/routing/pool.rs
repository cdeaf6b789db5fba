//! State that an entry keeps per pool.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::document::Pool;
use crate::names::CentreName;
use crate::names::TargetName;
use crate::routing::candidate::Candidate;
use crate::routing::fair_queue::FairQueue;
use crate::routing::latency::LatencyHistogram;
use crate::routing::router::EntryInfo;
use crate::routing::scores::Scores;
use crate::routing::settings::RouterSettings;
use crate::routing::shares;
use crate::routing::shares::CentreCount;
use crate::routing::shares::ShareRounding;
use crate::routing::subset;
use crate::routing::target::Target;
use crate::routing::token_bucket::TokenBucket;
use crate::time::Instant;

/// Maximum number of prompt prefixes whose target is remembered.
const MAX_PREFIXES: usize = 4096;
/// Interval at which a call is let through to measure a pool that seems too slow for any deadline.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);

/// Weight of a new sample in the average call time.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Number of consecutive failed calls, over all targets, after which the whole pool is failing.
const FAILING_AFTER: u32 = 2;
/// Time after a failure during which retries wait while the whole pool is failing.
const RETRY_HOLDOFF: Duration = Duration::from_millis(500);

/// Target that probably has a prompt prefix in its cache.
#[derive(Clone, Debug)]
struct PrefixLocation {
    target: TargetName,
    sequence: u64,
}

/// State that an entry keeps per pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub config: Pool,
    pub targets: IndexMap<TargetName, Target>,
    /// Data centres that have had targets; `Target::centre` is an index into this set.
    centres: IndexSet<CentreName>,
    /// Summaries used for selection, in the order of `targets`.
    pub candidates: Vec<Candidate>,
    pub scores: Scores,
    /// Number of near targets that accept work and aren't down.
    pub near_usable: u32,
    /// Number of targets that accept work and are proved warm.
    pub warm_targets: u32,
    /// Sum of the targets' capacities.
    pub capacity: u64,
    /// Waiting calls that haven't run before.
    pub queue: FairQueue,
    /// Waiting retries, which may have run before.
    pub retry_queue: FairQueue,
    pub latencies: LatencyHistogram,
    /// Moving average of the call time over all targets, in microseconds.
    pub average_micros: f64,
    pub retry_budget: TokenBucket,
    pub hedge_budget: TokenBucket,
    /// Number of admitted requests that still need this pool.
    pub outstanding: u64,
    /// Whether the document no longer names the pool. It is dropped with the last request that
    /// needs it.
    pub removed: bool,
    /// Earliest time at which a target's backoff ends.
    pub backoff_end: Option<Instant>,
    /// Failed calls since the last answer of any target.
    failures: u32,
    /// Time from which retries may be sent, while the whole pool is failing.
    pub retry_at: Instant,
    /// Last time that a call requested the pool.
    pub last_request: Option<Instant>,
    /// Time of the next call that is let through despite long measured times.
    pub next_measurement: Instant,
    prefixes: IndexMap<u64, PrefixLocation>,
    evict_index: usize,
}

impl PoolState {
    /// Creates a pool without targets.
    pub fn new(config: Pool, set: &RouterSettings) -> Self {
        Self {
            config,
            targets: IndexMap::new(),
            centres: IndexSet::new(),
            candidates: Vec::new(),
            scores: Scores::default(),
            near_usable: 0,
            warm_targets: 0,
            capacity: 0,
            queue: FairQueue::default(),
            retry_queue: FairQueue::default(),
            latencies: LatencyHistogram::default(),
            average_micros: 0.0,
            retry_budget: TokenBucket::new(set.retry_share, set.retry_burst),
            hedge_budget: TokenBucket::new(set.hedge_share, set.hedge_burst),
            outstanding: 0,
            removed: false,
            backoff_end: None,
            failures: 0,
            retry_at: Instant::ZERO,
            last_request: None,
            next_measurement: Instant::ZERO,
            prefixes: IndexMap::new(),
            evict_index: 0,
        }
    }

    /// Returns whether the pool is neither named by the document nor needed by a request.
    pub fn is_obsolete(&self) -> bool {
        self.removed && self.outstanding == 0
    }

    /// Returns the median call time, or zero before the first measurement.
    pub fn median(&self) -> Duration {
        self.latencies.median().unwrap_or_default()
    }

    /// Records a first attempt, which adds to the retry and hedge budgets.
    pub fn record_first_attempt(&mut self) {
        self.retry_budget.deposit();
        self.hedge_budget.deposit();
    }

    /// Records an answer of any target.
    pub fn record_answer(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        let first = self.average_micros == 0.0;
        self.average_micros = if first {
            micros
        } else {
            self.average_micros + (micros - self.average_micros) * AVERAGE_WEIGHT
        };
        self.failures = 0;
        self.retry_at = Instant::ZERO;
    }

    /// Records a failed call. While the whole pool is failing, only first attempts probe it.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILING_AFTER {
            self.retry_at = now + RETRY_HOLDOFF;
        }
    }

    /// Returns whether a call may proceed despite long measured times: one per `MEASURE_INTERVAL`.
    pub fn allow_measurement(&mut self, now: Instant) -> bool {
        if now < self.next_measurement {
            return false;
        }
        self.next_measurement = now + MEASURE_INTERVAL;
        true
    }

    /// Returns the expected time until `calls` more calls have been started.
    pub fn queue_delay(&self, calls: f64) -> Duration {
        let slots = (self.capacity as f64).max(1.0);
        self.median().mul_f64((calls / slots).min(1e6))
    }

    /// Counts the entries and the usable targets per data centre.
    fn count_by_centre(&self, entries: &[EntryInfo]) -> IndexMap<CentreName, CentreCount> {
        let mut counts: IndexMap<CentreName, CentreCount> = IndexMap::new();
        for entry in entries {
            counts.entry(entry.centre.clone()).or_default().entries += 1;
        }
        for target in self.targets.values() {
            let count = counts.entry(target.info.centre.clone()).or_default();
            count.targets += usize::from(target.is_serving());
        }
        counts
    }

    /// Computes this entry's shares of the targets' limits.
    pub fn assign_shares(&mut self, own: &EntryInfo, entries: &[EntryInfo], target_entries: usize) {
        let counts = self.count_by_centre(entries);
        let Some(entry) = counts.get_index_of(&own.centre) else {
            return;
        };
        let list: Vec<CentreCount> = counts.values().copied().collect();
        let mut rounding = share_rounding(own, entries);
        let max_calls = f64::from(self.config.warm_limit);
        let mut fractions: Vec<Option<f64>> = vec![None; list.len()];
        for target in self.targets.values_mut() {
            let Some(centre) = counts.get_index_of(&target.info.centre) else {
                continue;
            };
            let Some(fraction) = fractions.get_mut(centre) else {
                continue;
            };
            let fraction = *fraction
                .get_or_insert_with(|| shares::target_share(&list, centre, entry, target_entries));
            target.share =
                if target.in_subset { rounding.round(fraction * max_calls) } else { 0.0 };
            target.update_limit(max_calls);
        }
    }

    /// Adds a target.
    pub fn insert(&mut self, mut target: Target) {
        let (centre, _) = self.centres.insert_full(target.info.centre.clone());
        target.centre = u16::try_from(centre).unwrap_or(u16::MAX);
        let name = target.info.name.clone();
        if self.targets.insert(name, target).is_none() {
            self.candidates.push(Candidate::default());
            self.scores.push();
        }
    }

    /// Removes the target at `index`.
    pub fn remove(&mut self, index: usize) -> Option<Target> {
        let (_, target) = self.targets.swap_remove_index(index)?;
        if index < self.candidates.len() {
            let candidate = self.candidates.swap_remove(index);
            self.scores.swap_remove(index);
            self.subtract(&candidate);
        }
        Some(target)
    }

    /// Updates the selection data of the target at `index`.
    pub fn refresh(&mut self, now: Instant, index: usize, set: &RouterSettings) {
        let latency = self.median().as_micros() as f64;
        let (Some((_, target)), Some(candidate)) =
            (self.targets.get_index(index), self.candidates.get_mut(index))
        else {
            return;
        };
        let old = *candidate;
        *candidate = target.candidate(now, &self.config, latency, set);
        let new = *candidate;
        if now < target.backoff_until {
            let end = target.backoff_until;
            self.backoff_end = Some(self.backoff_end.map_or(end, |e| e.min(end)));
        }
        self.subtract(&old);
        self.add(&new);
        self.scores.set(index, &new);
    }

    /// Adds a target to the totals.
    fn add(&mut self, candidate: &Candidate) {
        self.capacity += u64::from(candidate.capacity);
        self.near_usable += u32::from(candidate.near && candidate.usable);
        self.warm_targets += u32::from(candidate.warm);
    }

    /// Subtracts a target from the totals.
    fn subtract(&mut self, candidate: &Candidate) {
        self.capacity -= u64::from(candidate.capacity);
        self.near_usable -= u32::from(candidate.near && candidate.usable);
        self.warm_targets -= u32::from(candidate.warm);
    }

    /// Updates the selection data of all targets.
    pub fn refresh_all(&mut self, now: Instant, set: &RouterSettings) {
        self.backoff_end = None;
        for index in 0..self.targets.len() {
            self.refresh(now, index, set);
        }
    }

    /// Updates the selection data once a target's backoff has ended.
    pub fn refresh_after_backoff(&mut self, now: Instant, set: &RouterSettings) {
        if self.backoff_end.is_some_and(|at| at <= now) {
            self.refresh_all(now, set);
        }
    }

    /// Adds targets to the subset until it holds `wanted` targets, near ones first.
    pub fn fill_subset(&mut self, own: u64, wanted: usize) {
        let present = self.targets.values().filter(|t| t.in_subset).count();
        let missing = wanted.saturating_sub(present);
        if missing == 0 {
            return;
        }
        let key = |t: &Target| (t.near, subset::rank(own, subset::name_hash(t.info.name.as_str())));
        let mut rest: Vec<&mut Target> =
            self.targets.values_mut().filter(|t| !t.in_subset).collect();
        rest.sort_by_cached_key(|t| std::cmp::Reverse(key(t)));
        for target in rest.into_iter().take(missing) {
            target.in_subset = true;
        }
    }

    /// Returns the index of the target that probably has `prefix` in its cache.
    pub fn prefix_target(&self, prefix: u64) -> Option<usize> {
        let location = self.prefixes.get(&prefix)?;
        self.targets.get_index_of(&location.target)
    }

    /// Records that a target probably has `prefix` in its cache.
    ///
    /// A hint from the same target with a lower sequence number than the last is ignored.
    pub fn record_prefix(&mut self, prefix: u64, target: &TargetName, sequence: u64) {
        let location = PrefixLocation { target: target.clone(), sequence };
        if let Some(old) = self.prefixes.get_mut(&prefix) {
            if old.target != *target || old.sequence <= sequence {
                *old = location;
            }
            return;
        }
        if self.prefixes.len() < MAX_PREFIXES {
            self.prefixes.insert(prefix, location);
            return;
        }
        self.evict_index = (self.evict_index + 1) % MAX_PREFIXES;
        self.prefixes.swap_remove_index(self.evict_index);
        self.prefixes.insert(prefix, location);
    }
}

/// Returns the rounding of an entry's shares, by its index among the entries of its data centre.
fn share_rounding(own: &EntryInfo, entries: &[EntryInfo]) -> ShareRounding {
    let near = entries.iter().filter(|e| e.centre == own.centre);
    let count = near.clone().count();
    let index = near.filter(|e| e.id.name < own.id.name).count();
    ShareRounding::new(index, count)
}
