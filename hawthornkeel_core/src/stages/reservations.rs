//! Reservations of a scheduler's capacity, and the estimates that they are answered with.

use std::time::Duration;

use crate::stages::estimate::Capacity;
use crate::stages::estimate::Queued;
use crate::stages::estimate::full_rate;
use crate::stages::job::MAX_PIECES;
use crate::stages::job::Reservation;
use crate::stages::job::ReservationEstimate;
use crate::stages::scheduler::JobState;
use crate::stages::scheduler::Scheduler;
use crate::stages::worker::Worker;
use crate::table::pool::StageWorkload;
use crate::time::Instant;

impl Scheduler {
    /// Reserves capacity for a job that will be submitted later, and returns its estimate.
    ///
    /// Returns `None` and reserves nothing if no target is available or the job may not have as many
    /// pieces.
    pub fn reserve(
        &mut self,
        now: Instant,
        reservation: &Reservation,
    ) -> Option<ReservationEstimate> {
        self.now = self.now.max(now);
        if reservation.pieces > MAX_PIECES {
            return None;
        }
        let due = self.now + Duration::from_millis(reservation.due_ms);
        let new = Queued::new(due, reservation.priority, reservation.pieces);
        let (capacity, queued) = (self.capacity(), self.queued());
        let estimate = capacity.estimate(&self.measured_pool(), &queued, &new)?;
        self.reservations.insert(reservation.id.clone(), new);
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        Some(ReservationEstimate {
            drain_ms: millis(estimate.drain),
            run_ms: millis(estimate.run),
            harm_ms: millis(estimate.harm),
            slot_wait_ms: millis(estimate.slot_wait),
            paused_ms: self.opens_at().map_or(0, |opens| millis(opens.since(self.now))),
        })
    }

    /// Returns the pool's parameters with the measured time of a piece.
    pub(super) fn measured_pool(&self) -> StageWorkload {
        self.piece_time.measured(&self.pool)
    }

    /// Returns the capacity that estimates count with.
    fn capacity(&self) -> Capacity {
        let now = self.now;
        let counted = self.counted_workers();
        let count = u32::try_from(counted.len()).unwrap_or(u32::MAX);
        let running: Duration = self.calls.values().map(|c| c.expected).sum();
        Capacity {
            now,
            workers: self.nominal_workers() * self.throughput.share(),
            until_free: counted.iter().map(|w| w.until_free(now)).min().unwrap_or_default(),
            // Calls start at independent times, so their ends are spread evenly over a call's time.
            slot_wait: running / count.max(1) / count.saturating_add(1),
            arrivals: self.arrivals,
            backlogged: self.is_backlogged(),
        }
    }

    /// Returns the waiting and reserved work, sorted.
    fn queued(&self) -> Vec<Queued> {
        let queued = |j: &JobState| Queued::new(j.due, j.spec.priority, j.waiting_pieces());
        let waiting = self.jobs.values().map(queued);
        let mut queued: Vec<Queued> = waiting.chain(self.reservations.values().copied()).collect();
        queued.retain(|q| q.pieces > 0);
        queued.sort_by_key(|q| q.virtual_deadline);
        queued
    }

    /// Returns the targets that capacity is counted with: those available now, or if all have asked
    /// for a pause, those available after it.
    fn counted_workers(&self) -> Vec<&Worker> {
        let available: Vec<&Worker> =
            self.workers.values().filter(|w| w.is_available(self.now)).collect();
        if available.is_empty() {
            return self.workers.values().filter(|w| w.is_available_later(self.now)).collect();
        }
        available
    }

    /// Returns the number of counted targets, each weighted by its speed.
    fn nominal_workers(&self) -> f64 {
        self.counted_workers().iter().map(|w| 1.0 / w.slowdown.max(0.5)).sum()
    }

    /// Returns what the available targets do in full calls, in pieces per second.
    pub(super) fn nominal_rate(&self) -> f64 {
        full_rate(&self.measured_pool(), self.nominal_workers())
    }
}
