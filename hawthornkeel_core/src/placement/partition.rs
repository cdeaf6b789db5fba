//! Partitions of a pool's targets: which of them get their calls from the same scheduler.
//!
//! Designed for large results (all stages of a request run in one data centre, so that no result
//! crosses between data centres and no job waits for the only local target of its scheduler) and
//! for pools of many targets (making the calls to all of them would be too much for the processor
//! of a small instance).

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::CentreName;
use crate::names::PoolName;
use crate::placement::balancer::Balancer;
use crate::placement::balancer::Target;
use crate::stages::job::SchedulerName;
use crate::stages::scheduler::WorkerInfo;

/// Minimum number of targets per scheduler in pools with at least twice as many.
const SCHEDULER_TARGETS: usize = 5;
/// Mean number of targets per data centre from which on each has schedulers of its own.
///
/// With fewer, jobs would wait for a target while targets in other data centres are free.
const CENTRE_TARGETS: usize = 2;

/// Number of a pool's targets in each data centre, which determines its partitions.
#[derive(Clone, Debug, Default)]
pub(super) struct Partitions {
    centres: Vec<CentreTargets>,
}

/// Number of a pool's targets in one data centre.
#[derive(Clone, Debug)]
struct CentreTargets {
    centre: CentreName,
    listed: usize,
    usable: usize,
}

impl Partitions {
    /// Counts a target.
    pub(super) fn add(&mut self, centre: &CentreName, is_usable: bool) {
        let index = self.centres.iter().position(|c| c.centre == *centre).unwrap_or_else(|| {
            self.centres.push(CentreTargets { centre: centre.clone(), listed: 0, usable: 0 });
            self.centres.len() - 1
        });
        if let Some(targets) = self.centres.get_mut(index) {
            targets.listed += 1;
            targets.usable += usize::from(is_usable);
        }
    }

    fn listed(&self) -> usize {
        self.centres.iter().map(|c| c.listed).sum()
    }

    /// Returns whether each data centre has schedulers of its own.
    fn is_by_centre(&self) -> bool {
        let listed = self.listed();
        listed >= 2 * SCHEDULER_TARGETS && listed >= CENTRE_TARGETS * self.centres.len()
    }

    fn usable(&self, centre: &CentreName) -> usize {
        self.centres.iter().find(|c| c.centre == *centre).map_or(0, |c| c.usable)
    }

    /// Returns the number of partitions of `listed` targets.
    fn count(listed: usize) -> usize {
        (listed / SCHEDULER_TARGETS).max(1)
    }
}

impl Balancer {
    /// Returns the scheduler that runs a pool's stages for a request, in `centre` if possible.
    pub fn scheduler_for(
        &self,
        pool: &PoolName,
        centre: Option<&CentreName>,
        request: &str,
    ) -> SchedulerName {
        let hash = xxh3_64(request.as_bytes());
        let partitions = self.partitions.get(pool);
        let centre = partitions.filter(|p| p.is_by_centre()).and_then(|p| {
            let wanted = centre.filter(|c| p.usable(c) > 0).cloned();
            let others = p.centres.iter().filter(|c| !self.cut_off.contains(&c.centre));
            wanted.or_else(|| pick_centre(others.map(|c| (&c.centre, c.usable)), hash))
        });
        let listed = match (&centre, partitions) {
            (Some(centre), Some(partitions)) => {
                partitions.centres.iter().find(|c| c.centre == *centre).map_or(0, |c| c.listed)
            }
            (None, Some(partitions)) => partitions.listed(),
            (_, None) => 0,
        };
        let part = hash % Partitions::count(listed) as u64;
        SchedulerName { pool: pool.clone(), centre, part: u16::try_from(part).unwrap_or_default() }
    }

    /// Returns a data centre other than `excluded` that can run the stages of `pools`, if these are
    /// partitioned by data centre.
    ///
    /// Requests are distributed in proportion to the usable targets of the pool that has the fewest
    /// in each data centre.
    pub fn alternative_centre(
        &self,
        pools: &[&PoolName],
        excluded: Option<&CentreName>,
        request: &str,
    ) -> Option<CentreName> {
        let partitions = pools.iter().filter_map(|p| self.partitions.get(*p));
        let partitions: Vec<&Partitions> = partitions.filter(|p| p.is_by_centre()).collect();
        let first = partitions.first()?;
        let fewest = |c| partitions.iter().map(|p| p.usable(c)).min().unwrap_or(0);
        let others = first.centres.iter().map(|c| &c.centre);
        let others = others.filter(|c| Some(*c) != excluded && !self.cut_off.contains(c));
        pick_centre(others.map(|c| (c, fewest(c))), xxh3_64(request.as_bytes()))
    }

    /// Returns the targets that a scheduler may call at the moment.
    ///
    /// In a pool that is not partitioned by data centre, each partition gets its share of the
    /// targets in every data centre.
    pub fn workers(&self, scheduler: &SchedulerName) -> Vec<WorkerInfo> {
        let belongs = |t: &&Target| {
            let centre = scheduler.centre.as_ref();
            t.listed.pool == scheduler.pool && centre.is_none_or(|c| t.listed.centre == *c)
        };
        let mut targets: Vec<&Target> = self.targets.values().filter(belongs).collect();
        targets.sort_by(|a, b| {
            let centres = a.listed.centre.cmp(&b.listed.centre);
            centres.then_with(|| a.listed.name.cmp(&b.listed.name))
        });
        let count = Partitions::count(targets.len());
        let part = usize::from(scheduler.part) % count;
        let own = targets.into_iter().enumerate().filter(|(index, _)| index % count == part);
        let info = |t: &Target| WorkerInfo {
            name: t.listed.name.clone(),
            centre: t.listed.centre.clone(),
            notice: t.notice.clone(),
            load: t.load.clone(),
        };
        own.filter(|(_, t)| self.is_usable(t)).map(|(_, t)| info(t)).collect()
    }

    /// Recounts the targets of each pool.
    pub(super) fn update_partitions(&mut self) {
        let mut partitions = std::mem::take(&mut self.partitions);
        partitions.clear();
        for target in self.targets.values() {
            let pool = partitions.entry(target.listed.pool.clone()).or_default();
            pool.add(&target.listed.centre, self.is_usable(target));
        }
        self.partitions = partitions;
    }
}

/// Picks a data centre by hash, with a probability proportional to its weight.
fn pick_centre<'a>(
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
