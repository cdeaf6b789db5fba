//! Queue of one pool's stages: what waits, what runs, and what is booked for later.
//!
//! Load patterns it answers: a burst (requests book their stages on arrival and are turned away at
//! once where they would be late or make others late, so that what was taken is done in time), a
//! slow or lost target (its pieces are done elsewhere), large results (done near where they are
//! used, as long as there is time to wait for a target there).

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::TargetName;
pub use crate::stages::action::Action;
pub use crate::stages::action::CallFailure;
pub use crate::stages::action::CallNumber;
pub use crate::stages::action::Input;
pub use crate::stages::action::Item;
pub use crate::stages::action::PieceOutcome;
pub use crate::stages::action::Summary;
pub use crate::stages::action::WorkerInfo;
use crate::stages::admission::LATE_PRIORITY;
use crate::stages::estimate::Capacity;
use crate::stages::estimate::Flow;
use crate::stages::estimate::PieceTime;
use crate::stages::estimate::Queued;
use crate::stages::estimate::call_time;
use crate::stages::estimate::place;
use crate::stages::job::Handle;
use crate::stages::job::Job;
use crate::stages::job::JobId;
use crate::stages::job::JobOutcome;
use crate::stages::job::Reservation;
use crate::stages::job::ReservationEstimate;
use crate::stages::worker::Worker;
use crate::table::pool::StageWorkload;
use crate::time::Instant;

/// Times that a piece is tried, at most.
const MAX_TRIES: u32 = 4;
/// Times longer than expected after which a call's pieces are done elsewhere too.
const OVERDUE: u32 = 2;
/// Time added to that, for networks.
const OVERDUE_SLACK: Duration = Duration::from_millis(80);
/// Time for which an outcome is kept for a caller that asks again.
const KEEP_OUTCOME: Duration = Duration::from_secs(3);
/// Time after its due at which a booking that was not used is forgotten.
const KEEP_BOOKING: Duration = Duration::from_millis(500);

/// Job at the desk.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) job: Job,
    pub(super) due: Instant,
    pub(super) end: Instant,
    /// When a call must begin at the latest to end in time.
    latest: Instant,
    pub(super) arrived: Instant,
    pub(super) pieces: Vec<PieceState>,
}

/// Piece of a job at the desk.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PieceState {
    pub(super) result: Option<Handle>,
    /// Whether it waits for a call.
    pub(super) waits: bool,
    pub(super) tries: u32,
}

/// Call in progress.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) worker: TargetName,
    pub(super) items: Vec<(JobId, u32)>,
    pub(super) bytes: u64,
    pub(super) started: Instant,
    pub(super) expected: Duration,
    /// Whether its pieces wait for another call too.
    pub(super) overdue: bool,
}

/// Result that a target holds.
#[derive(Clone, Debug)]
struct Kept {
    worker: TargetName,
    bytes: u64,
    until: Instant,
}

/// Queue of one pool's stages.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) pool: StageWorkload,
    pub(super) workers: IndexMap<TargetName, Worker>,
    pub(super) jobs: IndexMap<JobId, Entry>,
    /// Work that is to come, with when it should be done.
    bookings: IndexMap<JobId, Queued>,
    /// Flow of work that is in time.
    flow: Flow,
    time: PieceTime,
    /// Outcomes of late, for callers that ask again.
    ended: IndexMap<JobId, (Instant, JobOutcome)>,
    pub(super) calls: IndexMap<CallNumber, Call>,
    kept: IndexMap<Handle, Kept>,
    pub(super) next: u64,
    pub(super) now: Instant,
    pub(super) actions: Vec<Action>,
}

impl Scheduler {
    /// Creates the desk of a pool.
    pub fn new(pool: StageWorkload) -> Self {
        Self {
            pool,
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            bookings: IndexMap::new(),
            flow: Flow::default(),
            time: PieceTime::default(),
            ended: IndexMap::new(),
            calls: IndexMap::new(),
            kept: IndexMap::new(),
            next: 0,
            now: Instant::ZERO,
            actions: Vec::new(),
        }
    }

    /// Takes over what a new document says of the pool.
    pub fn set_pool(&mut self, pool: StageWorkload) {
        self.pool = pool;
    }

