//! Which pieces go together to which target.

use std::time::Duration;

use crate::names::CentreName;
use crate::names::TargetName;
use crate::stages::estimate::call_time;
use crate::stages::job::JobId;
use crate::stages::scheduler::Action;
use crate::stages::scheduler::Call;
use crate::stages::scheduler::CallNumber;
use crate::stages::scheduler::Entry;
use crate::stages::scheduler::Item;
use crate::stages::scheduler::Scheduler;
use crate::stages::worker::Worker;

/// Part of a target's room that is used, as sizes are known about and freeing takes time.
const ROOM_PART: f64 = 0.85;
/// Part of the room, as its divisor, below which a job's results are small.
const SMALL_PART: u64 = 8;
/// Times longer than expected after which a call counts as lost.
const LOST: u32 = 6;
/// Time added to that, for networks.
const LOST_SLACK: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Gives free targets calls, as long as pieces wait that they may do.
    ///
    /// One pass over what waits, as this runs with every input.
    pub(super) fn dispatch(&mut self) {
        if !self.workers.values().any(|m| m.is_free(self.now)) {
            return;
        }
        let order = self.order();
        for (place, at) in order.iter().enumerate() {
            let waits = |e: &Entry| e.is_waiting();
            while self.jobs.get_index(*at).is_some_and(|(_, e)| waits(e)) {
                let Some(worker) = self.choose(*at) else { break };
                let items = self.fill(order.get(place..).unwrap_or_default(), &worker);
                if items.is_empty() {
                    break;
                }
                self.start(worker, items);
            }
            if !self.workers.values().any(|m| m.is_free(self.now)) {
                return;
            }
        }
    }

    /// Returns the positions of the jobs with waiting pieces, the most urgent first.
    fn order(&self) -> Vec<usize> {
        let waiting = self.jobs.values().enumerate().filter(|(_, e)| e.is_waiting());
        let mut order: Vec<_> = waiting.map(|(at, e)| (e.place(), e.arrived, at)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, at)| at).collect()
    }

    /// Returns the free target that is best for a job, unless it waits for one that is near.
    fn choose(&self, at: usize) -> Option<TargetName> {
        let (_, entry) = self.jobs.get_index(at)?;
        let busy = self.is_busy();
        let usable = |m: &Worker| (busy || !m.is_slow(self.now)) && self.has_room(m, entry);
        let free = self.workers.iter().filter(|(_, m)| m.is_free(self.now) && usable(m));
        let near = |m: &Worker| is_near(entry, &m.centre);
        let waits = entry.far_at().is_some_and(|at| at > self.now)
            && self.workers.values().any(|m| near(m) && m.counts(self.now));
        let allowed = free.filter(|(_, m)| near(m) || !waits);
        let best = allowed.min_by(|(_, a), (_, b)| {
            let far = (!near(a)).cmp(&!near(b));
            // Taking turns keeps the data centres' shares of this pool and the next ones even.
            far.then(a.is_lagging().cmp(&b.is_lagging())).then(a.last_end.cmp(&b.last_end))
        });
        best.map(|(name, _)| name.clone())
    }

    /// Tells whether more waits than the targets that aren't slow do in their next calls.
    ///
    /// A slow target is of use only then: its call takes longer than a wait for another.
    fn is_busy(&self) -> bool {
        let sound = self.workers.values().filter(|m| m.is_sound(self.now)).count();
        let waiting: u32 = self.jobs.values().map(Entry::waiting).sum();
        waiting as usize > sound * self.pool.batch_size
    }

    /// Tells whether a target has room for the results of a job, whole unless they are small.
    fn has_room(&self, worker: &Worker, entry: &Entry) -> bool {
        let pieces = if self.is_splittable(entry) { 1 } else { entry.waiting() };
        let pieces = u64::from(pieces).min(self.pool.batch_size as u64);
        worker.held == 0 || worker.held + entry.job.bytes * pieces <= self.room()
    }

    /// Tells whether a job's results are so small that some may wait for the others.
    ///
    /// Large ones would hold room that others need, and be given up at last.
    fn is_splittable(&self, entry: &Entry) -> bool {
        entry.job.bytes * u64::from(entry.job.pieces) < self.room() / SMALL_PART
    }

    /// Returns the bytes of results that one target may hold.
    fn room(&self) -> u64 {
        (self.pool.memory as f64 * ROOM_PART) as u64
    }

    /// Returns the pieces of a call to `worker`, from the first of `order` on.
    ///
    /// Others than the first are left out where they wait for a target elsewhere.
    fn fill(&mut self, order: &[usize], worker: &TargetName) -> Vec<(JobId, u32)> {
        let (room, now) = (self.room(), self.now);
        let Some(worker) = self.workers.get(worker) else { return Vec::new() };
        let (held, centre) = (worker.held, worker.centre.clone());
        // A target that has failed gets one job, to see whether it is back.
        let order = if worker.has_failed() { order.get(..1).unwrap_or_default() } else { order };
        let (mut items, mut bytes) = (Vec::new(), held);
        for (place, at) in order.iter().enumerate() {
            if items.len() >= self.pool.batch_size {
                break;
            }
            let Some((id, entry)) = self.jobs.get_index_mut(*at) else { continue };
            let may_far = entry.far_at().is_none_or(|far| far <= now);
            if place > 0 && !is_near(entry, &centre) && !may_far {
                continue;
            }
            let size = entry.job.bytes;
            let waiting = entry.waiting() as usize;
            let whole = items.len() + waiting <= self.pool.batch_size
                && bytes + size * waiting as u64 <= room;
            let splittable = size * u64::from(entry.job.pieces) < room / SMALL_PART;
            if place > 0 && !whole && !splittable {
                continue;
            }
            for (piece, state) in entry.pieces.iter_mut().enumerate().filter(|(_, s)| s.waits) {
                let fits = items.is_empty() && held == 0 || bytes + size <= room;
                if items.len() >= self.pool.batch_size || !fits {
                    break;
                }
                bytes += size;
                state.waits = false;
                state.tries += 1;
                items.push((id.clone(), u32::try_from(piece).unwrap_or(u32::MAX)));
            }
        }
        items
    }

    fn start(&mut self, worker: TargetName, items: Vec<(JobId, u32)>) {
        let number = CallNumber(self.next);
        self.next += 1;
        let (now, expected) = (self.now, call_time(&self.usual(), items.len()));
        let entries = items.iter().filter_map(|(id, piece)| Some((self.jobs.get(id)?, *piece)));
        let item = |(entry, piece): (&Entry, u32)| Item {
            job: entry.job.id.clone(),
            piece,
            key: entry.job.key.clone(),
            inputs: entry.job.inputs.clone(),
            remaining: entry.end.since(now),
        };
        let bytes = entries.clone().map(|(e, _)| e.job.bytes).sum();
        let wire: Vec<Item> = entries.map(item).collect();
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.call = Some(number);
            worker.busy_until = now + expected.mul_f64(worker.speed.clamp(0.5, 4.0));
            worker.held += bytes;
        }
        let call =
            Call { worker: worker.clone(), items, bytes, started: now, expected, overdue: false };
        self.calls.insert(number, call);
        let timeout = expected * LOST + LOST_SLACK;
        self.actions.push(Action::Run { call: number, worker, items: wire, timeout });
    }
}

/// Tells whether a job should be done in `centre`, or may be anywhere.
fn is_near(entry: &Entry, centre: &CentreName) -> bool {
    entry.job.near.as_ref().is_none_or(|n| n.centre == *centre)
}
