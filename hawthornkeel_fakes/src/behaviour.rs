//! Configuration of a fake target: timing, capacity and injected faults.

use serde::Deserialize;
use serde::Serialize;

/// Fault injected into a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Runs the call and never sends a byte of the response.
    #[serde(rename = "silent")]
    NoResponse,
    /// Closes the connection after `cut_after` tokens of a stream.
    #[serde(rename = "cut")]
    Disconnect,
    /// Sends nothing more after `cut_after` tokens of a stream and keeps the connection open.
    Stall,
    /// Delays the response by `late_ms`.
    Late,
    /// Sends the response twice.
    #[serde(rename = "twice")]
    Duplicate,
    /// Sends the response again after `late_ms`.
    #[serde(rename = "twice-late")]
    LateDuplicate,
    /// Ends the stream without its `[DONE]` event.
    #[serde(rename = "unmarked")]
    MissingDone,
    /// Sends the response with another call's identity.
    #[serde(rename = "crossed")]
    WrongCall,
    /// Closes the connection after half of the body, with the content length of all of it.
    Truncated,
    /// Refuses the call with 503 before it runs; the response says that it did not run.
    Refuse,
    /// Refuses the call with 503 before it runs; the response does not say so.
    #[serde(rename = "refuse-bare")]
    RefuseAmbiguous,
    /// Runs the call and responds with 500.
    #[serde(rename = "fail")]
    ServerError,
    /// Closes the connection before the call runs.
    #[serde(rename = "close")]
    CloseBeforeRun,
    /// Runs the call and closes the connection without a response.
    #[serde(rename = "drop")]
    CloseAfterRun,
    /// Responds with bytes that are not HTTP.
    #[serde(rename = "garbage")]
    Malformed,
}

/// Timing, capacity and faults of a fake target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time to a complete response or to the first token, in milliseconds.
    pub floor_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Tokens of a response, unless the request asks for fewer.
    pub tokens: usize,
    /// Factor applied to all times.
    #[serde(rename = "slow")]
    pub slowdown: f64,
    /// Calls that can run concurrently at full speed; with more, all slow down in proportion.
    pub batch: u32,
    /// Concurrent calls at which a cold target still works; it crashes above that.
    ///
    /// Without a value the target is never cold.
    #[serde(rename = "cold_bears")]
    pub cold_capacity: Option<u32>,
    /// Responses after which a cold target is warm.
    pub warm_after: u32,
    /// Concurrent calls at which a warm target still works; unlimited where absent.
    #[serde(rename = "warm_bears")]
    pub warm_capacity: Option<u32>,
    /// Fault injected into calls.
    pub fault: Fault,
    /// Number of further calls that get the fault; all where absent.
    pub fault_calls: Option<u32>,
    /// Tokens before a disconnect or a stall.
    pub cut_after: usize,
    /// Delay of a late or repeated response, in milliseconds.
    pub late_ms: u64,
    /// Delay of the load in load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an outdated fencing number are refused.
    pub fencing: bool,
    /// Whether responses echo the call's identity.
    #[serde(rename = "echo")]
    pub echo_id: bool,
    /// Whether responses carry the incarnation; load reports always do.
    #[serde(rename = "named")]
    pub send_incarnation: bool,
    /// Whether streams can resume at an offset.
    pub resume: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            floor_ms: 0,
            token_ms: 0,
            tokens: 16,
            slowdown: 1.0,
            batch: u32::MAX,
            cold_capacity: None,
            warm_after: 16,
            warm_capacity: None,
            fault: Fault::None,
            fault_calls: None,
            cut_after: 4,
            late_ms: 1_000,
            load_lag_ms: 0,
            fencing: false,
            echo_id: true,
            send_incarnation: true,
            resume: true,
        }
    }
}
