//! Environment document: the workspaces, pools and pipelines that operators configure.
//!
//! It contains no addresses, so that the same bytes can be promoted from trial to production.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::ModelName;
use crate::names::PipelineName;
use crate::names::PoolName;
use crate::names::StageName;
use crate::names::WorkspaceName;

/// Desired configuration of one environment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Name of the environment, used in logs.
    pub name: String,
    /// Workspaces whose requests are accepted.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// Pools of targets.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Pipelines that callers can request.
    #[serde(rename = "pipeline")]
    pub pipelines: Vec<Pipeline>,
}

impl Document {
    /// Returns the workspace named `name`.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.name.as_str() == name)
    }

    /// Returns the pool named `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name.as_str() == name)
    }

    /// Returns the pipeline named `name`.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        self.pipelines.iter().find(|p| p.name.as_str() == name)
    }
}

/// Customer with its scheduling weight, priority and limits.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceName,
    /// Fair-queueing weight under contention, relative to the other workspaces.
    pub weight: u32,
    /// Priority passed to engines; higher values run first.
    pub priority: u8,
    /// Maximum number of requests in progress at one entry instance.
    pub max_requests: u32,
}

impl Default for Workspace {
    fn default() -> Self {
        Self { name: WorkspaceName::default(), weight: 1, priority: 0, max_requests: 1024 }
    }
}

/// Protocol of a pool's targets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Plain service: JSON over HTTP with one answer per call.
    #[default]
    Service,
    /// Model engine: completions API with streamed answers.
    Engine,
}

/// Whether a pool's targets refuse orders with a stale fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Targets accept orders regardless of the fencing number.
    #[default]
    Ignored,
    /// Targets refuse orders with a fencing number lower than the last one accepted.
    Checked,
}

/// Pool of interchangeable targets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pool {
    /// Unique name.
    pub name: PoolName,
    /// Protocol of the targets.
    pub kind: PoolKind,
    /// Model requested from the targets; engines only.
    pub model: Option<ModelName>,
    /// Maximum number of concurrent calls to a warm target.
    pub warm_limit: u32,
    /// Maximum number of concurrent calls to a cold target from all entry instances together.
    pub cold_limit: u32,
    /// Number of answered calls after which a cold target counts as warm.
    pub warm_after: u32,
    /// Whether targets check fencing numbers.
    pub fencing: Fencing,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            name: PoolName::default(),
            kind: PoolKind::Service,
            model: None,
            warm_limit: 16,
            cold_limit: 1,
            warm_after: 16,
            fencing: Fencing::Ignored,
        }
    }
}

/// Sequence of stages that produces the answer to a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pipeline {
    /// Unique name.
    pub name: PipelineName,
    /// Time from a request's arrival to its complete answer, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body: u64,
    /// Stages in execution order.
    #[serde(rename = "stage")]
    pub stages: Vec<Stage>,
}

impl Default for Pipeline {
    fn default() -> Self {
        Self {
            name: PipelineName::default(),
            deadline_ms: 8_000,
            max_body: 1 << 20,
            stages: Vec::new(),
        }
    }
}

impl Pipeline {
    /// Returns the time from a request's arrival to its complete answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Returns whether any stage is not idempotent and may run at most once.
    pub fn has_non_idempotent(&self) -> bool {
        self.stages.iter().any(|s| !s.idempotent)
    }
}

/// Step of a pipeline.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stage {
    /// Name, unique in the pipeline.
    pub name: StageName,
    /// Name of the pool whose targets run the stage.
    pub pool: PoolName,
    /// Request path of calls to a plain service.
    pub path: String,
    /// Whether the stage may run more than once for the same request.
    pub idempotent: bool,
    /// Lower bound of the stage's run time, in milliseconds.
    pub floor_ms: u64,
    /// Maximum number of attempts at the stage.
    pub max_attempts: u16,
    /// Maximum number of tokens that an engine generates.
    pub max_tokens: u32,
}

impl Default for Stage {
    fn default() -> Self {
        Self {
            name: StageName::default(),
            pool: PoolName::default(),
            path: "/".to_owned(),
            idempotent: true,
            floor_ms: 1,
            max_attempts: 3,
            max_tokens: 256,
        }
    }
}

impl Stage {
    /// Returns the lower bound of the stage's run time.
    pub fn floor(&self) -> Duration {
        Duration::from_millis(self.floor_ms)
    }
}
