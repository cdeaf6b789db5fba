//! Carries out the actions of one request's state machine.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::request::event::Action;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::failure::CallFailure;
use hawthornkeel_core::request::failure::Evidence;
use hawthornkeel_core::request::refusal::Refusal;
use hawthornkeel_core::request::run::Run;
use hawthornkeel_core::routing::types::Admission;
use hawthornkeel_core::routing::types::Repeat;
use hawthornkeel_core::routing::types::RequestPlan;
use hawthornkeel_core::routing::types::StageRequest;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::state::command::Settle;
use hawthornkeel_core::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::entry::call;
use crate::entry::call::CallPlan;
use crate::entry::context::Context;
use crate::entry::filter::Draft;
use crate::entry::permit::HeldPermit;
use crate::entry::refuse;
use crate::entry::reply::Reply;
use crate::entry::route::route;
use crate::http::message::Request;
use crate::http::signal::Signal;
use crate::telemetry;

/// Bytes of the caller's body that count as the prompt's prefix.
const PREFIX_BYTES: usize = 512;

/// What a request waits for: ends in the state machine's next input.
type Operation = Pin<Box<dyn Future<Output = Step>>>;

/// End of an operation.
pub enum Step {
    /// A target was chosen.
    Chosen(HeldPermit),
    /// Anything else.
    Other(Input),
}

/// One request with all that is needed to carry it out.
pub struct Drive {
    context: Rc<Context>,
    run: Run,
    draft: Draft,
    input: Bytes,
    left: Signal,
    arrived: Instant,
    reply: Rc<Reply>,
    previous: Option<Bytes>,
    text: Rc<std::cell::RefCell<String>>,
    chosen: Option<HeldPermit>,
    called: Option<TargetName>,
    excluded: Vec<TargetName>,
    repeat: Repeat,
    operation: Option<Operation>,
    /// Whether the state machine knows that the deadline has passed.
    expired: bool,
    /// Whether the state machine knows that the caller has left.
    gone: bool,
}

