//! End of a request: by its answer, a refusal, the deadline or the caller's disconnection.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::CallId;
use crate::ids::StageIndex;
use crate::request::event::Action;
use crate::request::event::Input;
use crate::request::refusal::Refusal;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::CLAIM_RETRY_AFTER;
use crate::request::run::Phase;
use crate::request::run::PipelineRun;
use crate::request::run::SETTLE_MARGIN;
use crate::request::run::SideEffects;
use crate::request::run::calls::Calls;
use crate::state::command::Settlement;

impl PipelineRun {
    /// Ends a request whose caller has disconnected.
    ///
    /// A claimed call continues and its answer is recorded, so that a retry gets it.
    pub(super) fn caller_disconnected(&mut self) -> Vec<Action> {
        if self.claimant.is_some() {
            self.disconnected = true;
            return Vec::new();
        }
        self.abandon()
    }

    /// Settles a claimed call that ended after its caller was told that the outcome is unknown.
    pub(super) fn settle_late(&mut self, current: CallId, input: Input) -> Vec<Action> {
        let settlement = match input {
            Input::Answered { call, answer } if call == current => Settlement::Done(answer),
            Input::Failed { call, .. } if call == current => Settlement::Unknown,
            _ => return Vec::new(),
        };
        let claimant = self.claimant.take();
        let settle = claimant.and_then(|c| self.settle(c, settlement));
        self.phase = Phase::Ended;
        settle.map(Action::SettleInBackground).into_iter().collect()
    }

    /// Ends a request whose deadline has passed or whose caller has disconnected.
    pub(super) fn abandon(&mut self) -> Vec<Action> {
        let code = RefusalCode::DeadlinePassed;
        match self.phase.clone() {
            Phase::Calling(calls) => self.abandon_calls(calls),
            Phase::Claiming => {
                let mut actions = vec![Action::ReleasePermit];
                let settle = self.settle(self.new_claimant(), Settlement::Released);
                actions.extend(settle.map(Action::SettleInBackground));
                actions.extend(self.refuse(code, None));
                actions
            }
            Phase::Recording(answer) => self.end_recorded(answer, code),
            Phase::Releasing(refusal) => self.end(Action::Refuse(refusal)),
            Phase::Held => {
                let refusal = Refusal {
                    code: RefusalCode::InProgress,
                    ran: RunStatus::Unknown,
                    retry_after: Some(CLAIM_RETRY_AFTER),
                };
                self.end(Action::Refuse(refusal))
            }
            Phase::Routing => {
                let mut actions = vec![Action::ReleasePermit];
                actions.extend(self.refuse(code, None));
                actions
            }
            Phase::New | Phase::LateAnswer(_) | Phase::Ended => self.refuse(code, None),
        }
    }

    /// Ends a request with calls in progress.
    pub(super) fn abandon_calls(&mut self, calls: Calls) -> Vec<Action> {
        self.side_effects = SideEffects::Possible;
        let claimed = calls.all().next().filter(|_| self.claimant.is_some());
        let Some(call) = claimed else {
            let mut actions: Vec<Action> = calls.all().map(Action::Cancel).collect();
            actions.extend(self.refuse(RefusalCode::DeadlinePassed, None));
            return actions;
        };
        // The call continues, so that a late answer can still be recorded for a retry.
        self.phase = Phase::LateAnswer(call);
        let code = RefusalCode::OutcomeUnknown;
        vec![Action::Refuse(Refusal {
            code,
            ran: RunStatus::Unknown,
            retry_after: Some(SETTLE_MARGIN),
        })]
    }

    /// Ends a request that has an answer whose settlement is not yet confirmed.
    pub(super) fn end_recorded(&mut self, answer: Bytes, code: RefusalCode) -> Vec<Action> {
        self.stage = StageIndex(self.stage.0.saturating_add(1));
        self.claimant = None;
        if self.current().is_none() {
            return self.end(Action::Finish(answer));
        }
        self.refuse(code, None)
    }

    /// Releases the permit and refuses the request.
    pub(super) fn release_and_refuse(&mut self, code: RefusalCode, ran: RunStatus) -> Vec<Action> {
        let refusal = Refusal { code, ran, retry_after: None };
        let mut actions = vec![Action::ReleasePermit];
        actions.extend(self.end(Action::Refuse(refusal)));
        actions
    }

    /// Refuses the request; a claim that is held but unused is first settled as released.
    pub(super) fn refuse(
        &mut self,
        code: RefusalCode,
        retry_after: Option<Duration>,
    ) -> Vec<Action> {
        let refusal = self.explain(Refusal { code, ran: self.ran(), retry_after });
        let claimant = self.claimant.take();
        let settle = claimant.and_then(|c| self.settle(c, Settlement::Released));
        match settle {
            Some(settle) => {
                self.phase = Phase::Releasing(refusal);
                vec![Action::Settle(settle)]
            }
            None => self.end(Action::Refuse(refusal)),
        }
    }

    /// Ends the request with its last action.
    pub(super) fn end(&mut self, last: Action) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![last]
    }
}
