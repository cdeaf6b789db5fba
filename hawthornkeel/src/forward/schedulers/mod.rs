//! Stage schedulers that this entry owns, and access to those of other entries.
//!
//! Each scheduler is owned by one entry. If the owner can't be reached, the next entry in ranking
//! order takes over. Two owners at the same time only make calls wait longer at the targets.

mod batches;
mod results;
mod stop;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::stages::acceptance::Origin;
use hawthornkeel_core::stages::acceptance::Standing;
use hawthornkeel_core::stages::acceptance::accepts_job;
use hawthornkeel_core::stages::acceptance::sort_for_stop;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::stages::scheduler::Action;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Scheduler;
use hawthornkeel_core::stages::scheduler::Summary;
use hawthornkeel_core::table::pool::StageWorkload;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::forward::context::Context;
pub use crate::forward::schedulers::results::JobError;
use crate::forward::schedulers::results::PendingJob;
pub use crate::forward::schedulers::results::StageResults;
use crate::peer::Frame;
use crate::peer::frame::Book;
use crate::peer::frame::Dismiss;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Offer;
use crate::peer::wakeup::EventCount;

/// Time for which the owner holds an offer while its job is unfinished, in milliseconds.
const LONG_POLL_MS: u32 = 250;
/// Timeout of a call to another entry, in addition to its long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of times that a job is offered to owners: those listed, and those that remain.
const MAX_OWNER_ROUNDS: usize = 2;
/// Interval between probes of a suspected entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a suspected entry is dropped from the suspects, as it may be gone for good.
const SUSPECT_TTL: Duration = Duration::from_secs(30);
/// Interval at which schedulers are checked for due timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between log lines about a scheduler.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// Stage schedulers; clones share them.
#[derive(Clone)]
pub struct Schedulers {
    inner: Rc<Inner>,
}

struct Inner {
    context: Rc<Context>,
    pools: RefCell<IndexMap<PoolName, StageWorkload>>,
    schedulers: RefCell<IndexMap<SchedulerName, LocalScheduler>>,
    input_arrived: EventCount,
    ticking: Cell<bool>,
}

/// Scheduler owned by this entry.
struct LocalScheduler {
    scheduler: Scheduler,
    waiters: IndexMap<JobId, Vec<oneshot::Sender<JobOutcome>>>,
}

impl Schedulers {
    /// Starts the background tasks and the frame handlers for other entries.
    pub fn start(context: &Rc<Context>) -> Self {
        let schedulers = Self {
            inner: Rc::new(Inner {
                context: Rc::clone(context),
                pools: RefCell::default(),
                schedulers: RefCell::default(),
                input_arrived: EventCount::default(),
                ticking: Cell::new(false),
            }),
        };
        schedulers.register_handlers();
        monoio::spawn(schedulers.clone().run_timers());
        monoio::spawn(schedulers.clone().log_state());
        schedulers
    }

    fn register_handlers(&self) {
        let endpoint = &self.inner.context.endpoint;
        let schedulers = self.clone();
        endpoint.on_call(FrameKind::Offer, move |_, frame| {
            let schedulers = schedulers.clone();
            async move {
                match frame {
                    Frame::Offer(offer) => {
                        Frame::Offered(schedulers.handle_offer(Origin::Other, offer).await)
                    }
                    other => other,
                }
            }
        });
        let schedulers = self.clone();
        endpoint.on_call(FrameKind::Book, move |_, frame| {
            let response = match frame {
                Frame::Book(book) => {
                    Frame::Booked(schedulers.apply_reservations(Origin::Other, &book))
                }
                other => other,
            };
            async move { response }
        });
        endpoint.on_call(FrameKind::Ping, |_, _| async { Frame::Pong });
        let schedulers = self.clone();
        endpoint.on_frame(FrameKind::Dismiss, move |_, frame| {
            if let Frame::Dismiss(dismiss) = frame {
                schedulers.handle_dismiss(dismiss);
            }
        });
    }

    /// Replaces the pools that run stages.
    pub fn set_pools(&self, pools: Vec<(PoolName, StageWorkload)>) {
        for (name, local) in self.inner.schedulers.borrow_mut().iter_mut() {
            if let Some((_, pieces)) = pools.iter().find(|(pool, _)| *pool == name.pool) {
                local.scheduler.set_pool(*pieces);
            }
        }
        *self.inner.pools.borrow_mut() = pools.into_iter().collect();
    }

    /// Updates the workers of all schedulers after a change of the targets.
    pub fn update_workers(&self) {
        let names: Vec<SchedulerName> = self.inner.schedulers.borrow().keys().cloned().collect();
        for name in names {
            let workers = self.inner.context.balancer.borrow().workers(&name);
            self.handle_input(&name, Input::Workers(workers));
        }
    }

