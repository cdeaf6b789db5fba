//! Relays event streams from targets to callers.
//!
//! Only complete events are forwarded. If the route allows resumption, a stream that fails is
//! resumed at another target after the last event sent to the caller. A stream that is only silent,
//! or sends bytes but completes no event, goes on until everything is ready to resume it, as its
//! target may just be busy.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
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
use crate::forward::request::IncomingRequest;
use crate::forward::schedulers::Schedulers;
use crate::forward::stages::StageOutputs;
use crate::forward::stream_form::StreamForm;
use crate::forward::target_calls::CallKind;
use crate::forward::target_calls::TargetCall;
use crate::http::channel::Sender;
use crate::http::signal::Signal;

/// Fraction of the time for which callers wait for an event after which a stream is resumed that has
/// completed none.
///
/// The rest is for running the stages again and for the first event from another target.
const SILENCE_FRACTION: f64 = 0.4;
/// Interval at which the origin of a stream that goes on is recorded again.
const RECORD_INTERVAL: Duration = Duration::from_secs(15);
/// Minimum time left for a stream to be resumed.
const MIN_RESUME_TIME: Duration = Duration::from_millis(600);
/// Time to wait for another target's response to a resumed request.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_200);

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
}

/// How a stream from one target ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    Disconnected,
    /// The stream was truncated.
    Failed(ExchangeError),
    /// The stream is silent, and another target can resume it.
    Silent(Resumption),
    /// The deadline of the request has passed.
    DeadlinePassed,
}

/// What a stream needs to be resumed.
struct Resumption {
    target: ChosenTarget,
    /// Results of the stages, which were run again; `None` if the previous ones are still there.
    outputs: Option<StageOutputs>,
}

/// Next part of a stream.
enum StreamPart {
    Events(Result<Option<Bytes>, ExchangeError>),
    Silent(Resumption),
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
                StreamEnd::Failed(_) | StreamEnd::Silent(_) => TargetOutcome::Failed,
            };
            self.context.record_outcome(&self.request.pool.name, &target, outcome);
            let (cause, prepared) = match end {
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
                    self.record_abandoned();
                    return self.progress.log_end(&self.request, "stream-late", 200);
                }
                StreamEnd::Failed(error) => (error, None),
                StreamEnd::Silent(resumption) => (ExchangeError::TimedOut, Some(resumption)),
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
            // Cancels the old run before the stream is resumed elsewhere.
            drop(response);
            events.restart();
            match self.resume(&target.name, &form, events.last_id(), prepared).await {
                Some((next, next_target)) => (response, target) = (next, next_target),
                None => return self.progress.log_end(&self.request, "stream-cut", 200),
            }
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
        &self,
        response: &mut TargetResponse,
        target: &ChosenTarget,
        events: &mut EventBuffer,
        watch: &mut AnswerWatch,
        sender: &Sender,
    ) -> StreamEnd {
        loop {
            let next = match self.next_part(response, target, events, watch.phase()).await {
                StreamPart::Events(next) => next,
                StreamPart::Silent(resumption) => return StreamEnd::Silent(resumption),
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

    /// Returns the next events. If none is complete for a while, prepares the resumption meanwhile.
    async fn next_part(
        &self,
        response: &mut TargetResponse,
        target: &ChosenTarget,
        events: &mut EventBuffer,
        phase: AnswerPhase,
    ) -> StreamPart {
        let mut next = pin!(read_events(events, response, phase, self.request.deadline));
        let silence = self.request.route.event_patience.mul_f64(SILENCE_FRACTION);
        monoio::select! {
            next = &mut next => return StreamPart::Events(next),
            () = self.disconnected.wait() => return StreamPart::Disconnected,
            () = monoio::time::sleep(silence), if self.is_resumable() => {}
        }
        monoio::select! {
            next = &mut next => StreamPart::Events(next),
            () = self.disconnected.wait() => StreamPart::Disconnected,
            Some(resumption) = self.prepare(Some(&target.name)) => StreamPart::Silent(resumption),
        }
    }

    fn is_resumable(&self) -> bool {
        self.request.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Resumes the stream at another target than `failed`, after the event `last`, with an answer of
    /// the same `form`.
    async fn resume(
        &mut self,
        failed: &TargetName,
        form: &StreamForm,
        last: Option<&str>,
        prepared: Option<Resumption>,
    ) -> Option<(TargetResponse, ChosenTarget)> {
        if !self.is_resumable() {
            return None;
        }
        if !self.progress.tried.contains(failed) {
            self.progress.tried.push(failed.clone());
        }
        let last =
            last.or_else(|| self.request.head.header(fields::LAST_EVENT_ID)).map(str::to_owned);
        let mut prepared = prepared;
        loop {
            let resumption = match prepared.take() {
                Some(resumption) => resumption,
                None => monoio::select! {
                    resumption = self.prepare(None) => resumption?,
                    () = self.disconnected.wait() => return None,
                },
            };
            self.progress.possible_runs += 1;
            if let Some(outputs) = resumption.outputs {
                self.progress.replace_outputs(outputs);
            }
            let target = resumption.target;
            let outgoing =
                self.request.encode_for(&target, &self.progress.results(), last.as_deref());
            let deadline = self.request.deadline.min(Instant::now() + RESUME_TIMEOUT);
            let (run, request) = (target.run(), &self.request);
            let call = TargetCall { request, target: &target, kind: CallKind::Resumption };
            let result = monoio::select! {
                result = self.context.send_to_target(&call, &outgoing, deadline) => result,
                () = self.disconnected.wait() => return None,
            };
            let result = self.context.check_writer(&run, result).await;
            let outcome = match result {
                Ok(response) if StreamForm::of(&response) == *form => {
                    // Nothing of it goes out before; by now the list mostly tells.
                    if !self.context.proves_source(&self.source).await {
                        let (request, target) = (&self.request.id, failed);
                        tracing::info!(event = "stream-unproved", %request, %target);
                        return None;
                    }
                    tracing::info!(
                        event = "stream-resumed",
                        request = %self.request.id,
                        target = %target.name,
                        software = %target.version,
                        last,
                    );
                    self.progress.release_outputs();
                    return Some((response, target));
                }
                result => self.classify_rejection(&target, result),
            };
            self.context.record_outcome(&self.request.pool.name, &target, outcome);
            self.progress.tried.push(target.name);
        }
    }

    /// Classifies an attempt to resume the stream that brought no events.
    fn classify_rejection(
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

    /// Chooses a target to resume the stream at, after running the stages again if needed.
    ///
    /// `current` is the target of the stream, if it may still go on. Returns `None` if the stream
    /// can't be resumed.
    async fn prepare(&self, current: Option<&TargetName>) -> Option<Resumption> {
        let allowed = self.progress.possible_runs < self.request.route.max_attempts
            && self.context.may_be_repeated(&self.request)
            && self.request.time_left() > MIN_RESUME_TIME;
        if !allowed || !self.context.try_retry(&self.request.pool.name) {
            return None;
        }
        let outputs = self.progress.rerun_stages(&self.schedulers, &self.context, &self.request);
        let outputs = outputs.await.inspect_err(|error| {
            tracing::info!(event = "resume-unstaged", request = %self.request.id, ?error);
        });
        let outputs = outputs.ok()?;
        let (context, request) = (&self.context, &self.request);
        let target =
            self.progress.choose_next_writer(context, request, current, &self.source.origin);
        Some(Resumption { outputs, target: target.ok()? })
    }
}
