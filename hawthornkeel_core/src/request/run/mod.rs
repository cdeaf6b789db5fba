//! State machine of one request: stages in order, attempts, claims and the final answer.

mod ending;

use std::time::Duration;

use bytes::Bytes;

use crate::document::Stage;
use crate::ids::AttemptNumber;
use crate::ids::CallId;
use crate::ids::StageIndex;
use crate::request::event::Action;
use crate::request::event::ClaimFailure;
use crate::request::event::Input;
use crate::request::failure::CallFailure;
use crate::request::failure::Evidence;
use crate::request::profile::Profile;
use crate::request::refusal::Ran;
use crate::request::refusal::Refusal;
use crate::request::refusal::RefusalCode;
use crate::state::command::Claim;
use crate::state::command::ClaimKey;
use crate::state::command::ClaimOutcome;
use crate::state::command::Claimant;
use crate::state::command::Settle;
use crate::state::command::Settlement;
use crate::time::Instant;

/// Time beyond the deadline after which an unsettled claim counts as unknown.
const SETTLE_MARGIN: Duration = Duration::from_secs(2);
/// Time between looks at a claim that another attempt holds.
const HELD_POLL: Duration = Duration::from_millis(100);
/// Attempts at a stage that did not run, at most, beside those that may have run.
const IDLE_ATTEMPTS: u16 = 16;
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
    /// The answer to a call.
    Calling(CallId),
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
pub struct Run {
    profile: Profile,
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

impl Run {
    /// Creates the run of an admitted request.
    pub fn new(profile: Profile) -> Self {
        Self {
            profile,
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
    pub fn profile(&self) -> &Profile {
        &self.profile
    }

    /// Returns the position of the stage in progress.
    pub fn stage(&self) -> StageIndex {
        self.stage
    }

    /// Tells whether nothing more is to be done; the final answer was given then or before.
    pub fn ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the shortest time that the stages from the current one on take.
    pub fn remaining_floor(&self) -> Duration {
        let stages = self.profile.pipeline.stages.iter();
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
            (_, Input::CallerLeft) => self.caller_left(),
            (Phase::New, Input::Started) => self.start(now),
            (Phase::Routing, Input::Routed) => self.routed(now),
            (Phase::Routing, Input::NotRouted { retry_after }) => {
                self.refuse(RefusalCode::NoCapacity, retry_after)
            }
            (Phase::Claiming, Input::Claimed(outcome)) => self.claimed(now, outcome),
            (Phase::Claiming, Input::NotClaimed(failure)) => self.not_claimed(failure),
            (Phase::Held, Input::Woken) => self.route(),
            (Phase::Calling(current), Input::Answered { call, answer }) if call == current => {
                self.answered(now, answer)
            }
            (Phase::Calling(current), Input::Failed { call, failure, received })
                if call == current =>
            {
                self.failed(now, failure, received)
            }
            (Phase::Recording(answer), Input::Settled) => self.advance(now, answer),
            (Phase::Releasing(refusal), Input::Settled) => self.end(Action::Refuse(refusal)),
            _ => Vec::new(),
        }
    }

    /// Checks that the request can be served at all and begins with its first stage.
    fn start(&mut self, now: Instant) -> Vec<Action> {
        if self.profile.pipeline.has_unrepeatable() && self.profile.key.is_none() {
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
            let mut actions = vec![Action::Unroute];
            actions.extend(self.refuse(RefusalCode::DeadlineUnreachable, None));
            return actions;
        }
        let idempotent = self.current().is_none_or(|s| s.idempotent);
        if idempotent || self.claimant.is_some() {
            return self.dispatch();
        }
        self.claim(now)
    }

    /// Asks for the claim on the current stage.
    fn claim(&mut self, now: Instant) -> Vec<Action> {
        let Some(key) = self.claim_key() else {
            return self.refuse(RefusalCode::KeyRequired, None);
        };
        let left = self.profile.deadline.since(now) + SETTLE_MARGIN;
        self.phase = Phase::Claiming;
        vec![Action::Claim(Claim {
            key,
            digest: self.profile.digest,
            claimant: self.new_claimant(),
            settle_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        })]
    }

    /// Acts on the decision about the claim.
    fn claimed(&mut self, now: Instant, outcome: ClaimOutcome) -> Vec<Action> {
        match outcome {
            ClaimOutcome::Granted => {
                self.claimant = Some(self.new_claimant());
                if self.out_of_time(now) {
                    let mut actions = vec![Action::Unroute];
                    actions.extend(self.refuse(RefusalCode::DeadlineUnreachable, None));
                    return actions;
                }
                self.dispatch()
            }
            ClaimOutcome::Held(_) => {
                self.phase = Phase::Held;
                vec![Action::Unroute, Action::Wait(HELD_POLL)]
            }
            ClaimOutcome::Done(answer) => {
                self.recorded = true;
                let mut actions = vec![Action::Unroute];
                actions.extend(self.advance(now, answer));
                actions
            }
            ClaimOutcome::DoneDropped => {
                self.recorded = true;
                self.unroute_and_refuse(RefusalCode::OutcomeUnknown, Ran::Done)
            }
            ClaimOutcome::Unknown => {
                self.unroute_and_refuse(RefusalCode::OutcomeUnknown, Ran::Unknown)
            }
            ClaimOutcome::Released | ClaimOutcome::Full => {
                let mut actions = vec![Action::Unroute];
                actions.extend(self.refuse(RefusalCode::NoCapacity, Some(QUORUM_RETRY)));
                actions
            }
            ClaimOutcome::Mismatch => {
                let ran = self.ran();
                self.unroute_and_refuse(RefusalCode::KeyReused, ran)
            }
        }
    }

    /// Refuses after a claim that was not decided; nothing is dispatched under it later.
    fn not_claimed(&mut self, failure: ClaimFailure) -> Vec<Action> {
        let mut actions = vec![Action::Unroute];
        if failure == ClaimFailure::Undecided {
            let claimant = self.new_claimant();
            actions.extend(self.settle(claimant, Settlement::Released).map(Action::SettleLater));
        }
        actions.extend(self.refuse(RefusalCode::NoQuorum, Some(QUORUM_RETRY)));
        actions
    }

    /// Calls the chosen target.
    fn dispatch(&mut self) -> Vec<Action> {
        let call = CallId { request: self.profile.id, stage: self.stage, attempt: self.attempt };
        self.phase = Phase::Calling(call);
        vec![Action::Dispatch { call, resume: self.received }]
    }

    /// Takes in a whole answer: recorded before it is used where the stage may not be repeated.
    fn answered(&mut self, now: Instant, answer: Bytes) -> Vec<Action> {
        self.trace = Trace::Some;
        let Some(claimant) = self.claimant.clone() else {
            return self.advance(now, answer);
        };
        let Some(settle) = self.settle(claimant, Settlement::Done(answer.clone())) else {
            return self.advance(now, answer);
        };
        self.recorded = true;
        self.phase = Phase::Recording(answer);
        vec![Action::Settle(settle)]
    }

    /// Retries, resumes or refuses after a failed call.
    fn failed(&mut self, now: Instant, failure: CallFailure, received: usize) -> Vec<Action> {
        let may_have_run = failure.evidence() == Evidence::MayHaveRun;
        if may_have_run {
            self.trace = Trace::Some;
            if let Some(claimant) = self.claimant.take() {
                return self.outcome_unknown(claimant);
            }
        }
        self.received = self.received.max(received);
        if failure != CallFailure::Refused {
            self.spent = self.spent.saturating_add(u16::from(may_have_run));
        }
        let next = self.attempt.0.saturating_add(1);
        if !failure.worth_retry() || !self.has_attempts(next) {
            return self.refuse(RefusalCode::StageFailed, None);
        }
        if self.out_of_time(now) {
            return self.refuse(RefusalCode::DeadlineUnreachable, None);
        }
        self.attempt = AttemptNumber(next);
        self.route()
    }

    /// Tells whether attempt `next` may be made.
    ///
    /// Attempts that did not run, or were refused, don't count against the stage's own limit.
    fn has_attempts(&self, next: u16) -> bool {
        let limit = self.current().map_or(0, |s| s.max_attempts);
        let idle = next.saturating_sub(self.spent);
        self.spent < limit && idle <= IDLE_ATTEMPTS
    }

    /// Records that a stage was dispatched with an unknown outcome and says so at once.
    fn outcome_unknown(&mut self, claimant: Claimant) -> Vec<Action> {
        let refusal =
            Refusal { code: RefusalCode::OutcomeUnknown, ran: Ran::Unknown, retry_after: None };
        let settle = self.settle(claimant, Settlement::Unknown);
        let mut actions: Vec<_> = settle.map(Action::SettleLater).into_iter().collect();
        actions.extend(self.end(Action::Refuse(refusal)));
        actions
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
    fn ran(&self) -> Ran {
        match (self.recorded, self.trace) {
            (true, _) => Ran::Done,
            (false, Trace::Some) => Ran::Unknown,
            (false, Trace::Nothing) => Ran::NotRun,
        }
    }

    /// Tells whether the remaining time can't cover the remaining stages.
    fn out_of_time(&self, now: Instant) -> bool {
        now + self.remaining_floor() > self.profile.deadline
    }

    /// Returns the current stage, or nothing after the last.
    fn current(&self) -> Option<&Stage> {
        self.profile.pipeline.stages.get(usize::from(self.stage.0))
    }

    /// Returns the key of the claim on the current stage.
    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.profile.key.clone()?;
        Some(ClaimKey { workspace: self.profile.workspace.clone(), key, stage: self.stage })
    }

    /// Returns the identity under which the current attempt claims.
    fn new_claimant(&self) -> Claimant {
        Claimant {
            instance: self.profile.instance.clone(),
            request: self.profile.id,
            attempt: self.attempt,
        }
    }

    /// Returns the settlement of the current stage's claim.
    fn settle(&self, claimant: Claimant, settlement: Settlement) -> Option<Settle> {
        Some(Settle { key: self.claim_key()?, claimant, settlement })
    }
}
