//! Replacement of a stream that is silent by one from another target, beside which it goes on.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::replacement::MAX_OVERLAP;
use hawthornkeel_core::placement::replacement::StreamSilence;
use hawthornkeel_core::placement::replacement::SurplusRun;
use hawthornkeel_core::placement::retries::MAX_TARGETS;
use hawthornkeel_core::streams::origin::StreamSource;
use hawthornkeel_platform::fields;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::OutgoingRequest;
use crate::forward::http_client::TargetResponse;
use crate::forward::plan::DEFAULT_LATENCY;
use crate::forward::relay::StreamRelay;
use crate::forward::request::IncomingRequest;
use crate::forward::stages::StageOutputs;
use crate::forward::stream_form::StreamForm;
use crate::forward::target_calls::CallKind;
use crate::forward::target_calls::TargetCall;

/// Minimum time left for a stream to be resumed.
const MIN_RESUME_TIME: Duration = Duration::from_millis(600);
/// Time to wait for another target's response to a resumed request, and for its body to begin.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval at which a retry that was not granted is asked for again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// What a stream needs to be resumed.
struct Resumption {
    target: ChosenTarget,
    /// Results of the stages, which were run again; `None` if the previous ones are still there.
    outputs: Option<StageOutputs>,
}

/// Response to a request to resume a stream.
enum Resumed {
    /// It goes on with the stream.
    GoesOn(TargetResponse),
    /// It may come from other software than the one that began the stream.
    Unproved,
    /// There is none, or one that does not go on with the stream.
    Rejected(Result<TargetResponse, ExchangeError>),
}

/// Request to resume a stream that is in progress. Dropping it cancels it.
pub(super) struct Trial {
    /// Target that was asked.
    target: ChosenTarget,
    exchange: Pin<Box<dyn Future<Output = Resumed>>>,
    /// Whether it has a response that goes on with the stream, whose body has not begun.
    accepted: Rc<Cell<bool>>,
}

impl Trial {
    /// Waits for the response.
    async fn finish(&mut self) -> Resumed {
        self.exchange.as_mut().await
    }
}

/// What a silent stream is replaced by.
pub(super) enum Replacement {
    /// A response that goes on with it.
    Ready(Box<TargetResponse>, Box<ChosenTarget>),
    /// A request to resume it that is under way, as callers would leave before the silent run ends.
    UnderWay(Box<Trial>),
}

impl StreamRelay {
    /// Returns what replaces a stream that has been silent since `since` after the event `last`.
    ///
    /// The stream may go on meanwhile: the future is dropped then, and [`Self::cancel_trial`] is called.
    /// Never returns if nothing replaces it.
    pub(super) async fn replacement(
        &mut self,
        since: Instant,
        target: &ChosenTarget,
        form: &StreamForm,
        last: Option<Rc<str>>,
    ) -> Replacement {
        let mut overlapped = false;
        loop {
            self.wait_due(since, target, overlapped).await;
            let Some(resumption) = self.prepare_beside(&target.name).await else {
                return std::future::pending().await;
            };
            let trial = self.begin(resumption, form, last.clone());
            let trial = self.trial.insert(trial);
            let resumed = monoio::select! {
                biased;
                resumed = trial.finish() => Some(resumed),
                () = monoio::time::sleep(MAX_OVERLAP) => None,
            };
            let Some(trial) = self.trial.take() else { continue };
            match resumed {
                Some(Resumed::GoesOn(response)) => {
                    return Replacement::Ready(Box::new(response), Box::new(trial.target));
                }
                // No other answer would be proved before this one.
                Some(Resumed::Unproved) => {
                    self.log_unproved(&target.name);
                    return std::future::pending().await;
                }
                Some(Resumed::Rejected(result)) => self.reject(&trial.target, result, true),
                None => {
                    let surplus = self.silence(target, overlapped).surplus(since.elapsed());
                    self.log_overlap(&trial.target, surplus, since);
                    // One that has begun to answer is not ended for one that is silent.
                    if surplus == SurplusRun::Former || trial.accepted.get() {
                        return Replacement::UnderWay(Box::new(trial));
                    }
                    self.abandon(&trial.target);
                    overlapped = true;
                }
            }
        }
    }

