//! Submitter's side of the schedulers: reservations, offers and cancellations sent to their owners.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::stages::acceptance::Origin;
use hawthornkeel_core::stages::acceptance::Standing;
use hawthornkeel_core::stages::acceptance::sort_for_stop;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::job::SchedulerName;

use crate::clock::boot_now;
use crate::forward::schedulers::RESPONSE_TIMEOUT;
use crate::forward::schedulers::Schedulers;
use crate::forward::schedulers::results::JobError;
use crate::forward::schedulers::results::PendingJob;
use crate::forward::schedulers::results::StageResults;
use crate::peer::Frame;
use crate::peer::frame::Book;
use crate::peer::frame::Dismiss;
use crate::peer::frame::Offer;

/// Maximum number of times that a job is offered to owners: those listed, and those that remain.
const MAX_OWNER_ROUNDS: usize = 4;
/// Time for which the owner holds an offer while its job is unfinished, in milliseconds.
const LONG_POLL_MS: u32 = 250;

impl Schedulers {
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
                Some(JobOutcome::Open) => {
                    refused.push(owner);
                    continue;
                }
                Some(JobOutcome::Elsewhere) => {
                    self.record_declined(name, &owner);
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
        let own = self.inner.context.endpoint.name();
        if self.inner.context.stop.is_begun() {
            sort_for_stop(&mut owners, own, standing);
        }
        if self.inner.context.http_client.links().is_lost(&name.pool) {
            owners.sort_by_key(|o| o == own);
        }
        owners
    }

    /// Records that an owner turns jobs away.
    fn record_declined(&self, name: &SchedulerName, owner: &InstanceName) {
        if owner != self.inner.context.endpoint.name() {
            self.inner.context.helpers.borrow_mut().decline(boot_now(), owner, &name.pool);
        }
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
            // An entry that is stopping or has no links to the targets returns no estimates.
            match estimates {
                Some(estimates) if !estimates.is_empty() => return Some((owner, estimates)),
                Some(_) => self.record_declined(name, &owner),
                None => {}
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
}

/// Returns a job with its times reduced by `delay`, or `None` if its deadline has passed.
fn after_delay(job: &Job, delay: Duration) -> Option<Job> {
    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
    let end_ms = job.end_ms.checked_sub(delay_ms).filter(|e| *e > 0)?;
    Some(Job { due_ms: job.due_ms.saturating_sub(delay_ms), end_ms, ..job.clone() })
}
