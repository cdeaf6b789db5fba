//! State machine of one request: stages, attempts, claims and the final answer.

mod calling;
mod calls;
mod claiming;
mod ending;
mod stopping;

use std::time::Duration;

use bytes::Bytes;

use crate::document::Stage;
use crate::ids::AttemptNumber;
use crate::ids::CallId;
use crate::ids::StageIndex;
use crate::request::event::Action;
use crate::request::event::Input;
use crate::request::refusal::Refusal;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::calls::Calls;
use crate::request::spec::RequestSpec;
use crate::state::command::ClaimKey;
use crate::state::command::Claimant;
use crate::state::command::Settle;
use crate::state::command::Settlement;
use crate::time::Instant;

/// Time after the request's deadline at which an unsettled claim counts as unknown.
const SETTLE_MARGIN: Duration = Duration::from_secs(2);
/// Retry delay given to callers when a claim can't be granted or is held by another attempt.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// State of a request, by what it waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// The start of the request.
    New,
    /// A target for the current stage.
    Routing,
    /// A decision on the claim by the control instances.
    Claiming,
    /// The settlement of a claim that another attempt holds.
    Held,
    /// An answer to the primary call or its hedge.
    Calling(Calls),
    /// The answer to a claimed call after its caller was told that the outcome is unknown.
    LateAnswer(CallId),
    /// The settlement of a claim with this answer, before the next stage.
    Recording(Bytes),
    /// The release of a claim, before this refusal.
    Releasing(Refusal),
    /// Nothing; the request has ended.
    Ended,
}

/// Whether calls of a request may have run so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SideEffects {
    /// No call can have run.
    Impossible,
    /// At least one call may have run.
    Possible,
}

/// Execution of one request by its pipeline.
#[derive(Debug)]
pub struct PipelineRun {
    spec: RequestSpec,
    phase: Phase,
    stage: StageIndex,
    attempt: AttemptNumber,
    /// Number of attempts that count against the stage's limit.
    counted_attempts: u16,
    /// Number of bytes of the current stage's answer received.
    received: usize,
    claimant: Option<Claimant>,
    side_effects: SideEffects,
    /// Whether a non-idempotent stage is recorded as done.
    recorded: bool,
    /// Whether the caller has disconnected.
    disconnected: bool,
    /// Time at which the instance's stop ends the request, if the instance stops.
    stop_limit: Option<Instant>,
}

