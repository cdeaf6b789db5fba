//! Choice of the entry that sends a request for one that has lost its links to the targets.
//!
//! Designed for half of a data centre that needs help at once: each entry spreads its requests over
//! all entries that it knows, by what these have said about their links and their load, so that the
//! few that are nearest are not overloaded.

use std::time::Duration;

use indexmap::IndexMap;

use crate::fleet::ServingEntry;
use crate::fleet::reachability::Reachability;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::time::Instant;

/// Time for which an entry that has declined a pool is not asked about it again.
const DECLINED_TIME: Duration = Duration::from_secs(1);
/// Requests in progress for which an entry in another data centre is worth avoiding.
const REMOTE_LOAD: u32 = 2;
/// Load of an entry that has not told it.
const UNKNOWN_LOAD: u32 = 4;

/// What one entry knows of the others as helpers.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    declined: IndexMap<(InstanceName, PoolName), Instant>,
    /// Requests in progress at an entry when it answered last.
    loads: IndexMap<InstanceName, u32>,
    /// Requests that this entry has at each of the others.
    sent: IndexMap<InstanceName, u32>,
}

/// What decides on the helper of a request.
#[derive(Clone, Copy, Debug)]
pub struct HelperQuery<'a> {
    /// Pool.
    pub pool: &'a PoolName,
    /// This entry.
    pub own: &'a InstanceName,
    /// Its data centre.
    pub centre: &'a CentreName,
    /// Entries that serve callers.
    pub entries: &'a [ServingEntry],
    /// Entries that don't respond.
    pub reachability: &'a Reachability,
    /// Entries that were asked before.
    pub tried: &'a [InstanceName],
    /// Random number, by which two candidates are drawn.
    pub random: u64,
}

impl Helpers {
    /// Chooses the less loaded of two entries drawn at random, or returns `None` if none is left.
    pub fn choose(&self, now: Instant, query: &HelperQuery<'_>) -> Option<InstanceName> {
        let is_candidate = |e: &&ServingEntry| {
            e.name != *query.own
                && !query.tried.contains(&e.name)
                && !query.reachability.is_suspect(&e.name)
                && !self.has_declined(now, &e.name, query.pool)
        };
        let candidates: Vec<&ServingEntry> = query.entries.iter().filter(is_candidate).collect();
        let count = u64::try_from(candidates.len()).ok().filter(|c| *c > 0)?;
        let (first, second) = (query.random % count, (query.random >> 32) % count);
        let second = if first == second { first + 1 } else { second };
        let at = |index: u64| usize::try_from(index % count).ok().and_then(|i| candidates.get(i));
        let drawn = [at(first)?, at(second)?];
        let best = drawn.into_iter().min_by_key(|e| self.load(&e.name, e.centre != *query.centre));
        best.map(|e| e.name.clone())
    }

    /// Records that a request was sent to an entry; [`Helpers::end`] must follow.
    pub fn begin(&mut self, entry: &InstanceName) {
        *self.sent.entry(entry.clone()).or_default() += 1;
    }

    /// Records the end of a request at an entry.
    pub fn end(&mut self, entry: &InstanceName) {
        if let Some(sent) = self.sent.get_mut(entry) {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Records the requests in progress at an entry, as it has told.
    pub fn record_load(&mut self, entry: &InstanceName, load: u32) {
        self.loads.insert(entry.clone(), load);
    }

    /// Records that an entry does not reach a pool, or has no room.
    pub fn decline(&mut self, now: Instant, entry: &InstanceName, pool: &PoolName) {
        self.declined.retain(|_, at| now.since(*at) < DECLINED_TIME);
        self.declined.insert((entry.clone(), pool.clone()), now);
    }

    /// Returns whether an entry has lately declined a pool.
    pub fn has_declined(&self, now: Instant, entry: &InstanceName, pool: &PoolName) -> bool {
        let at = self.declined.get(&(entry.clone(), pool.clone()));
        at.is_some_and(|at| now.since(*at) < DECLINED_TIME)
    }

    /// Returns the entries that have lately declined a pool.
    pub fn declined(&self, now: Instant, pool: &PoolName) -> Vec<InstanceName> {
        let recent = self.declined.iter().filter(|(_, at)| now.since(**at) < DECLINED_TIME);
        recent.filter(|((_, p), _)| p == pool).map(|((entry, _), _)| entry.clone()).collect()
    }

    /// Forgets the entries that don't serve any more.
    pub fn retain(&mut self, serves: impl Fn(&InstanceName) -> bool) {
        self.loads.retain(|entry, _| serves(entry));
        self.sent.retain(|entry, sent| *sent > 0 || serves(entry));
    }

    fn load(&self, entry: &InstanceName, is_remote: bool) -> u32 {
        let told = self.loads.get(entry).copied().unwrap_or(UNKNOWN_LOAD);
        let sent = self.sent.get(entry).copied().unwrap_or_default();
        let distance = if is_remote { REMOTE_LOAD } else { 0 };
        told.max(sent).saturating_add(distance)
    }
}
