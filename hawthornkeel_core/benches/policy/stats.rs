//! What a run measures.

use hawthornkeel_core::time::Instant;

use crate::sites::POOLS;

/// Share of the usual rate that counts as the level before a fault.
const LEVEL: f64 = 0.98;

/// Figures of one run.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    pub offered: u64,
    pub answered: u64,
    pub refused: u64,
    pub late: u64,
    pub failed: u64,
    pub busy: [f64; POOLS.len()],
    pub wasted: [f64; POOLS.len()],
    pub calls: [u64; POOLS.len()],
    pub repeated: [u64; POOLS.len()],
    /// First calls since the start of the measure, and repeated ones of those that may have run.
    pub firsts: [u64; POOLS.len()],
    pub reruns: [u64; POOLS.len()],
    /// Calls that the targets of each pool could answer over the measure, given the fault.
    pub can_do: [f64; POOLS.len()],
    /// Cold targets that fell over.
    pub falls: u32,
    /// Requests that arrived and those of them answered in full, by second of arrival.
    pub offered_by: Vec<u64>,
    pub answered_by: Vec<u64>,
    pub reasons: std::collections::BTreeMap<&'static str, u64>,
    /// Refusals by reason, stage and attempt; admission counts as stage 9.
    pub refusals: std::collections::BTreeMap<(&'static str, usize, u16), u64>,
    pub grant_messages: u64,
    pub lease_messages: u64,
    pub by_workspace: Vec<(u64, u64)>,
}

/// End of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Answered,
    Refused,
    Late,
    Failed,
}

impl Stats {
    /// Notes the end of a request that arrived `second` seconds after the start of the measure.
    pub fn end(&mut self, second: usize, workspace: usize, end: End) {
        self.offered += 1;
        let len = self.offered_by.len().max(second + 1);
        self.offered_by.resize(len, 0);
        self.answered_by.resize(len, 0);
        self.offered_by[second] += 1;
        self.by_workspace.resize(self.by_workspace.len().max(workspace + 1), (0, 0));
        self.by_workspace[workspace].0 += 1;
        match end {
            End::Answered => {
                self.answered += 1;
                self.answered_by[second] += 1;
                self.by_workspace[workspace].1 += 1;
            }
            End::Refused => self.refused += 1,
            End::Late => self.late += 1,
            End::Failed => self.failed += 1,
        }
    }

    /// Returns the share of requests answered in full and in time.
    pub fn attainment(&self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }

    /// Returns the answers as a share of what the targets of the tightest pool could do.
    pub fn of_can_do(&self) -> f64 {
        self.answered as f64 / self.can_do.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// Returns the share of busy time whose result no caller got.
    pub fn waste(&self) -> f64 {
        let busy: f64 = self.busy.iter().sum();
        self.wasted.iter().sum::<f64>() / busy.max(f64::MIN_POSITIVE)
    }

    /// Returns the share answered of a second.
    pub fn second(&self, second: usize) -> f64 {
        let offered = self.offered_by.get(second).copied().unwrap_or(0);
        let answered = self.answered_by.get(second).copied().unwrap_or(0);
        if offered == 0 { 1.0 } else { answered as f64 / offered as f64 }
    }

    /// Returns the worst second from `from` on.
    pub fn worst(&self, from: usize) -> f64 {
        (from..self.offered_by.len()).map(|s| self.second(s)).fold(1.0, f64::min)
    }

    /// Returns the seconds from `from` to the last second below the level.
    pub fn to_level(&self, from: usize) -> usize {
        let below = (from..self.offered_by.len()).rev().find(|s| self.second(*s) < LEVEL);
        below.map_or(0, |s| s + 1 - from)
    }
}

/// Returns the second of the measure that `at` falls in.
pub fn second(start: Instant, at: Instant) -> usize {
    at.since(start).as_secs() as usize
}
