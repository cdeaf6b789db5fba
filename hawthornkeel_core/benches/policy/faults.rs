//! Faults that the bench injects.

use std::time::Duration;

use crate::entry::Entry;
use crate::simulation::Event;
use crate::simulation::PROGRESS_TIMEOUT;
use crate::simulation::Simulation;
use crate::stats::RequestEnd;
use crate::target::Target;
use crate::target::full_throughput;
use crate::topology::POOLS;
use crate::topology::centre;

/// Pool whose targets slow down.
const SLOW_POOL: &str = "rerank";
/// Pool whose targets all fail.
const FAILING_POOL: &str = "retrieve";
/// Pool with targets that restart cold.
const COLD_POOL: &str = "draft";
/// Number of targets that restart cold.
const COLD_COUNT: usize = 2;
/// Entry that crashes, in another data centre than the isolated one.
const CRASHED_ENTRY: usize = 1;
/// Time after which callers resubmit their requests if their entry has crashed.
const RESUBMIT_DELAY: Duration = Duration::from_millis(5);

/// Fault to inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    SlowPool,
    FailingPool,
    LoadBurst,
    ColdRestart,
    CentreIsolated,
    EntryCrash,
}

impl Fault {
    /// All faults, beginning with none.
    pub const ALL: [Self; 7] = [
        Self::None,
        Self::SlowPool,
        Self::FailingPool,
        Self::LoadBurst,
        Self::ColdRestart,
        Self::CentreIsolated,
        Self::EntryCrash,
    ];

    /// Returns the label of a single fault in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::SlowPool => "stage x10 slower, 3 s",
            Self::FailingPool => "pool fails, 2 s",
            Self::LoadBurst => "burst x5, 1 s",
            Self::ColdRestart => "2 of 10 cold again",
            Self::CentreIsolated => "data centre gone, 10 s",
            Self::EntryCrash => "entry killed, 5 s",
        }
    }

    /// Returns the label in tables where the fault is combined or repeated.
    pub fn short_label(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::SlowPool => "slow",
            Self::FailingPool => "fail",
            Self::LoadBurst => "burst",
            Self::ColdRestart => "cold",
            Self::CentreIsolated => "centre",
            Self::EntryCrash => "kill",
        }
    }

    /// Returns the time between the start and the end of the fault.
    pub fn duration(self) -> Duration {
        Duration::from_secs(match self {
            Self::None | Self::ColdRestart | Self::LoadBurst => 1,
            Self::SlowPool => 3,
            Self::FailingPool => 2,
            Self::CentreIsolated => 10,
            Self::EntryCrash => 5,
        })
    }
}

/// Returns the sustainable requests per second: the throughput of the bottleneck pool.
pub fn sustainable_rate(_targets: &[Target]) -> f64 {
    POOLS.iter().map(|p| full_throughput(p, p.count)).fold(f64::INFINITY, f64::min)
}

impl Simulation {
    /// Starts or ends a fault.
    pub fn apply_fault(&mut self, fault: Fault, on: bool) {
        match fault {
            Fault::None => {}
            Fault::SlowPool => {
                self.update_pool(SLOW_POOL, |t| t.slowdown = if on { 10.0 } else { 1.0 })
            }
            Fault::FailingPool => self.update_pool(FAILING_POOL, |t| t.failing = on),
            Fault::LoadBurst => self.burst_factor = if on { 5.0 } else { 1.0 },
            Fault::ColdRestart if on => self.restart_cold(),
            Fault::ColdRestart => {}
            Fault::CentreIsolated if on => self.isolate_centre(),
            Fault::CentreIsolated => self.isolated_centre = None,
            Fault::EntryCrash if on => self.crash_entry(CRASHED_ENTRY),
            Fault::EntryCrash => self.restart_entry(CRASHED_ENTRY),
        }
    }

    /// Applies a change to all targets of a pool.
    fn update_pool(&mut self, pool: &str, change: impl Fn(&mut Target)) {
        self.targets.iter_mut().filter(|t| t.spec.name == pool).for_each(change);
    }

    /// Restarts targets without downtime, which resets their calls and leaves them cold.
    fn restart_cold(&mut self) {
        let found = self.targets.iter().enumerate().filter(|(_, t)| t.spec.name == COLD_POOL);
        let some: Vec<usize> = found.map(|(i, _)| i).take(COLD_COUNT).collect();
        for target in some {
            let old = self.targets[target].incarnation;
            self.targets[target].restart(self.now, Duration::ZERO);
            self.reset_calls(target, old);
        }
    }

    /// Isolates a data centre; its callers move to other entries after the progress timeout.
    fn isolate_centre(&mut self) {
        let isolated = centre(0);
        let inside = |e: &Entry| e.centre == isolated;
        let entries: Vec<usize> =
            (0..self.entries.len()).filter(|e| inside(&self.entries[*e])).collect();
        self.isolated_centre = Some(isolated);
        for entry in entries {
            self.resubmit_requests(entry, PROGRESS_TIMEOUT);
        }
    }

    /// Crashes an entry's process.
    fn crash_entry(&mut self, entry: usize) {
        self.entries[entry].alive = false;
        self.resubmit_requests(entry, RESUBMIT_DELAY);
    }

    /// Restarts an entry's process without its earlier state.
    fn restart_entry(&mut self, entry: usize) {
        self.boots += 1;
        let list: Vec<_> = self.targets.iter().map(|t| t.info.clone()).collect();
        self.entries[entry] = Entry::start(self.now, entry, self.boots, self.config.kind, &list);
    }

    /// Resubmits the requests of an entry to other entries after a delay.
    fn resubmit_requests(&mut self, entry: usize, delay: Duration) {
        let own = self.requests.iter().filter(|(_, r)| r.entry == entry);
        let ids: Vec<_> = own.map(|(id, _)| *id).collect();
        for id in ids {
            let Some(request) = self.remove_request(id) else {
                continue;
            };
            let (workspace, arrived) = (request.workspace, request.arrived);
            if Simulation::is_measured(arrived) {
                for (wasted, completed_work) in
                    self.stats.wasted.iter_mut().zip(request.completed_work)
                {
                    *wasted += completed_work;
                }
            }
            self.schedule_at(self.now + delay, Event::Submit { workspace, arrived });
        }
    }

    /// Records the failure of a request that no entry accepted in time.
    pub fn record_unserved(&mut self, workspace: usize, arrived: hawthornkeel_core::time::Instant) {
        if Simulation::is_measured(arrived) {
            let second = crate::stats::second_since(crate::simulation::MEASURE_START, arrived);
            self.stats.record_end(second, workspace, RequestEnd::Failed);
        }
    }
}
