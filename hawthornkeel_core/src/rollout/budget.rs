//! Budget of a trial: a bound over all entries on the requests that they may send to the new version.
//!
//! Each process of an entry is charged with the largest total that it may have sent under any grant
//! that it may still use. The sum of the charges never exceeds a share of the reported arrivals plus a
//! fixed number, nor the allowance recorded in the log. A new leader knows no charges of the leaders
//! before it and takes the recorded allowance in their place.
//!
//! A grant that was not used up is returned once the process can't use it any more. A report shows this
//! by its number alone, however late it arrives: reports of a process are sent at least
//! [`REPORT_SPACING`] of the interval apart, so that enough numbers between two reports mean that the
//! grant of the first one had expired before the second one was sent.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::InstanceName;
use crate::rollout::controller::RolloutSettings;
use crate::rollout::message::RolloutReport;
use crate::time::Instant;

/// Smallest time between two reports of a process during the trial, as a share of the interval between
/// reports. Jitter must not bring them closer.
pub const REPORT_SPACING: f64 = 0.625;
/// Factor by which clocks of instances may differ in rate.
const CLOCK_RATE: f64 = 1.02;
/// Time for which a process that was heard counts as serving.
pub const HEARD_WINDOW: Duration = Duration::from_secs(4);
/// Time over which a rate of arrivals is measured at least, once a process has been heard for so long.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Time that a shorter one between two reports counts as, so that two close ones give no high rate.
const MIN_RATE_WINDOW: Duration = Duration::from_millis(250);
/// Smallest block by which the recorded allowance is raised.
const MIN_BLOCK: u64 = 16;
/// Time of the trial that one block covers.
const BLOCK_TIME: Duration = Duration::from_secs(1);
/// Time of the trial that a grant to one entry covers.
const GRANT_TIME: Duration = Duration::from_secs(1);

/// Process of an entry.
type ProcessKey = (InstanceName, u64);

/// Limit that was granted to a process.
#[derive(Clone, Copy, Debug)]
struct IssuedLimit {
    /// Number of the report that it answered.
    sequence: u64,
    limit: u64,
}

/// What is known of one process of an entry.
#[derive(Clone, Debug)]
struct Process {
    sequence: u64,
    arrivals: u64,
    sent: u64,
    /// Value of `sent` in the first report, which earlier leaders have granted.
    first_sent: u64,
    issued: Vec<IssuedLimit>,
    heard: Instant,
    /// Arrivals at two earlier times, the older first, from which the rate is taken.
    marks: [(Instant, u64); 2],
}

impl Process {
    fn new(now: Instant, report: &RolloutReport) -> Self {
        Self {
            sequence: report.sequence,
            arrivals: report.arrivals,
            sent: report.sent,
            first_sent: report.sent,
            issued: Vec::new(),
            heard: now,
            marks: [(now, report.arrivals); 2],
        }
    }

    /// Returns the largest total that the process may have sent.
    fn charge(&self) -> u64 {
        let issued = self.issued.iter().map(|i| i.limit).max().unwrap_or(0);
        issued.max(self.sent)
    }

    /// Returns what this leader has allowed to it.
    fn added(&self) -> u64 {
        self.charge().saturating_sub(self.first_sent)
    }

    fn update(&mut self, now: Instant, report: &RolloutReport) {
        self.sequence = report.sequence;
        self.arrivals = self.arrivals.max(report.arrivals);
        self.sent = self.sent.max(report.sent);
        self.heard = now;
        let [_, newer] = self.marks;
        if now.since(newer.0) >= RATE_WINDOW {
            self.marks = [newer, (now, self.arrivals)];
        }
    }

    /// Returns its arrivals per second, or zero while they are not known.
    fn rate(&self) -> f64 {
        let [(at, arrivals), _] = self.marks;
        let seconds = self.heard.since(at).max(MIN_RATE_WINDOW).as_secs_f64();
        self.arrivals.saturating_sub(arrivals) as f64 / seconds
    }
}

/// Budget of one rollout's trial at the leader.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: RolloutSettings,
    /// Allowance that the log held when this leader began, all of which counts as granted.
    inherited: u64,
    /// Allowance that the log holds.
    recorded: u64,
    /// Largest allowance that this leader has asked to record.
    requested: u64,
    granting_from: Instant,
    processes: IndexMap<ProcessKey, Process>,
    arrivals: u64,
    /// Sum of what processes had sent when they were first heard.
    first_sent: u64,
    /// Sum of what this leader has allowed.
    added: u64,
    rate: f64,
    /// Whether unused grants return.
    returning: bool,
}

impl Budget {
    /// Creates the budget of a leader that finds `recorded` as the allowance in the log.
    pub fn new(now: Instant, settings: RolloutSettings, recorded: u64) -> Self {
        // Without an allowance there was no grant that could still be used.
        let wait = if recorded == 0 { Duration::ZERO } else { settings.grant_ttl };
        Self {
            settings,
            inherited: recorded,
            recorded,
            requested: 0,
            granting_from: now + wait,
            processes: IndexMap::new(),
            arrivals: 0,
            first_sent: 0,
            added: 0,
            rate: 0.0,
            returning: true,
        }
    }

    /// Takes the allowance that the log holds now.
    pub fn set_recorded(&mut self, allowance: u64) {
        if allowance > self.requested {
            // An earlier leader has recorded and may have granted it.
            self.inherited = self.inherited.max(allowance);
        }
        self.recorded = self.recorded.max(allowance);
    }

