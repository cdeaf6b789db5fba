//! State machine of one request: stages in order, attempts, claims and the final answer.

mod calling;
mod calls;
mod claiming;
mod ending;

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

/// Time beyond the deadline after which an unsettled claim counts as unknown.
const SETTLE_MARGIN: Duration = Duration::from_secs(2);
/// Time to come back after where a quorum is missing.
const QUORUM_RETRY: Duration = Duration::from_secs(2);

/// What a request waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    /// Nothing was asked for yet.
    New,
    /// A target for the stage.
    Routing,
    /// The control instances' decision on the claim.
    Claiming,
    /// The end of another attempt's claim.
    Held,
    /// The answer to a call or to its hedge.
    Calling(Calls),
    /// The answer to a claimed call whose caller was told already that its outcome is unknown.
    Late(CallId),
    /// The record of an answer, to go on with the next stage.
    Recording(Bytes),
    /// The record of a release, to refuse.
    Releasing(Refusal),
    /// Nothing: the final answer is given.
    Ended,
}

/// What has been dispatched for a request so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trace {
    /// Nothing that may have run.
    Nothing,
    /// Calls that may have run.
    Some,
}

/// One request on its way through its pipeline.
#[derive(Debug)]
pub struct PipelineRun {
    spec: RequestSpec,
    phase: Phase,
    stage: StageIndex,
    attempt: AttemptNumber,
    /// Attempts at the stage that may have run.
    spent: u16,
    received: usize,
    claimant: Option<Claimant>,
    trace: Trace,
    recorded: bool,
    left: bool,
}

impl PipelineRun {
    /// Creates the run of an admitted request.
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            phase: Phase::New,
            stage: StageIndex(0),
            attempt: AttemptNumber(0),
            spent: 0,
            received: 0,
            claimant: None,
            trace: Trace::Nothing,
            recorded: false,
            left: false,
        }
    }

    /// Returns what the request is.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns the position of the stage in progress.
    pub fn stage(&self) -> StageIndex {
        self.stage
    }

    /// Tells whether nothing more is to be done; the final answer was given then or before.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the shortest time that the stages from the current one on take.
    pub fn remaining_floor(&self) -> Duration {
        let stages = self.spec.pipeline.stages.iter();
        stages.skip(usize::from(self.stage.0)).map(Stage::floor).sum()
    }

    /// Takes in what happened at `now` and returns what is to be done.
    ///
    /// An input that does not belong to what the request waits for, such as the answer to an
    /// abandoned call, changes nothing.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        match (self.phase.clone(), input) {
            (Phase::Ended, _) => Vec::new(),
            (Phase::Late(current), input) => self.late(current, input),
            (_, Input::DeadlinePassed) => self.abandon(),
            (_, Input::CallerDisconnected) => self.caller_left(),
            (Phase::New, Input::Started) => self.start(now),
            (Phase::Routing, Input::Routed) => self.routed(now),
            (Phase::Routing, Input::NotRouted { retry_after }) => {
                self.refuse(RefusalCode::NoCapacity, retry_after)
            }
            (Phase::Claiming, Input::Claimed(outcome)) => self.claimed(now, outcome),
            (Phase::Claiming, Input::NotClaimed(failure)) => self.not_claimed(failure),
            (Phase::Held, Input::TimerFired) => self.route(),
            (Phase::Calling(calls), Input::Answered { call, answer }) if calls.has(call) => {
                self.answered(now, calls, call, answer)
            }
            (Phase::Calling(calls), Input::Failed { call, failure, received })
                if calls.has(call) =>
            {
                self.call_failed(now, calls, call, failure, received)
            }
            (Phase::Calling(calls), Input::HedgeDue(call)) => self.hedge(now, calls, call),
            (Phase::Recording(answer), Input::Settled) => self.advance(now, answer),
            (Phase::Releasing(refusal), Input::Settled) => self.end(Action::Refuse(refusal)),
            _ => Vec::new(),
        }
    }

    /// Checks that the request can be served at all and begins with its first stage.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.spec.pipeline.has_non_idempotent() && self.spec.key.is_none() {
            return self.refuse(RefusalCode::KeyRequired, None);
        }
        self.begin_stage(now)
    }

    /// Begins the current stage where the deadline leaves time for the rest.
    fn begin_stage(&mut self, now: Instant) -> Vec<Action> {
        self.attempt = AttemptNumber(0);
        self.spent = 0;
        self.received = 0;
        if self.out_of_time(now) {
            return self.refuse(RefusalCode::DeadlineUnreachable, None);
        }
        self.route()
    }

    /// Asks for a target.
    fn route(&mut self) -> Vec<Action> {
        self.phase = Phase::Routing;
        vec![Action::Route { stage: self.stage, attempt: self.attempt }]
    }

    /// Goes on with the chosen target: claims first where the stage may not be repeated.
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

    /// Goes on with the next stage, or finishes after the last.
    fn advance(&mut self, now: Instant, answer: Bytes) -> Vec<Action> {
        self.claimant = None;
        self.stage = StageIndex(self.stage.0.saturating_add(1));
        if self.current().is_none() {
            return self.end(Action::Finish(answer));
        }
        if self.left {
            return self.refuse(RefusalCode::DeadlinePassed, None);
        }
        self.begin_stage(now)
    }

    /// Returns what can truly be said about whether the request ran.
    fn ran(&self) -> RunStatus {
        match (self.recorded, self.trace) {
            (true, _) => RunStatus::Done,
            (false, Trace::Some) => RunStatus::Unknown,
            (false, Trace::Nothing) => RunStatus::NotRun,
        }
    }

    /// Tells whether the remaining time can't cover the remaining stages.
    fn out_of_time(&self, now: Instant) -> bool {
        now + self.remaining_floor() > self.spec.deadline
    }

    /// Returns the current stage, or nothing after the last.
    fn current(&self) -> Option<&Stage> {
        self.spec.pipeline.stages.get(usize::from(self.stage.0))
    }

    /// Returns the key of the claim on the current stage.
    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.spec.key.clone()?;
        Some(ClaimKey { workspace: self.spec.workspace.clone(), key, stage: self.stage })
    }

    /// Returns the identity under which the current attempt claims.
    fn new_claimant(&self) -> Claimant {
        Claimant {
            instance: self.spec.instance.clone(),
            request: self.spec.id,
            attempt: self.attempt,
        }
    }

    /// Returns the settlement of the current stage's claim.
    fn settle(&self, claimant: Claimant, settlement: Settlement) -> Option<Settle> {
        Some(Settle { key: self.claim_key()?, claimant, settlement })
    }
}
