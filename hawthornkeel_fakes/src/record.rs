//! What a stand-in target records.

use serde::Deserialize;
use serde::Serialize;

/// How a run ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is still being run.
    #[default]
    Running,
    /// It ran to its end and its answer was written.
    Done,
    /// The other end closed the connection before the end.
    Cancelled,
    /// A fault or a fall ended it.
    #[serde(rename = "broken")]
    Failed,
}

/// Run of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Identity of the call, as sent.
    pub id: String,
    /// Idempotency key, where one was sent.
    pub key: Option<String>,
    /// Path.
    pub path: String,
    /// Start, in microseconds since the stand-in started.
    pub start: u64,
    /// End in the same unit, zero while running.
    pub end: u64,
    /// Tokens written.
    pub tokens: usize,
    /// How it ended.
    pub outcome: Outcome,
}

/// Order taken or refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Fencing number.
    pub fencing: u64,
    /// Whether it was taken.
    pub accepted: bool,
    /// Order as sent.
    pub body: serde_json::Value,
}

/// Everything that a stand-in target has recorded.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Runs in the order they started.
    pub runs: Vec<Run>,
    /// Orders in the order they came.
    pub orders: Vec<OrderRecord>,
    /// Calls being run now.
    pub running: u32,
    /// Calls run at once, at most.
    pub peak: u32,
    /// Calls run at once while cold, at most.
    pub cold_peak: u32,
    /// Calls refused before they ran.
    pub refused: u32,
    /// Falls because of too many calls at once.
    #[serde(rename = "falls")]
    pub crashes: u32,
    /// Connections that carried a call.
    pub connections: u32,
    /// Incarnation.
    pub incarnation: u64,
    /// Answers since the start of this incarnation.
    pub answers: u32,
}
