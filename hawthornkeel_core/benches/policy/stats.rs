//! Statistics of a run.

use hawthornkeel_core::time::Instant;

use crate::topology::POOLS;

/// Share of requests answered in a second from which on the second counts as recovered.
const RECOVERED_SHARE: f64 = 0.98;

/// Statistics of one run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub offered: u64,
    pub answered: u64,
    pub refused: u64,
    pub late: u64,
    pub failed: u64,
    /// Time in which targets ran calls, and the part whose result no caller received, in seconds
    /// by stage.
    pub busy: [f64; POOLS.len()],
    pub wasted: [f64; POOLS.len()],
    pub calls: [u64; POOLS.len()],
    pub repeated_calls: [u64; POOLS.len()],
    /// First calls since the start of the measurement, and retries of calls that may have run,
    /// which are paid from the retry budgets.
    pub first_calls: [u64; POOLS.len()],
    pub budgeted_retries: [u64; POOLS.len()],
    /// Calls that the targets of each pool can answer during the measurement despite the faults.
    pub capacity: [f64; POOLS.len()],
    /// Crashes of cold targets under too many calls.
    pub crashes: u32,
    /// Requests that arrived, and those of them answered in full, by second of arrival.
    pub offered_by_second: Vec<u64>,
    pub answered_by_second: Vec<u64>,
    /// Decisions by reason.
    pub reasons: std::collections::BTreeMap<&'static str, u64>,
    /// Refusals by reason, stage and attempt; those at admission are counted as stage 9.
    pub refusals: std::collections::BTreeMap<(&'static str, usize, u16), u64>,
    pub grant_messages: u64,
    pub lease_messages: u64,
    /// Offered and answered requests by workspace.
    pub by_workspace: Vec<(u64, u64)>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestEnd {
    Answered,
    Refused,
    Late,
    Failed,
}

impl Stats {
    /// Records the end of a request that arrived in the given second of the measurement.
    pub fn record_end(&mut self, second: usize, workspace: usize, end: RequestEnd) {
        self.offered += 1;
        let len = self.offered_by_second.len().max(second + 1);
        self.offered_by_second.resize(len, 0);
        self.answered_by_second.resize(len, 0);
        self.offered_by_second[second] += 1;
        self.by_workspace.resize(self.by_workspace.len().max(workspace + 1), (0, 0));
        self.by_workspace[workspace].0 += 1;
        match end {
            RequestEnd::Answered => {
                self.answered += 1;
                self.answered_by_second[second] += 1;
                self.by_workspace[workspace].1 += 1;
            }
            RequestEnd::Refused => self.refused += 1,
            RequestEnd::Late => self.late += 1,
            RequestEnd::Failed => self.failed += 1,
        }
    }

    /// Returns the share of requests answered in full and in time.
    pub fn attainment(&self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }

    /// Returns the answers as a share of the bottleneck pool's capacity.
    pub fn capacity_share(&self) -> f64 {
        self.answered as f64 / self.capacity.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns the share of busy time whose result no caller received.
    pub fn waste(&self) -> f64 {
        let busy: f64 = self.busy.iter().sum();
        self.wasted.iter().sum::<f64>() / busy.max(f64::MIN_POSITIVE)
    }

    /// Returns the share of requests answered among those that arrived in a second.
    pub fn answered_share(&self, second: usize) -> f64 {
        let offered = self.offered_by_second.get(second).copied().unwrap_or(0);
        let answered = self.answered_by_second.get(second).copied().unwrap_or(0);
        if offered == 0 { 1.0 } else { answered as f64 / offered as f64 }
    }

    /// Returns the lowest share answered of all seconds from `from` on.
    pub fn worst_second(&self, from: usize) -> f64 {
        (from..self.offered_by_second.len()).map(|s| self.answered_share(s)).fold(1.0, f64::min)
    }

    /// Returns the seconds from `from` until all later seconds are recovered.
    pub fn recovery_seconds(&self, from: usize) -> usize {
        let below = (from..self.offered_by_second.len())
            .rev()
            .find(|s| self.answered_share(*s) < RECOVERED_SHARE);
        below.map_or(0, |s| s + 1 - from)
    }
}

/// Returns the number of the second after `start` that contains `at`.
pub fn second_since(start: Instant, at: Instant) -> usize {
    at.since(start).as_secs() as usize
}
