//! Runs that their targets broke off, with the parts of their prompts.

use std::fmt;

use hawthornkeel_core::placement::balancer::ChosenTarget;

use crate::forward::request::IncomingRequest;
use crate::telemetry;

/// How far the answer of a run had come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AnswerPhase {
    /// It had not begun.
    Awaited,
    /// It had begun, without an event.
    Begun,
    /// Events had arrived.
    Streaming,
}

impl AnswerPhase {
    fn as_str(self) -> &'static str {
        match self {
            Self::Awaited => "awaited",
            Self::Begun => "begun",
            Self::Streaming => "streaming",
        }
    }
}

/// Watches how far the streamed answer of one run has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerWatch {
    has_events: bool,
}

impl AnswerWatch {
    /// Records that events have arrived.
    pub(super) fn record_events(&mut self) {
        self.has_events = true;
    }

    /// Returns how far the answer has come.
    pub(super) fn phase(&self) -> AnswerPhase {
        if self.has_events { AnswerPhase::Streaming } else { AnswerPhase::Begun }
    }
}

/// Parts of a prompt as a log line names them.
struct PartList<'a>(&'a [u64]);

impl fmt::Display for PartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, part) in self.0.iter().enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{part:x}")?;
        }
        Ok(())
    }
}

/// Logs and counts a run that its target broke off.
pub(super) fn record(request: &IncomingRequest, target: &ChosenTarget, phase: AnswerPhase) {
    let (pool, phase) = (request.pool.name.to_string(), phase.as_str());
    metrics::counter!(telemetry::BROKEN_RUNS, "pool" => pool, "phase" => phase).increment(1);
    tracing::info!(
        event = "run-broken",
        request = %request.id,
        route = %request.route.name,
        target = %target.name,
        address = %target.address,
        born = target.born,
        phase,
        parts = %PartList(&request.parts),
        age_ms = request.started.elapsed().as_millis(),
    );
}
