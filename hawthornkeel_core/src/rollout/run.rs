//! One rollout at the leader: when its trial, its switch and its completion begin and when it is rolled
//! back.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::names::InstanceName;
use crate::names::SoftwareVersion;
use crate::rollout::budget::Budget;
use crate::rollout::budget::HEARD_WINDOW;
use crate::rollout::budget::Reserve;
use crate::rollout::controller::Action;
use crate::rollout::controller::RolloutSettings;
use crate::rollout::judge::Judge;
use crate::rollout::message::RolloutGrant;
use crate::rollout::message::RolloutReport;
use crate::rollout::proposals::Proposals;
use crate::rollout::record::RollBackCause;
use crate::rollout::record::RolloutChange;
use crate::rollout::record::RolloutPhase;
use crate::rollout::record::RolloutRecord;
use crate::rollout::record::RolloutStep;
use crate::time::Instant;

/// Time before the deadline at which the switch begins at the latest.
const LATEST_SWITCH: Duration = Duration::from_millis(800);
/// Time before the deadline at which the rollout is completed, whatever still runs.
const LATEST_COMPLETION: Duration = Duration::from_millis(300);
/// Factor over the expected requests that the exposure must cover for a switch before the latest one.
const SWITCH_MARGIN: f64 = 1.3;
/// Standard deviations of the number of requests that it must cover in addition. With 8 requests a second
/// and the factor alone, 1 of 150 simulated rollouts sent 0.154 of the requests beyond the slack.
const SWITCH_DEVIATIONS: f64 = 3.0;
/// Factor over the requests of the latest switch that the trial leaves of the exposure. Their number
/// varies by a few percent, but entries learn of the switch a tenth of its time after it begins.
const RESERVE_MARGIN: f64 = 1.0;
/// Time before the expected switch from which entries report as often as during it, so that they learn
/// of it soon.
const QUICK_REPORTS: Duration = Duration::from_millis(800);
/// Time before the quick reports from which unused grants don't return, as the leader before may have
/// begun them a little earlier.
const RETURNS_END: Duration = Duration::from_millis(1_000);
/// Time for which no old version must have been listed until the new one gets all traffic, as a list
/// may be incomplete for a moment.
const OLD_GONE_AFTER: Duration = Duration::from_secs(2);

/// What an entry last reported.
#[derive(Clone, Copy, Debug)]
struct EntryState {
    heard: Instant,
    phase: RolloutPhase,
    old_running: u32,
}

/// Rollout at the leader.
#[derive(Clone, Debug)]
pub struct Run {
    settings: RolloutSettings,
    record: RolloutRecord,
    taken_at: Instant,
    half_at: Instant,
    ends_at: Instant,
    budget: Budget,
    judge: Judge,
    verdict: Option<RollBackCause>,
    entries: IndexMap<InstanceName, EntryState>,
    /// Targets of the new version that may get work, once they are known.
    usable: Option<usize>,
    /// Other versions that were listed during the rollout.
    replaced: IndexSet<SoftwareVersion>,
    old_gone_since: Option<Instant>,
    quick_reports: bool,
    proposals: Proposals,
}

impl Run {
    /// Creates the state of a leader that finds `record`, the order of which is `elapsed` old.
    pub fn new(
        now: Instant,
        settings: RolloutSettings,
        record: RolloutRecord,
        elapsed: Duration,
    ) -> Self {
        let duration = Duration::from_millis(record.order.duration_ms);
        let budget = Budget::new(now, settings, record.allowance);
        Self {
            settings,
            taken_at: now,
            half_at: now + (duration / 2).saturating_sub(elapsed),
            ends_at: now + duration.saturating_sub(elapsed),
            budget,
            judge: Judge::new(now, duration),
            verdict: None,
            entries: IndexMap::new(),
            usable: None,
            replaced: record.replaced.iter().cloned().collect(),
            old_gone_since: None,
            quick_reports: false,
            proposals: Proposals::default(),
            record,
        }
    }

    /// Returns the record.
    pub fn record(&self) -> &RolloutRecord {
        &self.record
    }

