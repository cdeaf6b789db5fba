//! Desks of stages: those that this entry keeps, and the way to those of other entries.
//!
//! One entry keeps the desk of a pool. Where it can't be reached, the next in the same order takes
//! over; two entries that keep the desk of one pool for a while cost only calls that wait longer.

mod calls;
mod results;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_channel::oneshot;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
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
use indexmap::IndexSet;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::desks::results::Pending;
pub use crate::forward::desks::results::Results;
pub use crate::forward::desks::results::Undone;
use crate::peer::Frame;
use crate::peer::frame::Book;
use crate::peer::frame::Dismiss;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Offer;
use crate::peer::wakeup::EventCount;

/// Time for which an entry holds an offer while the job is open, in milliseconds.
const HOLD_MS: u32 = 250;
/// Time for an entry to answer beyond the hold.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Entries that are asked to keep the desk of a pool, one after the other, before the own one.
const MAX_OWNERS: usize = 3;
/// Entries of a data centre that do not answer, from which on it counts as cut off.
const CUT_ENTRIES: usize = 2;
/// Pause between two calls to an entry that did not answer.
const PROBE_PAUSE: Duration = Duration::from_millis(250);
/// Time after which an entry that did not answer is forgotten, as it may be gone for good.
const FORGET_SUSPECT: Duration = Duration::from_secs(30);
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Time between two lines about a desk.
const TELL: Duration = Duration::from_millis(1_000);

/// Desks of stages; clones share them.
#[derive(Clone)]
pub struct Desks {
    inner: Rc<Inner>,
}

struct Inner {
    context: Rc<Context>,
    pools: RefCell<IndexMap<PoolName, StageWorkload>>,
    desks: RefCell<IndexMap<SchedulerName, Local>>,
    /// Entries that did not answer.
    suspects: RefCell<IndexSet<InstanceName>>,
    woken: EventCount,
    ticking: Cell<bool>,
}

/// Desk that this entry keeps.
struct Local {
    desk: Scheduler,
    waiters: IndexMap<JobId, Vec<oneshot::Sender<JobOutcome>>>,
}

impl Desks {
    /// Creates the desks of an entry and starts to serve other entries.
    pub fn start(context: &Rc<Context>) -> Self {
        let desks = Self {
            inner: Rc::new(Inner {
                context: Rc::clone(context),
                pools: RefCell::default(),
                desks: RefCell::default(),
                suspects: RefCell::default(),
                woken: EventCount::default(),
                ticking: Cell::new(false),
            }),
        };
        desks.serve();
        monoio::spawn(desks.clone().tick());
        monoio::spawn(desks.clone().tell_desks());
        desks
    }

    fn serve(&self) {
        let endpoint = &self.inner.context.endpoint;
        let desks = self.clone();
        endpoint.on_call(FrameKind::Offer, move |_, frame| {
            let desks = desks.clone();
            async move {
                match frame {
                    Frame::Offer(offer) => Frame::Offered(desks.answer(offer).await),
                    other => other,
                }
            }
        });
        let desks = self.clone();
        endpoint.on_call(FrameKind::Book, move |_, frame| {
            let answer = match frame {
                Frame::Book(book) => Frame::Booked(desks.take_bookings(&book)),
                other => other,
            };
            async move { answer }
        });
        endpoint.on_call(FrameKind::Ping, |_, _| async { Frame::Pong });
        let desks = self.clone();
        endpoint.on_frame(FrameKind::Dismiss, move |_, frame| {
            if let Frame::Dismiss(dismiss) = frame {
                desks.take_dismiss(dismiss);
            }
        });
    }

    /// Takes in the pools that do stages.
    pub fn set_pools(&self, pools: Vec<(PoolName, StageWorkload)>) {
        for (name, local) in self.inner.desks.borrow_mut().iter_mut() {
            if let Some((_, pieces)) = pools.iter().find(|(pool, _)| *pool == name.pool) {
                local.desk.set_pool(*pieces);
            }
        }
        *self.inner.pools.borrow_mut() = pools.into_iter().collect();
    }

