//! Evidence about subjects, as an entry reports it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::ProcessId;
use crate::names::InstanceName;

/// What several requests have in common that may end their targets.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum Subject {
    /// Part of a prompt.
    Part(u64),
    /// Identical work, whatever the identity of the attempt.
    Work(u64),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(id) | Self::Work(id) => write!(f, "{id:x}"),
        }
    }
}

/// Run that its target broke off before the first event of its answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Ending {
    /// Process that broke it off.
    pub process: ProcessId,
    /// Hash of the request's identity.
    pub request: u32,
    /// Whether its answer had begun.
    pub begun: bool,
    /// What other requests may have in common with it, with what the entry knows of that.
    pub subjects: Vec<SoundRuns>,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// Sound runs of one subject at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SoundRuns {
    /// Subject.
    pub subject: Subject,
    /// Number of runs in thousandths, older ones counted less.
    pub thousandths: u32,
    /// Time since the last one, in milliseconds.
    pub age_ms: Option<u32>,
}

/// What an entry reports.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Entry.
    pub reporter: InstanceName,
    /// Runs that ended with their targets.
    pub endings: Vec<Ending>,
    /// Sound runs of subjects under suspicion.
    pub sound: Vec<SoundRuns>,
    /// Number of sound runs of the entry, whatever they held, in thousandths; older ones counted less.
    pub all_thousandths: u32,
    /// Whether a control instance passes it on to another one.
    pub relayed: bool,
}
