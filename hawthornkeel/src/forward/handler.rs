//! Handles callers' requests from admission to the response.

use std::cell::Cell;
use std::rc::Rc;

use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::streams::origin::StreamSource;

use crate::forward::access;
use crate::forward::context::Context;
use crate::forward::helper_client::HandOver;
use crate::forward::helper_server::InProgress;
use crate::forward::http_client::TargetResponse;
use crate::forward::measures;
use crate::forward::outcome::DEFAULT_RETRY_AFTER;
use crate::forward::outcome::ForwardOutcome;
use crate::forward::outcome::forwarded_headers;
use crate::forward::outcome::problem_response;
use crate::forward::progress::RequestProgress;
use crate::forward::relay::StreamRelay;
use crate::forward::request::IncomingRequest;
use crate::forward::schedulers::JobError;
use crate::forward::schedulers::Schedulers;
use crate::forward::stages::StagesError;
use crate::forward::streams;
use crate::forward::target_calls::asks_for_pause;
use crate::forward::target_calls::caller_delay;
use crate::http::channel::bounded;
use crate::http::message::Body;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Handler;
use crate::http::signal::Signal;

/// Maximum number of chunks of a stream buffered for the caller.
pub(super) const STREAM_BUFFER_CHUNKS: usize = 64;
/// Maximum number of times that the stages of a request are run.
const MAX_PASSES: u16 = 2;

/// Handler of callers' requests.
pub struct ForwardHandler {
    /// Shared state of the entry.
    pub context: Rc<Context>,
    /// Stage schedulers.
    pub schedulers: Schedulers,
}

impl Handler for ForwardHandler {
    async fn handle(&self, request: Request) -> Response {
        let disconnected = request.disconnected.clone();
        let admitted = match access::admit(&self.context, request) {
            Ok(admitted) => admitted,
            Err(problem) => return problem_response(problem),
        };
        if let Err(problem) = self.context.stop.admit(&admitted) {
            return problem_response(problem);
        }
        let admitted = match self.hand_over_if_lost(admitted, &disconnected).await {
            Ok(admitted) => admitted,
            Err(response) => return response,
        };
        self.run(admitted, disconnected, false).await
    }

    fn max_body(&self, _head: &Head) -> Option<usize> {
        let table = self.context.table.borrow();
        table.as_ref().map(|t| t.limits.max_body).filter(|m| *m > 0)
    }
}

impl ForwardHandler {
    /// Hands a request over if this entry has no links to its targets; returns it if no other entry
    /// takes it.
    async fn hand_over_if_lost(
        &self,
        request: IncomingRequest,
        disconnected: &Signal,
    ) -> Result<IncomingRequest, Response> {
        if !self.context.http_client.links().is_lost(&request.pool.name) {
            return Ok(request);
        }
        let handed = monoio::select! {
            biased;
            handed = self.hand_over(&request, false, disconnected) => handed,
            problem = self.context.stop.given_up(&request) => return Err(problem_response(problem)),
            () = disconnected.wait() => HandOver::Lost,
        };
        match handed {
            HandOver::Response(response) => Err(response),
            HandOver::Lost => {
                Err(problem_response(Problem::new(Code::OutcomeUnknown, RunStatus::Unknown)))
            }
            HandOver::Declined => {
                request.stays_here.set(true);
                Ok(request)
            }
        }
    }

    /// Has an admitted request run by targets that this entry reaches; `is_counted` tells whether the
    /// retry budget has counted it.
    pub(super) async fn run(
        &self,
        admitted: IncomingRequest,
        disconnected: Signal,
        is_counted: bool,
    ) -> Response {
        let _in_progress = InProgress::new(&self.context.in_progress);
        let origin = monoio::select! {
            biased;
            origin = streams::find_origin(&self.context, &admitted) => origin,
            problem = self.context.stop.given_up(&admitted) => Err(problem),
            () = disconnected.wait() => Err(Problem::not_run(Code::Internal)),
        };
        let admitted = match origin {
            Ok(origin) => Rc::new(admitted.bound_to(origin)),
            Err(problem) => return problem_response(problem),
        };
        if !is_counted {
            self.context.record_request(&admitted.pool.name);
        }
        let work = self.serve(Rc::clone(&admitted), disconnected.clone());
        monoio::select! {
            // A response that is ready is sent, also when the stop finishes.
            biased;
            response = work => response,
            problem = self.context.stop.given_up(&admitted) => problem_response(problem),
            // The caller has disconnected; dropping `work` cancels what is running.
            () = disconnected.wait() => {
                problem_response(Problem::new(Code::Internal, RunStatus::Unknown))
            }
        }
    }

