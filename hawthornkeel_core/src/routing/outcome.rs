//! Evaluation of call outcomes.

use crate::ids::Incarnation;
use crate::lease::SuspectReason;
use crate::lease::message::GrantOutcome;
use crate::names::TargetName;
use crate::routing::incarnation::Observation;
use crate::routing::router::Router;
use crate::routing::router::TargetRef;
use crate::routing::target::Warmth;
use crate::routing::types::CallOutcome;
use crate::routing::types::Permit;
use crate::time::Instant;

impl Router {
    /// Takes back the permit of an ended call and records its outcome.
    pub fn finish_call(&mut self, now: Instant, permit: Permit, outcome: CallOutcome) {
        if let CallOutcome::Answered { .. } = outcome {
            self.finish_stage(permit.call.request, usize::from(permit.call.stage.0));
        }
        let reason = self.apply_outcome(now, &permit, outcome);
        if let Some(grant) = permit.grant {
            let suspect_count = self.suspect_count(&permit.target);
            self.release(&permit.target, grant, grant_outcome(outcome, suspect_count));
        }
        if let Some(reason) = reason {
            self.mark_suspect(now, &permit.target, reason, true);
        }
        if let Some(mut found) = self.find(&permit.target) {
            found.refresh(now);
        }
    }

    /// Returns how often a target became suspect.
    fn suspect_count(&mut self, target: &TargetName) -> u32 {
        self.find(target).and_then(|mut f| f.target().map(|t| t.suspect_count)).unwrap_or_default()
    }

    /// Records that the target closed or broke a connection outside of a call.
    pub fn connection_lost(&mut self, now: Instant, target: &TargetName) {
        self.suspect_restart(now, target);
    }

    /// Records the incarnation that the target named on a call, which may still be in progress.
    pub fn report_incarnation(&mut self, now: Instant, permit: &Permit, incarnation: Incarnation) {
        let Some(mut found) = self.find(&permit.target) else {
            return;
        };
        let observed =
            found.target().map(|t| t.incarnations.observe_answer(now, permit.issued, incarnation));
        if observed == Some(Observation::Restarted) {
            self.suspect_restart(now, &permit.target);
        }
    }

    /// Marks a target as suspect because it may have restarted.
    pub(crate) fn suspect_restart(&mut self, now: Instant, target: &TargetName) {
        self.mark_suspect(now, target, SuspectReason::Restart, true);
    }

    /// Applies the outcome to the target and its pool.
    ///
    /// Returns why the target becomes suspect, if it does.
    fn apply_outcome(
        &mut self,
        now: Instant,
        permit: &Permit,
        outcome: CallOutcome,
    ) -> Option<SuspectReason> {
        let TargetRef { pool, index, settings: set } = self.find(&permit.target)?;
        let max_calls = f64::from(pool.config.warm_limit);
        let pool_average = pool.average_micros;
        let (_, target) = pool.targets.get_index_mut(index)?;
        let running = target.running;
        target.running = running.saturating_sub(1);
        if target.direct_probe.finish(permit.issued) {
            let senders = (set.target_entries as u32 / pool.config.cold_limit.max(1)).max(1);
            target.record_probe(now, outcome, now.since(permit.issued) * senders);
        }
        match outcome {
            CallOutcome::Answered { latency, incarnation, .. } => {
                if permit.grant.is_none() || pool.latencies.median().is_none() {
                    pool.latencies.record(latency);
                }
                let suspect = target.warmth == Warmth::Suspect;
                let slowed = target.call_times.record(now, latency, pool_average, suspect);
                target.limit.record_answer(running);
                target.record_answer(now);
                let observed =
                    incarnation.map(|i| target.incarnations.observe_answer(now, permit.issued, i));
                if observed != Some(Observation::Stale) {
                    target.answered_grant = permit.grant.clone();
                }
                if permit.grant.is_some() {
                    target.request_now(now);
                }
                let reason = suspect_reason(target.warmth, observed, slowed);
                pool.record_answer(latency);
                if let Some(prefix) = permit.prefix_hash {
                    pool.record_prefix(prefix, &permit.target, 0);
                }
                reason
            }
            CallOutcome::Refused => {
                let cold = target.record_refusal(now, max_calls);
                (cold && target.warmth == Warmth::Warm).then_some(SuspectReason::Overload)
            }
            CallOutcome::ConnectFailed | CallOutcome::Reset => {
                target.limit.record_failure(now);
                target.record_failure(now, true, set);
                pool.record_failure(now);
                Some(SuspectReason::Restart)
            }
            CallOutcome::TimedOut => {
                pool.latencies.record(now.since(permit.issued));
                target.limit.record_failure(now);
                target.record_failure(now, false, set);
                pool.record_failure(now);
                None
            }
            CallOutcome::Truncated | CallOutcome::Failed => {
                target.limit.record_failure(now);
                target.record_failure(now, false, set);
                pool.record_failure(now);
                None
            }
            CallOutcome::Cancelled => None,
        }
    }
}

/// Returns why an answer makes a warm target suspect, if it does.
fn suspect_reason(
    warmth: Warmth,
    observed: Option<Observation>,
    slowed: bool,
) -> Option<SuspectReason> {
    match (warmth, observed, slowed) {
        (Warmth::Warm, Some(Observation::Restarted), _) => Some(SuspectReason::Restart),
        (Warmth::Warm, _, true) => Some(SuspectReason::Overload),
        _ => None,
    }
}

/// Returns the outcome that is reported to the issuer.
///
/// After a reset the target's process is gone or has dropped the call. After a timeout or a
/// cancellation the call may still be running, so its slot stays in use until the grant expires.
fn grant_outcome(outcome: CallOutcome, suspect_count: u32) -> GrantOutcome {
    match outcome {
        CallOutcome::Answered { incarnation, .. } => {
            GrantOutcome::Answered { incarnation, losses: suspect_count }
        }
        CallOutcome::Refused => GrantOutcome::Unused,
        CallOutcome::ConnectFailed => GrantOutcome::Failed,
        CallOutcome::Reset | CallOutcome::Truncated | CallOutcome::Failed => GrantOutcome::Failed,
        CallOutcome::TimedOut | CallOutcome::Cancelled => GrantOutcome::Unknown,
    }
}
