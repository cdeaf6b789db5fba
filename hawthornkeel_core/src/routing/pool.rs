//! State that an entry keeps of one pool.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::document::Pool;
use crate::names::CentreName;
use crate::names::TargetName;
use crate::routing::candidate::Hot;
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

/// Prompt prefixes whose place is remembered, at most.
const PREFIXES: usize = 4096;
/// Time between two calls that measure a pool which seems too slow for any deadline.
const TRY_PAUSE: Duration = Duration::from_millis(250);

/// Weight of a new sample in the average of the last calls.
const RECENT_WEIGHT: f64 = 0.1;
/// Failed calls in a row, over all targets, after which the pool as a whole fails.
const FAILS_AFTER: u32 = 2;
/// Time after a failure during which repeated calls wait while the pool as a whole fails.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Target that probably holds a prompt prefix.
#[derive(Clone, Debug)]
struct Place {
    target: TargetName,
    sequence: u64,
}

/// State that an entry keeps of one pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub config: Pool,
    pub targets: IndexMap<TargetName, Target>,
    /// Data centres that targets have been in; their positions are their numbers.
    centres: IndexSet<CentreName>,
    /// What a choice reads, in the order of `targets`.
    pub hot: Vec<Hot>,
    pub scores: Scores,
    /// Near targets that take work and aren't down.
    pub near_usable: u32,
    /// Targets that take work and are proved warm.
    pub warm: u32,
    /// Sum of the targets' capacities.
    pub capacity: u64,
    /// Calls that wait, but for those in `repeats`.
    pub queue: FairQueue,
    /// Calls that wait and may have run before.
    pub repeats: FairQueue,
    pub times: LatencyHistogram,
    /// Average of the last calls of all targets, in microseconds.
    pub recent: f64,
    pub retries: TokenBucket,
    pub hedges: TokenBucket,
    /// Admitted requests that still need this pool.
    pub committed: u64,
    /// Whether the document no longer names the pool: it ends with the last request that needs it.
    pub removed: bool,
    /// Time at which a target that is left alone may open again.
    pub reopen: Option<Instant>,
    /// Failed calls since the last answer of any target.
    failures: u32,
    /// Time from which repeated calls may go, while the pool as a whole fails.
    pub retry_at: Instant,
    /// Last time that a call asked for the pool.
    pub wanted: Option<Instant>,
    /// Time from which a call is let through although measured times are too long.
    pub try_at: Instant,
    places: IndexMap<u64, Place>,
    oldest: usize,
}

impl PoolState {
    /// Creates a pool without targets.
    pub fn new(config: Pool, set: &RouterSettings) -> Self {
        Self {
            config,
            targets: IndexMap::new(),
            centres: IndexSet::new(),
            hot: Vec::new(),
            scores: Scores::default(),
            near_usable: 0,
            warm: 0,
            capacity: 0,
            queue: FairQueue::default(),
            repeats: FairQueue::default(),
            times: LatencyHistogram::default(),
            recent: 0.0,
            retries: TokenBucket::new(set.retry_share, set.retry_burst),
            hedges: TokenBucket::new(set.hedge_share, set.hedge_burst),
            committed: 0,
            removed: false,
            reopen: None,
            failures: 0,
            retry_at: Instant::ZERO,
            wanted: None,
            try_at: Instant::ZERO,
            places: IndexMap::new(),
            oldest: 0,
        }
    }

    /// Tells whether the pool is neither named by the document nor needed by a request.
    pub fn is_over(&self) -> bool {
        self.removed && self.committed == 0
    }

    /// Returns the median time of a call, or zero while none was measured.
    pub fn median(&self) -> Duration {
        self.times.median().unwrap_or_default()
    }

    /// Counts a first call, from which the budgets of repeated calls grow.
    pub fn earn(&mut self) {
        self.retries.deposit();
        self.hedges.deposit();
    }

    /// Takes an answer of any target.
    pub fn answered(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        let first = self.recent == 0.0;
        self.recent =
            if first { micros } else { self.recent + (micros - self.recent) * RECENT_WEIGHT };
        self.failures = 0;
        self.retry_at = Instant::ZERO;
    }

    /// Takes a failed call; while the pool as a whole fails, only first calls probe it.
    pub fn failed(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILS_AFTER {
            self.retry_at = now + RETRY_PAUSE;
        }
    }

    /// Tells whether a call may go although measured times are too long: one in a pause.
    pub fn may_try(&mut self, now: Instant) -> bool {
        if now < self.try_at {
            return false;
        }
        self.try_at = now + TRY_PAUSE;
        true
    }

    /// Returns the expected time until `calls` more calls have been taken up.
    pub fn wait_for(&self, calls: f64) -> Duration {
        let slots = (self.capacity as f64).max(1.0);
        self.median().mul_f64((calls / slots).min(1e6))
    }

    /// Counts the entries and the usable targets by data centre.
    fn counts(&self, entries: &[EntryInfo]) -> IndexMap<CentreName, CentreCount> {
        let mut counts: IndexMap<CentreName, CentreCount> = IndexMap::new();
        for entry in entries {
            counts.entry(entry.centre.clone()).or_default().entries += 1;
        }
        for target in self.targets.values() {
            let count = counts.entry(target.info.centre.clone()).or_default();
            count.targets += usize::from(target.serves());
        }
        counts
    }

