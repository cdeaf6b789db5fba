//! Requests in progress while the instance stops.

use std::time::Duration;

use crate::request::event::Action;
use crate::request::refusal::Refusal;
use crate::request::refusal::RefusalCode;
use crate::request::refusal::RunStatus;
use crate::request::run::Phase;
use crate::request::run::PipelineRun;
use crate::time::Instant;

/// Retry delay given to callers of a stopping instance. Another instance can serve them at once.
const STOP_RETRY_AFTER: Duration = Duration::from_secs(1);

impl PipelineRun {
    /// Returns the time by which the request must be answered: its deadline, or the limit of the
    /// instance's stop if that is earlier.
    pub fn due(&self) -> Instant {
        let deadline = self.spec.deadline;
        self.stop_limit.map_or(deadline, |limit| limit.min(deadline))
    }

    /// Returns the refusal to be sent for `refusal`, which names the stop if it is the cause.
    pub fn explain(&self, refusal: Refusal) -> Refusal {
        let lacks_time = matches!(
            refusal.code,
            RefusalCode::NoCapacity
                | RefusalCode::DeadlineUnreachable
                | RefusalCode::DeadlinePassed
        );
        if !lacks_time || self.due() == self.spec.deadline {
            return refusal;
        }
        let code = match refusal.ran {
            RunStatus::NotRun => RefusalCode::Stopping,
            RunStatus::Unknown | RunStatus::Done => RefusalCode::Interrupted,
        };
        Refusal { code, retry_after: Some(STOP_RETRY_AFTER), ..refusal }
    }

    /// Handles the begin of a stop: a request that waits for a target is refused if the remaining
    /// stages can't complete before `limit`.
    pub(super) fn stopping(&mut self, now: Instant, limit: Instant) -> Vec<Action> {
        self.stop_limit = Some(limit);
        if self.phase != Phase::Routing || !self.out_of_time(now) {
            return Vec::new();
        }
        let mut actions = vec![Action::ReleasePermit];
        actions.extend(self.refuse(RefusalCode::DeadlineUnreachable, None));
        actions
    }

    /// Ends the request as if its deadline had passed.
    pub(super) fn stop_limit_reached(&mut self, now: Instant) -> Vec<Action> {
        self.stop_limit = Some(now);
        self.abandon()
    }
}
