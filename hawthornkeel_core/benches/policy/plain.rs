//! Baseline: round-robin, fixed limits, immediate retry.

use std::collections::VecDeque;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::time::Instant;

use crate::sites::ENTRIES;
use crate::sites::POOLS;

/// Call that waits for a target.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: CallId,
    deadline: Instant,
}

/// Targets of one pool, as the baseline sees them.
#[derive(Clone, Debug)]
struct PlainPool {
    /// Positions of the targets, and own calls in flight at each.
    targets: Vec<(usize, u32)>,
    next: usize,
    limit: u32,
    queue: VecDeque<Waiting>,
}

/// Baseline policy of one entry.
#[derive(Clone, Debug)]
pub struct Plain {
    pools: Vec<PlainPool>,
}

impl Plain {
    /// Creates the policy for all targets; `offset` spreads where entries start.
    pub fn new(offset: usize) -> Self {
        let mut first = 0;
        let mut pools = Vec::new();
        for spec in &POOLS {
            let targets = (first..first + spec.count).map(|t| (t, 0)).collect();
            first += spec.count;
            let limit = spec.warm_limit.div_ceil(ENTRIES as u32).max(1);
            let (next, queue) = (offset % spec.count, VecDeque::new());
            pools.push(PlainPool { targets, next, limit, queue });
        }
        Self { pools }
    }

    /// Chooses the next target with room, or lets the call wait.
    pub fn choose(&mut self, stage: usize, call: CallId, deadline: Instant) -> Option<usize> {
        let pool = &mut self.pools[stage];
        let target = pool.pick();
        if target.is_none() {
            pool.queue.push_back(Waiting { call, deadline });
        }
        target
    }

    /// Notes the end of a call.
    pub fn finished(&mut self, stage: usize, target: usize) {
        let slot = self.pools[stage].targets.iter_mut().find(|t| t.0 == target);
        if let Some(slot) = slot {
            slot.1 -= 1;
        }
    }

    /// Returns waiting calls that are sent or have run out of time.
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

impl PlainPool {
    /// Takes the next target with room.
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
