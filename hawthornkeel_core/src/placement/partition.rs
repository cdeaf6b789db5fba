//! Which targets of a pool have their calls made by one desk.
//!
//! Load patterns it answers: large results (a request's stages stay in one data centre, so that no
//! result crosses and no work waits for the one near target of a desk), pools of many targets (the
//! calls of all would be more than the processor of a small instance can do).

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::CentreName;
use crate::names::PoolName;
use crate::placement::balancer::Balancer;
use crate::placement::balancer::Target;
use crate::stages::job::SchedulerName;
use crate::stages::scheduler::WorkerInfo;

/// Targets of one desk, at least, where a pool has twice as many.
const DESK_TARGETS: usize = 5;
/// Targets of a pool in each data centre, in the mean, from which on each has its own desk.
///
/// With fewer, work would wait for a free target while others are free elsewhere.
const CENTRE_TARGETS: usize = 2;

/// How the targets of a pool are split over desks.
#[derive(Clone, Debug, Default)]
pub(super) struct Split {
    shares: Vec<Share>,
}

/// Targets of a pool in one data centre.
#[derive(Clone, Debug)]
struct Share {
    centre: CentreName,
    listed: usize,
    usable: usize,
}

impl Split {
    /// Counts a target.
    pub(super) fn add(&mut self, centre: &CentreName, is_usable: bool) {
        let at = self.shares.iter().position(|s| s.centre == *centre).unwrap_or_else(|| {
            self.shares.push(Share { centre: centre.clone(), listed: 0, usable: 0 });
            self.shares.len() - 1
        });
        if let Some(share) = self.shares.get_mut(at) {
            share.listed += 1;
            share.usable += usize::from(is_usable);
        }
    }

    fn listed(&self) -> usize {
        self.shares.iter().map(|s| s.listed).sum()
    }

    /// Tells whether each data centre has desks of its own.
    fn is_by_centre(&self) -> bool {
        let listed = self.listed();
        listed >= 2 * DESK_TARGETS && listed >= CENTRE_TARGETS * self.shares.len()
    }

    fn usable(&self, centre: &CentreName) -> usize {
        self.shares.iter().find(|s| s.centre == *centre).map_or(0, |s| s.usable)
    }

    /// Returns the number of desks for `listed` targets.
    fn parts(listed: usize) -> usize {
        (listed / DESK_TARGETS).max(1)
    }
}

impl Balancer {
    /// Returns the desk that does the work of a pool for a request, in `centre` where it can.
    pub fn scheduler_for(
        &self,
        pool: &PoolName,
        centre: Option<&CentreName>,
        request: &str,
    ) -> SchedulerName {
        let hash = xxh3_64(request.as_bytes());
        let split = self.splits.get(pool);
        let centre = split.filter(|s| s.is_by_centre()).and_then(|s| {
            let wanted = centre.filter(|c| s.usable(c) > 0).cloned();
            wanted.or_else(|| pick(s.shares.iter().map(|s| (&s.centre, s.usable)), hash))
        });
        let listed = match (&centre, split) {
            (Some(centre), Some(split)) => {
                split.shares.iter().find(|s| s.centre == *centre).map_or(0, |s| s.listed)
            }
            (None, Some(split)) => split.listed(),
            (_, None) => 0,
        };
        let part = hash % Split::parts(listed) as u64;
        SchedulerName { pool: pool.clone(), centre, part: u16::try_from(part).unwrap_or_default() }
    }

    /// Returns a data centre other than `not` that can do the work of `pools`, if they are split.
    ///
    /// Each has a share of the requests by the targets of the pool that has fewest there.
    pub fn alternative_centre(
        &self,
        pools: &[&PoolName],
        not: Option<&CentreName>,
        request: &str,
    ) -> Option<CentreName> {
        let splits = pools.iter().filter_map(|p| self.splits.get(*p));
        let splits: Vec<&Split> = splits.filter(|s| s.is_by_centre()).collect();
        let first = splits.first()?;
        let fewest = |c| splits.iter().map(|s| s.usable(c)).min().unwrap_or(0);
        let others = first.shares.iter().map(|s| &s.centre).filter(|c| Some(*c) != not);
        pick(others.map(|c| (c, fewest(c))), xxh3_64(request.as_bytes()))
    }

    /// Returns the targets of a desk that do stages now.
    ///
    /// Each part of a pool that is not split by data centre has its share of the targets in each.
    pub fn workers(&self, desk: &SchedulerName) -> Vec<WorkerInfo> {
        let belongs = |t: &&Target| {
            let centre = desk.centre.as_ref();
            t.listed.pool == desk.pool && centre.is_none_or(|c| t.listed.centre == *c)
        };
        let mut targets: Vec<&Target> = self.targets.values().filter(belongs).collect();
        targets.sort_by(|a, b| {
            let centres = a.listed.centre.cmp(&b.listed.centre);
            centres.then_with(|| a.listed.name.cmp(&b.listed.name))
        });
        let parts = Split::parts(targets.len());
        let part = usize::from(desk.part) % parts;
        let own = targets.into_iter().enumerate().filter(|(at, _)| at % parts == part);
        let info = |t: &Target| WorkerInfo {
            name: t.listed.name.clone(),
            centre: t.listed.centre.clone(),
        };
        own.filter(|(_, t)| self.is_usable(t)).map(|(_, t)| info(t)).collect()
    }

    /// Counts the targets of each pool again.
    pub(super) fn split(&mut self) {
        let mut splits = std::mem::take(&mut self.splits);
        splits.clear();
        for target in self.targets.values() {
            let split = splits.entry(target.listed.pool.clone()).or_default();
            split.add(&target.listed.centre, self.is_usable(target));
        }
        self.splits = splits;
    }
}

/// Picks a data centre for a hash, each with a share by its weight.
fn pick<'a>(
    centres: impl Iterator<Item = (&'a CentreName, usize)>,
    hash: u64,
) -> Option<CentreName> {
    let score = |(centre, weight): &(&CentreName, usize)| {
        let unit = xxh3_64_with_seed(centre.as_str().as_bytes(), hash) as f64 / u64::MAX as f64;
        *weight as f64 / -unit.clamp(f64::MIN_POSITIVE, 1.0 - f64::EPSILON).ln()
    };
    let usable = centres.filter(|(_, weight)| *weight > 0);
    usable.max_by(|a, b| score(a).total_cmp(&score(b))).map(|(centre, _)| centre.clone())
}
