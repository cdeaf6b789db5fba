//! Selection of the pieces that go into each call, and of its target.

use std::time::Duration;

use crate::names::CentreName;
use crate::names::TargetName;
use crate::stages::estimate::call_time;
use crate::stages::job::JobId;
use crate::stages::scheduler::Action;
use crate::stages::scheduler::Call;
use crate::stages::scheduler::CallNumber;
use crate::stages::scheduler::Item;
use crate::stages::scheduler::JobState;
use crate::stages::scheduler::Scheduler;
use crate::stages::worker::Worker;

/// Share of a target's result memory that is used: sizes are estimates and freeing takes time.
const USABLE_MEMORY_SHARE: f64 = 0.85;
/// Divisor of the usable memory that gives the total result size below which a job is small.
const SMALL_JOB_DIVISOR: u64 = 8;
/// Multiple of the expected time after which a call counts as lost.
const LOST_FACTOR: u32 = 6;
/// Network allowance on top of that.
const LOST_SLACK: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Starts calls at free targets while there are pieces that may run there.
    ///
    /// Makes a single pass over the waiting jobs, because it runs on every input.
    pub(super) fn dispatch(&mut self) {
        if !self.workers.values().any(|w| w.is_free(self.now)) {
            return;
        }
        let order = self.waiting_order();
        for (position, index) in order.iter().enumerate() {
            let is_waiting = |j: &JobState| j.is_waiting();
            while self.jobs.get_index(*index).is_some_and(|(_, j)| is_waiting(j)) {
                let Some(worker) = self.choose_worker(*index) else { break };
                let items = self.fill_call(order.get(position..).unwrap_or_default(), &worker);
                if items.is_empty() {
                    break;
                }
                self.start_call(worker, items);
            }
            if !self.workers.values().any(|w| w.is_free(self.now)) {
                return;
            }
        }
    }

    /// Returns the indices of the jobs with waiting pieces in the order in which they get into calls.
    ///
    /// While the next calls have room for all of them, none gains by going first, and the less urgent
    /// must not be left over by each call in turn: they go as they arrived, timely ones first.
    fn waiting_order(&self) -> Vec<usize> {
        let fits = self.plan_call().fits;
        let key = |j: &JobState| match fits {
            true => (j.is_late(), j.arrived, j.arrived),
            false => (false, j.virtual_deadline(), j.arrived),
        };
        let waiting = self.jobs.values().enumerate().filter(|(_, j)| j.is_waiting());
        let mut order: Vec<_> = waiting.map(|(index, j)| (key(j), index)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the best free target for a job, or `None` while it waits for a local one.
    fn choose_worker(&self, index: usize) -> Option<TargetName> {
        let (_, job) = self.jobs.get_index(index)?;
        let backlogged = self.is_backlogged();
        let usable = |w: &Worker| (backlogged || !w.is_slow(self.now)) && self.has_memory(w, job);
        let free = self.workers.iter().filter(|(_, w)| w.is_free(self.now) && usable(w));
        let local = |w: &Worker| is_local(job, &w.centre);
        let waits_for_local = job.remote_at().is_some_and(|at| at > self.now)
            && self.workers.values().any(|w| local(w) && w.is_available(self.now));
        let allowed = free.filter(|(_, w)| local(w) || !waits_for_local);
        let best = allowed.min_by(|(_, a), (_, b)| {
            let remote = (!local(a)).cmp(&!local(b));
            // Rotating the targets spreads the load of this pool and of those that read its results
            // evenly over the data centres.
            let lagging = a.is_lagging(self.now).cmp(&b.is_lagging(self.now));
            remote.then(lagging).then(a.last_end.cmp(&b.last_end))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Returns whether more pieces wait than fit into the next calls of the healthy targets.
    ///
    /// Slow targets are used only then: otherwise waiting for another target is faster.
    pub(super) fn is_backlogged(&self) -> bool {
        let healthy = self.workers.values().filter(|w| w.is_healthy(self.now)).count();
        let waiting: u32 = self.jobs.values().map(JobState::waiting_pieces).sum();
        waiting as usize > healthy * self.pool.batch_size
    }

    /// Returns whether a target has memory for the results of a job: for all unless they are small.
    fn has_memory(&self, worker: &Worker, job: &JobState) -> bool {
        let pieces = if self.is_splittable(job) { 1 } else { job.waiting_pieces() };
        let pieces = u64::from(pieces).min(self.pool.batch_size as u64);
        worker.held_bytes == 0
            || worker.held_bytes + job.spec.bytes * pieces <= self.usable_memory()
    }

    /// Returns whether a job's results are so small that some may wait in memory for the others.
    ///
    /// Large ones would occupy memory that other jobs need, and end up being discarded.
    fn is_splittable(&self, job: &JobState) -> bool {
        job.spec.bytes * u64::from(job.spec.pieces) < self.usable_memory() / SMALL_JOB_DIVISOR
    }

    /// Returns the size of the results that one target may hold, in bytes.
    fn usable_memory(&self) -> u64 {
        (self.pool.memory as f64 * USABLE_MEMORY_SHARE) as u64
    }

    /// Takes the pieces for a call to `worker` from the jobs in `order`.
    ///
    /// Skips jobs other than the first that still wait for a target in another data centre.
    fn fill_call(&mut self, order: &[usize], worker: &TargetName) -> Vec<(JobId, u32)> {
        let (memory, now) = (self.usable_memory(), self.now);
        let share = self.plan_call().share;
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        let (held, centre) = (worker.held_bytes, worker.centre.clone());
        // A target that failed gets a single job, as a probe.
        let order = if worker.has_failed() { order.get(..1).unwrap_or_default() } else { order };
        let (mut items, mut bytes) = (Vec::new(), held);
        for (position, index) in order.iter().enumerate() {
            if items.len() >= self.pool.batch_size {
                break;
            }
            let Some((id, job)) = self.jobs.get_index_mut(*index) else { continue };
            let may_run_remotely = job.remote_at().is_none_or(|at| at <= now);
            if position > 0 && !is_local(job, &centre) && !may_run_remotely {
                continue;
            }
            let size = job.spec.bytes;
            let waiting = job.waiting_pieces() as usize;
            if position > 0 && items.len() + waiting > share {
                break;
            }
            let fits_whole = items.len() + waiting <= self.pool.batch_size
                && bytes + size * waiting as u64 <= memory;
            let splittable = size * u64::from(job.spec.pieces) < memory / SMALL_JOB_DIVISOR;
            if position > 0 && !fits_whole && !splittable {
                continue;
            }
            for (piece, state) in job.pieces.iter_mut().enumerate().filter(|(_, s)| s.waiting) {
                let fits = items.is_empty() && held == 0 || bytes + size <= memory;
                if items.len() >= self.pool.batch_size || !fits {
                    break;
                }
                bytes += size;
                state.waiting = false;
                state.attempts += 1;
                items.push((id.clone(), u32::try_from(piece).unwrap_or(u32::MAX)));
            }
        }
        items
    }

    fn start_call(&mut self, worker: TargetName, items: Vec<(JobId, u32)>) {
        let number = CallNumber(self.next_call);
        self.next_call += 1;
        let (now, expected) = (self.now, call_time(&self.measured_pool(), items.len()));
        let jobs = items.iter().filter_map(|(id, piece)| Some((self.jobs.get(id)?, *piece)));
        let item = |(job, piece): (&JobState, u32)| Item {
            job: job.spec.id.clone(),
            piece,
            key: job.spec.key.clone(),
            inputs: job.spec.inputs.clone(),
            remaining: job.end.since(now),
        };
        let bytes = jobs.clone().map(|(j, _)| j.spec.bytes).sum();
        let payload: Vec<Item> = jobs.map(item).collect();
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.call = Some(number);
            worker.notice.record_sent(now);
            worker.busy_until = now + expected.mul_f64(worker.slowdown.clamp(0.5, 4.0));
            worker.held_bytes += bytes;
        }
        let call =
            Call { worker: worker.clone(), items, bytes, started: now, expected, overdue: false };
        self.calls.insert(number, call);
        let timeout = expected * LOST_FACTOR + LOST_SLACK;
        self.actions.push(Action::Run { call: number, worker, items: payload, timeout });
    }
}

/// Returns whether `centre` is the preferred data centre of a job, or the job prefers none.
fn is_local(job: &JobState, centre: &CentreName) -> bool {
    job.spec.near.as_ref().is_none_or(|n| n.centre == *centre)
}
