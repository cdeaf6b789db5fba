//! Ways in which a request ends: its answer, a refusal, the deadline or its caller's leaving.

use std::time::Duration;

use bytes::Bytes;

use crate::ids::CallId;
use crate::ids::StageIndex;
use crate::request::event::Action;
use crate::request::event::Input;
use crate::request::refusal::Refusal;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::Phase;
use crate::request::run::PipelineRun;
use crate::request::run::QUORUM_RETRY;
use crate::request::run::SETTLE_MARGIN;
use crate::request::run::Trace;
use crate::request::run::calls::Calls;
use crate::state::command::Settlement;

impl PipelineRun {
    /// Ends a request whose caller has left, but for a claimed call: its answer is recorded, so
    /// that a resend gets it.
    pub(super) fn caller_left(&mut self) -> Vec<Action> {
        if self.claimant.is_some() {
            self.left = true;
            return Vec::new();
        }
        self.abandon()
    }

    /// Records how a claimed call ended after its caller was told that the outcome is unknown.
    pub(super) fn late(&mut self, current: CallId, input: Input) -> Vec<Action> {
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

    /// Ends a request whose time is over.
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
                    retry_after: Some(QUORUM_RETRY),
                };
                self.end(Action::Refuse(refusal))
            }
            Phase::Routing => {
                let mut actions = vec![Action::ReleasePermit];
                actions.extend(self.refuse(code, None));
                actions
            }
            Phase::New | Phase::Late(_) | Phase::Ended => self.refuse(code, None),
        }
    }

    /// Ends a request in the middle of its calls.
    pub(super) fn abandon_calls(&mut self, calls: Calls) -> Vec<Action> {
        self.trace = Trace::Some;
        let claimed = calls.all().next().filter(|_| self.claimant.is_some());
        let Some(call) = claimed else {
            let mut actions: Vec<Action> = calls.all().map(Action::Cancel).collect();
            actions.extend(self.refuse(RefusalCode::DeadlinePassed, None));
            return actions;
        };
        // The call goes on, so that a late answer can still be recorded for a resend.
        self.phase = Phase::Late(call);
        let code = RefusalCode::OutcomeUnknown;
        vec![Action::Refuse(Refusal {
            code,
            ran: RunStatus::Unknown,
            retry_after: Some(SETTLE_MARGIN),
        })]
    }

    /// Ends a request whose answer is known while its record is not confirmed.
    pub(super) fn end_recorded(&mut self, answer: Bytes, code: RefusalCode) -> Vec<Action> {
        self.stage = StageIndex(self.stage.0.saturating_add(1));
        self.claimant = None;
        if self.current().is_none() {
            return self.end(Action::Finish(answer));
        }
        self.refuse(code, None)
    }

    /// Gives the permit back and refuses.
    pub(super) fn unroute_and_refuse(&mut self, code: RefusalCode, ran: RunStatus) -> Vec<Action> {
        let refusal = Refusal { code, ran, retry_after: None };
        let mut actions = vec![Action::ReleasePermit];
        actions.extend(self.end(Action::Refuse(refusal)));
        actions
    }

    /// Refuses; a claim that is held and was not used is released first, on record.
    pub(super) fn refuse(
        &mut self,
        code: RefusalCode,
        retry_after: Option<Duration>,
    ) -> Vec<Action> {
        let refusal = Refusal { code, ran: self.ran(), retry_after };
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

    /// Ends the request with its final answer.
    pub(super) fn end(&mut self, last: Action) -> Vec<Action> {
        self.phase = Phase::Ended;
        vec![last]
    }
}