impl PipelineRun {
    /// Creates the run of an admitted request.
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            phase: Phase::New,
            stage: StageIndex(0),
            attempt: AttemptNumber(0),
            counted_attempts: 0,
            received: 0,
            claimant: None,
            side_effects: SideEffects::Impossible,
            recorded: false,
            disconnected: false,
            stop_limit: None,
        }
    }

    /// Returns the properties fixed at the request's arrival.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns the position of the current stage.
    pub fn stage(&self) -> StageIndex {
        self.stage
    }

    /// Returns whether the request has ended and needs no further input.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the lower bound of the run time of the current and all later stages.
    pub fn remaining_floor(&self) -> Duration {
        let stages = self.spec.pipeline.stages.iter();
        stages.skip(usize::from(self.stage.0)).map(Stage::floor).sum()
    }

    /// Handles an input at `now` and returns the actions to carry out.
    ///
    /// An input that the request does not wait for, such as the answer to an abandoned call, has no
    /// effect.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match (self.phase.clone(), input) {
            (Phase::Ended, _) => Vec::new(),
            (Phase::LateAnswer(current), input) => self.settle_late(current, input),
            (_, Input::DeadlinePassed) => self.abandon(),
            (_, Input::CallerDisconnected) => self.caller_disconnected(),
            (_, Input::Stopping { limit }) => self.stopping(now, limit),
            (_, Input::StopLimitReached) => self.stop_limit_reached(now),
            (Phase::New, Input::Started) => self.start(now),
            (Phase::Routing, Input::Routed) => self.routed(now),
            (Phase::Routing, Input::NotRouted { retry_after }) => {
                self.refuse(RefusalCode::NoCapacity, retry_after)
            }
            (Phase::Claiming, Input::Claimed(outcome)) => self.claimed(now, outcome),
            (Phase::Claiming, Input::NotClaimed(failure)) => self.not_claimed(failure),
            (Phase::Held, Input::TimerFired) => self.route(),
            (Phase::Calling(calls), Input::Answered { call, answer }) if calls.contains(call) => {
                self.answered(now, calls, call, answer)
            }
            (Phase::Calling(calls), Input::Failed { call, failure, received })
                if calls.contains(call) =>
            {
                self.call_failed(now, calls, call, failure, received)
            }
            (Phase::Calling(calls), Input::HedgeDue(call)) => self.hedge(now, calls, call),
            (Phase::Recording(answer), Input::Settled) => self.advance(now, answer),
            (Phase::Releasing(refusal), Input::Settled) => self.end(Action::Refuse(refusal)),
            _ => Vec::new(),
        }
    }

    /// Starts the first stage, unless a required idempotency key is missing.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.spec.pipeline.has_non_idempotent() && self.spec.key.is_none() {
            return self.refuse(RefusalCode::KeyRequired, None);
        }
        self.start_stage(now)
    }

    /// Starts the current stage if the remaining stages can complete before the deadline.
    fn start_stage(&mut self, now: Instant) -> Vec<Action> {
        self.attempt = AttemptNumber(0);
        self.counted_attempts = 0;
        self.received = 0;
        if self.out_of_time(now) {
            return self.refuse(RefusalCode::DeadlineUnreachable, None);
        }
        self.route()
    }

    /// Requests a target for the current stage.
    fn route(&mut self) -> Vec<Action> {
        self.phase = Phase::Routing;
        vec![Action::Route { stage: self.stage, attempt: self.attempt }]
    }

    /// Dispatches to the chosen target, after claiming the stage if it is not idempotent.
    fn routed(&mut self, now: Instant) -> Vec<Action> {
        if self.out_of_time(now) {
            let mut actions = vec![Action::ReleasePermit];
            actions.extend(self.refuse(RefusalCode::DeadlineUnreachable, None));
            return actions;
        }
        let idempotent = self.current().is_none_or(|s| s.idempotent);
        if idempotent || self.claimant.is_some() {
            return self.dispatch();
        }
        self.claim(now)
    }

    /// Starts the next stage, or finishes the request after the last one.
    fn advance(&mut self, now: Instant, answer: Bytes) -> Vec<Action> {
        self.claimant = None;
        self.stage = StageIndex(self.stage.0.saturating_add(1));
        if self.current().is_none() {
            return self.end(Action::Finish(answer));
        }
        if self.disconnected {
            return self.refuse(RefusalCode::DeadlinePassed, None);
        }
        self.start_stage(now)
    }

    /// Returns whether the request ran, as far as is known.
    fn ran(&self) -> RunStatus {
        match (self.recorded, self.side_effects) {
            (true, _) => RunStatus::Done,
            (false, SideEffects::Possible) => RunStatus::Unknown,
            (false, SideEffects::Impossible) => RunStatus::NotRun,
        }
    }

    /// Returns whether the remaining stages can't complete in time.
    fn out_of_time(&self, now: Instant) -> bool {
        now + self.remaining_floor() > self.due()
    }

    /// Returns the current stage, or `None` after the last one.
    fn current(&self) -> Option<&Stage> {
        self.spec.pipeline.stages.get(usize::from(self.stage.0))
    }

    /// Returns the key of the claim on the current stage.
    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.spec.key.clone()?;
        Some(ClaimKey { workspace: self.spec.workspace.clone(), key, stage: self.stage })
    }

    /// Returns the current attempt as a claimant.
    fn new_claimant(&self) -> Claimant {
        Claimant {
            instance: self.spec.instance.clone(),
            request: self.spec.id,
            attempt: self.attempt,
        }
    }

    /// Returns the settlement of the claim on the current stage.
    fn settle(&self, claimant: Claimant, settlement: Settlement) -> Option<Settle> {
        Some(Settle { key: self.claim_key()?, claimant, settlement })
    }
}
