//! Owner's side of the schedulers: reservations, offers, and the inputs and actions of a scheduler.

use std::time::Duration;

use futures_channel::oneshot;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::stages::acceptance::Origin;
use hawthornkeel_core::stages::acceptance::Standing;
use hawthornkeel_core::stages::acceptance::accepts_job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::stages::scheduler::Action;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Scheduler;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::forward::schedulers::Schedulers;
use crate::peer::frame::Book;
use crate::peer::frame::Dismiss;
use crate::peer::frame::Offer;

/// Scheduler owned by this entry.
pub(super) struct LocalScheduler {
    pub(super) scheduler: Scheduler,
    waiters: IndexMap<JobId, Vec<oneshot::Sender<JobOutcome>>>,
}

impl Schedulers {
    pub(super) fn apply_reservations(
        &self,
        origin: Origin,
        book: &Book,
    ) -> Vec<Option<ReservationEstimate>> {
        if !self.accepts(&book.scheduler, origin, Standing::New)
            || !self.ensure_open(&book.scheduler)
        {
            return Vec::new();
        }
        let mut schedulers = self.inner.schedulers.borrow_mut();
        let Some(local) = schedulers.get_mut(&book.scheduler) else { return Vec::new() };
        book.reservations.iter().map(|b| local.scheduler.reserve(boot_now(), b)).collect()
    }

    /// Accepts an offer and returns the outcome of its job, or `Open` after the long poll.
    pub(super) async fn handle_offer(&self, origin: Origin, offer: Offer) -> JobOutcome {
        let Offer { scheduler: name, job, wait_ms } = offer;
        let id = job.id.clone();
        let standing = self.standing(&name, &id);
        if !self.accepts(&name, origin, standing) || !self.ensure_open(&name) {
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

    /// Returns what a scheduler of this entry knows of a job.
    pub(super) fn standing(&self, name: &SchedulerName, job: &JobId) -> Standing {
        let schedulers = self.inner.schedulers.borrow();
        schedulers.get(name).map_or(Standing::New, |l| l.scheduler.standing(job))
    }

    /// Returns whether this entry accepts a job, which depends on the time left during a stop and on
    /// its links to the targets.
    fn accepts(&self, name: &SchedulerName, origin: Origin, standing: Standing) -> bool {
        let is_lost = self.inner.context.http_client.links().is_lost(&name.pool);
        let reaches_targets = !is_lost || origin == Origin::Own;
        reaches_targets && accepts_job(origin, standing, self.inner.context.stop.time_left())
    }

    /// Sends all jobs of a pool to other owners.
    pub fn evict_jobs(&self, pool: &PoolName) {
        let schedulers = self.inner.schedulers.borrow();
        let names: Vec<SchedulerName> =
            schedulers.keys().filter(|n| n.pool == *pool).cloned().collect();
        drop(schedulers);
        for name in names {
            self.handle_input(&name, Input::Evict);
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

    pub(super) fn handle_dismiss(&self, dismiss: Dismiss) {
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
    pub(super) fn handle_input(&self, name: &SchedulerName, input: Input) {
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
}
