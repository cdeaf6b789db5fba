//! Batch scheduler of one pool's stages: waiting, running and reserved work.
//!
//! Designed for bursts (requests reserve capacity for their stages on arrival, and are rejected
//! immediately if they would be late or make others late, so that accepted work finishes in time),
//! slow or lost targets (their pieces are also run elsewhere), and large results (jobs run near
//! where the results are used, as long as there is time to wait for a target there).

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::TargetName;
use crate::stages::acceptance::Standing;
pub use crate::stages::action::Action;
pub use crate::stages::action::CallFailure;
pub use crate::stages::action::CallNumber;
pub use crate::stages::action::Input;
pub use crate::stages::action::Item;
pub use crate::stages::action::PieceOutcome;
pub use crate::stages::action::Summary;
pub use crate::stages::action::WorkerInfo;
use crate::stages::admission::LATE_PRIORITY;
use crate::stages::estimate::ArrivalRates;
use crate::stages::estimate::PieceTime;
use crate::stages::estimate::Queued;
use crate::stages::estimate::call_time;
use crate::stages::estimate::virtual_deadline;
use crate::stages::job::Handle;
use crate::stages::job::Job;
use crate::stages::job::JobId;
use crate::stages::job::JobOutcome;
use crate::stages::job::MAX_PIECES;
use crate::stages::job::MAX_RESULT_BYTES;
use crate::stages::throughput::Throughput;
use crate::stages::worker::Worker;
use crate::table::pool::StageWorkload;
use crate::time::Instant;

/// Maximum number of attempts per piece.
const MAX_ATTEMPTS: u32 = 4;
/// Multiple of the expected time after which the pieces of a call are also run elsewhere.
const OVERDUE_FACTOR: u32 = 2;
/// Network allowance on top of that.
const OVERDUE_SLACK: Duration = Duration::from_millis(80);
/// Time for which an outcome is kept in case its job is submitted again.
const OUTCOME_TTL: Duration = Duration::from_secs(3);
/// Time after the due time at which an unused reservation expires.
const RESERVATION_GRACE: Duration = Duration::from_millis(500);

/// Unfinished job.
#[derive(Clone, Debug)]
pub(super) struct JobState {
    pub(super) spec: Job,
    pub(super) due: Instant,
    pub(super) end: Instant,
    /// Latest time at which a call can start and still end in time.
    latest_start: Instant,
    pub(super) arrived: Instant,
    pub(super) pieces: Vec<PieceState>,
}

/// Piece of an unfinished job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PieceState {
    pub(super) result: Option<Handle>,
    /// Whether it waits for a call.
    pub(super) waiting: bool,
    pub(super) attempts: u32,
}

/// Call in progress.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) worker: TargetName,
    pub(super) items: Vec<(JobId, u32)>,
    pub(super) bytes: u64,
    pub(super) started: Instant,
    pub(super) expected: Duration,
    /// Whether its pieces were also queued for another call.
    pub(super) overdue: bool,
}

/// Result that a target holds.
#[derive(Clone, Debug)]
struct StoredResult {
    worker: TargetName,
    bytes: u64,
    expires: Instant,
}

/// Batch scheduler of one pool's stages.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) pool: StageWorkload,
    pub(super) workers: IndexMap<TargetName, Worker>,
    pub(super) jobs: IndexMap<JobId, JobState>,
    /// Reserved work that has not been submitted.
    pub(super) reservations: IndexMap<JobId, Queued>,
    /// Arrival rates of timely work.
    pub(super) arrivals: ArrivalRates,
    pub(super) piece_time: PieceTime,
    /// Throughput while work waits.
    pub(super) throughput: Throughput,
    /// Outcomes of recently finished jobs, in case they are submitted again.
    finished: IndexMap<JobId, (Instant, JobOutcome)>,
    pub(super) calls: IndexMap<CallNumber, Call>,
    results: IndexMap<Handle, StoredResult>,
    pub(super) next_call: u64,
    pub(super) now: Instant,
    pub(super) actions: Vec<Action>,
}

impl Scheduler {
    /// Creates the scheduler of a pool.
    pub fn new(pool: StageWorkload) -> Self {
        Self {
            pool,
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            reservations: IndexMap::new(),
            arrivals: ArrivalRates::default(),
            piece_time: PieceTime::default(),
            throughput: Throughput::default(),
            finished: IndexMap::new(),
            calls: IndexMap::new(),
            results: IndexMap::new(),
            next_call: 0,
            now: Instant::ZERO,
            actions: Vec::new(),
        }
    }

    /// Replaces the pool's parameters by those of a new document.
    pub fn set_pool(&mut self, pool: StageWorkload) {
        self.pool = pool;
    }

