//! Periodic work of the schedulers: due timers and log lines.

use std::time::Duration;

use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Summary;

use crate::clock::boot_now;
use crate::forward::schedulers::Schedulers;
use crate::forward::schedulers::owner::LocalScheduler;

/// Interval at which schedulers are checked for due timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between log lines about a scheduler.
const LOG_INTERVAL: Duration = Duration::from_millis(1_000);

impl Schedulers {
    /// Fires due timers of the schedulers while any of them has work.
    pub(super) async fn run_timers(self) {
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

    /// Periodically logs the state of each scheduler that has work.
    pub(super) async fn log_state(self) {
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
}
