//! Calls and orders that a fake target records.

use serde::Deserialize;
use serde::Serialize;

/// State or result of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Still running.
    #[default]
    Running,
    /// Completed, and its response was written.
    Done,
    /// Cancelled: the client closed the connection before the end.
    Cancelled,
    /// Ended by an injected fault, a restart or a crash.
    #[serde(rename = "broken")]
    Failed,
}

/// One run of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Identity of the call, as received.
    pub id: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Request path.
    pub path: String,
    /// Start time, in microseconds since the target was created.
    pub start: u64,
    /// End time in the same unit, zero while running.
    pub end: u64,
    /// Tokens sent.
    pub tokens: usize,
    /// State or result.
    pub outcome: Outcome,
}

/// Order that was accepted or refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing number.
    pub fencing: u64,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Order as received.
    pub body: serde_json::Value,
}

/// Everything that a fake target has recorded.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Runs in the order of their start.
    pub runs: Vec<Run>,
    /// Orders in the order of their arrival.
    pub orders: Vec<OrderRecord>,
    /// Calls running now.
    pub running: u32,
    /// Maximum number of concurrent calls.
    pub peak: u32,
    /// Maximum number of concurrent calls while cold.
    pub cold_peak: u32,
    /// Calls refused by a fault before they ran.
    pub refused: u32,
    /// Crashes caused by too many concurrent calls.
    #[serde(rename = "falls")]
    pub crashes: u32,
    /// Connections that carried at least one call.
    pub connections: u32,
    /// Incarnation, increased by every restart or crash.
    pub incarnation: u64,
    /// Completed responses since the start of this incarnation.
    pub answers: u32,
}