    /// Takes in that the targets may have changed.
    pub fn set_makers(&self) {
        let names: Vec<SchedulerName> = self.inner.desks.borrow().keys().cloned().collect();
        for name in names {
            let makers = self.inner.context.board.borrow().workers(&name);
            self.input(&name, Input::Workers(makers));
        }
    }

    /// Tells whether a data centre seems to be cut off from this entry: its desks do not answer.
    pub fn is_cut(&self, centre: &CentreName) -> bool {
        let roster = self.inner.context.roster.borrow();
        let suspects = self.inner.suspects.borrow();
        let there = roster.entries.iter().filter(|e| e.centre == *centre);
        there.filter(|e| suspects.contains(&e.name)).count() >= CUT_ENTRIES
    }

    /// Has a stage done, wherever its desk is.
    ///
    /// # Errors
    /// Fails as [`Undone`] says; dropping the future withdraws the job.
    pub async fn run(&self, name: &SchedulerName, job: Job) -> Result<Results, Undone> {
        let started = Instant::now();
        let mut last = Undone::Failed;
        for owner in self.candidates(name) {
            let Some(job) = remaining(&job, started.elapsed()) else { return Err(Undone::Late) };
            match self.offer(&owner, name, job).await {
                Some(JobOutcome::Done(handles)) => {
                    let desks = self.clone();
                    return Ok(Results { handles, desk: name.clone(), owner, desks });
                }
                Some(JobOutcome::Late) => return Err(Undone::Late),
                Some(JobOutcome::Gone) => return Err(Undone::Gone),
                Some(JobOutcome::Failed) => return Err(Undone::Failed),
                Some(JobOutcome::Open | JobOutcome::Elsewhere) | None => last = Undone::Failed,
            }
        }
        Err(last)
    }

    /// Books stages of a request at the desk of their pool.
    ///
    /// Returns the desk's owner and what each booking comes to; `None` where no desk answers.
    pub async fn book(
        &self,
        name: &SchedulerName,
        bookings: Vec<Reservation>,
    ) -> Option<(InstanceName, Vec<Option<ReservationEstimate>>)> {
        let book = Book { scheduler: name.clone(), reservations: bookings };
        for owner in self.candidates(name) {
            let booked = self.book_at(&owner, &book).await;
            // An entry that is about to stop books nothing.
            if let Some(booked) = booked.filter(|b| !b.is_empty()) {
                return Some((owner, booked));
            }
        }
        None
    }

    async fn book_at(
        &self,
        owner: &InstanceName,
        book: &Book,
    ) -> Option<Vec<Option<ReservationEstimate>>> {
        if owner == self.inner.context.endpoint.name() {
            return Some(self.take_bookings(book));
        }
        let frame = Frame::Book(book.clone());
        match self.inner.context.endpoint.call(owner, &frame, ANSWER_TIME).await {
            Ok(Frame::Booked(booked)) => Some(booked),
            Ok(_) => None,
            Err(error) => {
                tracing::info!(event = "booking-failed", %owner, desk = %book.scheduler, %error);
                self.suspect(owner);
                None
            }
        }
    }

    /// Gives up jobs or bookings at the desk that `owner` keeps.
    pub fn withdraw(&self, owner: &InstanceName, name: &SchedulerName, jobs: Vec<JobId>) {
        self.dismiss(owner, Dismiss { scheduler: name.clone(), jobs, results: Vec::new() });
    }

    fn take_bookings(&self, book: &Book) -> Vec<Option<ReservationEstimate>> {
        if !self.open(&book.scheduler) {
            return Vec::new();
        }
        let mut desks = self.inner.desks.borrow_mut();
        let Some(local) = desks.get_mut(&book.scheduler) else { return Vec::new() };
        book.reservations.iter().map(|b| local.desk.reserve(boot_now(), b)).collect()
    }

    /// Returns the entries that may keep the desk of a pool, in order, and this one at last.
    fn candidates(&self, name: &SchedulerName) -> Vec<InstanceName> {
        let own = self.inner.context.endpoint.name();
        let suspects = self.inner.suspects.borrow();
        let mut owners = self.inner.context.owners(name);
        owners.retain(|o| o == own || !suspects.contains(o));
        owners.truncate(MAX_OWNERS);
        if !owners.contains(own) {
            owners.push(own.clone());
        }
        owners
    }

