//! Inputs and outputs of the router.

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

/// Lifecycle state of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// Accepts work.
    #[default]
    Live,
    /// Finishes its work and accepts no new work.
    #[serde(rename = "leaving")]
    Draining,
}

/// Target in the platform's list.
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
    /// Lifecycle state according to the list.
    #[serde(rename = "liveness")]
    pub lifecycle: Lifecycle,
}

/// Load reported by a target, which lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Incarnation of the target's process.
    pub incarnation: Option<Incarnation>,
    /// Sequence number of the report within the incarnation. A lower one than before means a
    /// restart.
    pub sequence: Option<u64>,
    /// Number of running calls.
    pub running: u32,
    /// Number of calls queued at the target.
    pub waiting: u32,
    /// Whether the target reports that it is draining.
    #[serde(rename = "leaving")]
    pub draining: bool,
}

/// Kind of an attempt at a stage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum AttemptKind {
    /// First attempt.
    #[default]
    First,
    /// Retry after attempts that are known not to have run; free of the retry budget.
    SafeRetry,
    /// Retry after an attempt that may have run; charged to the retry budget.
    Retry,
    /// Second call while the first is still running; charged to the hedge budget.
    Hedge,
}

/// Request to be admitted.
#[derive(Clone, Debug, Default)]
pub struct RequestPlan {
    /// Identity of the request.
    pub request: RequestId,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// Pools of the stages, in execution order.
    pub pools: Vec<PoolName>,
    /// Time by which the whole request must be answered.
    pub deadline: Instant,
    /// Minimum time of all stages together.
    pub floor: Duration,
}

/// Decision about the admission of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run and must be ended by `Router::finish_request`.
    Admitted,
    /// The request is refused and nothing of it has run.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Call of a stage that needs a target.
#[derive(Clone, Debug, Default)]
pub struct StageRequest {
    /// Identity of the call.
    pub call: CallId,
    /// Workspace that the request belongs to.
    pub workspace: WorkspaceName,
    /// Pool that runs the stage.
    pub pool: PoolName,
    /// Priority within the workspace; higher values go first.
    pub priority: u8,
    /// Time by which the whole request must be answered.
    pub deadline: Instant,
    /// Minimum time of this stage.
    pub floor: Duration,
    /// Minimum time of the later stages together.
    pub later_floor: Duration,
    /// Pools of the later stages.
    pub later_pools: Vec<PoolName>,
    /// Hash of the prompt prefix, if the stage has one.
    pub prefix_hash: Option<u64>,
    /// Targets to avoid, such as those tried before.
    pub excluded: Vec<TargetName>,
    /// Kind of the attempt.
    pub kind: AttemptKind,
}

/// Reason of a decision, as logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Near target with the lowest expected time.
    Near,
    /// Target that probably has the prompt prefix in its cache.
    Prefix,
    /// Target in another data centre that is expected to be faster.
    FarBetter,
    /// Target in another data centre, as no near target is available.
    NearFull,
    /// Target in another data centre, as no near target is usable.
    NearGone,
    /// Cold or suspected target, under a grant.
    ColdGrant,
    /// Probe of a target that is down.
    Probe,
    /// Waiting for its fair share of the targets.
    FairQueue,
    /// The pool isn't in the document.
    UnknownPool,
    /// The pool has no targets.
    NoTarget,
    /// The deadline can't be met.
    Deadline,
    /// A later stage can't finish before the deadline.
    LaterStage,
    /// The retry budget of the pool is exhausted.
    RetryBudget,
    /// The hedge budget of the pool is exhausted, or no other target is available.
    HedgeBudget,
    /// The workspace has too many requests in progress.
    WorkspaceLimit,
}

impl Reason {
    /// Returns the name for logs and metrics.
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

/// Permission for one call, to be returned exactly once by `Router::finish_call`.
#[derive(Debug, Eq, PartialEq)]
pub struct Permit {
    /// Target to call.
    pub target: TargetName,
    /// Pool of the target.
    pub pool: PoolName,
    /// Call that the permit is for.
    pub call: CallId,
    /// Time at which the permit was issued.
    pub issued: Instant,
    /// Time at which the call must have ended. The caller of the router cancels it then.
    pub deadline: Instant,
    /// Grant for the call, if the target is cold.
    pub grant: Option<GrantId>,
    /// Time at which the grant expires, which may be after `deadline`.
    pub grant_expiry: Option<Instant>,
    /// Incarnation that is proved warm and the only one allowed to run the call; any if absent.
    pub incarnation: Option<Incarnation>,
    /// Hash of the prompt prefix, if the stage has one.
    pub(crate) prefix_hash: Option<u64>,
}

/// Decision about a call.
#[derive(Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call can be sent now.
    Send {
        /// Target to call.
        target: TargetName,
        /// Address of the target as `ip:port`.
        address: Arc<str>,
        /// Permission for the call.
        permit: Permit,
        /// Reason of the choice.
        reason: Reason,
        /// Number of targets that were compared.
        candidates: u32,
    },
    /// The call waits. `Router::take_ready` returns its decision, at `until` at the latest.
    Wait {
        /// Time at which the call is refused if it still waits.
        until: Instant,
        /// Reason of the wait.
        reason: Reason,
        /// Number of the pool's targets.
        candidates: u32,
    },
    /// The call is refused. No target has received it.
    Refuse {
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Number of targets that were compared.
        candidates: u32,
    },
}

/// Decision about a call that was waiting.
#[derive(Debug, Eq, PartialEq)]
pub struct QueuedDecision {
    /// Call that was waiting.
    pub call: CallId,
    /// `Send` or `Refuse`.
    pub decision: Decision,
}

/// Outcome of a call to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The answer was received completely.
    Answered {
        /// Time from sending the call to the end of the answer.
        latency: Duration,
        /// Number of generated tokens, or zero.
        tokens: u32,
        /// Incarnation named by the answer, if any.
        incarnation: Option<Incarnation>,
    },
    /// The target refused the call as it accepts no more work. The call did not run.
    Refused,
    /// No connection could be established. The call did not run.
    ConnectFailed,
    /// The connection broke after the call was sent.
    Reset,
    /// The answer did not arrive in time. The call may still be running.
    TimedOut,
    /// The answer ended early or failed validation.
    Truncated,
    /// The target answered with an error.
    Failed,
    /// The call was cancelled, as the caller disconnected or another attempt was answered first.
    Cancelled,
}
