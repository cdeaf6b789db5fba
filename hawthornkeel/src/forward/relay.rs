//! Relays event streams from targets to callers.
//!
//! Only complete events are forwarded. If the route allows resumption, a stream that fails is
//! resumed at another target after the last event sent to the caller.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::table::route::RouteKind;
use hawthornkeel_platform::fields;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::handler::InFlightGuard;
use crate::forward::handler::RequestProgress;
use crate::forward::http_client::ExchangeError;
use crate::forward::http_client::TargetResponse;
use crate::forward::request::IncomingRequest;
use crate::http::channel::Sender;
use crate::http::signal::Signal;

/// Time without an event after which a resumable stream is resumed at another target.
const EVENT_TIMEOUT: Duration = Duration::from_millis(600);

/// Event stream from targets to a caller.
pub struct StreamRelay {
    /// Shared state of the entry.
    pub context: Rc<Context>,
    /// Request.
    pub request: Rc<IncomingRequest>,
    /// Set once the caller has disconnected.
    pub disconnected: Signal,
    /// Progress of the request so far.
    pub progress: RequestProgress,
    /// Counts the request as in progress.
    pub guard: InFlightGuard,
}

/// How a stream from one target ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    Disconnected,
    /// The stream was truncated or timed out.
    Failed(ExchangeError),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Buffer that splits a stream after complete events.
#[derive(Default)]
struct EventBuffer {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Appends a chunk and returns the events that are complete.
    fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(chunk);
        let end = self.buffer.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let events = self.buffer.split_to(end).freeze();
        if let Some(last_id) = fields::last_event(&events) {
            self.last_id = Some(last_id.to_owned());
        }
        Some(events)
    }
}

impl StreamRelay {
    /// Relays the stream to its end.
    pub async fn run(mut self, first: TargetResponse, target: ChosenTarget, sender: Sender) {
        let mut events = EventBuffer::default();
        let (mut response, mut target) = (first, target);
        loop {
            let end = self.forward_events(&mut response, &mut events, &sender).await;
            let outcome = match &end {
                StreamEnd::Complete => TargetOutcome::Succeeded,
                StreamEnd::Disconnected | StreamEnd::DeadlinePassed => TargetOutcome::Abandoned,
                StreamEnd::Failed(_) => TargetOutcome::Failed,
            };
            self.context.balancer.borrow_mut().record_outcome(boot_now(), &target.name, outcome);
            match end {
                StreamEnd::Complete => {
                    response.finish();
                    sender.finish();
                    return self.progress.log_end(&self.request, "answered", 200);
                }
                StreamEnd::Disconnected => {
                    return self.progress.log_end(&self.request, "caller-left", 200);
                }
                StreamEnd::DeadlinePassed => {
                    return self.progress.log_end(&self.request, "stream-late", 200);
                }
                StreamEnd::Failed(error) => {
                    let (last, name) = (events.last_id.as_deref(), &target.name);
                    tracing::info!(
                        event = "stream-broken",
                        request = %self.request.id,
                        target = %name,
                        last,
                        failure = %error,
                    );
                }
            }
            // Cancels the old run before the stream is resumed elsewhere.
            drop(response);
            events.buffer.clear();
            match self.resume(&target.name, events.last_id.as_deref()).await {
                Some((next, next_target)) => (response, target) = (next, next_target),
                None => return self.progress.log_end(&self.request, "stream-cut", 200),
            }
        }
    }

    /// Forwards events until the stream ends.
    async fn forward_events(
        &self,
        response: &mut TargetResponse,
        events: &mut EventBuffer,
        sender: &Sender,
    ) -> StreamEnd {
        loop {
            let deadline = match self.is_resumable() {
                true => self.request.deadline.min(Instant::now() + EVENT_TIMEOUT),
                false => self.request.deadline,
            };
            let chunk = monoio::select! {
                chunk = response.chunk(deadline) => chunk,
                () = self.disconnected.wait() => return StreamEnd::Disconnected,
            };
            match chunk {
                Ok(Some(chunk)) => {
                    if let Some(complete) = events.push(&chunk)
                        && sender.send(complete).await.is_err()
                    {
                        return StreamEnd::Disconnected;
                    }
                }
                Ok(None) if events.buffer.is_empty() => return StreamEnd::Complete,
                Ok(None) => {
                    return StreamEnd::Failed(ExchangeError::Interrupted(
                        "stream ended inside an event",
                    ));
                }
                Err(_) if Instant::now() >= self.request.deadline => {
                    return StreamEnd::DeadlinePassed;
                }
                Err(error) => return StreamEnd::Failed(error),
            }
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Resumes the stream at another target than `failed`, after the event `last`.
    async fn resume(
        &mut self,
        failed: &TargetName,
        last: Option<&str>,
    ) -> Option<(TargetResponse, ChosenTarget)> {
        if !self.is_resumable() {
            return None;
        }
        if !self.progress.tried.contains(failed) {
            self.progress.tried.push(failed.clone());
        }
        self.progress.possible_runs += 1;
        let last = last.or_else(|| self.request.head.header(fields::LAST_EVENT)).map(str::to_owned);
        loop {
            let max_attempts = self.request.route.max_attempts;
            let allowed = self.progress.possible_runs < max_attempts
                && self.request.time_left() > EVENT_TIMEOUT;
            if !allowed || !self.context.try_retry(&self.request.pool.name) {
                return None;
            }
            let target = self.progress.choose_target(&self.context, &self.request).ok()?;
            let outgoing =
                self.request.encode_for(&target, &self.progress.results(), last.as_deref());
            let deadline = self.request.deadline.min(Instant::now() + EVENT_TIMEOUT * 2);
            let result = monoio::select! {
                result = self.context.http_client.send(target.address, &outgoing, deadline) => {
                    result
                }
                () = self.disconnected.wait() => return None,
            };
            let outcome = match result {
                Ok(response) if response.status.is_success() => {
                    tracing::info!(
                        event = "stream-resumed",
                        request = %self.request.id,
                        target = %target.name,
                        last,
                    );
                    return Some((response, target));
                }
                Ok(_) => TargetOutcome::Refused,
                Err(error) if error.is_not_run() => TargetOutcome::Unreached,
                Err(_) => {
                    self.progress.possible_runs += 1;
                    TargetOutcome::Failed
                }
            };
            self.context.balancer.borrow_mut().record_outcome(boot_now(), &target.name, outcome);
            self.progress.tried.push(target.name);
        }
    }
}
