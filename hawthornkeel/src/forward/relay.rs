//! Relays event streams from targets to callers.
//!
//! Only complete events are forwarded. If the route allows resumption, a stream that fails is
//! resumed at another target after the last event sent to the caller. A stream that is only silent,
//! or sends bytes but completes no event, goes on until another target goes on with it, as its own
//! target may just be busy.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::replacement;
use hawthornkeel_core::streams::origin::StreamSource;
use hawthornkeel_core::table::route::RouteKind;
use hawthornkeel_platform::fields;
use http::StatusCode;

use crate::forward::broken_runs;
use crate::forward::broken_runs::AnswerPhase;
use crate::forward::broken_runs::AnswerWatch;
use crate::forward::context::Context;
use crate::forward::event_buffer::EventBuffer;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::TargetResponse;
use crate::forward::outcome::refusal_outcome;
use crate::forward::progress::RequestProgress;
use crate::forward::replacement::Replacement;
use crate::forward::replacement::Trial;
use crate::forward::request::IncomingRequest;
use crate::forward::schedulers::Schedulers;
use crate::forward::stream_form::StreamForm;
use crate::http::channel::Sender;
use crate::http::signal::Signal;

/// Interval at which the origin of a stream that goes on is recorded again.
const RECORD_INTERVAL: Duration = Duration::from_secs(15);

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
    /// Stage schedulers.
    pub schedulers: Schedulers,
    /// Software that writes the stream, and what that rests on.
    pub source: StreamSource,
    /// Last time at which the origin was recorded.
    pub recorded: Cell<Option<Instant>>,
    /// Request to replace the stream, which is silent.
    pub(super) trial: Option<Trial>,
}

/// How a stream from one target ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    Disconnected,
    /// The stream was truncated.
    Failed(ExchangeError),
    /// The stream is silent, and another target goes on with it or is about to.
    Replaced(Replacement),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// Next part of a stream.
enum StreamPart {
    Events(Result<Option<Bytes>, ExchangeError>),
    Replaced(Replacement),
    Disconnected,
}

/// Reads a response until events are complete and returns them, or `None` at its end.
async fn read_events(
    events: &mut EventBuffer,
    response: &mut TargetResponse,
    phase: AnswerPhase,
    deadline: Instant,
) -> Result<Option<Bytes>, ExchangeError> {
    let ends_by_close = response.ends_by_close();
    while let Some(chunk) = response.held_chunk(deadline).await? {
        let complete = events.push(&chunk).map_err(|bound| response.exceeded(bound))?;
        if complete.is_some() {
            response.shrink(events.held_bytes());
            return Ok(complete);
        }
        response.hold(events.held_bytes()).await?;
    }
    if events.has_partial_event() {
        return Err(ExchangeError::Interrupted("stream ended inside an event"));
    }
    if ends_by_close && phase == AnswerPhase::Begun {
        return Err(ExchangeError::Interrupted("connection ended before the first event"));
    }
    Ok(None)
}

impl StreamRelay {
    /// Relays the stream to its end.
    pub async fn run(mut self, first: TargetResponse, target: ChosenTarget, sender: Sender) {
        let mut events = EventBuffer::default();
        self.progress.possible_runs += 1;
        let (mut response, mut target) = (first, target);
        loop {
            let mut watch = AnswerWatch::default();
            let end =
                self.forward_events(&mut response, &target, &mut events, &mut watch, &sender).await;
            let outcome = match &end {
                StreamEnd::Failed(error) if error.is_broken_off() => {
                    broken_runs::record(&self.context, &self.request, &target, watch.phase())
                }
                StreamEnd::Complete => TargetOutcome::Succeeded,
                StreamEnd::Disconnected | StreamEnd::DeadlinePassed => TargetOutcome::Abandoned,
                StreamEnd::Failed(error) if error.is_for_memory() => TargetOutcome::Abandoned,
                StreamEnd::Failed(_) | StreamEnd::Replaced(_) => TargetOutcome::Failed,
            };
            self.context.record_outcome(&self.request.pool.name, &target, outcome);
            let (cause, replacement) = match end {
                StreamEnd::Complete => {
                    if watch.record_end() {
                        self.context.record_sound_run(&self.request);
                    }
                    response.finish();
                    sender.finish();
                    self.context.stop.record(&self.request, &self.progress);
                    return self.progress.log_end(&self.request, "answered", 200);
                }
                StreamEnd::Disconnected => {
                    self.record_abandoned();
                    return self.progress.log_end(&self.request, "caller-left", 200);
                }
                StreamEnd::DeadlinePassed => {
                    self.cancel_trial();
                    self.record_abandoned();
                    return self.progress.log_end(&self.request, "stream-late", 200);
                }
                StreamEnd::Failed(error) => (error, None),
                StreamEnd::Replaced(replacement) => (ExchangeError::TimedOut, Some(replacement)),
            };
            tracing::info!(
                event = "stream-broken",
                request = %self.request.id,
                target = %target.name,
                software = %target.version,
                last = events.last_id(),
                failure = %cause,
            );
            let form = StreamForm::of(&response);
            // Cancels the old run before anything of the next one goes out.
            drop(response);
            events.restart();
            let last = events.shared_last_id();
            let next = match replacement {
                Some(Replacement::Ready(next, next_target)) => Some((*next, *next_target)),
                Some(Replacement::UnderWay(trial)) => {
                    self.resume(&target.name, &form, last, Some(trial)).await
                }
                None => {
                    let under_way = self.trial.take().map(Box::new);
                    self.resume(&target.name, &form, last, under_way).await
                }
            };
            let Some(next) = next else {
                return self.progress.log_end(&self.request, "stream-cut", 200);
            };
            (response, target) = next;
            tracing::info!(
                event = "stream-resumed",
                request = %self.request.id,
                target = %target.name,
                software = %target.version,
                last = events.last_id(),
            );
            self.progress.release_outputs();
        }
    }