impl Drive {
    /// Creates the drive of an admitted request.
    pub fn new(
        context: Rc<Context>,
        run: Run,
        draft: Draft,
        request: Request,
        reply: Reply,
    ) -> Self {
        let arrived = context.clock.now();
        Self {
            context,
            run,
            draft,
            input: request.body,
            left: request.left,
            arrived,
            reply: Rc::new(reply),
            previous: None,
            text: Rc::default(),
            chosen: None,
            called: None,
            excluded: Vec::new(),
            repeat: Repeat::First,
            operation: None,
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
        self.context.router.borrow_mut().leave(now, self.run.profile().id);
    }

    /// Returns the refusal of a request that can't be claimed or that the router does not admit.
    fn admit(&self) -> Option<Refusal> {
        let profile = self.run.profile();
        if profile.pipeline.has_unrepeatable() && !self.context.claims.is_reachable() {
            return Some(refuse::no_quorum());
        }
        let plan = RequestPlan {
            request: profile.id,
            workspace: profile.workspace.clone(),
            pools: profile.pipeline.stages.iter().map(|s| s.pool.clone()).collect(),
            deadline: profile.deadline,
            floor: self.run.remaining_floor(),
        };
        let now = self.context.clock.now();
        let admission = self.context.router.borrow_mut().admit(now, &plan);
        match admission {
            Admission::Admitted => None,
            Admission::Refused { reason, retry_after } => {
                let request = format!("{:032x}", profile.id.0);
                tracing::info!(event = "not-admitted", request, %reason);
                Some(refuse::not_admitted(reason, retry_after))
            }
        }
    }

    async fn run_admitted(&mut self) {
        let now = self.context.clock.now();
        let mut actions = self.run.handle(now, Input::Started);
        loop {
            self.carry_out(actions).await;
            if self.run.ended() {
                return;
            }
            let input = self.next_input().await;
            actions = self.run.handle(self.context.clock.now(), input);
        }
    }

    /// Waits for the operation in progress, the deadline or the caller's leaving.
    async fn next_input(&mut self) -> Input {
        let clock = self.context.clock;
        let left = clock.until(self.run.profile().deadline);
        let operation = async {
            match self.operation.as_mut() {
                Some(operation) => operation.await,
                None => std::future::pending().await,
            }
        };
        let step = monoio::select! {
            step = operation => step,
            () = monoio::time::sleep(left), if !self.expired => {
                self.expired = true;
                return Input::DeadlinePassed;
            }
            () = self.left.wait(), if !self.gone => {
                self.gone = true;
                return Input::CallerLeft;
            }
        };
        self.operation = None;
        match step {
            Step::Chosen(permit) => {
                self.chosen = Some(permit);
                Input::Routed
            }
            Step::Other(input) => {
                self.note(&input);
                input
            }
        }
    }

    /// Remembers what the next attempt and the next stage need of `input`.
    fn note(&mut self, input: &Input) {
        match input {
            Input::Answered { answer, .. } | Input::Claimed(ClaimOutcome::Done(answer)) => {
                self.previous = Some(answer.clone());
                self.next_stage();
            }
            Input::Failed { failure, .. } => {
                self.repeat = repeat_after(*failure, self.repeat);
                // A target that refuses may have room a moment later; the router knows when.
                if !matches!(failure, CallFailure::Refused | CallFailure::Declined) {
                    self.excluded.extend(self.called.take());
                }
            }
            _ => {}
        }
    }

    fn next_stage(&mut self) {
        self.excluded.clear();
        self.repeat = Repeat::First;
        self.text.borrow_mut().clear();
    }

    async fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Route { stage, attempt } => self.start_route(stage, attempt),
                Action::Unroute => self.unroute(),
                Action::Claim(claim) => self.start_claim(claim),
                Action::Dispatch { call, resume } => self.start_call(call, resume),
                Action::Cancel(_) => self.operation = None,
                Action::Settle(settle) => self.start_settle(settle),
                Action::SettleLater(settle) => self.context.claims.settle_later(settle),
                Action::Wait(duration) => self.start_wait(duration),
                Action::Finish(answer) => self.finish(answer).await,
                Action::Refuse(refusal) => self.refuse(refusal).await,
            }
        }
    }

    fn stage(&self, stage: StageIndex) -> Option<Stage> {
        self.draft.pipeline.stages.get(usize::from(stage.0)).cloned()
    }

    fn unroute(&mut self) {
        self.chosen = None;
        self.operation = None;
    }

    fn start_route(&mut self, index: StageIndex, attempt: AttemptNumber) {
        let Some(request) = self.stage_request(index, attempt) else {
            self.operation = Some(ready(Input::NotRouted { retry_after: None }));
            return;
        };
        let context = Rc::clone(&self.context);
        self.operation = Some(Box::pin(route(context, request)));
    }

    fn stage_request(&self, index: StageIndex, attempt: AttemptNumber) -> Option<StageRequest> {
        let stage = self.stage(index)?;
        let later = || self.draft.pipeline.stages.iter().skip(usize::from(index.0) + 1);
        let profile = self.run.profile();
        Some(StageRequest {
            call: CallId { request: profile.id, stage: index, attempt },
            workspace: profile.workspace.clone(),
            pool: stage.pool.clone(),
            priority: self.draft.priority,
            deadline: profile.deadline,
            floor: stage.floor(),
            remaining: later().map(Stage::floor).sum(),
            later: later().map(|s| s.pool.clone()).collect(),
            prefix: Some(self.prefix_hash(&stage)),
            excluded: self.excluded.clone(),
            repeat: self.repeat,
        })
    }

    /// Returns the hash that calls with the same prompt prefix have in common.
    fn prefix_hash(&self, stage: &Stage) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.draft.workspace.as_str().as_bytes());
        hasher.update(stage.name.as_str().as_bytes());
        hasher.update(self.input.get(..PREFIX_BYTES).unwrap_or(&self.input));
        hasher.digest()
    }

    fn start_claim(&mut self, claim: Claim) {
        let store = self.context.claims.clone();
        let work = async move { Step::Other(store.claim(claim).await) };
        self.operation = Some(Box::pin(work));
    }

    fn start_settle(&mut self, settle: Settle) {
        let store = self.context.claims.clone();
        let work = async move { Step::Other(store.settle(settle).await) };
        self.operation = Some(Box::pin(work));
    }

    fn start_wait(&mut self, duration: Duration) {
        let work = async move {
            monoio::time::sleep(duration).await;
            Step::Other(Input::Woken)
        };
        self.operation = Some(Box::pin(work));
    }

    fn start_call(&mut self, id: CallId, resume: usize) {
        let (Some(permit), Some(plan)) = (self.chosen.take(), self.call_plan(id, resume)) else {
            let failure = CallFailure::NotSent;
            self.operation = Some(ready(Input::Failed { call: id, failure, received: resume }));
            return;
        };
        self.called = permit.permit().map(|p| p.target.clone());
        let context = Rc::clone(&self.context);
        let work = async move { Step::Other(call::run(context, permit, plan).await) };
        self.operation = Some(Box::pin(work));
    }

    fn call_plan(&self, id: CallId, resume: usize) -> Option<CallPlan> {
        let stage = self.stage(id.stage)?;
        let pool = self.draft.environment.document.pool(stage.pool.as_str())?.clone();
        let last = usize::from(id.stage.0) + 1 == self.draft.pipeline.stages.len();
        Some(CallPlan {
            id,
            stage,
            pool,
            priority: self.draft.priority,
            key: self.draft.key.clone(),
            input: self.input.clone(),
            previous: self.previous.clone(),
            deadline: self.run.profile().deadline,
            resume,
            text: Rc::clone(&self.text),
            reply: (last && self.reply.wants_tokens()).then(|| Rc::clone(&self.reply)),
        })
    }

    async fn finish(&self, answer: Bytes) {
        let profile = self.run.profile();
        let request = format!("{:032x}", profile.id.0);
        tracing::info!(event = "answered", request, pipeline = %profile.pipeline.name);
        metrics::counter!(telemetry::ANSWERS).increment(1);
        self.record_time();
        self.reply.finish(&answer).await;
    }

    /// Records the time from arrival to the final answer.
    fn record_time(&self) {
        let pipeline = self.draft.pipeline.name.as_str().to_owned();
        let elapsed = self.context.clock.now().since(self.arrived);
        metrics::histogram!(telemetry::REQUEST_SECONDS, "pipeline" => pipeline)
            .record(elapsed.as_secs_f64());
    }

    async fn refuse(&self, refusal: Refusal) {
        let request = format!("{:032x}", self.run.profile().id.0);
        let code = refusal.code.as_str();
        tracing::info!(event = "refused", request, code, ran = %refusal.ran);
        metrics::counter!(telemetry::REFUSALS, "code" => code).increment(1);
        self.record_time();
        self.reply.refuse(refuse::problem(refusal)).await;
    }
}

/// Returns the operation that ends in `input` at once.
fn ready(input: Input) -> Operation {
    Box::pin(std::future::ready(Step::Other(input)))
}

/// Returns how the next attempt repeats the stage after `failure`.
fn repeat_after(failure: CallFailure, before: Repeat) -> Repeat {
    match (failure.evidence(), before) {
        (Evidence::MayHaveRun, _) | (_, Repeat::MayHaveRun) => Repeat::MayHaveRun,
        (Evidence::DidNotRun, _) => Repeat::NotRun,
    }
}
