//! Messages about rollouts between entries and control instances.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::RouteName;
use crate::names::TargetName;
use crate::rollout::record::RolloutPhase;
use crate::rollout::record::RolloutRecord;

/// Number of buckets of a latency histogram.
pub const LATENCY_BUCKETS: usize = 24;

/// Request for the rollouts, which any control instance answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutQuery {
    /// Log position of the published state that the caller has in force.
    pub after: Option<LogIndex>,
}

/// Rollouts as a control instance has applied them.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutView {
    /// Log position of the published state that the records belong to.
    pub index: LogIndex,
    /// Leader known to the sender, which takes the reports.
    pub leader: Option<InstanceName>,
    /// Last rollout of each pool that has had one.
    pub records: Vec<RolloutRecord>,
}

/// Outcomes of requests, counted since the rollout began at the entry.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Responses that began, of whatever status.
    pub answers: u64,
    /// Responses with which the target reported a failure of its own.
    pub failures: u64,
    /// Responses of targets that count as warm, by the time until they began: bucket `i` counts
    /// those of under `4 * 2^(i / 2)` ms that no lower bucket counts.
    pub latencies: [u32; LATENCY_BUCKETS],
}

/// Outcomes of the requests of one route in one data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CountRow {
    /// Route.
    pub route: RouteName,
    /// Data centre of the targets.
    pub centre: CentreName,
    /// Target of the new version, or `None` for all targets of the other versions together.
    pub target: Option<TargetName>,
    /// Counts.
    pub counts: OutcomeCounts,
}

/// Report of an entry about one running rollout, to the leader.
///
/// All counts are totals since the entry learned of the rollout, so that a report may be lost or
/// arrive twice.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Pool.
    pub pool: PoolName,
    /// Rollout.
    pub id: LogIndex,
    /// Random number of the entry's process, as an entry that restarts counts from zero.
    pub process: u64,
    /// Number of the report; a report with a lower number than one before is outdated.
    pub sequence: u64,
    /// Phase that the entry has in force.
    pub phase: RolloutPhase,
    /// Requests that reached the pool at this entry.
    pub arrivals: u64,
    /// Requests that the entry sent to targets of the new version.
    pub sent: u64,
    /// Requests of this entry that still run at targets of other versions.
    pub old_running: u32,
    /// Outcomes.
    pub rows: Vec<CountRow>,
}

/// Leader's answer to a report: what the entry may send until the next one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutGrant {
    /// Phase in force.
    pub phase: RolloutPhase,
    /// Share of the sessions that the trial takes, in thousandths.
    pub share_permille: u32,
    /// Total number of requests that the entry's process may send to the new version during the
    /// trial, counted like `sent`.
    pub limit: u64,
    /// Time from the sending of the report for which the grant holds, in milliseconds.
    pub ttl_ms: u32,
    /// Time after which the next report is due, in milliseconds.
    pub report_ms: u32,
}