    /// Takes in what happened and returns what is to be done, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        match input {
            Input::Workers(workers) => self.set_workers(workers),
            Input::Submit(job) => self.offer(job),
            Input::Cancel(job) => self.withdraw(&job),
            Input::Release(results) => self.release(results),
            Input::Answered(call, outcomes) => self.answered(call, outcomes),
            Input::Failed(call, failure) => self.failed(call, failure),
            Input::Tick => {}
        }
        self.expire();
        self.dispatch();
        std::mem::take(&mut self.actions)
    }

    /// Books work that is to come, and tells what it comes to.
    ///
    /// Returns `None` where no target takes calls; nothing is booked then.
    pub fn reserve(&mut self, now: Instant, booking: &Reservation) -> Option<ReservationEstimate> {
        self.now = self.now.max(now);
        let due = self.now + Duration::from_millis(booking.due_ms);
        let new = Queued::new(due, booking.priority, booking.pieces);
        let (capacity, queued) = (self.capacity(), self.queued());
        let estimate = capacity.estimate(&self.usual(), &queued, &new)?;
        self.bookings.insert(booking.id.clone(), new);
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Some(ReservationEstimate {
            drain_ms: millis(estimate.drain),
            run_ms: millis(estimate.own),
            harm_ms: millis(estimate.harm),
            slot_wait_ms: millis(estimate.turn),
        })
    }

    /// Returns the point at which [`Input::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Instant> {
        let overdue = self.calls.values().filter(|c| !c.overdue).map(|c| self.overdue_at(c));
        let waiting = || self.jobs.values().filter(|e| e.is_waiting());
        let ends = waiting().map(|e| if e.is_idle() { e.latest } else { e.end });
        let far = waiting().filter_map(|e| e.far_at()).filter(|at| *at > self.now);
        let waits = waiting().next().is_some();
        let resumes = self.workers.values().filter(|_| waits).filter_map(|m| m.resumes(self.now));
        overdue.chain(ends).chain(far).chain(resumes).min()
    }

    /// Returns what the desk has to do and what it can, for logs.
    pub fn summary(&self) -> Summary {
        let workers = || self.workers.values();
        let waiting = || self.jobs.values().filter(|e| e.is_waiting());
        let late = |e: &&Entry| e.due < self.now;
        Summary {
            jobs: self.jobs.len(),
            waiting: waiting().map(Entry::waiting).sum(),
            late: waiting().filter(late).count(),
            booked: self.bookings.values().map(|b| b.pieces).sum(),
            calls: self.calls.len(),
            workers: self.workers.len(),
            available: workers().filter(|m| m.counts(self.now)).count(),
            free: workers().filter(|m| m.is_free(self.now)).count(),
            held_bytes: workers().map(|m| m.held).sum(),
        }
    }

    /// Tells whether the desk has a job, or had it a moment ago.
    pub fn knows(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job) || self.ended.contains_key(job)
    }

    /// Tells whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.calls.is_empty()
    }

    fn set_workers(&mut self, workers: Vec<WorkerInfo>) {
        let mut known = std::mem::take(&mut self.workers);
        for info in workers {
            let worker = known.swap_remove(&info.name);
            let worker = worker.unwrap_or_else(|| Worker::new(info.centre.clone()));
            self.workers.insert(info.name, worker);
        }
    }

    fn offer(&mut self, job: Job) {
        if let Some((_, outcome)) = self.ended.get(&job.id) {
            let outcome = outcome.clone();
            self.actions.push(Action::Reply { job: job.id, outcome });
            return;
        }
        if self.jobs.contains_key(&job.id) {
            return;
        }
        self.bookings.swap_remove(&job.id);
        if job.priority < LATE_PRIORITY {
            self.flow.add(self.now, job.priority, job.pieces);
        }
        let due = self.now + Duration::from_millis(job.due_ms);
        let end_in = Duration::from_millis(job.end_ms);
        let (end, shortest) = (self.now + end_in, call_time(&self.pool, 1));
        let latest = self.now + end_in.saturating_sub(shortest);
        let waiting = PieceState { waits: true, ..PieceState::default() };
        let pieces = vec![waiting; job.pieces as usize];
        let id = job.id.clone();
        self.jobs.insert(id, Entry { job, due, end, latest, arrived: self.now, pieces });
    }

    fn withdraw(&mut self, id: &JobId) {
        self.bookings.swap_remove(id);
        if let Some((_, JobOutcome::Done(results))) = self.ended.swap_remove(id) {
            self.release(results);
        }
        let Some(entry) = self.jobs.swap_remove(id) else { return };
        self.release(entry.pieces.into_iter().filter_map(|p| p.result).collect());
    }

    fn release(&mut self, results: Vec<Handle>) {
        let mut freed: IndexMap<TargetName, Vec<Handle>> = IndexMap::new();
        for result in results {
            if let Some(kept) = self.kept.swap_remove(&result) {
                self.forget_bytes(&kept.worker, kept.bytes);
                freed.entry(kept.worker).or_default().push(result);
            }
        }
        for (worker, results) in freed {
            if self.workers.contains_key(&worker) {
                self.actions.push(Action::Free { worker, results });
            }
        }
    }

    fn forget_bytes(&mut self, worker: &TargetName, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held = worker.held.saturating_sub(bytes);
        }
    }

    fn answered(&mut self, number: CallNumber, outcomes: Vec<PieceOutcome>) {
        let Some(call) = self.calls.swap_remove(&number) else { return };
        let (now, took) = (self.now, self.now.since(call.started));
        if let Some(worker) = self.workers.get_mut(&call.worker)
            && worker.call == Some(number)
        {
            worker.succeeded(now, took, call.expected);
            if !worker.is_slow(now) {
                self.time.note(&self.pool, call.items.len(), took);
            }
            if outcomes.contains(&PieceOutcome::OutOfMemory) {
                worker.crowded(now);
            }
        }
        self.forget_bytes(&call.worker, call.bytes);
        let each = call.bytes.checked_div(call.items.len() as u64).unwrap_or_default();
        let missing = std::iter::repeat(PieceOutcome::Failed);
        let mut unwanted = Vec::new();
        for ((id, piece), outcome) in
            call.items.into_iter().zip(outcomes.into_iter().chain(missing))
        {
            if let PieceOutcome::Done(handle) = &outcome {
                self.keep(&call.worker, handle, each);
            }
            unwanted.extend(self.piece_ended(&id, piece, outcome));
        }
        self.release(unwanted);
    }

    fn keep(&mut self, worker: &TargetName, handle: &Handle, bytes: u64) {
        let until = self.now + self.pool.result_ttl;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held += bytes;
        }
        self.kept.insert(handle.clone(), Kept { worker: worker.clone(), bytes, until });
    }

    /// Takes in what came of a piece; returns its result where nobody needs it.
    fn piece_ended(&mut self, id: &JobId, piece: u32, outcome: PieceOutcome) -> Option<Handle> {
        let Some(entry) = self.jobs.get_mut(id) else { return outcome.into_result() };
        let Some(state) = entry.pieces.get_mut(piece as usize) else {
            return outcome.into_result();
        };
        if state.result.is_some() {
            return outcome.into_result();
        }
        match outcome {
            PieceOutcome::Done(handle) => {
                state.result = Some(handle);
                state.waits = false;
                if let Some(results) = entry.results() {
                    self.end(id, JobOutcome::Done(results));
                }
            }
            PieceOutcome::Late => self.end(id, JobOutcome::Late),
            PieceOutcome::Gone => self.end(id, JobOutcome::Gone),
            PieceOutcome::OutOfMemory => {
                self.uncount(id, piece);
                self.try_again(id, piece);
            }
            PieceOutcome::Failed => self.try_again(id, piece),
        }
        None
    }

    /// Has a piece wait for another call, unless it was tried too often.
    fn try_again(&mut self, id: &JobId, piece: u32) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        let Some(state) = entry.pieces.get_mut(piece as usize) else { return };
        if state.result.is_some() {
            return;
        }
        if state.tries >= MAX_TRIES {
            self.end(id, JobOutcome::Failed);
            return;
        }
        state.waits = true;
    }

    fn failed(&mut self, number: CallNumber, failure: CallFailure) {
        let Some(call) = self.calls.swap_remove(&number) else { return };
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(&call.worker)
            && worker.call == Some(number)
        {
            match failure {
                CallFailure::Refused => worker.refused(now),
                CallFailure::Unreached | CallFailure::Lost => worker.failed(now),
            }
        }
        self.forget_bytes(&call.worker, call.bytes);
        for (id, piece) in call.items {
            match failure {
                CallFailure::Refused | CallFailure::Unreached => self.uncount(&id, piece),
                CallFailure::Lost => {}
            }
            self.try_again(&id, piece);
        }
    }

    /// Takes back the count of a try that never ran.
    fn uncount(&mut self, id: &JobId, piece: u32) {
        let state = self.jobs.get_mut(id).and_then(|e| e.pieces.get_mut(piece as usize));
        if let Some(state) = state {
            state.tries = state.tries.saturating_sub(1);
        }
    }

    /// Ends a job: its caller is told, and results that it does not get are freed.
    fn end(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(entry) = self.jobs.swap_remove(id) else { return };
        if !matches!(outcome, JobOutcome::Done(_)) {
            self.release(entry.pieces.into_iter().filter_map(|p| p.result).collect());
        }
        self.ended.insert(id.clone(), (self.now, outcome.clone()));
        self.actions.push(Action::Reply { job: id.clone(), outcome });
    }

    /// Ends jobs whose time has passed, and forgets what is old.
    fn expire(&mut self) {
        let now = self.now;
        let late = |e: &Entry| e.is_waiting() && e.is_idle() && e.latest <= now;
        let ended = self.jobs.iter().filter(|(_, e)| late(e) || e.end <= now);
        let ended: Vec<JobId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.end(&id, JobOutcome::Late);
        }
        self.ended.retain(|_, (at, _)| now.since(*at) < KEEP_OUTCOME);
        self.bookings.retain(|_, b| now.since(b.due) < KEEP_BOOKING);
        self.mark_overdue();
        let old = self.kept.iter().filter(|(_, k)| k.until <= now);
        let old: Vec<Handle> = old.map(|(h, _)| h.clone()).collect();
        for handle in old {
            if let Some(kept) = self.kept.swap_remove(&handle) {
                self.forget_bytes(&kept.worker, kept.bytes);
            }
        }
    }

    fn overdue_at(&self, call: &Call) -> Instant {
        call.started + call.expected * OVERDUE + OVERDUE_SLACK
    }

    /// Has the pieces of calls that take too long done elsewhere too.
    fn mark_overdue(&mut self) {
        let overdue =
            self.calls.iter().filter(|(_, c)| !c.overdue && self.overdue_at(c) <= self.now);
        let overdue: Vec<CallNumber> = overdue.map(|(n, _)| *n).collect();
        for number in overdue {
            let Some(call) = self.calls.get_mut(&number) else { continue };
            call.overdue = true;
            let (items, worker, expected) =
                (call.items.clone(), call.worker.clone(), call.expected);
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.busy_until = self.now + expected;
            }
            for (id, piece) in items {
                self.try_again(&id, piece);
            }
        }
    }

    /// Returns the pool with the time of a piece as it was measured.
    pub(super) fn usual(&self) -> StageWorkload {
        self.time.measured(&self.pool)
    }

    fn capacity(&self) -> Capacity {
        let now = self.now;
        let counted = || self.workers.values().filter(|m| m.counts(now));
        let count = u32::try_from(counted().count()).unwrap_or(u32::MAX);
        let running: Duration = self.calls.values().map(|c| c.expected).sum();
        Capacity {
            now,
            workers: counted().map(|m| 1.0 / m.speed.max(0.5)).sum(),
            until_free: counted().map(|m| m.until_free(now)).min().unwrap_or_default(),
            // Calls that began at any time leave their targets evenly over the time of a call.
            turn: running / count.max(1) / count.saturating_add(1),
            flow: self.flow,
        }
    }

    /// Returns what waits and what is booked, in order.
    fn queued(&self) -> Vec<Queued> {
        let queued = |e: &Entry| Queued::new(e.due, e.job.priority, e.waiting());
        let waiting = self.jobs.values().map(queued);
        let mut queued: Vec<Queued> = waiting.chain(self.bookings.values().copied()).collect();
        queued.retain(|q| q.pieces > 0);
        queued.sort_by_key(|q| q.place);
        queued
    }
}

impl Entry {
    /// Returns its place in the order.
    pub(super) fn place(&self) -> Instant {
        place(self.due, self.job.priority)
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.pieces.iter().any(|p| p.waits)
    }

    /// Tells whether none of its pieces is being done or is done.
    fn is_idle(&self) -> bool {
        self.pieces.iter().all(|p| p.waits && p.result.is_none())
    }

    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.pieces.iter().filter(|p| p.waits).count()).unwrap_or(u32::MAX)
    }

    /// Returns when it may be done away from where it should be.
    pub(super) fn far_at(&self) -> Option<Instant> {
        let near = self.job.near.as_ref()?;
        Some(self.arrived + Duration::from_millis(near.wait_ms))
    }

    /// Returns the results, once all are there.
    fn results(&self) -> Option<Vec<Handle>> {
        self.pieces.iter().map(|p| p.result.clone()).collect()
    }
}
