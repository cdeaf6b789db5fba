//! Capacity reservations for the stages of a request, which decide on its admission.

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
use crate::forward::schedulers::Schedulers;
use crate::forward::stages::StagesError;

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
        for centre in self.candidate_centres() {
            self.stage_centre = centre;
            if self.timeliness == Timeliness::Late {
                break;
            }
            let (reservations, outlook) = self.reserve_stages(schedulers).await;
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
        let (reservations, outlook) = self.reserve_stages(schedulers).await;
        let times = self.times();
        tracing::debug!(event = "request-judged", request = %self.request.id, ?outlook, ?times);
        if outlook.allows(self.timeliness, &times) {
            self.set_estimate(&outlook);
            return Ok(reservations);
        }
        Err(StagesError::Rejected { retry_after: outlook.retry_after(self.timeliness, &times) })
    }

    fn set_estimate(&mut self, outlook: &Outlook) {
        let until_response = self.request.started.elapsed().saturating_add(outlook.end);
        self.estimate = Some(ResponseEstimate { until_response, timeliness: self.timeliness });
    }

    /// Reserves capacity for the stages in the current data centre and timeliness.
    async fn reserve_stages(&self, schedulers: &Schedulers) -> (Reservations, Outlook) {
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
            let Some((owner, replies)) = reply else {
                // Nothing runs it at the moment.
                estimates.extend(ids.into_iter().map(|id| (id.stage, None)));
                continue;
            };
            for (id, estimate) in ids.into_iter().zip(replies) {
                estimates.insert(id.stage, estimate);
                reserved.unused.push((owner.clone(), scheduler.clone(), id));
            }
        }
        (reserved, Outlook::new(&self.stage_timings(), &estimates, self.target_latency()))
    }
}
