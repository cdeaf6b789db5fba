//! How a stand-in target behaves.

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong with a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// The call runs and no byte of an answer is ever sent.
    #[serde(rename = "silent")]
    NoResponse,
    /// The stream is cut after `cut_after` tokens.
    #[serde(rename = "cut")]
    Disconnect,
    /// The stream goes silent after `cut_after` tokens, its connection stays open.
    Stall,
    /// The answer comes `late_ms` late.
    Late,
    /// The answer comes twice.
    #[serde(rename = "twice")]
    Duplicate,
    /// The answer comes again `late_ms` after it came.
    #[serde(rename = "twice-late")]
    LateDuplicate,
    /// The stream ends without its marker.
    #[serde(rename = "unmarked")]
    MissingDone,
    /// The answer carries the identity of another call.
    #[serde(rename = "crossed")]
    WrongCall,
    /// The answer ends in the middle, under the length of the whole.
    Truncated,
    /// The call is refused with 503 before it runs, and the answer says so.
    Refuse,
    /// The call is refused with 503 before it runs, and the answer does not say so.
    #[serde(rename = "refuse-bare")]
    RefuseAmbiguous,
    /// The call runs and ends in a 500.
    #[serde(rename = "fail")]
    ServerError,
    /// The connection is closed before the call runs.
    #[serde(rename = "close")]
    CloseBeforeRun,
    /// The call runs and the connection is closed before an answer.
    #[serde(rename = "drop")]
    CloseAfterRun,
    /// The answer is no HTTP.
    #[serde(rename = "garbage")]
    Malformed,
}

/// How a stand-in target behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Time to a whole answer or to the first token, in milliseconds.
    pub floor_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
    /// Tokens of an answer where the request asks for no fewer.
    pub tokens: usize,
    /// Factor on all times.
    #[serde(rename = "slow")]
    pub slowdown: f64,
    /// Calls run at once without slowing each other; more share the speed.
    pub batch: u32,
    /// Calls that the target bears at once while cold; it falls over above that.
    #[serde(rename = "cold_bears")]
    pub cold_capacity: Option<u32>,
    /// Answers after which a cold target is warm.
    pub warm_after: u32,
    /// Calls that the target bears at once while warm, where there is a bound.
    #[serde(rename = "warm_bears")]
    pub warm_capacity: Option<u32>,
    /// What goes wrong with calls.
    pub fault: Fault,
    /// Calls that the fault still hits; all where absent.
    pub fault_calls: Option<u32>,
    /// Tokens before a cut or a stall.
    pub cut_after: usize,
    /// Delay of a late answer, in milliseconds.
    pub late_ms: u64,
    /// Lag of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: bool,
    /// Whether answers echo the call's identity.
    #[serde(rename = "echo")]
    pub echo_id: bool,
    /// Whether answers name the incarnation; load reports always do.
    #[serde(rename = "named")]
    pub send_incarnation: bool,
    /// Whether streams go on from an offset.
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
