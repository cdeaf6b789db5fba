//! HTTP handler for callers: filters a request, starts its executor and returns the response.

use std::rc::Rc;
use std::sync::Arc;

use futures_channel::oneshot;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::request::run::PipelineRun;
use hawthornkeel_core::request::spec::RequestSpec;

use crate::entry::context::Context;
use crate::entry::executor::RequestExecutor;
use crate::entry::filter;
use crate::entry::filter::ParsedRequest;
use crate::entry::reply::Reply;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Handler;
use crate::telemetry;

/// Path of the load balancer's readiness check.
const READY_PATH: &str = "/ready";

/// Handles requests of callers.
pub struct EntryHandler {
    context: Rc<Context>,
}

impl EntryHandler {
    /// Creates the handler of an entry.
    pub fn new(context: Rc<Context>) -> Self {
        Self { context }
    }

    fn readiness(&self) -> Response {
        if self.context.shutdown.drain.is_set() {
            return Problem::not_run(Code::Stopping).into_response();
        }
        if let Some(reason) = self.context.not_ready_reason() {
            return filter::not_ready(reason).into_response();
        }
        Response::json("{\"ready\":true}")
    }

    async fn respond(&self, request: Request) -> Response {
        let parsed = match filter::run_filters(&self.context, &request.head, &request.body) {
            Ok(parsed) => parsed,
            Err(problem) => return refusal_response(problem),
        };
        let Some(slot) = RequestSlot::acquire(&self.context, &parsed) else {
            return refusal_response(Problem::not_run(Code::WorkspaceLimit));
        };
        let (sender, receiver) = oneshot::channel();
        let executor = self.executor(parsed, request, sender);
        monoio::spawn(async move {
            let _slot = slot;
            executor.run().await;
        });
        match receiver.await {
            Ok(response) => response,
            Err(_) => Problem::new(Code::Internal, RunStatus::Unknown).into_response(),
        }
    }

    fn executor(
        &self,
        parsed: ParsedRequest,
        request: Request,
        sender: oneshot::Sender<Response>,
    ) -> RequestExecutor {
        let id = RequestId(rand::random());
        let now = self.context.clock.now();
        let run = PipelineRun::new(RequestSpec {
            id,
            instance: self.context.settings.instance.name.clone(),
            workspace: parsed.workspace.clone(),
            pipeline: Arc::clone(&parsed.pipeline),
            key: parsed.idempotency_key.clone(),
            digest: parsed.digest,
            streamed: parsed.streamed,
            deadline: now + parsed.timeout,
        });
        let reply = Reply::new(id, parsed.streamed, sender);
        RequestExecutor::new(Rc::clone(&self.context), run, parsed, request, reply)
    }
}

impl Handler for EntryHandler {
    async fn handle(&self, request: Request) -> Response {
        if request.head.path == READY_PATH {
            return self.readiness();
        }
        self.respond(request).await
    }

    fn max_body(&self, head: &Head) -> Option<usize> {
        filter::max_body(&self.context, head)
    }
}

/// Slot among the requests in progress, released on drop.
struct RequestSlot {
    context: Rc<Context>,
    workspace: WorkspaceName,
}

impl RequestSlot {
    /// Acquires a slot, unless the workspace has reached its limit of requests in progress.
    fn acquire(context: &Rc<Context>, parsed: &ParsedRequest) -> Option<Self> {
        let mut running = context.workspace_requests.borrow_mut();
        let count = running.entry(parsed.workspace.clone()).or_insert(0);
        if *count >= parsed.max_requests {
            return None;
        }
        *count = count.saturating_add(1);
        context.open_requests.set(context.open_requests.get().saturating_add(1));
        Some(Self { context: Rc::clone(context), workspace: parsed.workspace.clone() })
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        let mut running = self.context.workspace_requests.borrow_mut();
        if let Some(count) = running.get_mut(&self.workspace) {
            *count = count.saturating_sub(1);
        }
        self.context.open_requests.set(self.context.open_requests.get().saturating_sub(1));
    }
}

fn refusal_response(problem: Problem) -> Response {
    tracing::info!(event = "refused", code = problem.code.as_str(), ran = %problem.ran);
    metrics::counter!(telemetry::REFUSALS, "code" => problem.code.as_str()).increment(1);
    problem.into_response()
}