    /// Passes an entry over until it answers again.
    fn suspect(&self, owner: &InstanceName) {
        if !self.inner.suspects.borrow_mut().insert(owner.clone()) {
            return;
        }
        tracing::info!(event = "entry-suspected", entry = %owner);
        let (desks, owner) = (self.clone(), owner.clone());
        monoio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < FORGET_SUSPECT {
                monoio::time::sleep(PROBE_PAUSE).await;
                let endpoint = &desks.inner.context.endpoint;
                if endpoint.call(&owner, &Frame::Ping, ANSWER_TIME).await.is_ok() {
                    break;
                }
            }
            tracing::info!(event = "entry-trusted", entry = %owner);
            desks.inner.suspects.borrow_mut().swap_remove(&owner);
        });
    }

    /// Offers a job to an entry and waits for what comes of it; `None` where it doesn't answer.
    async fn offer(
        &self,
        owner: &InstanceName,
        name: &SchedulerName,
        job: Job,
    ) -> Option<JobOutcome> {
        let id = job.id.clone();
        let mut pending = Pending {
            desks: self.clone(),
            owner: owner.clone(),
            desk: name.clone(),
            job: Some(id.clone()),
        };
        let started = Instant::now();
        loop {
            let job = remaining(&job, started.elapsed())?;
            let offer = Offer { scheduler: name.clone(), job, wait_ms: HOLD_MS };
            let outcome = self.ask(owner, offer).await;
            match &outcome {
                Some(JobOutcome::Open) => continue,
                None => {
                    tracing::info!(event = "desk-silent", owner = %owner, desk = %name, request = %id.request);
                    self.suspect(owner);
                }
                Some(_) => pending.job = None,
            }
            return outcome;
        }
    }

    async fn ask(&self, owner: &InstanceName, offer: Offer) -> Option<JobOutcome> {
        if owner == self.inner.context.endpoint.name() {
            return Some(self.answer(offer).await);
        }
        let timeout = ANSWER_TIME + Duration::from_millis(offer.wait_ms.into());
        let frame = Frame::Offer(offer);
        match self.inner.context.endpoint.call(owner, &frame, timeout).await {
            Ok(Frame::Offered(outcome)) => Some(outcome),
            Ok(_) => None,
            Err(error) => {
                tracing::info!(event = "offer-failed", owner = %owner, %error);
                None
            }
        }
    }

    /// Tells whether a desk of this entry has a job, which it then goes on with even at a stop.
    fn knows(&self, name: &SchedulerName, job: &JobId) -> bool {
        self.inner.desks.borrow().get(name).is_some_and(|l| l.desk.knows(job))
    }

    /// Takes in an offer and answers once the job has ended, or after the hold.
    async fn answer(&self, offer: Offer) -> JobOutcome {
        let Offer { scheduler: name, job, wait_ms } = offer;
        let id = job.id.clone();
        if !self.knows(&name, &id) && !self.open(&name) {
            return JobOutcome::Elsewhere;
        }
        let (sender, outcome) = oneshot::channel();
        if let Some(local) = self.inner.desks.borrow_mut().get_mut(&name) {
            let waiters = local.waiters.entry(id).or_default();
            waiters.retain(|w| !w.is_canceled());
            waiters.push(sender);
        }
        self.input(&name, Input::Submit(job));
        let hold = Duration::from_millis(wait_ms.into());
        match monoio::time::timeout(hold, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => JobOutcome::Open,
        }
    }

    /// Opens the desk of a pool, where the document has the pool and this entry goes on.
    fn open(&self, name: &SchedulerName) -> bool {
        if self.inner.context.stopping.get() {
            return false;
        }
        if self.inner.desks.borrow().contains_key(name) {
            return true;
        }
        let Some(pieces) = self.inner.pools.borrow().get(&name.pool).copied() else { return false };
        tracing::info!(event = "desk-opened", desk = %name);
        let local = Local { desk: Scheduler::new(pieces), waiters: IndexMap::new() };
        self.inner.desks.borrow_mut().insert(name.clone(), local);
        let makers = self.inner.context.board.borrow().workers(name);
        self.input(name, Input::Workers(makers));
        true
    }

    /// Tells the entry that keeps a desk what is not needed any more.
    pub(super) fn dismiss(&self, owner: &InstanceName, dismiss: Dismiss) {
        if owner == self.inner.context.endpoint.name() {
            self.take_dismiss(dismiss);
            return;
        }
        if let Err(error) = self.inner.context.endpoint.send(owner, &Frame::Dismiss(dismiss)) {
            tracing::info!(event = "dismiss-unsent", owner = %owner, %error);
        }
    }

    fn take_dismiss(&self, dismiss: Dismiss) {
        let Dismiss { scheduler: name, jobs, results } = dismiss;
        for job in jobs {
            if let Some(local) = self.inner.desks.borrow_mut().get_mut(&name) {
                local.waiters.swap_remove(&job);
            }
            self.input(&name, Input::Cancel(job));
        }
        if !results.is_empty() {
            self.input(&name, Input::Release(results));
        }
    }

    /// Hands an input to a desk and carries out what follows.
    fn input(&self, name: &SchedulerName, input: Input) {
        let actions = match self.inner.desks.borrow_mut().get_mut(name) {
            Some(local) => local.desk.handle(boot_now(), input),
            None => return,
        };
        for action in actions {
            self.carry_out(name, action);
        }
        if !self.inner.ticking.get() {
            self.inner.woken.notify();
        }
    }

    fn carry_out(&self, name: &SchedulerName, action: Action) {
        match action {
            Action::Run { call, worker, items, timeout } => {
                monoio::spawn(self.clone().call(name.clone(), call, worker, items, timeout));
            }
            Action::Free { worker, results } => {
                monoio::spawn(self.clone().free(worker, results));
            }
            Action::Reply { job, outcome } => {
                let mut desks = self.inner.desks.borrow_mut();
                let Some(local) = desks.get_mut(name) else { return };
                let waiters = local.waiters.swap_remove(&job).unwrap_or_default();
                if !matches!(outcome, JobOutcome::Done(_)) {
                    tracing::info!(event = "job-ended", desk = %name, request = %job.request, stage = job.stage, ?outcome);
                }
                for waiter in waiters {
                    // Whoever asked has given up waiting, and asks again or withdraws the job.
                    let _ = waiter.send(outcome.clone());
                }
            }
        }
    }

    /// Writes a line about each desk that has work, once in a while.
    async fn tell_desks(self) {
        loop {
            monoio::time::sleep(TELL).await;
            for (name, local) in self.inner.desks.borrow().iter() {
                if local.desk.is_idle() {
                    continue;
                }
                let Summary {
                    jobs,
                    waiting,
                    late,
                    booked,
                    calls,
                    workers: makers,
                    available: counted,
                    free,
                    held_bytes: held,
                } = local.desk.summary();
                tracing::info!(
                    event = "desk-state", desk = %name, jobs, waiting, late, booked, calls, makers, counted, free, held
                );
            }
        }
    }

    /// Has the desks do what has become due, as long as one has work.
    async fn tick(self) {
        loop {
            let seen = self.inner.woken.count();
            let busy = self.inner.desks.borrow().values().any(|l| !l.desk.is_idle());
            self.inner.ticking.set(busy);
            if !busy {
                self.inner.woken.wait_after(seen).await;
                continue;
            }
            monoio::time::sleep(TICK).await;
            let now = boot_now();
            let due = |l: &Local| l.desk.next_tick().is_some_and(|d| d <= now);
            let desks = self.inner.desks.borrow();
            let names: Vec<SchedulerName> =
                desks.iter().filter(|(_, l)| due(l)).map(|(n, _)| n.clone()).collect();
            drop(desks);
            for name in names {
                self.input(&name, Input::Tick);
            }
        }
    }
}

/// Returns a job as it stands after some time, unless its time has passed.
fn remaining(job: &Job, passed: Duration) -> Option<Job> {
    let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
    let end_ms = job.end_ms.checked_sub(passed).filter(|e| *e > 0)?;
    Some(Job { due_ms: job.due_ms.saturating_sub(passed), end_ms, ..job.clone() })
}
