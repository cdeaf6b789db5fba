//! Capacity reservations for the stages of a request, which decide on its admission.

use std::collections::VecDeque;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::stages::admission::Outlook;
use hawthornkeel_core::stages::admission::Timeliness;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::job::SchedulerName;
use indexmap::IndexMap;

use crate::forward::plan::Plan;
use crate::forward::plan::ResponseEstimate;
use crate::forward::schedulers::JobError;
use crate::forward::schedulers::Schedulers;
use crate::forward::stages::StagesError;

/// Time after which to retry while no scheduler can be reached, as at the start of a partition.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reservations for the stages of a request; unused ones are cancelled on drop.
pub(super) struct Reservations {
    schedulers: Schedulers,
    unused: Vec<(InstanceName, SchedulerName, JobId)>,
}

impl Reservations {
    pub(super) fn new(schedulers: &Schedulers) -> Self {
        Self { schedulers: schedulers.clone(), unused: Vec::new() }
    }

    /// Marks the reservation of a stage as used, before the job that replaces it is submitted.
    pub(super) fn mark_used(&mut self, index: u16) {
        self.unused.retain(|(_, _, id)| id.stage != index);
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        for (owner, scheduler, id) in self.unused.drain(..) {
            self.schedulers.cancel(&owner, &scheduler, vec![id]);
        }
    }
}

impl Plan<'_> {
    /// Reserves capacity for the stages, or rejects the request if it or others would be late.
    ///
    /// If one data centre can't run the stages in time, an alternative is tried. A request that
    /// can't meet its objective anywhere is reserved once more behind all work that still can.
    pub(super) async fn reserve(
        &mut self,
        schedulers: &Schedulers,
    ) -> Result<Reservations, StagesError> {
        let mut earliest = None;
        let mut candidates = VecDeque::from(self.candidate_centres());
        let own = Some(self.context.centre().clone());
        let mut tried_own = candidates.contains(&own);
        while let Some(centre) = candidates.pop_front() {
            self.stage_centre = centre;
            if self.timeliness == Timeliness::Late {
                break;
            }
            let Some((reservations, outlook)) = self.reserve_stages(schedulers).await else {
                // This entry's own data centre can be reached whatever is cut off.
                if !std::mem::replace(&mut tried_own, true) {
                    candidates.push_back(own.clone());
                }
                continue;
            };
            if outlook.allows(self.timeliness, &self.times()) {
                self.set_estimate(&outlook);
                return Ok(reservations);
            }
            if earliest.as_ref().is_none_or(|(end, _)| outlook.end < *end) {
                earliest = Some((outlook.end, self.stage_centre.clone()));
            }
        }
        if let Some((_, centre)) = earliest {
            self.stage_centre = centre;
        }
        self.timeliness = Timeliness::Late;
        let times = self.times();
        let Some((reservations, outlook)) = self.reserve_stages(schedulers).await else {
            let retry_after = UNREACHABLE_RETRY_AFTER.max(times.fresh);
            return Err(StagesError::Rejected { retry_after });
        };
        tracing::debug!(event = "request-judged", request = %self.request.id, ?outlook, ?times);
        if outlook.allows(self.timeliness, &times) {
            self.set_estimate(&outlook);
            return Ok(reservations);
        }
        if !outlook.paused.is_zero() {
            return Err(JobError::Paused { left: outlook.paused }.into());
        }
        Err(StagesError::Rejected { retry_after: outlook.retry_after(self.timeliness, &times) })
    }

    fn set_estimate(&mut self, outlook: &Outlook) {
        let until_response = self.request.started.elapsed().saturating_add(outlook.end);
        self.estimate = Some(ResponseEstimate { until_response, timeliness: self.timeliness });
    }

    /// Reserves capacity for the stages in the current data centre and timeliness.
    ///
    /// Returns `None` if one of their schedulers can't be reached.
    async fn reserve_stages(&self, schedulers: &Schedulers) -> Option<(Reservations, Outlook)> {
        let mut requests: IndexMap<SchedulerName, Vec<Reservation>> = IndexMap::new();
        for index in self.nonempty_stages() {
            if let Some(scheduler) = self.scheduler(index) {
                requests.entry(scheduler).or_default().push(self.reservation(index));
            }
        }
        let mut pending: FuturesUnordered<_> = requests
            .into_iter()
            .map(|(scheduler, reservations)| async move {
                let ids: Vec<JobId> = reservations.iter().map(|r| r.id.clone()).collect();
                (schedulers.reserve(&scheduler, reservations).await, scheduler, ids)
            })
            .collect();
        let mut reserved = Reservations::new(schedulers);
        let mut estimates: IndexMap<u16, Option<ReservationEstimate>> = IndexMap::new();
        while let Some((reply, scheduler, ids)) = pending.next().await {
            let (owner, replies) = reply?;
            for (id, estimate) in ids.into_iter().zip(replies) {
                estimates.insert(id.stage, estimate);
                reserved.unused.push((owner.clone(), scheduler.clone(), id));
            }
        }
        let outlook = Outlook::new(&self.stage_timings(), &estimates, self.target_latency());
        Some((reserved, outlook))
    }
}