    /// Counts a report. Returns whether it is newer than those before it of the same process.
    pub fn record(&mut self, now: Instant, from: &InstanceName, report: &RolloutReport) -> bool {
        let key = (from.clone(), report.process);
        let outdated_after = if self.returning { self.reports_in_grant() } else { u64::MAX };
        let Some(process) = self.processes.get_mut(&key) else {
            self.processes.insert(key, Process::new(now, report));
            self.arrivals = self.arrivals.saturating_add(report.arrivals);
            self.first_sent = self.first_sent.saturating_add(report.sent);
            return true;
        };
        if report.sequence <= process.sequence {
            return false;
        }
        let (added, arrivals) = (process.added(), process.arrivals);
        process.update(now, report);
        process.issued.retain(|i| report.sequence < i.sequence.saturating_add(outdated_after));
        self.added = (self.added + process.added()).saturating_sub(added);
        self.arrivals = self.arrivals.saturating_add(process.arrivals - arrivals);
        true
    }

    /// Returns the number of reports after which the grant that answered the first one has expired.
    fn reports_in_grant(&self) -> u64 {
        let spacing = self.settings.report_interval.as_secs_f64() * REPORT_SPACING;
        let reports = self.settings.grant_ttl.as_secs_f64() * CLOCK_RATE / spacing.max(1e-3);
        // One report may have come sooner, at the interval that another leader asked for.
        reports.ceil() as u64 + 1
    }

    /// Stops the return of unused grants, as reports are about to come faster.
    pub fn stop_returns(&mut self) {
        self.returning = false;
    }

    /// Returns the limit for the process whose report was recorded last. `reserve` is the number of
    /// requests that the switch needs of the exposure.
    pub fn grant(
        &mut self,
        now: Instant,
        from: &InstanceName,
        report: &RolloutReport,
        reserve: Reserve,
    ) -> u64 {
        let free = self.limit(reserve).min(self.recorded).saturating_sub(self.charged());
        let waiting = now < self.granting_from;
        let share = self.settings.trial_share;
        let Some(process) = self.processes.get_mut(&(from.clone(), report.process)) else {
            return 0;
        };
        let latest = process.issued.last().map_or(process.sent, |i| i.limit);
        if report.sequence < process.sequence || waiting {
            // The grant of an earlier report expires before that of the latest one.
            return latest.min(process.charge());
        }
        let wanted = (process.rate() * share * GRANT_TIME.as_secs_f64()).ceil().max(1.0) as u64;
        let before = process.added();
        let limit = process.sent.saturating_add(wanted).min(process.charge().saturating_add(free));
        process.issued.retain(|i| i.sequence != report.sequence || i.limit > limit);
        process.issued.push(IssuedLimit { sequence: report.sequence, limit });
        self.added = (self.added + process.added()).saturating_sub(before);
        limit
    }

    /// Returns the allowance that has to be recorded before more is granted, if any.
    pub fn block(&mut self, reserve: Reserve) -> Option<u64> {
        let block = (self.rate * self.settings.trial_share * BLOCK_TIME.as_secs_f64()) as u64;
        let block = block.max(MIN_BLOCK);
        let charged = self.charged();
        let near = charged.saturating_add(block / 2) > self.recorded;
        let target = charged.saturating_add(block).min(self.limit(reserve).saturating_add(block));
        let target = target.min(self.exposure_limit()).max(charged);
        if !near || target <= self.recorded {
            return None;
        }
        self.requested = self.requested.max(target);
        Some(target)
    }

    /// Returns the number of requests that entries may send at most during the trial.
    fn limit(&self, reserve: Reserve) -> u64 {
        let settings = &self.settings;
        let arrivals = self.arrivals as f64;
        let trial = settings.trial_share * arrivals + settings.trial_slack as f64;
        let total = settings.exposure_share * reserve.expected + settings.exposure_slack as f64;
        let left = (total - reserve.switching).max(settings.trial_slack as f64);
        (trial.min(left) as u64).min(self.exposure_limit())
    }

    fn exposure_limit(&self) -> u64 {
        let settings = &self.settings;
        let share = settings.exposure_share * self.arrivals as f64;
        (share + settings.exposure_slack as f64) as u64
    }

    /// Returns an upper bound on the requests that entries may have sent, whatever was lost.
    pub fn charged(&self) -> u64 {
        self.inherited.max(self.first_sent).saturating_add(self.added)
    }

    /// Returns the requests that entries have reported.
    pub fn arrivals(&self) -> u64 {
        self.arrivals
    }

    /// Measures the rate of arrivals at the entries that were heard of late.
    pub fn measure(&mut self, now: Instant) {
        let heard = self.processes.values().filter(|p| now.since(p.heard) < HEARD_WINDOW);
        self.rate = heard.map(Process::rate).sum();
    }

    /// Returns the measured arrivals per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the requests that may be sent beyond those charged, if `expected` reach the pool.
    pub fn exposure_left(&self, expected: f64) -> f64 {
        let settings = &self.settings;
        settings.exposure_share * expected + settings.exposure_slack as f64 - self.charged() as f64
    }
}

/// Part of the exposure that the trial must leave to the switch.
#[derive(Clone, Copy, Debug)]
pub struct Reserve {
    /// Requests expected between the order and the deadline.
    pub expected: f64,
    /// Requests expected from the latest begin of the switch until the deadline.
    pub switching: f64,
}
