//! Leader's side of rollouts: grants entries a bounded number of requests to the new version, judges
//! it by their reports, and moves each rollout on.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::rollout::message::RolloutGrant;
use crate::rollout::message::RolloutReport;
use crate::rollout::record::RolloutRecord;
use crate::rollout::record::RolloutStep;
use crate::rollout::run::Run;
use crate::time::Instant;

/// Time between decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Limits and times of rollouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Bound on the share of a pool's requests that a version may get before it is proved.
    pub exposure_share: f64,
    /// Number of requests that it may get in addition.
    pub exposure_slack: u64,
    /// Share of the requests that the trial takes.
    pub trial_share: f64,
    /// Number of requests that the trial takes in addition.
    pub trial_slack: u64,
    /// Lifetime of a grant.
    pub grant_ttl: Duration,
    /// Interval between reports during the trial.
    pub report_interval: Duration,
    /// Interval between reports during the switch.
    pub switch_interval: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            exposure_slack: 50,
            trial_share: 0.05,
            trial_slack: 20,
            grant_ttl: Duration::from_millis(1_500),
            report_interval: Duration::from_millis(500),
            switch_interval: Duration::from_millis(150),
        }
    }
}

/// Input of the controller.
#[derive(Clone, Debug)]
pub enum Input {
    /// A record was applied to the replicated state, or this instance begins to lead with it.
    Record {
        /// Record.
        record: RolloutRecord,
        /// Time since its order.
        elapsed: Duration,
    },
    /// An entry reports.
    Report {
        /// Entry.
        from: InstanceName,
        /// Report.
        report: RolloutReport,
    },
    /// Number of targets of a pool that may get work, by version; sent whenever it changes and
    /// with each record.
    Targets {
        /// Pool.
        pool: PoolName,
        /// Targets by version.
        versions: IndexMap<SoftwareVersion, usize>,
    },
    /// A timer has expired.
    Tick,
}

/// What the controller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commit a step; it is asked for again after a while unless its record is applied.
    Propose(RolloutStep),
    /// Answer the report that was handed in; `None` if no such rollout goes on.
    Grant(Option<RolloutGrant>),
    /// Log a judgement, as text of key=value pairs.
    Judged {
        /// Pool.
        pool: PoolName,
        /// What was counted and concluded.
        detail: String,
    },
}

/// Controller of all running rollouts at the leader; created anew each time that an instance begins
/// to lead.
///
/// The first record of a rollout must be handed in after the log entries of earlier leaders were
/// applied, as its allowance counts as all that they have granted.
#[derive(Clone, Debug, Default)]
pub struct RolloutController {
    settings: RolloutSettings,
    runs: IndexMap<PoolName, Run>,
    /// Targets by pool and version; they may be known before the record of a rollout.
    targets: IndexMap<PoolName, IndexMap<SoftwareVersion, usize>>,
    ticked_at: Instant,
}

impl RolloutController {
    /// Creates the controller of a new leader.
    pub fn new(settings: RolloutSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Processes an input and returns what is asked for, in order.
    ///
    /// A report is answered by exactly one [`Action::Grant`]. Its phase is that of the record, also
    /// where the rollout has ended, so that entries learn of the end at once.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match input {
            Input::Record { record, elapsed } => self.set_record(now, record, elapsed),
            Input::Report { from, report } => {
                let run = self.runs.get_mut(&report.pool).filter(|r| r.record().id == report.id);
                vec![Action::Grant(run.map(|r| r.report(now, &from, &report)))]
            }
            Input::Targets { pool, versions } => {
                if let Some(run) = self.runs.get_mut(&pool) {
                    run.set_targets(now, &versions);
                }
                self.targets.insert(pool, versions);
                Vec::new()
            }
            Input::Tick => self.tick(now),
        }
    }

    fn set_record(
        &mut self,
        now: Instant,
        record: RolloutRecord,
        elapsed: Duration,
    ) -> Vec<Action> {
        let pool = record.order.pool.clone();
        match self.runs.get_mut(&pool) {
            Some(run) if run.record().id == record.id => {
                run.set_record(record);
                run.tick(now)
            }
            Some(run) if run.record().id > record.id => Vec::new(),
            _ => {
                let mut run = Run::new(now, self.settings, record, elapsed);
                if let Some(versions) = self.targets.get(&pool) {
                    run.set_targets(now, versions);
                }
                let actions = run.tick(now);
                self.runs.insert(pool, run);
                actions
            }
        }
    }

    fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.ticked_at = now;
        self.runs.values_mut().flat_map(|r| r.tick(now)).collect()
    }

    /// Returns the time at which the next [`Input::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Instant> {
        let is_running = self.runs.values().any(|r| r.record().phase.is_running());
        is_running.then_some(self.ticked_at + TICK_INTERVAL)
    }

    /// Returns what the judgement of a pool's rollout has counted, for operators.
    pub fn summary(&self, pool: &PoolName) -> Option<String> {
        self.runs.get(pool).map(Run::detail)
    }

    /// Returns the requests that entries may have sent to the new version of a pool during its trial,
    /// at most.
    pub fn granted(&self, pool: &PoolName) -> Option<u64> {
        self.runs.get(pool).map(|r| r.budget().charged())
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RolloutSettings {
        &self.settings
    }
}
