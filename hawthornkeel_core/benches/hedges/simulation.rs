//! Discrete-event simulation of one entry that calls one pool.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::document::Stage;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::message::GrantId;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::request::event::Action;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::request::failure::CallFailure;
use hawthornkeel_core::request::run::PipelineRun;
use hawthornkeel_core::request::spec::RequestSpec;
use hawthornkeel_core::routing::AttemptKind;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::StageRequest;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::at;
use crate::common::document;
use crate::common::target;
use crate::common::warm_router;

const TARGETS: u64 = 8;
/// Concurrent calls that a target accepts.
const CALL_LIMIT: u32 = 8;
/// Range of the call time without faults, in microseconds.
const CALL_TIME_MICROS: std::ops::Range<u64> = 60_000..140_000;
/// Requests per second: half of the targets' capacity.
const ARRIVAL_RATE: f64 = 320.0;
/// Time during which requests arrive, in milliseconds.
const RUN_MILLIS: u64 = 120_000;
/// Start of the fault, in milliseconds.
const FAULT_START_MILLIS: u64 = 40_000;
/// Validity of a grant for a call to a target that isn't known to be warm.
const GRANT_DURATION: Duration = Duration::from_secs(9);
const DEADLINE: Duration = Duration::from_secs(8);

/// Fault to inject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// One call in 200 takes 20 times as long.
    SlowCalls,
    /// One target slows tenfold for 30 s.
    SlowTarget,
    /// All targets slow tenfold for 10 s.
    SlowPool,
}

/// Totals of a run.
pub struct Totals {
    pub requests: u64,
    pub answered: u64,
    pub hedges: u64,
    /// Time from arrival to the answer, in microseconds.
    pub times: Histogram<u64>,
    /// Time in which targets ran calls, and the part that went to cancelled calls.
    busy_time: Duration,
    wasted_time: Duration,
}

impl Totals {
    /// Returns the share of requests answered in full.
    pub fn attainment(&self) -> f64 {
        self.answered as f64 / self.requests as f64
    }

    /// Returns the share of busy time that went to cancelled calls.
    pub fn wasted(&self) -> f64 {
        self.wasted_time.as_secs_f64() / self.busy_time.as_secs_f64()
    }
}

/// Event of a run; ignored if its request has ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    CallEnded(CallId),
    HedgeDue(CallId),
    Deadline(RequestId),
}

struct Request {
    run: PipelineRun,
    arrived: Instant,
    permit: Option<Permit>,
    /// Target of the first call.
    first_target: Option<TargetName>,
}

struct Call {
    permit: Permit,
    started: Instant,
}

/// State of a run.
pub struct Simulation {
    now: Instant,
    router: Router,
    rng: ChaCha8Rng,
    fault: Fault,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    requests: IndexMap<RequestId, Request>,
    calls: IndexMap<CallId, Call>,
    pipeline: Arc<Pipeline>,
    totals: Totals,
}

impl Simulation {
    /// Creates an entry and a pool of warm targets.
    pub fn new(settings: RouterSettings, fault: Fault) -> Self {
        let targets: Vec<TargetInfo> =
            (0..TARGETS).map(|i| target(&format!("t{i}"), "a")).collect();
        let stage = Stage { name: "s".into(), pool: "p".into(), ..Stage::default() };
        let stages = vec![Stage { max_attempts: 3, floor_ms: 1, ..stage }];
        let pipeline = Pipeline { name: "p".into(), stages, ..Pipeline::default() };
        let totals = Totals {
            requests: 0,
            answered: 0,
            hedges: 0,
            times: Histogram::new(3).unwrap(),
            busy_time: Duration::ZERO,
            wasted_time: Duration::ZERO,
        };
        Self {
            now: at(0),
            router: warm_router(&document(CALL_LIMIT, &[("w", 1)]), &targets, settings),
            rng: ChaCha8Rng::seed_from_u64(1),
            fault,
            events: BinaryHeap::from([Reverse((at(0), Event::Arrival))]),
            requests: IndexMap::new(),
            calls: IndexMap::new(),
            pipeline: Arc::new(pipeline),
            totals,
        }
    }