    /// Runs a stage on its scheduler, whichever entry owns it.
    ///
    /// Dropping the future cancels the job.
    ///
    /// # Errors
    /// Returns the reason if the stage yields no results.
    pub async fn run_job(&self, name: &SchedulerName, job: Job) -> Result<StageResults, JobError> {
        let started = Instant::now();
        let mut refused = Vec::new();
        for _ in 0..MAX_OWNER_ROUNDS {
            let known = refused.len();
            if let Some(result) = self.try_owners(name, &job, started, &mut refused).await {
                return result;
            }
            // Those that remain own the scheduler once the others turn its jobs away.
            if refused.len() == known {
                break;
            }
        }
        Err(if refused.is_empty() { JobError::Unreachable } else { JobError::Failed })
    }

    /// Offers a job to its owners other than those that have `refused` it, and adds to these.
    ///
    /// Returns `None` if none of them takes it.
    async fn try_owners(
        &self,
        name: &SchedulerName,
        job: &Job,
        started: Instant,
        refused: &mut Vec<InstanceName>,
    ) -> Option<Result<StageResults, JobError>> {
        for owner in self.owners(name, self.standing(name, &job.id), refused) {
            let Some(job) = after_delay(job, started.elapsed()) else {
                return Some(Err(JobError::Late));
            };
            let error = match self.submit(&owner, name, job).await {
                Some(JobOutcome::Done(handles)) => {
                    let schedulers = self.clone();
                    let name = name.clone();
                    return Some(Ok(StageResults { handles, name, owner, schedulers }));
                }
                Some(JobOutcome::Late) => JobError::Late,
                Some(JobOutcome::Gone) => JobError::Gone,
                Some(JobOutcome::Failed) => JobError::Failed,
                Some(JobOutcome::Paused { left_ms }) => {
                    JobError::Paused { left: Duration::from_millis(left_ms) }
                }
                Some(JobOutcome::Open | JobOutcome::Elsewhere) => {
                    refused.push(owner);
                    continue;
                }
                None => continue,
            };
            return Some(Err(error));
        }
        None
    }

    /// Returns the entries to try as owner for a job, in order, but for those that have refused it.
    fn owners(
        &self,
        name: &SchedulerName,
        standing: Standing,
        refused: &[InstanceName],
    ) -> Vec<InstanceName> {
        let mut owners = self.inner.context.owners(name, refused);
        if self.inner.context.stop.is_begun() {
            sort_for_stop(&mut owners, self.inner.context.endpoint.name(), standing);
        }
        owners
    }

    /// Reserves capacity for stages of a request on a scheduler.
    ///
    /// Returns the scheduler's owner and the estimate of each reservation, or `None` if no owner
    /// responds.
    pub async fn reserve(
        &self,
        name: &SchedulerName,
        reservations: Vec<Reservation>,
    ) -> Option<(InstanceName, Vec<Option<ReservationEstimate>>)> {
        let book = Book { scheduler: name.clone(), reservations };
        for owner in self.owners(name, Standing::New, &[]) {
            let estimates = self.reserve_at(&owner, &book).await;
            // An entry that is stopping returns no estimates.
            if let Some(estimates) = estimates.filter(|e| !e.is_empty()) {
                return Some((owner, estimates));
            }
        }
        None
    }

    async fn reserve_at(
        &self,
        owner: &InstanceName,
        book: &Book,
    ) -> Option<Vec<Option<ReservationEstimate>>> {
        if owner == self.inner.context.endpoint.name() {
            return Some(self.apply_reservations(Origin::Own, book));
        }
        let frame = Frame::Book(book.clone());
        match self.inner.context.endpoint.call(owner, &frame, RESPONSE_TIMEOUT).await {
            Ok(Frame::Booked(estimates)) => {
                self.inner.context.record_response(owner);
                Some(estimates)
            }
            Ok(_) => None,
            Err(error) => {
                tracing::info!(event = "booking-failed", %owner, desk = %book.scheduler, %error);
                self.mark_suspect(owner);
                None
            }
        }
    }

    /// Cancels jobs or reservations on a scheduler of `owner`.
    pub fn cancel(&self, owner: &InstanceName, name: &SchedulerName, jobs: Vec<JobId>) {
        self.send_dismiss(owner, Dismiss { scheduler: name.clone(), jobs, results: Vec::new() });
    }

    fn apply_reservations(&self, origin: Origin, book: &Book) -> Vec<Option<ReservationEstimate>> {
        if !self.accepts(origin, Standing::New) || !self.ensure_open(&book.scheduler) {
            return Vec::new();
        }
        let mut schedulers = self.inner.schedulers.borrow_mut();
        let Some(local) = schedulers.get_mut(&book.scheduler) else { return Vec::new() };
        book.reservations.iter().map(|b| local.scheduler.reserve(boot_now(), b)).collect()
    }