    /// Processes an input and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        match input {
            Input::Workers(workers) => self.set_workers(workers),
            Input::Submit(job) => self.submit(job),
            Input::Cancel(job) => self.cancel(&job),
            Input::Evict => self.evict(),
            Input::Release(results) => self.release(results),
            Input::Answered(call, outcomes) => self.answered(call, outcomes),
            Input::Failed(call, failure) => self.failed(call, failure),
            Input::Tick => {}
        }
        self.expire();
        self.dispatch();
        // During a pause of all targets, the throughput says nothing about them.
        let measurable = self.is_backlogged() && self.opens_at().is_none();
        let rate = measurable.then(|| self.nominal_rate());
        self.throughput.update(self.now, rate);
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which the next [`Input::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Instant> {
        let overdue = self.calls.values().filter(|c| !c.overdue).map(|c| self.overdue_at(c));
        let waiting = || self.jobs.values().filter(|j| j.is_waiting());
        let ends = waiting().map(|j| if j.is_unstarted() { j.latest_start } else { j.end });
        let remote = waiting().filter_map(|j| j.remote_at()).filter(|at| *at > self.now);
        let any = waiting().next().is_some();
        let resumes = self.workers.values().filter(|_| any).filter_map(|w| w.resumes_at(self.now));
        overdue.chain(ends).chain(remote).chain(resumes).min()
    }

    /// Returns the load and capacity, for logs.
    pub fn summary(&self) -> Summary {
        let workers = || self.workers.values();
        let waiting = || self.jobs.values().filter(|j| j.is_waiting());
        let late = |j: &&JobState| j.due < self.now;
        Summary {
            jobs: self.jobs.len(),
            waiting: waiting().map(JobState::waiting_pieces).sum(),
            late: waiting().filter(late).count(),
            reserved: self.reservations.values().map(|r| r.pieces).sum(),
            calls: self.calls.len(),
            workers: self.workers.len(),
            available: workers().filter(|w| w.is_available(self.now)).count(),
            free: workers().filter(|w| w.is_free(self.now)).count(),
            held_bytes: workers().map(|w| w.held_bytes).sum(),
        }
    }

    /// Returns what is known of a job; it counts as submitted for a while after its end.
    pub fn standing(&self, job: &JobId) -> Standing {
        if self.jobs.contains_key(job) || self.finished.contains_key(job) {
            Standing::Submitted
        } else if self.reservations.contains_key(job) {
            Standing::Reserved
        } else {
            Standing::New
        }
    }

    /// Returns whether there are neither unfinished jobs nor calls in progress.
    pub fn is_idle(&self) -> bool {
        self.jobs.is_empty() && self.calls.is_empty()
    }

    /// Returns whether a call runs for an unfinished job, or such a job has results.
    ///
    /// Another owner would run these pieces again.
    pub fn has_started_jobs(&self) -> bool {
        let mut calls = self.calls.values().flat_map(|c| &c.items);
        calls.any(|(id, _)| self.jobs.contains_key(id))
            || self.jobs.values().any(JobState::has_results)
    }

    fn set_workers(&mut self, workers: Vec<WorkerInfo>) {
        let mut known = std::mem::take(&mut self.workers);
        for info in workers {
            let worker = known.swap_remove(&info.name);
            let notice = info.notice.clone();
            let mut worker = worker.unwrap_or_else(|| Worker::new(info.centre, notice));
            worker.notice = info.notice;
            worker.load = info.load;
            self.workers.insert(info.name, worker);
        }
    }

    fn submit(&mut self, job: Job) {
        if let Some((_, outcome)) = self.finished.get(&job.id) {
            let outcome = outcome.clone();
            self.actions.push(Action::Reply { job: job.id, outcome });
            return;
        }
        if self.jobs.contains_key(&job.id) {
            return;
        }
        self.reservations.swap_remove(&job.id);
        if job.pieces > MAX_PIECES {
            self.actions.push(Action::Reply { job: job.id, outcome: JobOutcome::Failed });
            return;
        }
        let job = Job { bytes: job.bytes.min(MAX_RESULT_BYTES), ..job };
        if job.priority < LATE_PRIORITY {
            self.arrivals.add(self.now, job.priority, job.pieces);
        }
        let due = self.now + Duration::from_millis(job.due_ms);
        let end_in = Duration::from_millis(job.end_ms);
        let (end, shortest) = (self.now + end_in, call_time(&self.pool, 1));
        let latest_start = self.now + end_in.saturating_sub(shortest);
        let waiting = PieceState { waiting: true, ..PieceState::default() };
        let pieces = vec![waiting; job.pieces as usize];
        let id = job.id.clone();
        self.jobs
            .insert(id, JobState { spec: job, due, end, latest_start, arrived: self.now, pieces });
    }

    fn cancel(&mut self, id: &JobId) {
        self.reservations.swap_remove(id);
        if let Some((_, JobOutcome::Done(results))) = self.finished.swap_remove(id) {
            self.release(results);
        }
        let Some(job) = self.jobs.swap_remove(id) else { return };
        self.release(job.pieces.into_iter().filter_map(|p| p.result).collect());
    }

    /// Sends all jobs to other owners, without the results that are there.
    fn evict(&mut self) {
        self.reservations.clear();
        for (job, _) in std::mem::take(&mut self.jobs) {
            self.actions.push(Action::Reply { job, outcome: JobOutcome::Elsewhere });
        }
    }

    fn release(&mut self, handles: Vec<Handle>) {
        let mut by_worker: IndexMap<TargetName, Vec<Handle>> = IndexMap::new();
        for handle in handles {
            if let Some(result) = self.results.swap_remove(&handle) {
                self.subtract_held(&result.worker, result.bytes);
                by_worker.entry(result.worker).or_default().push(handle);
            }
        }
        for (worker, results) in by_worker {
            if self.workers.contains_key(&worker) {
                self.actions.push(Action::Free { worker, results });
            }
        }
    }

    fn subtract_held(&mut self, worker: &TargetName, bytes: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held_bytes = worker.held_bytes.saturating_sub(bytes);
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
                self.piece_time.record(&self.pool, call.items.len(), took);
            }
            if outcomes.contains(&PieceOutcome::OutOfMemory) {
                worker.out_of_memory(now);
            }
        }
        self.subtract_held(&call.worker, call.bytes);
        let is_done = |o: &&PieceOutcome| matches!(o, PieceOutcome::Done(_));
        self.throughput.add(outcomes.iter().filter(is_done).count());
        let each = call.bytes.checked_div(call.items.len() as u64).unwrap_or_default();
        let missing = std::iter::repeat(PieceOutcome::Failed);
        let mut unwanted = Vec::new();
        for ((id, piece), outcome) in
            call.items.into_iter().zip(outcomes.into_iter().chain(missing))
        {
            if let PieceOutcome::Done(handle) = &outcome {
                self.store_result(&call.worker, handle, each);
            }
            unwanted.extend(self.record_outcome(&id, piece, outcome));
        }
        self.release(unwanted);
    }

    fn store_result(&mut self, worker: &TargetName, handle: &Handle, bytes: u64) {
        let expires = self.now + self.pool.result_ttl;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.held_bytes += bytes;
        }
        self.results
            .insert(handle.clone(), StoredResult { worker: worker.clone(), bytes, expires });
    }

    /// Records the outcome of a piece and returns its result if nothing needs it.
    fn record_outcome(&mut self, id: &JobId, piece: u32, outcome: PieceOutcome) -> Option<Handle> {
        let Some(job) = self.jobs.get_mut(id) else { return outcome.into_result() };
        let Some(state) = job.pieces.get_mut(piece as usize) else {
            return outcome.into_result();
        };
        if state.result.is_some() {
            return outcome.into_result();
        }
        match outcome {
            PieceOutcome::Done(handle) => {
                state.result = Some(handle);
                state.waiting = false;
                if let Some(results) = job.results() {
                    self.finish(id, JobOutcome::Done(results));
                }
            }
            PieceOutcome::Late => self.finish(id, JobOutcome::Late),
            PieceOutcome::Gone => self.finish(id, JobOutcome::Gone),
            PieceOutcome::OutOfMemory => {
                self.refund_attempt(id, piece);
                self.retry(id, piece);
            }
            PieceOutcome::Failed => self.retry(id, piece),
        }
        None
    }

    /// Queues a piece for another call, or fails its job if it has no attempts left.
    fn retry(&mut self, id: &JobId, piece: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(state) = job.pieces.get_mut(piece as usize) else { return };
        if state.result.is_some() {
            return;
        }
        if state.attempts >= MAX_ATTEMPTS {
            self.finish(id, JobOutcome::Failed);
            return;
        }
        state.waiting = true;
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
        self.subtract_held(&call.worker, call.bytes);
        for (id, piece) in call.items {
            match failure {
                CallFailure::Refused | CallFailure::Unreached => self.refund_attempt(&id, piece),
                CallFailure::Lost => {}
            }
            self.retry(&id, piece);
        }
    }

    /// Uncounts an attempt that never ran.
    fn refund_attempt(&mut self, id: &JobId, piece: u32) {
        let state = self.jobs.get_mut(id).and_then(|j| j.pieces.get_mut(piece as usize));
        if let Some(state) = state {
            state.attempts = state.attempts.saturating_sub(1);
        }
    }

    /// Finishes a job: replies to its submitter, and frees results that the reply does not contain.
    fn finish(&mut self, id: &JobId, outcome: JobOutcome) {
        let Some(job) = self.jobs.swap_remove(id) else { return };
        if !matches!(outcome, JobOutcome::Done(_)) {
            self.release(job.pieces.into_iter().filter_map(|p| p.result).collect());
        }
        self.finished.insert(id.clone(), (self.now, outcome.clone()));
        self.actions.push(Action::Reply { job: id.clone(), outcome });
    }

    /// Finishes jobs that can't end in time, and drops expired state.
    fn expire(&mut self) {
        let now = self.now;
        self.expire_paused();
        let late = |j: &JobState| j.is_waiting() && j.is_unstarted() && j.latest_start <= now;
        let ended = self.jobs.iter().filter(|(_, j)| late(j) || j.end <= now);
        let ended: Vec<JobId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.finish(&id, JobOutcome::Late);
        }
        self.finished.retain(|_, (at, _)| now.since(*at) < OUTCOME_TTL);
        self.reservations.retain(|_, r| now.since(r.due) < RESERVATION_GRACE);
        self.retry_overdue();
        let expired = self.results.iter().filter(|(_, r)| r.expires <= now);
        let expired: Vec<Handle> = expired.map(|(h, _)| h.clone()).collect();
        for handle in expired {
            if let Some(result) = self.results.swap_remove(&handle) {
                self.subtract_held(&result.worker, result.bytes);
            }
        }
    }

    /// Finishes jobs that can't start in time because all targets have asked for a pause.
    fn expire_paused(&mut self) {
        let Some(opens) = self.opens_at() else { return };
        let done = opens + call_time(&self.pool, 1);
        // A job that is past its due time in any case waits as long as its caller.
        let limit = |j: &JobState| if j.due > self.now { j.due.min(j.end) } else { j.end };
        let late = |j: &JobState| j.is_waiting() && j.is_unstarted() && limit(j) < done;
        let ended = self.jobs.iter().filter(|(_, j)| late(j) && j.end > self.now);
        let ended: Vec<JobId> = ended.map(|(id, _)| id.clone()).collect();
        let left_ms = u64::try_from(opens.since(self.now).as_millis()).unwrap_or(u64::MAX);
        for id in ended {
            self.finish(&id, JobOutcome::Paused { left_ms });
        }
    }

    /// Returns the time at which the first target may get pieces, if all have asked for a pause.
    pub(super) fn opens_at(&self) -> Option<Instant> {
        let staying = self.workers.values().filter(|w| !w.notice.is_leaving());
        let opens: Option<Vec<Instant>> = staying.map(|w| w.notice.opens_at(self.now)).collect();
        opens?.into_iter().min()
    }

    fn overdue_at(&self, call: &Call) -> Instant {
        call.started + call.expected * OVERDUE_FACTOR + OVERDUE_SLACK
    }

    /// Queues the pieces of overdue calls to run elsewhere as well.
    fn retry_overdue(&mut self) {
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
                self.retry(&id, piece);
            }
        }
    }
}

impl JobState {
    pub(super) fn virtual_deadline(&self) -> Instant {
        virtual_deadline(self.due, self.spec.priority)
    }

    /// Returns whether its request can no longer meet its objective.
    pub(super) fn is_late(&self) -> bool {
        self.spec.priority >= LATE_PRIORITY
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.pieces.iter().any(|p| p.waiting)
    }

    /// Returns whether none of its pieces is running or done.
    fn is_unstarted(&self) -> bool {
        self.pieces.iter().all(|p| p.waiting && p.result.is_none())
    }

    fn has_results(&self) -> bool {
        self.pieces.iter().any(|p| p.result.is_some())
    }

    pub(super) fn waiting_pieces(&self) -> u32 {
        u32::try_from(self.pieces.iter().filter(|p| p.waiting).count()).unwrap_or(u32::MAX)
    }

    /// Returns the time from which it may run outside its preferred data centre, if it has one.
    pub(super) fn remote_at(&self) -> Option<Instant> {
        let near = self.spec.near.as_ref()?;
        Some(self.arrived + Duration::from_millis(near.wait_ms))
    }

    /// Returns the results once all pieces are done.
    fn results(&self) -> Option<Vec<Handle>> {
        self.pieces.iter().map(|p| p.result.clone()).collect()
    }
}