    /// Works out this entry's shares of the targets' limits.
    pub fn share_out(&mut self, own: &EntryInfo, entries: &[EntryInfo], places: usize) {
        let counts = self.counts(entries);
        let Some(entry) = counts.get_index_of(&own.centre) else {
            return;
        };
        let list: Vec<CentreCount> = counts.values().copied().collect();
        let mut rounding = rounding(own, entries);
        let most = f64::from(self.config.warm_limit);
        let mut parts: Vec<Option<f64>> = vec![None; list.len()];
        for target in self.targets.values_mut() {
            let Some(centre) = counts.get_index_of(&target.info.centre) else {
                continue;
            };
            let Some(part) = parts.get_mut(centre) else {
                continue;
            };
            let part =
                *part.get_or_insert_with(|| shares::target_share(&list, centre, entry, places));
            target.share = if target.known { rounding.round(part * most) } else { 0.0 };
            target.bound(most);
        }
    }

    /// Adds a target.
    pub fn insert(&mut self, mut target: Target) {
        let (centre, _) = self.centres.insert_full(target.info.centre.clone());
        target.centre = u16::try_from(centre).unwrap_or(u16::MAX);
        let name = target.info.name.clone();
        if self.targets.insert(name, target).is_none() {
            self.hot.push(Hot::default());
            self.scores.push();
        }
    }

    /// Removes the target at `index`.
    pub fn remove(&mut self, index: usize) -> Option<Target> {
        let (_, target) = self.targets.swap_remove_index(index)?;
        if index < self.hot.len() {
            let hot = self.hot.swap_remove(index);
            self.scores.swap_remove(index);
            self.uncount(&hot);
        }
        Some(target)
    }

    /// Brings what a choice reads of the target at `index` up to date.
    pub fn refresh(&mut self, now: Instant, index: usize, set: &RouterSettings) {
        let latency = self.median().as_micros() as f64;
        let (Some((_, target)), Some(hot)) =
            (self.targets.get_index(index), self.hot.get_mut(index))
        else {
            return;
        };
        let old = *hot;
        *hot = target.hot(now, &self.config, latency, set);
        let new = *hot;
        if now < target.down_until {
            let reopen = target.down_until;
            self.reopen = Some(self.reopen.map_or(reopen, |r| r.min(reopen)));
        }
        self.uncount(&old);
        self.count(&new);
        self.scores.set(index, &new);
    }

    /// Adds a target to the sums.
    fn count(&mut self, hot: &Hot) {
        self.capacity += u64::from(hot.capacity);
        self.near_usable += u32::from(hot.near && hot.usable);
        self.warm += u32::from(hot.warm);
    }

    /// Takes a target out of the sums.
    fn uncount(&mut self, hot: &Hot) {
        self.capacity -= u64::from(hot.capacity);
        self.near_usable -= u32::from(hot.near && hot.usable);
        self.warm -= u32::from(hot.warm);
    }

    /// Brings what a choice reads of all targets up to date.
    pub fn refresh_all(&mut self, now: Instant, set: &RouterSettings) {
        self.reopen = None;
        for index in 0..self.targets.len() {
            self.refresh(now, index, set);
        }
    }

    /// Opens targets whose time of being left alone has passed.
    pub fn reopen(&mut self, now: Instant, set: &RouterSettings) {
        if self.reopen.is_some_and(|at| at <= now) {
            self.refresh_all(now, set);
        }
    }

    /// Adds targets to the subset until the entry knows `wanted` of them, near ones first.
    pub fn top_up(&mut self, own: u64, wanted: usize) {
        let known = self.targets.values().filter(|t| t.known).count();
        let missing = wanted.saturating_sub(known);
        if missing == 0 {
            return;
        }
        let key = |t: &Target| (t.near, subset::rank(own, subset::name_hash(t.info.name.as_str())));
        let mut rest: Vec<&mut Target> = self.targets.values_mut().filter(|t| !t.known).collect();
        rest.sort_by_cached_key(|t| std::cmp::Reverse(key(t)));
        for target in rest.into_iter().take(missing) {
            target.known = true;
        }
    }

    /// Returns the position of the target that probably holds `prefix`.
    pub fn place(&self, prefix: u64) -> Option<usize> {
        let place = self.places.get(&prefix)?;
        self.targets.get_index_of(&place.target)
    }

    /// Remembers that a target probably holds `prefix`; a hint older than the last is ignored.
    pub fn remember(&mut self, prefix: u64, target: &TargetName, sequence: u64) {
        let place = Place { target: target.clone(), sequence };
        if let Some(old) = self.places.get_mut(&prefix) {
            if old.target != *target || old.sequence <= sequence {
                *old = place;
            }
            return;
        }
        if self.places.len() < PREFIXES {
            self.places.insert(prefix, place);
            return;
        }
        self.oldest = (self.oldest + 1) % PREFIXES;
        self.places.swap_remove_index(self.oldest);
        self.places.insert(prefix, place);
    }
}

/// Returns the rounding of an entry's shares, by its place among those of its data centre.
fn rounding(own: &EntryInfo, entries: &[EntryInfo]) -> ShareRounding {
    let near = entries.iter().filter(|e| e.centre == own.centre);
    let count = near.clone().count();
    let index = near.filter(|e| e.id.name < own.id.name).count();
    ShareRounding::new(index, count)
}
