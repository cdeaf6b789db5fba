//! Bookings of a request's stages, by which it is begun or turned away.

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

use crate::forward::desks::Desks;
use crate::forward::plan::Expected;
use crate::forward::plan::Plan;
use crate::forward::prepare::Unprepared;

/// Bookings of a request's stages; those that were not used are given up once it is dropped.
pub(super) struct Bookings {
    desks: Desks,
    open: Vec<(InstanceName, SchedulerName, JobId)>,
}

impl Bookings {
    pub(super) fn new(desks: &Desks) -> Self {
        Self { desks: desks.clone(), open: Vec::new() }
    }

    /// Notes that a stage is about to be offered, which takes the place of its booking.
    pub(super) fn used(&mut self, at: u16) {
        self.open.retain(|(_, _, id)| id.stage != at);
    }
}

impl Drop for Bookings {
    fn drop(&mut self) {
        for (owner, desk, id) in self.open.drain(..) {
            self.desks.withdraw(&owner, &desk, vec![id]);
        }
    }
}

impl Plan<'_> {
    /// Books the stages; refuses the request where it would be late or make others late.
    ///
    /// Where one data centre could not do it in time, another is asked.
    pub(super) async fn book(&mut self, desks: &Desks) -> Result<Bookings, Unprepared> {
        let mut soonest = None;
        for place in self.places(desks) {
            self.place = place;
            if self.pace == Timeliness::Late {
                break;
            }
            let (bookings, outlook) = self.book_at(desks).await;
            if outlook.allows(self.pace, &self.times()) {
                self.expect(&outlook);
                return Ok(bookings);
            }
            if soonest.as_ref().is_none_or(|(end, _)| outlook.end < *end) {
                soonest = Some((outlook.end, self.place.clone()));
            }
        }
        if let Some((_, place)) = soonest {
            self.place = place;
        }
        self.pace = Timeliness::Late;
        let (bookings, outlook) = self.book_at(desks).await;
        let times = self.times();
        tracing::debug!(event = "request-judged", request = %self.ticket.id, ?outlook, ?times);
        if outlook.allows(self.pace, &times) {
            self.expect(&outlook);
            return Ok(bookings);
        }
        Err(Unprepared::Refused { retry: outlook.retry_after(self.pace, &times) })
    }

    fn expect(&mut self, outlook: &Outlook) {
        let end = self.ticket.started.elapsed().saturating_add(outlook.end);
        self.expected = Some(Expected { end, pace: self.pace });
    }

    /// Books the stages at the present pace.
    async fn book_at(&self, desks: &Desks) -> (Bookings, Outlook) {
        let mut wanted: IndexMap<SchedulerName, Vec<Reservation>> = IndexMap::new();
        for at in self.wanted() {
            if let Some(desk) = self.desk(at) {
                wanted.entry(desk).or_default().push(self.booking(at));
            }
        }
        let mut asked: FuturesUnordered<_> = wanted
            .into_iter()
            .map(|(desk, bookings)| async move {
                let ids: Vec<JobId> = bookings.iter().map(|b| b.id.clone()).collect();
                (desks.book(&desk, bookings).await, desk, ids)
            })
            .collect();
        let mut booked = Bookings::new(desks);
        let mut estimates: IndexMap<u16, Option<ReservationEstimate>> = IndexMap::new();
        while let Some((answer, desk, ids)) = asked.next().await {
            let Some((owner, answers)) = answer else { continue };
            for (id, estimate) in ids.into_iter().zip(answers) {
                estimates.insert(id.stage, estimate);
                booked.open.push((owner.clone(), desk.clone(), id));
            }
        }
        (booked, Outlook::new(&self.steps(), &estimates, self.engine_time()))
    }
}
