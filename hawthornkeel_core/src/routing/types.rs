//! Values that the router takes and returns.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::CallId;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::lease::message::GrantId;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::WorkspaceName;
use crate::time::Instant;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// The target takes work.
    #[default]
    Live,
    /// The target finishes its work and takes no new work.
    #[serde(rename = "leaving")]
    Draining,
}

/// Target as the platform's list shows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetInfo {
    /// Unique name.
    pub name: TargetName,
    /// Address as `ip:port`.
    pub address: Arc<str>,
    /// Pool that the target belongs to.
    pub pool: PoolName,
    /// Data centre that the target runs in.
    pub centre: CentreName,
    /// Whether the target takes new work.
    #[serde(rename = "liveness")]
    pub lifecycle: Lifecycle,
}

/// Load that a target reports about itself, some time after the fact.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Incarnation of the target's process.
    pub incarnation: Option<Incarnation>,
    /// Number of the report at its incarnation; a lower one than before means a restart.
    pub sequence: Option<u64>,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait at the target.
    pub waiting: u32,
    /// Whether the target reports that it is draining.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// Whether and how a call repeats an earlier one for the same stage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AttemptKind {
    /// First call for the stage.
    #[default]
    First,
    /// Earlier calls are known not to have run: costs no retry budget.
    SafeRetry,
    /// An earlier call may have run: costs retry budget.
    Retry,
    /// An earlier call still runs: costs hedge budget.
    Hedge,
}

/// Request's way through its pipeline, for admission.
#[derive(Clone, Debug, Default)]
pub struct RequestPlan {
    /// Identity of the request.
    pub request: RequestId,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// Pools of the stages, in the order they run.
    pub pools: Vec<PoolName>,
    /// Time at which the whole answer must have been given.
    pub deadline: Instant,
    /// Shortest time that all stages take together.
    pub floor: Duration,
}

/// Decision about a request's admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run; `Router::finish_request` ends it.
    Admitted,
    /// The request is refused at once and nothing of it has run.
    Refused {
        /// Why.
        reason: Reason,
        /// Time after which the caller may try again.
        retry_after: Duration,
    },
}

/// Call for a stage that needs a target.
#[derive(Clone, Debug, Default)]
pub struct StageRequest {
    /// Identity of the call.
    pub call: CallId,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// Pool that runs the stage.
    pub pool: PoolName,
    /// Priority: higher goes first within the workspace.
    pub priority: u8,
    /// Time at which the whole answer must have been given.
    pub deadline: Instant,
    /// Shortest time that this stage takes.
    pub floor: Duration,
    /// Shortest time that the stages after this one take together.
    pub later_floor: Duration,
    /// Pools of the stages after this one.
    pub later_pools: Vec<PoolName>,
    /// Hash of the prompt's prefix, where the stage has one.
    pub prefix_hash: Option<u64>,
    /// Targets not to be chosen, such as those tried before.
    pub excluded: Vec<TargetName>,
    /// Whether the call repeats an earlier one.
    pub kind: AttemptKind,
}

/// Why a decision was taken: part of its log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Lowest expected time among the near targets.
    Near,
    /// Target that probably has the prompt's prefix in its cache.
    Prefix,
    /// Target of another data centre, since it is expected to be faster.
    FarBetter,
    /// Target of another data centre, since no near target has room.
    NearFull,
    /// Target of another data centre, since there is no near target at all.
    NearGone,
    /// Cold or suspected target, under a grant.
    ColdGrant,
    /// Probe of a target that failed before.
    Probe,
    /// Waits for its fair share of the targets.
    FairQueue,
    /// The document names no such pool.
    UnknownPool,
    /// No target of the pool may take work before the deadline.
    NoTarget,
    /// The deadline can't be met.
    Deadline,
    /// A later stage can't finish before the deadline.
    LaterStage,
    /// The retry budget of the pool is used up.
    RetryBudget,
    /// The hedge budget of the pool is used up, or no other target has room.
    HedgeBudget,
    /// The workspace has too many requests in progress.
    WorkspaceLimit,
}

impl Reason {
    /// Returns the reason as a word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Near => "near",
            Self::Prefix => "prefix",
            Self::FarBetter => "far_better",
            Self::NearFull => "near_full",
            Self::NearGone => "near_gone",
            Self::ColdGrant => "cold_grant",
            Self::Probe => "probe",
            Self::FairQueue => "fair_queue",
            Self::UnknownPool => "unknown_pool",
            Self::NoTarget => "no_target",
            Self::Deadline => "deadline",
            Self::LaterStage => "later_stage",
            Self::RetryBudget => "retry_budget",
            Self::HedgeBudget => "hedge_budget",
            Self::WorkspaceLimit => "workspace_limit",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Right to make one call; given back by `Router::finish_call`, exactly once.
#[derive(Debug, Eq, PartialEq)]
pub struct Permit {
    /// Target to call.
    pub target: TargetName,
    /// Pool of the target.
    pub pool: PoolName,
    /// Call that the permit is for.
    pub call: CallId,
    /// Time at which the permit was given.
    pub issued: Instant,
    /// Time at which the call must have ended; the caller of the router cancels it then.
    pub deadline: Instant,
    /// Grant that the call is made under, where the target is cold.
    pub grant: Option<GrantId>,
    /// Time at which that grant ends, which may be after `deadline`.
    pub grant_expiry: Option<Instant>,
    /// Incarnation that was proved warm, which alone may get the call; any where absent.
    pub incarnation: Option<Incarnation>,
    /// Hash of the prompt's prefix, where the stage has one.
    pub(crate) prefix_hash: Option<u64>,
}

/// Decision about a call.
#[derive(Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call goes to a target now.
    Send {
        /// Target to call.
        target: TargetName,
        /// Its address as `ip:port`.
        address: Arc<str>,
        /// Right to make the call.
        permit: Permit,
        /// Why this target.
        reason: Reason,
        /// Targets that were compared.
        candidates: u32,
    },
    /// The call waits: `Router::take_ready` returns its decision, at `until` at the latest.
    Wait {
        /// Time at which the wait ends in a refusal.
        until: Instant,
        /// Why it waits.
        reason: Reason,
        /// Targets that could take it once they have room.
        candidates: u32,
    },
    /// The call is refused: no target saw it.
    Refuse {
        /// Why.
        reason: Reason,
        /// Time after which the caller may try again.
        retry_after: Duration,
        /// Targets that were compared.
        candidates: u32,
    },
}

/// Decision about a call that had to wait.
#[derive(Debug, Eq, PartialEq)]
pub struct QueuedDecision {
    /// Call that waited.
    pub call: CallId,
    /// `Send` or `Refuse`.
    pub decision: Decision,
}

/// How a call to a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The whole answer came.
    Answered {
        /// Time from the sending of the call to the end of the answer.
        latency: Duration,
        /// Tokens generated, or zero.
        tokens: u32,
        /// Incarnation that the answer named, if any.
        incarnation: Option<Incarnation>,
    },
    /// The target answered that it takes no more work; the call did not run.
    Refused,
    /// No connection could be made; the call did not run.
    ConnectFailed,
    /// The connection broke after the call was sent.
    Reset,
    /// The answer did not come in time; the call may still run.
    TimedOut,
    /// The answer ended early or failed its check.
    Truncated,
    /// The target answered with an error of its own.
    Failed,
    /// The call was cancelled, since the caller left or another attempt won.
    Cancelled,
}