    /// Cancels the request to replace a stream that goes on.
    pub(super) fn cancel_trial(&mut self) {
        if let Some(trial) = self.trial.take() {
            self.abandon(&trial.target);
        }
    }

    /// Resumes the stream at another target than `failed`, after the event `last`, with an answer of
    /// the same `form`. It may be under way.
    pub(super) async fn resume(
        &mut self,
        failed: &TargetName,
        form: &StreamForm,
        last: Option<Rc<str>>,
        under_way: Option<Box<Trial>>,
    ) -> Option<(TargetResponse, ChosenTarget)> {
        if !self.is_resumable() {
            return None;
        }
        if !self.progress.tried.contains(failed) {
            self.progress.tried.push(failed.clone());
        }
        let mut under_way = under_way;
        loop {
            let mut trial = match under_way.take() {
                Some(trial) => *trial,
                None => {
                    let resumption = monoio::select! {
                        resumption = self.prepare(None) => resumption?,
                        () = self.disconnected.wait() => return None,
                    };
                    self.begin(resumption, form, last.clone())
                }
            };
            let resumed = monoio::select! {
                resumed = trial.finish() => resumed,
                () = self.disconnected.wait() => return None,
            };
            match resumed {
                Resumed::GoesOn(response) => return Some((response, trial.target)),
                Resumed::Unproved => {
                    self.log_unproved(failed);
                    return None;
                }
                Resumed::Rejected(result) => self.reject(&trial.target, result, false),
            }
        }
    }

    /// Asks a target to resume the stream after the event `last`, with an answer of the same `form`.
    fn begin(&mut self, resumption: Resumption, form: &StreamForm, last: Option<Rc<str>>) -> Trial {
        let Self { context, request, progress, source, .. } = self;
        let Resumption { target, outputs } = resumption;
        context.asked_targets.borrow_mut().begin(boot_now(), &target.name);
        progress.possible_runs += 1;
        progress.tried.push(target.name.clone());
        if let Some(outputs) = outputs {
            progress.replace_outputs(outputs);
        }
        let after = last.as_deref().or_else(|| request.head.header(fields::LAST_EVENT_ID));
        let outgoing = request.encode_for(&target, &progress.results(), after);
        let accepted = Rc::new(Cell::new(false));
        let asked = Asked {
            context: Rc::clone(context),
            request: Rc::clone(request),
            target: target.clone(),
            source: source.clone(),
            form: form.clone(),
            accepted: Rc::clone(&accepted),
        };
        Trial { target, accepted, exchange: Box::pin(asked.resume(outgoing)) }
    }

    /// Returns what is known of the silence of the stream of `target`; `overlapped` tells whether a
    /// replacement was ended after its overlap.
    fn silence(&self, target: &ChosenTarget, overlapped: bool) -> StreamSilence {
        StreamSilence {
            patience: self.request.route.event_patience,
            latency: self.context.expected_latency(&self.request.pool.name, DEFAULT_LATENCY),
            has_begun: true,
            is_unreachable: self.context.http_client.links().is_failed(target.address),
            overlapped,
        }
    }

    /// Waits until another target is to be asked; meanwhile the link to `target` may turn out to be lost.
    async fn wait_due(&self, since: Instant, target: &ChosenTarget, overlapped: bool) {
        loop {
            let due = self.silence(target, overlapped).ask_after();
            let left = due.saturating_sub(since.elapsed());
            if left.is_zero() {
                return;
            }
            monoio::time::sleep(left.min(ASK_INTERVAL)).await;
        }
    }

    /// Returns whether the stream may be resumed once more.
    fn may_resume(&self) -> bool {
        self.progress.possible_runs < self.request.route.max_attempts
            && self.progress.tried.len() < MAX_TARGETS
            && self.context.may_be_repeated(&self.request)
            && self.request.time_left() > MIN_RESUME_TIME
    }