    /// Returns the judgement.
    pub fn judge(&self) -> &Judge {
        &self.judge
    }

    /// Returns the budget.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Takes a later state of the record.
    pub fn set_record(&mut self, record: RolloutRecord) {
        self.budget.set_recorded(record.allowance);
        self.replaced.extend(record.replaced.iter().cloned());
        self.proposals.applied(&RolloutChange::Allow(record.allowance));
        self.record = record;
    }

    /// Takes the targets of the pool by version.
    pub fn set_targets(&mut self, now: Instant, versions: &IndexMap<SoftwareVersion, usize>) {
        let new = &self.record.order.version;
        let usable = versions.get(new).copied().unwrap_or(0);
        self.usable = Some(usable);
        let old = versions.keys().filter(|v| *v != new);
        let old_left = old.clone().next().is_some();
        self.replaced.extend(old.cloned());
        self.old_gone_since = match self.old_gone_since {
            _ if old_left || usable == 0 => None,
            None => Some(now),
            since => since,
        };
    }

    /// Processes a report and returns its grant.
    pub fn report(
        &mut self,
        now: Instant,
        from: &InstanceName,
        report: &RolloutReport,
    ) -> RolloutGrant {
        let is_new = self.budget.record(now, from, report);
        if is_new {
            self.judge.record(from, report);
            let state =
                EntryState { heard: now, phase: report.phase, old_running: report.old_running };
            self.entries.insert(from.clone(), state);
        }
        let limit = match (self.record.phase, self.verdict) {
            (RolloutPhase::Trial, None) => {
                let reserve = self.reserve(now);
                self.budget.grant(now, from, report, reserve)
            }
            // Nothing more; grants that are still in use have been counted.
            _ => report.sent,
        };
        let quick = self.quick_reports || self.record.phase == RolloutPhase::Switching;
        let interval =
            if quick { self.settings.switch_interval } else { self.settings.report_interval };
        RolloutGrant {
            phase: self.record.phase,
            share_permille: (self.settings.trial_share * 1000.0).round() as u32,
            limit,
            ttl_ms: millis(self.settings.grant_ttl),
            report_ms: millis(interval),
        }
    }

