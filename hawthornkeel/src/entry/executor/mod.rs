//! Executes the actions of one request's state machine.

mod calls;
mod hedge;
mod response;
mod routing;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::request::event::Action;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::refusal::Refusal;
use hawthornkeel_core::request::run::PipelineRun;
use hawthornkeel_core::routing::types::Admission;
use hawthornkeel_core::routing::types::AttemptKind;
use hawthornkeel_core::routing::types::RequestPlan;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::Settle;
use hawthornkeel_core::time::Instant;

use crate::entry::context::Context;
use crate::entry::executor::hedge::Hedge;
use crate::entry::executor::hedge::HedgeTimer;
use crate::entry::filter::ParsedRequest;
use crate::entry::permit::PermitGuard;
use crate::entry::refusal;
use crate::entry::reply::Reply;
use crate::http::message::Request;
use crate::http::signal::Signal;

/// Asynchronous operation that a request waits for. Its result is the state machine's next input.
type Operation = Pin<Box<dyn Future<Output = OperationResult>>>;

/// Result of an operation.
pub enum OperationResult {
    /// A target was chosen.
    TargetChosen(PermitGuard),
    /// Input of the state machine.
    Input(Input),
}

/// Executes one request.
pub struct RequestExecutor {
    context: Rc<Context>,
    run: PipelineRun,
    parsed: ParsedRequest,
    input: Bytes,
    disconnected: Signal,
    arrived: Instant,
    reply: Rc<Reply>,
    previous: Option<Bytes>,
    text: Rc<std::cell::RefCell<String>>,
    permit: Option<PermitGuard>,
    called_target: Option<TargetName>,
    excluded: Vec<TargetName>,
    attempt_kind: AttemptKind,
    operation: Option<Operation>,
    /// Timer of the hedge of the operation in progress.
    hedge_timer: Option<HedgeTimer>,
    /// Hedge that runs concurrently with the operation in progress.
    hedge: Option<Hedge>,
    /// Whether the state machine was told that the deadline has passed.
    deadline_reported: bool,
    /// Whether the state machine was told that the caller has disconnected.
    disconnect_reported: bool,
    /// Whether the state machine was told that the instance stops.
    stop_reported: bool,
    /// Whether the state machine was told that the limit of the stop was reached.
    limit_reported: bool,
}

impl RequestExecutor {
    /// Creates the executor of a request that passed the filters.
    pub fn new(
        context: Rc<Context>,
        mut run: PipelineRun,
        parsed: ParsedRequest,
        request: Request,
        reply: Reply,
    ) -> Self {
        let arrived = context.clock.now();
        let stop_limit = context.stop_limit.get();
        if let Some(limit) = stop_limit {
            // A request that has not started needs no action.
            run.handle(arrived, Input::Stopping { limit });
        }
        Self {
            context,
            run,
            parsed,
            input: request.body,
            disconnected: request.disconnected,
            arrived,
            reply: Rc::new(reply),
            previous: None,
            text: Rc::default(),
            permit: None,
            called_target: None,
            excluded: Vec::new(),
            attempt_kind: AttemptKind::First,
            operation: None,
            hedge_timer: None,
            hedge: None,
            deadline_reported: false,
            disconnect_reported: false,
            stop_reported: stop_limit.is_some(),
            limit_reported: false,
        }
    }

    /// Runs the request to completion.
    pub async fn run(mut self) {
        if let Some(refusal) = self.admit() {
            self.refuse(refusal).await;
            return;
        }
        self.run_admitted().await;
        let now = self.context.clock.now();
        self.context.router.borrow_mut().finish_request(now, self.run.spec().id);
    }

    /// Admits the request, or returns the refusal if it can't be claimed or isn't admitted.
    fn admit(&self) -> Option<Refusal> {
        let spec = self.run.spec();
        if spec.pipeline.has_non_idempotent() && !self.context.claims.is_reachable() {
            return Some(refusal::no_quorum());
        }
        let plan = RequestPlan {
            request: spec.id,
            workspace: spec.workspace.clone(),
            pools: spec.pipeline.stages.iter().map(|s| s.pool.clone()).collect(),
            deadline: self.run.due(),
            floor: self.run.remaining_floor(),
        };
        let now = self.context.clock.now();
        let admission = self.context.router.borrow_mut().admit(now, &plan);
        match admission {
            Admission::Admitted => None,
            Admission::Refused { reason, retry_after } => {
                let request = format!("{:032x}", spec.id.0);
                tracing::info!(event = "not-admitted", request, %reason);
                Some(self.run.explain(refusal::not_admitted(reason, retry_after)))
            }
        }
    }

