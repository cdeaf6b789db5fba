//! Carries out the actions of one request's state machine.

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
use crate::entry::executor::hedge::Timer;
use crate::entry::filter::ParsedRequest;
use crate::entry::permit::PermitGuard;
use crate::entry::refusal;
use crate::entry::reply::Reply;
use crate::http::message::Request;
use crate::http::signal::Signal;

/// What a request waits for: ends in the state machine's next input.
type Operation = Pin<Box<dyn Future<Output = OperationResult>>>;

/// End of an operation.
pub enum OperationResult {
    /// A target was chosen.
    TargetChosen(PermitGuard),
    /// Anything else.
    Input(Input),
}

/// One request with all that is needed to carry it out.
pub struct RequestExecutor {
    context: Rc<Context>,
    run: PipelineRun,
    parsed: ParsedRequest,
    input: Bytes,
    left: Signal,
    arrived: Instant,
    reply: Rc<Reply>,
    previous: Option<Bytes>,
    text: Rc<std::cell::RefCell<String>>,
    chosen: Option<PermitGuard>,
    called: Option<TargetName>,
    excluded: Vec<TargetName>,
    repeat: AttemptKind,
    operation: Option<Operation>,
    /// Time at which a hedge of the operation in progress is due.
    timer: Option<Timer>,
    /// Second call for the stage, beside the operation in progress.
    hedge: Option<Hedge>,
    /// Whether the state machine knows that the deadline has passed.
    expired: bool,
    /// Whether the state machine knows that the caller has left.
    gone: bool,
}

impl RequestExecutor {
    /// Creates the drive of an admitted request.
    pub fn new(
        context: Rc<Context>,
        run: PipelineRun,
        parsed: ParsedRequest,
        request: Request,
        reply: Reply,
    ) -> Self {
        let arrived = context.clock.now();
        Self {
            context,
            run,
            parsed,
            input: request.body,
            left: request.disconnected,
            arrived,
            reply: Rc::new(reply),
            previous: None,
            text: Rc::default(),
            chosen: None,
            called: None,
            excluded: Vec::new(),
            repeat: AttemptKind::First,
            operation: None,
            timer: None,
            hedge: None,
            expired: false,
            gone: false,
        }
    }

    /// Carries the request to its end.
    pub async fn run(mut self) {
        if let Some(refusal) = self.admit() {
            self.refuse(refusal).await;
            return;
        }
        self.run_admitted().await;
        let now = self.context.clock.now();
        self.context.router.borrow_mut().finish_request(now, self.run.spec().id);
    }

    /// Returns the refusal of a request that can't be claimed or that the router does not admit.
    fn admit(&self) -> Option<Refusal> {
        let spec = self.run.spec();
        if spec.pipeline.has_non_idempotent() && !self.context.claims.is_reachable() {
            return Some(refusal::no_quorum());
        }
        let plan = RequestPlan {
            request: spec.id,
            workspace: spec.workspace.clone(),
            pools: spec.pipeline.stages.iter().map(|s| s.pool.clone()).collect(),
            deadline: spec.deadline,
            floor: self.run.remaining_floor(),
        };
        let now = self.context.clock.now();
        let admission = self.context.router.borrow_mut().admit(now, &plan);
        match admission {
            Admission::Admitted => None,
            Admission::Refused { reason, retry_after } => {
                let request = format!("{:032x}", spec.id.0);
                tracing::info!(event = "not-admitted", request, %reason);
                Some(refusal::not_admitted(reason, retry_after))
            }
        }
    }

    async fn run_admitted(&mut self) {
        let now = self.context.clock.now();
        let mut actions = self.run.handle(now, Input::Started);
        loop {
            self.carry_out(actions).await;
            if self.run.is_ended() {
                return;
            }
            let input = self.next_input().await;
            actions = self.run.handle(self.context.clock.now(), input);
        }
    }

    /// Waits for the operation in progress, the deadline or the caller's leaving.
    async fn next_input(&mut self) -> Input {
        let clock = self.context.clock;
        let left = clock.time_until(self.run.spec().deadline);
        let hedge_due = self.timer.map(|t| (t.call, clock.time_until(t.due)));
        let hedge = self.hedge.as_mut().map(|h| &mut h.work);
        let step = monoio::select! {
            step = end(self.operation.as_mut()) => step,
            step = end(hedge) => return self.hedge_ended(step),
            call = due(hedge_due) => {
                self.timer = None;
                return Input::HedgeDue(call);
            }
            () = monoio::time::sleep(left), if !self.expired => {
                self.expired = true;
                return Input::DeadlinePassed;
            }
            () = self.left.wait(), if !self.gone => {
                self.gone = true;
                return Input::CallerDisconnected;
            }
        };
        self.operation = None;
        self.timer = None;
        match step {
            OperationResult::TargetChosen(permit) => {
                self.chosen = Some(permit);
                Input::Routed
            }
            OperationResult::Input(input) => {
                let target = self.called.take();
                self.note(&input, target);
                input
            }
        }
    }

    async fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Route { stage, attempt } => self.start_route(stage, attempt),
                Action::ReleasePermit => self.unroute(),
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

    fn unroute(&mut self) {
        self.chosen = None;
        self.operation = None;
    }

    fn start_claim(&mut self, claim: Claim) {
        let store = self.context.claims.clone();
        let work = async move { OperationResult::Input(store.claim(claim).await) };
        self.operation = Some(Box::pin(work));
    }

    fn start_settle(&mut self, settle: Settle) {
        let store = self.context.claims.clone();
        let work = async move { OperationResult::Input(store.settle(settle).await) };
        self.operation = Some(Box::pin(work));
    }

    fn start_wait(&mut self, duration: Duration) {
        let work = async move {
            monoio::time::sleep(duration).await;
            OperationResult::Input(Input::TimerFired)
        };
        self.operation = Some(Box::pin(work));
    }
}

/// Returns the operation that ends in `input` at once.
fn ready(input: Input) -> Operation {
    Box::pin(std::future::ready(OperationResult::Input(input)))
}

/// Waits for the end of an operation, where there is one.
async fn end(operation: Option<&mut Operation>) -> OperationResult {
    match operation {
        Some(operation) => operation.await,
        None => std::future::pending().await,
    }
}

/// Waits until a hedge is due, where one is, and returns the call that it is for.
async fn due(timer: Option<(CallId, Duration)>) -> CallId {
    match timer {
        Some((call, left)) => {
            monoio::time::sleep(left).await;
            call
        }
        None => std::future::pending().await,
    }
}