    /// Decides what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.record.phase.is_running() {
            return actions;
        }
        self.budget.measure(now);
        if self.verdict.is_none() {
            self.verdict = self.judge.evaluate(now, self.usable.unwrap_or(0));
        }
        let change = match self.record.phase {
            RolloutPhase::Trial => self.trial(now),
            _ => self.switching(now),
        };
        if let Some(change) = change {
            self.propose(now, change, &mut actions);
        }
        if self.record.phase == RolloutPhase::Trial && self.verdict.is_none() {
            self.allow(now, &mut actions);
        }
        actions
    }

    fn trial(&mut self, now: Instant) -> Option<RolloutChange> {
        if let Some(cause) = self.verdict {
            return Some(RolloutChange::RollBack(cause));
        }
        if now >= self.ends_at {
            return Some(RolloutChange::RollBack(RollBackCause::DeadlinePassed));
        }
        self.prepare_switch(now);
        if self.old_gone_since.is_some_and(|s| now.since(s) >= OLD_GONE_AFTER) {
            return Some(self.switch());
        }
        let latest = now + LATEST_SWITCH >= self.ends_at;
        let due = now >= self.half_at && (latest || self.covers(now, Duration::ZERO));
        match self.usable {
            _ if !due => None,
            // A new leader is told a moment after the record.
            None => None,
            Some(0) if latest => Some(RolloutChange::RollBack(RollBackCause::NoTargets)),
            // The list lags, so that targets may still appear.
            Some(0) => None,
            Some(_) => Some(self.switch()),
        }
    }

    fn switch(&self) -> RolloutChange {
        RolloutChange::Switch(self.replaced.iter().cloned().collect())
    }

    /// Makes entries report often once the switch is near.
    fn prepare_switch(&mut self, now: Instant) {
        let near = |ahead: Duration| {
            now + ahead >= self.half_at
                && (now + LATEST_SWITCH + ahead >= self.ends_at || self.covers(now, ahead))
        };
        let (quick, last_returns) = (near(QUICK_REPORTS), near(QUICK_REPORTS + RETURNS_END));
        self.quick_reports |= quick;
        if last_returns || quick {
            self.budget.stop_returns();
        }
    }

    /// Returns whether the exposure covers all requests from the time `ahead` until the deadline.
    fn covers(&self, now: Instant, ahead: Duration) -> bool {
        let duration = Duration::from_millis(self.record.order.duration_ms);
        let elapsed = duration.saturating_sub(self.ends_at.since(now)).as_secs_f64();
        // With little traffic, the rate of the last seconds may be low by chance.
        let mean = self.budget.arrivals() as f64 / elapsed.max(1.0);
        let requests = self.budget.rate().max(mean) * self.ends_at.since(now + ahead).as_secs_f64();
        let needed = SWITCH_MARGIN * requests + SWITCH_DEVIATIONS * requests.sqrt();
        // Without a rate there is nothing to go by but the latest switch.
        self.budget.rate() > 0.0 && self.budget.exposure_left(self.expected(now)) >= needed
    }

    /// Returns the requests expected between the order and the deadline.
    fn expected(&self, now: Instant) -> f64 {
        let left = self.ends_at.since(now).as_secs_f64();
        self.budget.arrivals() as f64 + self.budget.rate() * left
    }

    fn reserve(&self, now: Instant) -> Reserve {
        let seconds = LATEST_SWITCH.as_secs_f64();
        Reserve {
            expected: self.expected(now),
            switching: RESERVE_MARGIN * self.budget.rate() * seconds,
        }
    }

    fn switching(&self, now: Instant) -> Option<RolloutChange> {
        if let Some(cause) = self.verdict {
            return Some(RolloutChange::RollBack(cause));
        }
        let latest = now + LATEST_COMPLETION >= self.ends_at;
        // With few responses, those that are still to come are waited for, unless there is no way back.
        let judged = self.old_gone_since.is_some() || !self.judge.has_few_answers();
        let moved = judged && self.has_moved(now);
        (latest || moved).then_some(RolloutChange::Complete)
    }

    /// Returns whether nothing runs at old versions any more.
    fn has_moved(&self, now: Instant) -> bool {
        // Entries find a new leader one after the other.
        let heard_all = now.since(self.taken_at) >= self.settings.grant_ttl;
        let mut heard =
            self.entries.values().filter(|e| now.since(e.heard) < HEARD_WINDOW).peekable();
        heard_all
            && heard.peek().is_some()
            && heard.all(|e| e.phase == RolloutPhase::Switching && e.old_running == 0)
    }

    fn propose(&mut self, now: Instant, change: RolloutChange, actions: &mut Vec<Action>) {
        if !self.proposals.contains(&change) {
            actions.push(self.judged(&change));
        }
        if self.proposals.is_due(now, &change) {
            actions.push(self.step(change));
        }
    }

    fn allow(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let reserve = self.reserve(now);
        let allowance = self.budget.block(reserve).map(RolloutChange::Allow);
        actions.extend(allowance.filter(|a| self.proposals.is_due(now, a)).map(|a| self.step(a)));
    }

    fn step(&self, change: RolloutChange) -> Action {
        let record = &self.record;
        Action::Propose(RolloutStep { pool: record.order.pool.clone(), id: record.id, change })
    }

    fn judged(&self, change: &RolloutChange) -> Action {
        let step = match change {
            RolloutChange::Allow(_) => "allow",
            RolloutChange::Switch(_) => "switch",
            RolloutChange::Complete => "complete",
            RolloutChange::RollBack(_) => "roll-back",
        };
        let pool = self.record.order.pool.clone();
        Action::Judged { pool, detail: format!("step={step} {}", self.detail()) }
    }

    /// Returns what was granted and judged, as text of key=value pairs.
    pub fn detail(&self) -> String {
        let budget = &self.budget;
        let judge = self.judge.detail();
        format!("arrivals={} granted={} {judge}", budget.arrivals(), budget.charged())
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
