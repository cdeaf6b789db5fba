//! Claim on a stage that may not be repeated, and the decision about it.

use std::time::Duration;

use crate::request::event::Action;
use crate::request::event::ClaimFailure;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::Phase;
use crate::request::run::PipelineRun;
use crate::request::run::QUORUM_RETRY;
use crate::request::run::SETTLE_MARGIN;
use crate::state::command::Claim;
use crate::state::command::ClaimOutcome;
use crate::state::command::Settlement;
use crate::time::Instant;

/// Time between looks at a claim that another attempt holds.
const HELD_POLL: Duration = Duration::from_millis(100);

impl PipelineRun {
    /// Asks for the claim on the current stage.
    pub(super) fn claim(&mut self, now: Instant) -> Vec<Action> {
        let Some(key) = self.claim_key() else {
            return self.refuse(RefusalCode::KeyRequired, None);
        };
        let left = self.spec.deadline.since(now) + SETTLE_MARGIN;
        self.phase = Phase::Claiming;
        vec![Action::Claim(Claim {
            key,
            digest: self.spec.digest,
            claimant: self.new_claimant(),
            settle_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        })]
    }

    /// Acts on the decision about the claim.
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
                vec![Action::ReleasePermit, Action::Wait(HELD_POLL)]
            }
            ClaimOutcome::Done(answer) => {
                self.recorded = true;
                let mut actions = vec![Action::ReleasePermit];
                actions.extend(self.advance(now, answer));
                actions
            }
            ClaimOutcome::DoneDropped => {
                self.recorded = true;
                self.unroute_and_refuse(RefusalCode::OutcomeUnknown, RunStatus::Done)
            }
            ClaimOutcome::Unknown => {
                self.unroute_and_refuse(RefusalCode::OutcomeUnknown, RunStatus::Unknown)
            }
            ClaimOutcome::Released | ClaimOutcome::Full => {
                let mut actions = vec![Action::ReleasePermit];
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
    pub(super) fn not_claimed(&mut self, failure: ClaimFailure) -> Vec<Action> {
        let mut actions = vec![Action::ReleasePermit];
        if failure == ClaimFailure::Undecided {
            let claimant = self.new_claimant();
            actions.extend(
                self.settle(claimant, Settlement::Released).map(Action::SettleInBackground),
            );
        }
        actions.extend(self.refuse(RefusalCode::NoQuorum, Some(QUORUM_RETRY)));
        actions
    }
}