    async fn serve(&self, request: Rc<IncomingRequest>, disconnected: Signal) -> Response {
        let mut progress = RequestProgress::new(&request);
        if !self.context.admits_request(&request).await {
            return end_with(&request, &progress, self.context.crashing_prompt(&request));
        }
        loop {
            match self.run_stages(&request, &mut progress).await {
                Ok(()) => {}
                // The next pass runs in a data centre that can be reached.
                Err(StagesError::Job(JobError::Unreachable)) if progress.passes() < MAX_PASSES => {
                    continue;
                }
                Err(error) => return self.stages_failed(&request, &progress, error),
            }
            match self.forward(&request, &mut progress).await {
                ForwardOutcome::Response(response, target) => {
                    return self
                        .return_response(request, progress, disconnected, response, target)
                        .await;
                }
                ForwardOutcome::ResultsGone if progress.passes() < MAX_PASSES => {}
                ForwardOutcome::ResultsGone => {
                    return self.stages_failed(&request, &progress, JobError::Gone.into());
                }
                ForwardOutcome::Exhausted(problem) => {
                    return end_with(&request, &progress, problem);
                }
                ForwardOutcome::LinksLost => {
                    match self.hand_over(&request, true, &disconnected).await {
                        HandOver::Response(response) => {
                            let status = response.status.as_u16();
                            progress.log_end(&request, "handed-over", status);
                            return response;
                        }
                        HandOver::Lost => return self.outcome_unknown(&request, &progress),
                        HandOver::Declined => return self.not_helped(&request, &progress),
                    }
                }
            }
        }
    }

    /// Returns the response to a request whose targets no entry reaches.
    fn not_helped(&self, request: &IncomingRequest, progress: &RequestProgress) -> Response {
        match request.run_status() {
            RunStatus::NotRun => {
                let problem = Problem::not_run(Code::NoTarget);
                end_with(request, progress, problem.with_retry_after(DEFAULT_RETRY_AFTER))
            }
            RunStatus::Unknown | RunStatus::Done => self.outcome_unknown(request, progress),
        }
    }

    /// Runs the stages of a request.
    async fn run_stages(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
    ) -> Result<(), StagesError> {
        if !request.route.stages.is_empty()
            && let Some(left) = self.context.pause_too_long(request)
        {
            return Err(JobError::Paused { left }.into());
        }
        let outputs = progress.run_stages(&self.schedulers, &self.context, request).await?;
        progress.replace_outputs(outputs);
        if !request.route.stages.is_empty() {
            progress.stages_done = request.started.elapsed();
            measures::stages_done(request, progress.stages_done);
        }
        Ok(())
    }

    fn stages_failed(
        &self,
        request: &IncomingRequest,
        progress: &RequestProgress,
        error: StagesError,
    ) -> Response {
        if request.run_status() != RunStatus::NotRun {
            return self.outcome_unknown(request, progress);
        }
        // Stages may have run, but the request itself has not run and will not.
        let (code, retry_after) = match error {
            StagesError::Rejected { retry_after } => (Code::Overloaded, retry_after),
            StagesError::Job(JobError::Late) => (Code::DeadlineUnreachable, DEFAULT_RETRY_AFTER),
            StagesError::Job(JobError::Paused { left }) => {
                (Code::NoTarget, caller_delay(request, left))
            }
            StagesError::Job(JobError::Gone | JobError::Failed | JobError::Unreachable) => {
                (Code::NoTarget, DEFAULT_RETRY_AFTER)
            }
        };
        end_with(request, progress, Problem::not_run(code).with_retry_after(retry_after))
    }

    /// Returns the response to a request that may have run and gets none from a target.
    fn outcome_unknown(&self, request: &IncomingRequest, progress: &RequestProgress) -> Response {
        end_with(request, progress, Problem::new(Code::OutcomeUnknown, request.run_status()))
    }

