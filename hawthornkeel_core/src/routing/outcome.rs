//! What the end of a call tells about its target.

use crate::ids::Incarnation;
use crate::lease::SuspectReason;
use crate::lease::message::GrantOutcome;
use crate::names::TargetName;
use crate::routing::incarnation::Word;
use crate::routing::router::Found;
use crate::routing::router::Router;
use crate::routing::target::Warmth;
use crate::routing::types::CallOutcome;
use crate::routing::types::Permit;
use crate::time::Instant;

impl Router {
    /// Takes back the permit of a call that has ended.
    pub fn finish_call(&mut self, now: Instant, permit: Permit, outcome: CallOutcome) {
        if let CallOutcome::Answered { .. } = outcome {
            self.stage_done(permit.call.request, usize::from(permit.call.stage.0));
        }
        let doubt = self.take_outcome(now, &permit, outcome);
        if let Some(grant) = permit.grant {
            let losses = self.losses(&permit.target);
            self.release(&permit.target, grant, grant_outcome(outcome, losses));
        }
        if let Some(doubt) = doubt {
            self.suspect(now, &permit.target, doubt, true);
        }
        if let Some(mut found) = self.find(&permit.target) {
            found.refresh(now);
        }
    }

    /// Returns how often a target was suspected.
    fn losses(&mut self, target: &TargetName) -> u32 {
        self.find(target).and_then(|mut f| f.target().map(|t| t.losses)).unwrap_or_default()
    }

    /// Notes that the target closed or broke a connection outside of a call.
    pub fn connection_lost(&mut self, now: Instant, target: &TargetName) {
        self.suspect_restart(now, target);
    }

    /// Takes the incarnation that the target named on a call, which need not have ended.
    pub fn report_incarnation(&mut self, now: Instant, permit: &Permit, incarnation: Incarnation) {
        let Some(mut found) = self.find(&permit.target) else {
            return;
        };
        let word = found.target().map(|t| t.named.answer(now, permit.issued, incarnation));
        if word == Some(Word::New) {
            self.suspect_restart(now, &permit.target);
        }
    }

    /// Takes a target for restarted and so possibly cold.
    pub(crate) fn suspect_restart(&mut self, now: Instant, target: &TargetName) {
        self.suspect(now, target, SuspectReason::Restart, true);
    }

    /// Takes the outcome into the target's and the pool's state; returns a doubt, if it raises one.
    fn take_outcome(
        &mut self,
        now: Instant,
        permit: &Permit,
        outcome: CallOutcome,
    ) -> Option<SuspectReason> {
        let Found { pool, index, settings: set } = self.find(&permit.target)?;
        let most = f64::from(pool.config.warm_limit);
        let usual = pool.recent;
        let (_, target) = pool.targets.get_index_mut(index)?;
        let running = target.running;
        target.running = running.saturating_sub(1);
        match outcome {
            CallOutcome::Answered { latency, incarnation, .. } => {
                if permit.grant.is_none() || pool.times.median().is_none() {
                    pool.times.record(latency);
                }
                let step = target.measure(latency, usual);
                target.limit.answered(running);
                target.answered(now);
                let word = incarnation.map(|i| target.named.answer(now, permit.issued, i));
                if word != Some(Word::Late) {
                    target.proof = permit.grant.clone();
                }
                if permit.grant.is_some() {
                    target.ask_again(now);
                }
                let doubt = doubt(target.warmth, word, step);
                pool.answered(latency);
                if let Some(prefix) = permit.prefix_hash {
                    pool.remember(prefix, &permit.target, 0);
                }
                doubt
            }
            CallOutcome::Refused => {
                let light = target.refused(now, most);
                (light && target.warmth == Warmth::Warm).then_some(SuspectReason::Overload)
            }
            CallOutcome::ConnectFailed | CallOutcome::Reset => {
                target.limit.failed(now);
                target.failed(now, true, set);
                pool.failed(now);
                Some(SuspectReason::Restart)
            }
            CallOutcome::TimedOut => {
                pool.times.record(now.since(permit.issued));
                target.limit.failed(now);
                target.failed(now, false, set);
                pool.failed(now);
                None
            }
            CallOutcome::Truncated | CallOutcome::Failed => {
                target.limit.failed(now);
                target.failed(now, false, set);
                pool.failed(now);
                None
            }
            CallOutcome::Cancelled => None,
        }
    }
}

/// Returns the doubt that an answer raises.
fn doubt(warmth: Warmth, word: Option<Word>, step: bool) -> Option<SuspectReason> {
    match (warmth, word, step) {
        (Warmth::Warm, Some(Word::New), _) => Some(SuspectReason::Restart),
        (Warmth::Warm, _, true) => Some(SuspectReason::Overload),
        _ => None,
    }
}

/// Returns what the issuer is told of a call.
///
/// After a reset the target's process is gone or has dropped the call. After a time-out or a
/// cancellation the call may still run, so its slot stays taken until the grant expires.
fn grant_outcome(outcome: CallOutcome, losses: u32) -> GrantOutcome {
    match outcome {
        CallOutcome::Answered { incarnation, .. } => GrantOutcome::Answered { incarnation, losses },
        CallOutcome::Refused => GrantOutcome::Unused,
        CallOutcome::ConnectFailed => GrantOutcome::Failed,
        CallOutcome::Reset | CallOutcome::Truncated | CallOutcome::Failed => GrantOutcome::Failed,
        CallOutcome::TimedOut | CallOutcome::Cancelled => GrantOutcome::Unknown,
    }
}
