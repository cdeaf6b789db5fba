//! Baseline policy: round-robin, fixed concurrency limits and immediate retries.

use std::collections::VecDeque;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::time::Instant;

use crate::topology::ENTRIES;
use crate::topology::POOLS;

/// Queued call.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: CallId,
    deadline: Instant,
}

/// Targets and queue of one pool.
#[derive(Clone, Debug)]
struct BaselinePool {
    /// Indexes of the targets with this entry's calls in flight at each.
    targets: Vec<(usize, u32)>,
    next: usize,
    /// Calls in flight at each target, at most.
    limit: u32,
    queue: VecDeque<Waiting>,
}

/// Baseline policy of an entry.
#[derive(Clone, Debug)]
pub struct Baseline {
    pools: Vec<BaselinePool>,
}

impl Baseline {
    /// Creates the policy; `offset` makes entries begin their rounds at different targets.
    pub fn new(offset: usize) -> Self {
        let mut first = 0;
        let mut pools = Vec::new();
        for spec in &POOLS {
            let targets = (first..first + spec.count).map(|t| (t, 0)).collect();
            first += spec.count;
            let limit = spec.warm_limit.div_ceil(ENTRIES as u32).max(1);
            let (next, queue) = (offset % spec.count, VecDeque::new());
            pools.push(BaselinePool { targets, next, limit, queue });
        }
        Self { pools }
    }

    /// Chooses the next target below its limit, or queues the call.
    pub fn choose(&mut self, stage: usize, call: CallId, deadline: Instant) -> Option<usize> {
        let pool = &mut self.pools[stage];
        let target = pool.pick();
        if target.is_none() {
            pool.queue.push_back(Waiting { call, deadline });
        }
        target
    }

    /// Records the end of a call.
    pub fn finish_call(&mut self, stage: usize, target: usize) {
        let slot = self.pools[stage].targets.iter_mut().find(|t| t.0 == target);
        if let Some(slot) = slot {
            slot.1 -= 1;
        }
    }

    /// Takes queued calls that have a target, or none because their deadline has passed.
    pub fn take_ready(&mut self, now: Instant) -> Vec<(CallId, Option<usize>)> {
        let mut ready = Vec::new();
        for pool in &mut self.pools {
            while let Some(first) = pool.queue.front().copied() {
                let target = if first.deadline <= now { None } else { pool.pick() };
                if first.deadline > now && target.is_none() {
                    break;
                }
                pool.queue.pop_front();
                ready.push((first.call, target));
            }
        }
        ready
    }
}

impl BaselinePool {
    /// Reserves a call at the next target below its limit.
    fn pick(&mut self) -> Option<usize> {
        for step in 0..self.targets.len() {
            let at = (self.next + step) % self.targets.len();
            if self.targets[at].1 < self.limit {
                self.targets[at].1 += 1;
                self.next = at + 1;
                return Some(self.targets[at].0);
            }
        }
        None
    }
}