    /// Returns a target's response to the caller.
    async fn return_response(
        &self,
        request: Rc<IncomingRequest>,
        mut progress: RequestProgress,
        disconnected: Signal,
        response: Box<TargetResponse>,
        target: ChosenTarget,
    ) -> Response {
        let status = response.status;
        progress.software = Some(target.version.clone());
        let began = response.received.saturating_duration_since(request.started);
        progress.response_began = began;
        measures::response_began(&request, progress.response_began);
        self.context.record_latency(
            &request.pool.name,
            progress.response_began.saturating_sub(progress.stages_done),
        );
        let streams = request.route.kind.is_stream();
        if streams && status.is_success() {
            // The target has fetched the stage results before its first event.
            progress.release_outputs();
            let (sender, receiver) = bounded(STREAM_BUFFER_CHUNKS);
            let headers = forwarded_headers(&response.headers);
            let context = Rc::clone(&self.context);
            let schedulers = self.schedulers.clone();
            let source = self.source(&request, &response, &target);
            let recorded = Cell::default();
            let relay = StreamRelay {
                context,
                request,
                disconnected,
                progress,
                schedulers,
                source,
                recorded,
                trial: None,
            };
            let finish = self.context.stop.finish();
            monoio::spawn(async move {
                monoio::select! {
                    biased;
                    () = relay.run(*response, target, sender) => {}
                    // Without its last chunk the caller can tell that the stream is incomplete.
                    () = finish => {}
                }
            });
            return Response { status, headers, body: Body::Stream(receiver) };
        }
        self.return_whole(&request, progress, *response, target).await
    }

    /// Returns the software that writes the stream of a response, and what that rests on.
    fn source(
        &self,
        request: &IncomingRequest,
        response: &TargetResponse,
        target: &ChosenTarget,
    ) -> StreamSource {
        let unproved = match &request.origin {
            Some(_) => None,
            None => self.context.unproved_writer(&target.run(), response.opened()),
        };
        let (pool, version) = (request.pool.name.clone(), target.version.clone());
        StreamSource { origin: StreamOrigin { pool, version }, unproved }
    }

    /// Returns a response once it is complete; a truncated one may be retried.
    async fn return_whole(
        &self,
        request: &IncomingRequest,
        mut progress: RequestProgress,
        mut response: TargetResponse,
        mut target: ChosenTarget,
    ) -> Response {
        loop {
            let status = response.status;
            // That of a request that may be sent again has been read.
            match response.read_blocks(request.deadline).await {
                Ok(body) => {
                    let outcome = match status.is_server_error() {
                        false => TargetOutcome::Succeeded,
                        true if asks_for_pause(&response) => TargetOutcome::Paused,
                        true => TargetOutcome::Failed,
                    };
                    self.context.record_outcome(&request.pool.name, &target, outcome);
                    let headers = forwarded_headers(&response.headers);
                    response.finish();
                    if status.is_success() {
                        self.context.record_sound_run(request);
                        self.context.stop.record(request, &progress);
                    }
                    progress.log_end(request, "answered", status.as_u16());
                    return Response { status, headers, body: Body::Blocks(body) };
                }
                Err(error) => self.record_broken(request, &target, &error),
            }
            drop(response);
            match self.retry(request, &mut progress).await {
                Some((next, next_target)) => (response, target) = (*next, next_target),
                None => {
                    let problem = Problem::new(Code::StageFailed, RunStatus::Unknown);
                    progress.log_end(request, "answer-lost", problem.code.status().as_u16());
                    return problem_response(problem);
                }
            }
        }
    }

    /// Sends a request again after its response was truncated, if that is allowed.
    async fn retry(
        &self,
        request: &IncomingRequest,
        progress: &mut RequestProgress,
    ) -> Option<(Box<TargetResponse>, ChosenTarget)> {
        progress.possible_runs += 1;
        if !request.route.kind.is_retryable() {
            return None;
        }
        match self.forward(request, progress).await {
            ForwardOutcome::Response(response, target) => Some((response, target)),
            ForwardOutcome::ResultsGone
            | ForwardOutcome::LinksLost
            | ForwardOutcome::Exhausted(_) => None,
        }
    }
}

/// Logs the end of a request with a problem, and returns its response.
fn end_with(request: &IncomingRequest, progress: &RequestProgress, problem: Problem) -> Response {
    progress.log_end(request, problem.code.as_str(), problem.code.status().as_u16());
    problem_response(problem)
}
