//! Claims on non-idempotent stages and the decisions on them.

use std::time::Duration;

use crate::request::event::Action;
use crate::request::event::ClaimFailure;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::CLAIM_RETRY_AFTER;
use crate::request::run::Phase;
use crate::request::run::PipelineRun;
use crate::request::run::SETTLE_MARGIN;
use crate::state::command::Claim;
use crate::state::command::ClaimOutcome;
use crate::state::command::Settlement;
use crate::time::Instant;

/// Poll interval of a claim that another attempt holds.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl PipelineRun {
    /// Requests the claim on the current stage.
    pub(super) fn claim(&mut self, now: Instant) -> Vec<Action> {
        let Some(key) = self.claim_key() else {
            return self.refuse(RefusalCode::KeyRequired, None);
        };
        let settle_time = self.spec.deadline.since(now) + SETTLE_MARGIN;
        self.phase = Phase::Claiming;
        vec![Action::Claim(Claim {
            key,
            digest: self.spec.digest,
            claimant: self.new_claimant(),
            settle_ms: u64::try_from(settle_time.as_millis()).unwrap_or(u64::MAX),
        })]
    }

    /// Handles the decision on the claim.
    pub(super) fn claimed(&mut self, now: Instant, outcome: ClaimOutcome) -> Vec<Action> {
        match outcome {
            ClaimOutcome::Granted => {
                self.claimant = Some(self.new_claimant());
                if self.out_of_time(now) {
                    let mut actions = vec![Action::ReleasePermit];
                    actions.extend(self.refuse(RefusalCode::DeadlineUnreachable, None));
                    return actions;
                }
                self.dispatch()
            }
            ClaimOutcome::Held(_) => {
                self.phase = Phase::Held;
                vec![Action::ReleasePermit, Action::Wait(HELD_POLL_INTERVAL)]
            }
            ClaimOutcome::Done(answer) => {
                self.recorded = true;
                let mut actions = vec![Action::ReleasePermit];
                actions.extend(self.advance(now, answer));
                actions
            }
            ClaimOutcome::DoneDropped => {
                self.recorded = true;
                self.release_and_refuse(RefusalCode::OutcomeUnknown, RunStatus::Done)
            }
            ClaimOutcome::Unknown => {
                self.release_and_refuse(RefusalCode::OutcomeUnknown, RunStatus::Unknown)
            }
            ClaimOutcome::Released | ClaimOutcome::Full => {
                let mut actions = vec![Action::ReleasePermit];
                actions.extend(self.refuse(RefusalCode::NoCapacity, Some(CLAIM_RETRY_AFTER)));
                actions
            }
            ClaimOutcome::Mismatch => {
                let ran = self.ran();
                self.release_and_refuse(RefusalCode::KeyReused, ran)
            }
        }
    }

    /// Refuses the request after a claim that was not decided.
    ///
    /// A claim that may still reach the log is released, so that it is never dispatched.
    pub(super) fn not_claimed(&mut self, failure: ClaimFailure) -> Vec<Action> {
        let mut actions = vec![Action::ReleasePermit];
        if failure == ClaimFailure::Undecided {
            let claimant = self.new_claimant();
            actions.extend(
                self.settle(claimant, Settlement::Released).map(Action::SettleInBackground),
            );
        }
        actions.extend(self.refuse(RefusalCode::NoQuorum, Some(CLAIM_RETRY_AFTER)));
        actions
    }
}
