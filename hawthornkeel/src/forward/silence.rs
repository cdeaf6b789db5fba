//! Retries of requests whose targets are silent.
//!
//! A sound target may fall silent for a second, so its attempt goes on beside the retry, which the
//! budget must carry and for which another target must be there.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::replacement::StreamSilence;
use hawthornkeel_core::placement::retries;
use hawthornkeel_core::placement::retries::RunningAttempt;

use crate::forward::context::Context;
use crate::forward::plan::DEFAULT_LATENCY;
use crate::forward::progress::RequestProgress;
use crate::forward::request::IncomingRequest;

/// Interval at which a retry that was not granted is asked for again.
const RETRY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Request that waits for its targets.
#[derive(Clone, Copy)]
pub(super) struct Waiting<'a> {
    /// State of the entry.
    pub context: &'a Context,
    /// Request.
    pub request: &'a IncomingRequest,
    /// Progress, of which the targets tried last are those that are waited for.
    pub progress: &'a RequestProgress,
    /// Number of attempts of this race in which the request may have run.
    pub running: usize,
    /// Whether two attempts are in progress.
    pub is_paired: bool,
    /// Whether one was ended as two had overlapped.
    pub overlapped: bool,
    /// Target that was asked first of those.
    pub first: Option<FirstTarget>,
}

/// Target of the first attempt in progress.
#[derive(Clone, Copy)]
pub(super) struct FirstTarget {
    /// Address.
    pub address: SocketAddr,
    /// Time at which it was asked.
    pub asked: Instant,
}

impl<'a> Waiting<'a> {
    /// Returns the state of a request that waits for one target.
    pub(super) fn new(
        context: &'a Context,
        request: &'a IncomingRequest,
        progress: &'a RequestProgress,
    ) -> Self {
        let (running, is_paired, overlapped) = (1, false, false);
        Self { context, request, progress, running, is_paired, overlapped, first: None }
    }

    /// Returns what is known of the silence of a stream that has not begun.
    pub(super) fn stream_silence(&self) -> StreamSilence {
        let Self { context, request, overlapped, first, .. } = *self;
        let links = context.http_client.links();
        StreamSilence {
            patience: request.route.event_patience,
            latency: context.expected_latency(&request.pool.name, DEFAULT_LATENCY),
            has_begun: false,
            is_unreachable: first.is_some_and(|first| links.is_failed(first.address)),
            overlapped,
        }
    }

    /// Returns the time from which on the request is retried if no target has responded since
    /// `since`; its deadline if it can't be retried.
    pub(super) fn retry_time(&self, since: Instant) -> Instant {
        let Self { context, request, .. } = self;
        if !request.route.kind.is_retryable() || self.runs() >= request.route.max_attempts {
            return request.deadline;
        }
        let latency = context.expected_latency(&request.pool.name, DEFAULT_LATENCY);
        let patience = retries::response_patience(latency, request.route.objective);
        let due = since + patience;
        if !request.route.kind.is_stream() {
            return request.deadline.min(due);
        }
        // Only one more at a time, and none that would end without an answer.
        if self.is_paired {
            return request.deadline;
        }
        let asked = self.first.map_or(since, |first| first.asked);
        request.deadline.min(due.max(asked + self.stream_silence().ask_after()))
    }

    /// Waits until a retry is granted, and returns its target.
    pub(super) async fn granted_retry(&self, retry_time: &dyn Fn() -> Instant) -> ChosenTarget {
        let mut is_logged = false;
        loop {
            let (due, now) = (retry_time(), Instant::now());
            if due >= self.request.deadline {
                return std::future::pending().await;
            }
            if due > now {
                // The link to the target of a stream may turn out to be lost before.
                let is_stream = self.request.route.kind.is_stream();
                let longest = if is_stream { RETRY_POLL_INTERVAL } else { Duration::MAX };
                monoio::time::sleep(due.duration_since(now).min(longest)).await;
                continue;
            }
            if let Some(next) = self.try_retry() {
                return next;
            }
            if !is_logged {
                is_logged = true;
                self.log_waiting();
            }
            monoio::time::sleep(RETRY_POLL_INTERVAL).await;
        }
    }

    fn log_waiting(&self) {
        tracing::info!(
            event = "retry-waits",
            request = %self.request.id,
            target = self.progress.tried.last().map(|t| t.as_str()),
        );
    }

    /// Takes a retry from the budget and chooses its target, or does neither.
    fn try_retry(&self) -> Option<ChosenTarget> {
        let Self { context, request, progress, .. } = self;
        let attempt = RunningAttempt {
            runs: self.runs(),
            max_runs: request.route.max_attempts,
            targets: progress.tried.len(),
            time_left: request.time_left(),
            latency: context.expected_latency(&request.pool.name, DEFAULT_LATENCY),
        };
        let allowed = attempt.may_be_retried()
            && context.may_be_repeated(request)
            && context.stop.allows_send(request)
            && context.has_retry(&request.pool.name);
        if !allowed {
            return None;
        }
        let next = progress.choose_replacement(context, request).ok()?;
        context.try_retry(&request.pool.name).then_some(next)
    }

    /// Returns the number of attempts in which the request may have run, those in progress included.
    fn runs(&self) -> u32 {
        self.progress.possible_runs + u32::try_from(self.running).unwrap_or(u32::MAX)
    }
}
