//! The environment document: what operators ask the system to serve.
//!
//! It holds no address, so the same bytes are promoted unchanged from trial to production.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::ModelName;
use crate::names::PipelineName;
use crate::names::PoolName;
use crate::names::StageName;
use crate::names::WorkspaceName;

/// Environment document.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Name of the environment's purpose, for logs.
    pub name: String,
    /// Workspaces that may send requests.
    #[serde(rename = "workspace")]
    pub workspaces: Vec<Workspace>,
    /// Pools of targets.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Pipelines that requests run through.
    #[serde(rename = "pipeline")]
    pub pipelines: Vec<Pipeline>,
}

impl Document {
    /// Returns the workspace called `name`.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.iter().find(|w| w.name.as_str() == name)
    }

    /// Returns the pool called `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name.as_str() == name)
    }

    /// Returns the pipeline called `name`.
    pub fn pipeline(&self, name: &str) -> Option<&Pipeline> {
        self.pipelines.iter().find(|p| p.name.as_str() == name)
    }
}

/// Customer's share of the system.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceName,
    /// Share under contention, relative to the other workspaces.
    pub weight: u32,
    /// Priority passed to engines: higher goes first.
    pub priority: u8,
    /// Requests in progress at one entry instance, at most.
    pub max_requests: u32,
}

impl Default for Workspace {
    fn default() -> Self {
        Self { name: WorkspaceName::default(), weight: 1, priority: 0, max_requests: 1024 }
    }
}

/// Kind of protocol that a pool's targets speak.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PoolKind {
    /// Plain service: JSON over HTTP, one answer a call.
    #[default]
    Service,
    /// Model engine: completions protocol with streamed answers.
    Engine,
}

/// Whether targets of a pool refuse an order with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Orders are accepted whatever their fencing number.
    #[default]
    Ignored,
    /// Orders with an old fencing number are refused.
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
    /// Model asked for, where the targets are engines.
    pub model: Option<ModelName>,
    /// Calls that a warm target bears at once.
    pub warm_limit: u32,
    /// Calls that a cold target bears at once, summed over all entry instances.
    pub cold_limit: u32,
    /// Calls that a cold target answers before it counts as warm.
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

/// Sequence of stages that answers a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pipeline {
    /// Unique name.
    pub name: PipelineName,
    /// Time from arrival to the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Request body, in bytes at most.
    pub max_body: u64,
    /// Stages in the order they run.
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
    /// Returns the time from arrival to the whole answer.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Tells whether any stage may run at most once.
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
    /// Pool whose targets run the stage.
    pub pool: PoolName,
    /// Path of the call to a plain service.
    pub path: String,
    /// Whether the stage may run again for the same request.
    pub idempotent: bool,
    /// Shortest time that the stage takes, in milliseconds.
    pub floor_ms: u64,
    /// Attempts at the stage, at most.
    pub max_attempts: u16,
    /// Tokens that an engine generates, at most.
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
    /// Returns the shortest time that the stage takes.
    pub fn floor(&self) -> Duration {
        Duration::from_millis(self.floor_ms)
    }
}
