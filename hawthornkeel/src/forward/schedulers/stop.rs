//! End of the schedulers in a planned stop: what they have started for other entries.

use std::time::Duration;

use monoio::time::sleep;

use crate::forward::schedulers::Schedulers;

/// Interval at which started jobs are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time in which the last outcomes are sent to the entries that wait for them.
const FLUSH_TIME: Duration = Duration::from_millis(50);

impl Schedulers {
    /// Waits for started jobs and the frames with their outcomes, at most until the stop finishes.
    ///
    /// The jobs of this entry were cancelled when its callers' connections closed, so those left
    /// belong to other entries.
    pub async fn end_jobs(&self) {
        if self.inner.schedulers.borrow().is_empty() {
            return;
        }
        while self.has_started_jobs() && self.inner.context.stop.has_time() {
            sleep(POLL_INTERVAL).await;
        }
        sleep(FLUSH_TIME).await;
    }

    fn has_started_jobs(&self) -> bool {
        self.inner.schedulers.borrow().values().any(|l| l.scheduler.has_started_jobs())
    }
}