    /// Records the origin of the stream with its first event, and again while it goes on.
    fn record_origin(&self) {
        let is_recent = self.recorded.get().is_some_and(|at| at.elapsed() < RECORD_INTERVAL);
        if self.is_resumable() && !is_recent {
            self.recorded.set(Some(Instant::now()));
            self.context.record_stream(&self.request, &self.source);
        }
    }

    fn record_abandoned(&self) {
        self.context.stop.record_abandoned(&self.request, &self.progress);
    }

    /// Forwards events until the stream ends.
    async fn forward_events(
        &mut self,
        response: &mut TargetResponse,
        target: &ChosenTarget,
        events: &mut EventBuffer,
        watch: &mut AnswerWatch,
        sender: &Sender,
    ) -> StreamEnd {
        let form = StreamForm::of(response);
        loop {
            let next = match self.next_part(response, target, events, watch.phase(), &form).await {
                StreamPart::Events(next) => next,
                StreamPart::Replaced(replacement) => return StreamEnd::Replaced(replacement),
                StreamPart::Disconnected => return StreamEnd::Disconnected,
            };
            match next {
                Ok(Some(complete)) => {
                    if watch.record_events() {
                        self.context.record_sound_run(&self.request);
                    }
                    self.record_origin();
                    if sender.send(complete).await.is_err() {
                        return StreamEnd::Disconnected;
                    }
                }
                Ok(None) => return StreamEnd::Complete,
                Err(_) if Instant::now() >= self.request.deadline => {
                    return StreamEnd::DeadlinePassed;
                }
                Err(error) => return StreamEnd::Failed(error),
            }
        }
    }

    /// Returns the next events, or what replaces the stream if none is complete for a while.
    async fn next_part(
        &mut self,
        response: &mut TargetResponse,
        target: &ChosenTarget,
        events: &mut EventBuffer,
        phase: AnswerPhase,
        form: &StreamForm,
    ) -> StreamPart {
        let (since, last) = (Instant::now(), events.shared_last_id());
        let earliest = replacement::earliest_ask(self.request.route.event_patience);
        let mut next = pin!(read_events(events, response, phase, self.request.deadline));
        monoio::select! {
            next = &mut next => return StreamPart::Events(next),
            () = self.disconnected.wait() => return StreamPart::Disconnected,
            () = monoio::time::sleep(earliest), if self.is_resumable() => {}
        }
        let disconnected = self.disconnected.clone();
        let part = monoio::select! {
            biased;
            next = &mut next => StreamPart::Events(next),
            () = disconnected.wait() => StreamPart::Disconnected,
            replacement = self.replacement(since, target, form, last) => {
                StreamPart::Replaced(replacement)
            }
        };
        // Where the stream has broken off, the request to replace it resumes it.
        if !matches!(part, StreamPart::Events(Err(_))) {
            self.cancel_trial();
        }
        part
    }

    pub(super) fn is_resumable(&self) -> bool {
        self.request.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Classifies an attempt to resume the stream that brought no events.
    pub(super) fn classify_rejection(
        &mut self,
        target: &ChosenTarget,
        result: Result<TargetResponse, ExchangeError>,
    ) -> TargetOutcome {
        let (status, outcome) = match &result {
            Ok(response) if response.status.is_success() => {
                (Some(response.status.as_u16()), TargetOutcome::Failed)
            }
            Ok(response) => (Some(response.status.as_u16()), refusal_outcome(response)),
            Err(ExchangeError::Withheld) => (None, TargetOutcome::Abandoned),
            Err(error) if error.is_not_run() => (None, TargetOutcome::Unreached),
            Err(error) if error.is_unreached() => {
                self.record_broken(target);
                (None, TargetOutcome::Unreached)
            }
            Err(error) if error.is_broken_off() => (None, self.record_broken(target)),
            Err(_) => (None, TargetOutcome::Failed),
        };
        tracing::info!(
            event = "resume-failed",
            request = %self.request.id,
            target = %target.name,
            status,
            failure = result.as_ref().err().map(tracing::field::display),
        );
        let not_run = match &result {
            Ok(response) => response.headers.contains_key(fields::NOT_RUN) && !response.resent,
            Err(error) => error.is_not_run(),
        };
        if not_run {
            self.progress.possible_runs = self.progress.possible_runs.saturating_sub(1);
        }
        if status == Some(StatusCode::CONFLICT.as_u16()) {
            // Stage results are gone, so the stages run again before the next attempt.
            self.progress.release_outputs();
        }
        outcome
    }

    /// Records an attempt to resume the stream that its target broke off.
    fn record_broken(&self, target: &ChosenTarget) -> TargetOutcome {
        broken_runs::record(&self.context, &self.request, target, AnswerPhase::Awaited)
    }
}