    /// Waits until the stream of `current` can be resumed elsewhere, and returns what that needs, or
    /// `None` if it can't be.
    async fn prepare_beside(&self, current: &TargetName) -> Option<Resumption> {
        loop {
            if !self.may_resume() {
                return None;
            }
            // A retry is taken only for a target that is there.
            if self.context.has_retry(&self.request.pool.name)
                && self.choose(Some(current)).is_some()
            {
                return self.prepare(Some(current)).await;
            }
            monoio::time::sleep(ASK_INTERVAL).await;
        }
    }

    /// Takes a retry from the budget, runs the stages again if needed, and chooses a target to resume
    /// the stream at.
    ///
    /// `current` is the target of the stream, if it may still go on. Returns `None` if the stream
    /// can't be resumed.
    async fn prepare(&self, current: Option<&TargetName>) -> Option<Resumption> {
        if !self.may_resume() || !self.context.try_retry(&self.request.pool.name) {
            return None;
        }
        let outputs = self.progress.rerun_stages(&self.schedulers, &self.context, &self.request);
        let outputs = outputs.await.inspect_err(|error| {
            tracing::info!(event = "resume-unstaged", request = %self.request.id, ?error);
        });
        let outputs = outputs.ok()?;
        Some(Resumption { outputs, target: self.choose(current)? })
    }

    fn choose(&self, current: Option<&TargetName>) -> Option<ChosenTarget> {
        let (context, request) = (&self.context, &self.request);
        let origin = &self.source.origin;
        self.progress.choose_next_writer(context, request, current, origin).ok()
    }

    /// Records a request to resume the stream that brought no events; `is_beside` tells whether the
    /// stream may still go on.
    fn reject(
        &mut self,
        target: &ChosenTarget,
        result: Result<TargetResponse, ExchangeError>,
        is_beside: bool,
    ) {
        let outcome = self.classify_rejection(target, result);
        if is_beside && matches!(outcome, TargetOutcome::Refused | TargetOutcome::Paused) {
            self.context.asked_targets.borrow_mut().refuse(boot_now(), &target.name);
        }
        self.context.record_outcome(&self.request.pool.name, target, outcome);
    }

    /// Records a request to resume the stream that was cancelled.
    fn abandon(&self, target: &ChosenTarget) {
        let outcome = TargetOutcome::Abandoned;
        self.context.record_outcome(&self.request.pool.name, target, outcome);
    }

    fn log_unproved(&self, failed: &TargetName) {
        tracing::info!(event = "stream-unproved", request = %self.request.id, target = %failed);
    }

    fn log_overlap(&self, target: &ChosenTarget, surplus: SurplusRun, since: Instant) {
        tracing::info!(
            event = "overlap-ended",
            request = %self.request.id,
            target = %target.name,
            ?surplus,
            silent_ms = millis(since.elapsed()),
        );
    }
}

/// Stream that a target is asked to resume.
struct Asked {
    context: Rc<Context>,
    request: Rc<IncomingRequest>,
    target: ChosenTarget,
    source: StreamSource,
    form: StreamForm,
    accepted: Rc<Cell<bool>>,
}

impl Asked {
    async fn resume(self, outgoing: OutgoingRequest) -> Resumed {
        let Self { context, request, target, source, form, accepted } = &self;
        let deadline = || request.deadline.min(Instant::now() + RESUME_TIMEOUT);
        let call = TargetCall { request, target, kind: CallKind::Resumption };
        let result = context.send_to_target(&call, &outgoing, deadline()).await;
        match context.check_writer(&target.run(), result).await {
            Ok(mut response) if StreamForm::of(&response) == *form => {
                // Nothing of it goes out before; by now the list mostly tells.
                if !context.proves_source(source).await {
                    return Resumed::Unproved;
                }
                accepted.set(true);
                context.asked_targets.borrow_mut().accept(boot_now(), &target.name);
                // The proof may have taken longer than the response.
                match response.await_body(deadline()).await {
                    Ok(()) => Resumed::GoesOn(response),
                    Err(error) => Resumed::Rejected(Err(error)),
                }
            }
            result => Resumed::Rejected(result),
        }
    }
}