    async fn run_admitted(&mut self) {
        let now = self.context.clock.now();
        let mut actions = self.run.handle(now, Input::Started);
        loop {
            self.perform(actions).await;
            if self.run.is_ended() {
                return;
            }
            let input = self.next_input().await;
            actions = self.report_stop();
            actions.extend(self.run.handle(self.context.clock.now(), input));
        }
    }

    /// Tells the state machine that the instance stops, if it does and this wasn't reported yet.
    fn report_stop(&mut self) -> Vec<Action> {
        match self.context.stop_limit.get() {
            Some(limit) if !self.stop_reported => {
                self.stop_reported = true;
                self.run.handle(self.context.clock.now(), Input::Stopping { limit })
            }
            _ => Vec::new(),
        }
    }

    /// Waits for the operation in progress, its hedge, the deadline, a disconnect of the caller or a
    /// stop of the instance.
    async fn next_input(&mut self) -> Input {
        let clock = self.context.clock;
        let remaining = clock.time_until(self.run.spec().deadline);
        let hedge_due = self.hedge_timer.map(|t| (t.call, clock.time_until(t.due)));
        let hedge = self.hedge.as_mut().map(|h| &mut h.operation);
        let result = monoio::select! {
            result = wait_for(self.operation.as_mut()) => result,
            result = wait_for(hedge) => return self.finish_hedge(result),
            call = wait_until_due(hedge_due) => {
                self.hedge_timer = None;
                return Input::HedgeDue(call);
            }
            () = monoio::time::sleep(remaining), if !self.deadline_reported => {
                self.deadline_reported = true;
                return Input::DeadlinePassed;
            }
            () = self.disconnected.wait(), if !self.disconnect_reported => {
                self.disconnect_reported = true;
                return Input::CallerDisconnected;
            }
            () = self.context.shutdown.finish.wait(), if !self.limit_reported => {
                self.limit_reported = true;
                return Input::StopLimitReached;
            }
            () = self.context.shutdown.drain.wait(), if !self.stop_reported => {
                let limit = self.context.stop_limit.get().unwrap_or(self.run.due());
                self.stop_reported = true;
                return Input::Stopping { limit };
            }
        };
        self.operation = None;
        self.hedge_timer = None;
        match result {
            OperationResult::TargetChosen(permit) => {
                self.permit = Some(permit);
                Input::Routed
            }
            OperationResult::Input(input) => {
                let target = self.called_target.take();
                self.record_input(&input, target);
                input
            }
        }
    }

    async fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Route { stage, attempt } => self.start_route(stage, attempt),
                Action::ReleasePermit => self.release_permit(),
                Action::Claim(claim) => self.start_claim(claim),
                Action::Dispatch { call, resume } => self.start_call(call, resume),
                Action::Hedge(call) => self.start_hedge(call),
                Action::Cancel(call) => self.cancel(call),
                Action::Settle(settle) => self.start_settle(settle),
                Action::SettleInBackground(settle) => {
                    self.context.claims.settle_in_background(settle)
                }
                Action::Wait(duration) => self.start_wait(duration),
                Action::Finish(answer) => self.finish(answer).await,
                Action::Refuse(refusal) => self.refuse(refusal).await,
            }
        }
    }

    fn stage(&self, stage: StageIndex) -> Option<Stage> {
        self.parsed.pipeline.stages.get(usize::from(stage.0)).cloned()
    }

    fn release_permit(&mut self) {
        self.permit = None;
        self.operation = None;
    }

    fn start_claim(&mut self, claim: Claim) {
        let store = self.context.claims.clone();
        let operation = async move { OperationResult::Input(store.claim(claim).await) };
        self.operation = Some(Box::pin(operation));
    }

    fn start_settle(&mut self, settle: Settle) {
        let settled = self.context.claims.settle(settle);
        let operation = async move { OperationResult::Input(settled.await) };
        self.operation = Some(Box::pin(operation));
    }

    fn start_wait(&mut self, duration: Duration) {
        let operation = async move {
            monoio::time::sleep(duration).await;
            OperationResult::Input(Input::TimerFired)
        };
        self.operation = Some(Box::pin(operation));
    }
}

/// Returns an operation that completes at once with `input`.
fn ready(input: Input) -> Operation {
    Box::pin(std::future::ready(OperationResult::Input(input)))
}

/// Waits for an operation; never completes if there is none.
async fn wait_for(operation: Option<&mut Operation>) -> OperationResult {
    match operation {
        Some(operation) => operation.await,
        None => std::future::pending().await,
    }
}

/// Waits until a hedge is due and returns the call to hedge; never completes without a timer.
async fn wait_until_due(timer: Option<(CallId, Duration)>) -> CallId {
    match timer {
        Some((call, delay)) => {
            monoio::time::sleep(delay).await;
            call
        }
        None => std::future::pending().await,
    }
}