    /// Runs until the last request has ended and returns the totals.
    pub fn run(mut self) -> Totals {
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrival => self.handle_arrival(),
                Event::CallEnded(call) => self.finish_call(call),
                Event::HedgeDue(call) => self.handle_input(call.request, Input::HedgeDue(call)),
                Event::Deadline(id) => self.handle_input(id, Input::DeadlinePassed),
            }
            self.grant_requests();
            for ready in self.router.take_ready(now) {
                self.apply_decision(ready.call.request, ready.decision);
            }
        }
        self.totals
    }

    /// Acts as the issuer and grants every request.
    fn grant_requests(&mut self) {
        for out in self.router.take_messages(self.now) {
            let GrantMessage::Request { number, target, .. } = out.message else {
                continue;
            };
            let (grant, lasts) = (GrantId { issuer: out.issuer, number }, GRANT_DURATION);
            let granted = GrantMessage::Granted { number, grant, target, lasts };
            self.router.handle_message(self.now, &granted);
        }
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    fn handle_arrival(&mut self) {
        if self.now < at(RUN_MILLIS) {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / ARRIVAL_RATE;
            self.schedule_after(Duration::from_secs_f64(gap), Event::Arrival);
        }
        self.totals.requests += 1;
        let id = RequestId(u128::from(self.totals.requests));
        let run = PipelineRun::new(RequestSpec {
            id,
            instance: "e0".into(),
            workspace: "w".into(),
            pipeline: Arc::clone(&self.pipeline),
            key: None,
            digest: 0,
            streamed: false,
            deadline: self.now + DEADLINE,
        });
        let request = Request { run, arrived: self.now, permit: None, first_target: None };
        self.requests.insert(id, request);
        self.schedule_after(DEADLINE, Event::Deadline(id));
        self.handle_input(id, Input::Started);
    }

    fn finish_call(&mut self, call: CallId) {
        let Some(running) = self.calls.swap_remove(&call) else {
            return;
        };
        let latency = self.now.since(running.started);
        self.totals.busy_time += latency;
        let incarnation = Some(Incarnation(1));
        let outcome = CallOutcome::Answered { latency, tokens: 0, incarnation };
        let (target, grant) = (running.permit.target.clone(), running.permit.grant.clone());
        self.router.finish_call(self.now, running.permit, outcome);
        if let Some(grant) = grant {
            let warm = GrantMessage::Warm { grant, target, incarnation };
            self.router.handle_message(self.now, &warm);
        }
        self.handle_input(call.request, Input::Answered { call, answer: Bytes::new() });
    }

    fn handle_input(&mut self, id: RequestId, input: Input) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        for action in request.run.handle(self.now, input) {
            self.apply_action(id, action);
        }
        if self.requests.get(&id).is_some_and(|r| r.run.is_ended()) {
            self.requests.swap_remove(&id);
        }
    }

    fn apply_action(&mut self, id: RequestId, action: Action) {
        match action {
            Action::Route { stage, attempt } => {
                let call = CallId { request: id, stage, attempt };
                let decision = self.choose(call, AttemptKind::First, Vec::new());
                self.apply_decision(id, decision);
            }
            Action::Dispatch { call, .. } => self.dispatch(call),
            Action::Hedge(call) => self.hedge(call),
            Action::Cancel(call) => self.cancel(call),
            Action::Finish(_) => self.record_answer(id),
            Action::ReleasePermit | Action::Refuse(_) => {
                let stage = StageIndex(0);
                let call = CallId { request: id, stage, attempt: AttemptNumber(0) };
                self.router.cancel(self.now, call);
            }
            other => panic!("unexpected action: {other:?}"),
        }
    }

    fn choose(&mut self, call: CallId, kind: AttemptKind, excluded: Vec<TargetName>) -> Decision {
        let query = StageRequest {
            call,
            workspace: "w".into(),
            pool: "p".into(),
            deadline: self.requests[&call.request].arrived + DEADLINE,
            floor: Duration::from_millis(1),
            excluded,
            kind,
            ..StageRequest::default()
        };
        self.router.choose(self.now, &query)
    }

    fn apply_decision(&mut self, id: RequestId, decision: Decision) {
        match decision {
            Decision::Send { permit, .. } => {
                let Some(request) = self.requests.get_mut(&id) else {
                    return self.router.finish_call(self.now, permit, CallOutcome::Cancelled);
                };
                request.permit = Some(permit);
                self.handle_input(id, Input::Routed);
            }
            Decision::Wait { .. } => {}
            Decision::Refuse { .. } => {
                self.handle_input(id, Input::NotRouted { retry_after: None })
            }
        }
    }

    fn dispatch(&mut self, call: CallId) {
        let request = self.requests.get_mut(&call.request).unwrap();
        let permit = request.permit.take().unwrap();
        request.first_target = Some(permit.target.clone());
        if let Some(delay) = self.router.hedge_delay(&permit) {
            self.schedule_after(delay, Event::HedgeDue(call));
        }
        self.start_call(call, permit);
    }

    fn hedge(&mut self, call: CallId) {
        let first_target = self.requests[&call.request].first_target.clone();
        let decision = self.choose(call, AttemptKind::Hedge, first_target.into_iter().collect());
        let Decision::Send { permit, .. } = decision else {
            let failure = CallFailure::NotSent;
            return self.handle_input(call.request, Input::Failed { call, failure, received: 0 });
        };
        self.totals.hedges += 1;
        self.start_call(call, permit);
    }

    /// Starts a call and schedules its answer.
    fn start_call(&mut self, call: CallId, permit: Permit) {
        let time = self.call_time(&permit.target);
        self.schedule_after(time, Event::CallEnded(call));
        self.calls.insert(call, Call { permit, started: self.now });
    }

    fn call_time(&mut self, target: &TargetName) -> Duration {
        let in_fault = |millis: u64| {
            (at(FAULT_START_MILLIS)..at(FAULT_START_MILLIS + millis)).contains(&self.now)
        };
        let slowdown = match self.fault {
            Fault::None => 1,
            Fault::SlowCalls if self.rng.random_range(0..200) == 0 => 20,
            Fault::SlowTarget if in_fault(30_000) && target.as_str() == "t0" => 10,
            Fault::SlowPool if in_fault(10_000) => 10,
            Fault::SlowCalls | Fault::SlowTarget | Fault::SlowPool => 1,
        };
        Duration::from_micros(self.rng.random_range(CALL_TIME_MICROS) * slowdown)
    }

    fn cancel(&mut self, call: CallId) {
        let running = self.calls.swap_remove(&call).unwrap();
        let elapsed = self.now.since(running.started);
        self.totals.busy_time += elapsed;
        self.totals.wasted_time += elapsed;
        self.router.finish_call(self.now, running.permit, CallOutcome::Cancelled);
    }

    fn record_answer(&mut self, id: RequestId) {
        let time = self.now.since(self.requests[&id].arrived);
        self.totals.answered += 1;
        self.totals.times.record(time.as_micros() as u64).unwrap();
    }
}