    /// Skips an entry as owner until it responds to a probe.
    fn mark_suspect(&self, owner: &InstanceName) {
        if !self.inner.context.suspect_entry(owner) {
            return;
        }
        tracing::info!(event = "entry-suspected", entry = %owner);
        let (schedulers, owner) = (self.clone(), owner.clone());
        monoio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < SUSPECT_TTL {
                monoio::time::sleep(PROBE_INTERVAL).await;
                let endpoint = &schedulers.inner.context.endpoint;
                if endpoint.call(&owner, &Frame::Ping, RESPONSE_TIMEOUT).await.is_ok() {
                    schedulers.inner.context.record_response(&owner);
                    break;
                }
            }
            tracing::info!(event = "entry-trusted", entry = %owner);
            schedulers.inner.context.clear_suspect(&owner);
        });
    }

    /// Submits a job to an owner and waits for its outcome; `None` if the owner doesn't respond.
    async fn submit(
        &self,
        owner: &InstanceName,
        name: &SchedulerName,
        job: Job,
    ) -> Option<JobOutcome> {
        let id = job.id.clone();
        let mut pending = PendingJob {
            schedulers: self.clone(),
            owner: owner.clone(),
            name: name.clone(),
            job: Some(id.clone()),
        };
        let started = Instant::now();
        loop {
            let job = after_delay(&job, started.elapsed())?;
            let offer = Offer { scheduler: name.clone(), job, wait_ms: LONG_POLL_MS };
            let outcome = self.send_offer(owner, offer).await;
            match &outcome {
                Some(JobOutcome::Open) => continue,
                None => {
                    tracing::info!(
                        event = "desk-silent",
                        owner = %owner,
                        desk = %name,
                        request = %id.request,
                    );
                    self.mark_suspect(owner);
                }
                Some(_) => pending.job = None,
            }
            return outcome;
        }
    }

    async fn send_offer(&self, owner: &InstanceName, offer: Offer) -> Option<JobOutcome> {
        if owner == self.inner.context.endpoint.name() {
            return Some(self.handle_offer(Origin::Own, offer).await);
        }
        let timeout = RESPONSE_TIMEOUT + Duration::from_millis(offer.wait_ms.into());
        let frame = Frame::Offer(offer);
        match self.inner.context.endpoint.call(owner, &frame, timeout).await {
            Ok(Frame::Offered(outcome)) => {
                self.inner.context.record_response(owner);
                Some(outcome)
            }
            Ok(_) => None,
            Err(error) => {
                tracing::info!(event = "offer-failed", owner = %owner, %error);
                None
            }
        }
    }

    /// Returns what a scheduler of this entry knows of a job.
    fn standing(&self, name: &SchedulerName, job: &JobId) -> Standing {
        let schedulers = self.inner.schedulers.borrow();
        schedulers.get(name).map_or(Standing::New, |l| l.scheduler.standing(job))
    }

    /// Returns whether this entry accepts a job, which depends on the time left during a stop.
    fn accepts(&self, origin: Origin, standing: Standing) -> bool {
        accepts_job(origin, standing, self.inner.context.stop.time_left())
    }

    /// Accepts an offer and returns the outcome of its job, or `Open` after the long poll.
    async fn handle_offer(&self, origin: Origin, offer: Offer) -> JobOutcome {
        let Offer { scheduler: name, job, wait_ms } = offer;
        let id = job.id.clone();
        if !self.accepts(origin, self.standing(&name, &id)) || !self.ensure_open(&name) {
            return JobOutcome::Elsewhere;
        }
        let (sender, outcome) = oneshot::channel();
        if let Some(local) = self.inner.schedulers.borrow_mut().get_mut(&name) {
            let waiters = local.waiters.entry(id).or_default();
            waiters.retain(|w| !w.is_canceled());
            waiters.push(sender);
        }
        self.handle_input(&name, Input::Submit(job));
        let wait = Duration::from_millis(wait_ms.into());
        match monoio::time::timeout(wait, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => JobOutcome::Open,
        }
    }

    /// Creates a scheduler if needed; returns whether it exists.
    ///
    /// None is created for a pool missing from the document.
    fn ensure_open(&self, name: &SchedulerName) -> bool {
        if self.inner.schedulers.borrow().contains_key(name) {
            return true;
        }
        let Some(pieces) = self.inner.pools.borrow().get(&name.pool).copied() else { return false };
        tracing::info!(event = "desk-opened", desk = %name);
        let local = LocalScheduler { scheduler: Scheduler::new(pieces), waiters: IndexMap::new() };
        self.inner.schedulers.borrow_mut().insert(name.clone(), local);
        let workers = self.inner.context.balancer.borrow().workers(name);
        self.handle_input(name, Input::Workers(workers));
        true
    }

    /// Tells the owner of a scheduler which jobs and results are no longer needed.
    pub(super) fn send_dismiss(&self, owner: &InstanceName, dismiss: Dismiss) {
        if owner == self.inner.context.endpoint.name() {
            self.handle_dismiss(dismiss);
            return;
        }
        if let Err(error) = self.inner.context.endpoint.send(owner, &Frame::Dismiss(dismiss)) {
            tracing::info!(event = "dismiss-unsent", owner = %owner, %error);
        }
    }

    fn handle_dismiss(&self, dismiss: Dismiss) {
        let Dismiss { scheduler: name, jobs, results } = dismiss;
        for job in jobs {
            if let Some(local) = self.inner.schedulers.borrow_mut().get_mut(&name) {
                local.waiters.swap_remove(&job);
            }
            self.handle_input(&name, Input::Cancel(job));
        }
        if !results.is_empty() {
            self.handle_input(&name, Input::Release(results));
        }
    }

    /// Passes an input to a scheduler and executes the resulting actions.
    fn handle_input(&self, name: &SchedulerName, input: Input) {
        let actions = match self.inner.schedulers.borrow_mut().get_mut(name) {
            Some(local) => local.scheduler.handle(boot_now(), input),
            None => return,
        };
        for action in actions {
            self.execute(name, action);
        }
        if !self.inner.ticking.get() {
            self.inner.input_arrived.notify();
        }
    }

    fn execute(&self, name: &SchedulerName, action: Action) {
        match action {
            Action::Run { call, worker, items, timeout } => {
                monoio::spawn(self.clone().run_batch(name.clone(), call, worker, items, timeout));
            }
            Action::Free { worker, results } => {
                monoio::spawn(self.clone().free_results(worker, results));
            }
            Action::Reply { job, outcome } => {
                let mut schedulers = self.inner.schedulers.borrow_mut();
                let Some(local) = schedulers.get_mut(name) else { return };
                let waiters = local.waiters.swap_remove(&job).unwrap_or_default();
                if !matches!(outcome, JobOutcome::Done(_)) {
                    tracing::info!(
                        event = "job-ended", desk = %name, request = %job.request,
                        stage = job.stage, ?outcome
                    );
                }
                for waiter in waiters {
                    // Fails if the waiter timed out: it offers the job again or cancels it.
                    let _ = waiter.send(outcome.clone());
                }
            }
        }
    }

    /// Periodically logs the state of each scheduler that has work.
    async fn log_state(self) {
        loop {
            monoio::time::sleep(LOG_INTERVAL).await;
            for (name, local) in self.inner.schedulers.borrow().iter() {
                if local.scheduler.is_idle() {
                    continue;
                }
                let Summary {
                    jobs,
                    waiting,
                    late,
                    reserved,
                    calls,
                    workers,
                    available,
                    free,
                    held_bytes,
                } = local.scheduler.summary();
                tracing::info!(
                    event = "desk-state", desk = %name, jobs, waiting, late, booked = reserved,
                    calls, makers = workers, counted = available, free, held = held_bytes
                );
            }
        }
    }

    /// Fires due timers of the schedulers while any of them has work.
    async fn run_timers(self) {
        loop {
            let seen = self.inner.input_arrived.count();
            let busy = self.inner.schedulers.borrow().values().any(|l| !l.scheduler.is_idle());
            self.inner.ticking.set(busy);
            if !busy {
                self.inner.input_arrived.wait_after(seen).await;
                continue;
            }
            monoio::time::sleep(TICK_INTERVAL).await;
            let now = boot_now();
            let due = |l: &LocalScheduler| l.scheduler.next_tick().is_some_and(|d| d <= now);
            let schedulers = self.inner.schedulers.borrow();
            let names: Vec<SchedulerName> =
                schedulers.iter().filter(|(_, l)| due(l)).map(|(n, _)| n.clone()).collect();
            drop(schedulers);
            for name in names {
                self.handle_input(&name, Input::Tick);
            }
        }
    }
}

/// Returns a job with its times reduced by `delay`, or `None` if its deadline has passed.
fn after_delay(job: &Job, delay: Duration) -> Option<Job> {
    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    let end_ms = job.end_ms.checked_sub(delay_ms).filter(|e| *e > 0)?;
    Some(Job { due_ms: job.due_ms.saturating_sub(delay_ms), end_ms, ..job.clone() })
}
