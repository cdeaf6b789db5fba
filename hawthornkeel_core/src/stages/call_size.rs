//! Size of the next call and the order of the work in it.
//!
//! Answers a steady load of small jobs on a pool whose calls have a fixed cost: if the first target
//! that becomes free took all that waits, its call would be long, and those that become free just
//! after it would start short calls for a single job. Sharing what waits among them makes the calls
//! equally long, so that fewer jobs end in a long one.

use std::time::Duration;

use crate::stages::scheduler::JobState;
use crate::stages::scheduler::Scheduler;
use crate::stages::worker::Worker;
use crate::time::Instant;

/// Time within which a busy target has to become free to share the waiting work with a free one.
///
/// About a quarter of the shortest call: work that waits longer for an even share loses more than it
/// gains by a shorter call.
const SHARING_TIME: Duration = Duration::from_millis(40);

/// Limits of the next call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct CallPlan {
    /// Number of pieces from which on no further job is added to the call.
    pub(super) share: usize,
    /// Whether all that waits fits into the next call of each sharing target.
    pub(super) fits: bool,
}

impl Scheduler {
    /// Returns the limits of the next call for what waits now.
    pub(super) fn plan_call(&self) -> CallPlan {
        let batch = self.pool.batch_size;
        let sharing = self.workers.values().filter(|w| shares_work(w, self.now));
        let targets = sharing.count().max(1);
        let waiting: u32 = self.jobs.values().map(JobState::waiting_pieces).sum();
        let waiting = waiting as usize;
        CallPlan {
            share: waiting.div_ceil(targets).clamp(1, batch.max(1)),
            fits: waiting <= targets * batch,
        }
    }
}

/// Returns whether a target is free or about to be; not if its call takes longer than expected.
fn shares_work(worker: &Worker, now: Instant) -> bool {
    let is_due = worker.call.is_some()
        && worker.busy_until <= now + SHARING_TIME
        && now <= worker.busy_until + SHARING_TIME;
    worker.is_healthy(now) && (worker.is_free(now) || is_due)
}
