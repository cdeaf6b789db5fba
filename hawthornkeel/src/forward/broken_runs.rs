//! Runs that their targets broke off, with what they have in common with others.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::quarantine::evidence::Subject;

use crate::forward::context::Context;
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

/// Time from the first event of an answer after which its target has survived its begin.
const SOUND_TIME: Duration = Duration::from_millis(500);

/// Watches how far the streamed answer of one run has come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerWatch {
    first_event: Option<Instant>,
    is_sound: bool,
}

impl AnswerWatch {
    /// Records that events have arrived; returns whether they show that the run is sound.
    pub(super) fn record_events(&mut self) -> bool {
        let first = *self.first_event.get_or_insert_with(Instant::now);
        let becomes_sound = !self.is_sound && first.elapsed() >= SOUND_TIME;
        self.is_sound |= becomes_sound;
        becomes_sound
    }

    /// Records the complete end; returns whether that shows that the run is sound.
    pub(super) fn record_end(&mut self) -> bool {
        !std::mem::replace(&mut self.is_sound, true)
    }

    /// Returns how far the answer has come.
    pub(super) fn phase(&self) -> AnswerPhase {
        if self.first_event.is_some() { AnswerPhase::Streaming } else { AnswerPhase::Begun }
    }
}

/// Subjects of one kind as a log line names them.
struct SubjectList<'a> {
    subjects: &'a [Subject],
    is_listed: fn(&Subject) -> bool,
}

impl fmt::Display for SubjectList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, subject) in self.subjects.iter().filter(|s| (self.is_listed)(s)).enumerate() {
            let separator = if at == 0 { "" } else { "," };
            write!(f, "{separator}{subject}")?;
        }
        Ok(())
    }
}

/// Logs and counts a run that its target broke off, and returns what it says about the target.
pub(super) fn record(
    context: &Rc<Context>,
    request: &IncomingRequest,
    target: &ChosenTarget,
    phase: AnswerPhase,
) -> TargetOutcome {
    context.record_broken_run(request, target, phase);
    let list = |is_listed| SubjectList { subjects: &request.subjects, is_listed };
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
        parts = %list(|s| matches!(s, Subject::Part(_))),
        work = %list(|s| matches!(s, Subject::Work(_))),
        age_ms = request.started.elapsed().as_millis(),
    );
    match context.may_be_repeated(request) {
        true => TargetOutcome::Failed,
        // The request is the cause, not the target.
        false => TargetOutcome::Abandoned,
    }
}
