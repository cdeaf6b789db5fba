//! Replicated records of rollouts.
//!
//! A pool has at most one rollout at a time, and the last one is kept until the next begins: targets
//! of a version that was rolled back or replaced get no new work meanwhile.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::state::clock::saturating_add;
use crate::time::WallTime;

/// Time from an order during which an equal one is a copy of it, whatever has become of its rollout.
///
/// Operators resend an order for five seconds at most, and copies may be delayed on their way.
pub const COPY_WINDOW: Duration = Duration::from_secs(10);

/// Operator's order to move the traffic of a pool to one version of its targets' software.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Pool.
    pub pool: PoolName,
    /// Version that is to get all of the traffic.
    pub version: SoftwareVersion,
    /// Time from the order by which the rollout must have ended, in milliseconds.
    pub duration_ms: u64,
}

/// How far a rollout has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub enum RolloutPhase {
    /// The new version gets a small share of the requests and is judged by their outcomes.
    #[default]
    Trial,
    /// New requests go to the new version only; those that run at others are finished.
    Switching,
    /// All traffic is at the new version; targets of the replaced versions may be stopped.
    Completed,
    /// The new version gets no work.
    RolledBack,
}

impl RolloutPhase {
    /// Returns whether the rollout goes on.
    pub fn is_running(self) -> bool {
        match self {
            Self::Trial | Self::Switching => true,
            Self::Completed | Self::RolledBack => false,
        }
    }
}

/// Why a version was rolled back.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RollBackCause {
    /// It failed more of its requests than the old versions.
    Failures,
    /// It was several times slower than the old versions.
    Slow,
    /// It had no targets that could take the traffic by the deadline.
    NoTargets,
    /// The deadline passed before the traffic could be moved.
    DeadlinePassed,
    /// An operator took it back.
    Ordered,
}

/// Rollout as recorded in the replicated state.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Order that began it.
    pub order: RolloutOrder,
    /// Log position of the order, which identifies the rollout of its pool.
    pub id: LogIndex,
    /// Time of the order on the clock of the replicated state.
    pub began: WallTime,
    /// How far it has come.
    pub phase: RolloutPhase,
    /// Upper bound on the number of requests that entries were allowed to send to the new version
    /// during the trial.
    pub allowance: u64,
    /// Versions that get no new work once the rollout is completed.
    pub replaced: Vec<SoftwareVersion>,
    /// Why it was rolled back, if it was.
    pub cause: Option<RollBackCause>,
}

/// Change of the rollouts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RolloutCommand {
    /// Begins a rollout.
    Begin(RolloutOrder),
    /// Moves a running rollout on.
    Advance(RolloutStep),
}

/// Step of a running rollout.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// Pool.
    pub pool: PoolName,
    /// Rollout; the step changes nothing once another one has begun.
    pub id: LogIndex,
    /// Change.
    pub change: RolloutChange,
}

/// Change that a step makes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RolloutChange {
    /// Raises the allowance to this number of requests.
    Allow(u64),
    /// Begins the switch, after which these versions are replaced.
    Switch(Vec<SoftwareVersion>),
    /// Completes the rollout.
    Complete,
    /// Rolls the version back.
    RollBack(RollBackCause),
}

/// Outcome of a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The rollout is recorded as returned, by this command or an earlier copy of it.
    Recorded(RolloutRecord),
    /// Another rollout of the pool goes on.
    Busy(RolloutRecord),
    /// The step is for a rollout that has ended, or comes out of order.
    Outdated,
}

/// Last rollout of each pool.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Rollouts {
    records: IndexMap<PoolName, RolloutRecord>,
}

impl Rollouts {
    /// Returns the last rollout of each pool.
    pub fn records(&self) -> &IndexMap<PoolName, RolloutRecord> {
        &self.records
    }

    /// Returns whether there has been no rollout.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Applies a command logged at `index`, at the time `now` of the replicated state. Returns its
    /// outcome and whether it changed a record.
    pub fn apply(
        &mut self,
        index: LogIndex,
        now: WallTime,
        command: &RolloutCommand,
    ) -> (RolloutOutcome, bool) {
        match command {
            RolloutCommand::Begin(order) => self.begin(index, now, order),
            RolloutCommand::Advance(step) => match self.advance(step) {
                Some((record, changed)) => (RolloutOutcome::Recorded(record), changed),
                None => (RolloutOutcome::Outdated, false),
            },
        }
    }

    fn begin(
        &mut self,
        index: LogIndex,
        now: WallTime,
        order: &RolloutOrder,
    ) -> (RolloutOutcome, bool) {
        if let Some(last) = self.records.get(&order.pool) {
            let is_copy = last.order == *order && now < saturating_add(last.began, COPY_WINDOW);
            if is_copy || last.order == *order && last.phase.is_running() {
                return (RolloutOutcome::Recorded(last.clone()), false);
            }
            if last.phase.is_running() {
                return (RolloutOutcome::Busy(last.clone()), false);
            }
        }
        let record = RolloutRecord {
            order: order.clone(),
            id: index,
            began: now,
            ..RolloutRecord::default()
        };
        self.records.insert(order.pool.clone(), record.clone());
        (RolloutOutcome::Recorded(record), true)
    }

    /// Applies a step; returns `None` if it is for another rollout or comes out of order.
    fn advance(&mut self, step: &RolloutStep) -> Option<(RolloutRecord, bool)> {
        let record = self.records.get_mut(&step.pool).filter(|r| r.id == step.id)?;
        let before = record.clone();
        match (&step.change, record.phase) {
            (RolloutChange::Allow(allowance), RolloutPhase::Trial) => {
                record.allowance = record.allowance.max(*allowance);
            }
            (RolloutChange::Switch(replaced), RolloutPhase::Trial) => {
                record.phase = RolloutPhase::Switching;
                record.replaced = replaced.clone();
            }
            (RolloutChange::Complete, RolloutPhase::Switching) => {
                record.phase = RolloutPhase::Completed;
            }
            (RolloutChange::RollBack(cause), RolloutPhase::Trial | RolloutPhase::Switching) => {
                record.phase = RolloutPhase::RolledBack;
                record.cause = Some(*cause);
            }
            // A copy of a step that was applied before.
            (RolloutChange::Switch(_), RolloutPhase::Switching)
            | (RolloutChange::Complete, RolloutPhase::Completed)
            | (RolloutChange::RollBack(_), RolloutPhase::RolledBack) => {}
            _ => return None,
        }
        let changed = *record != before;
        Some((record.clone(), changed))
    }
}
