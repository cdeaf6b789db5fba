//! One entry before one pool: requests, calls and what they add up to.

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
/// Calls that a target bears at once.
const BEARS: u32 = 8;
/// Shortest and longest usual call, in microseconds.
const USUAL: std::ops::Range<u64> = 60_000..140_000;
/// Requests a second: half of what the targets bear.
const RATE: f64 = 320.0;
/// Length of a run, in milliseconds.
const RUN_MILLIS: u64 = 120_000;
/// Start of a fault, in milliseconds.
const FAULT_MILLIS: u64 = 40_000;
/// Longest call to a target that has to prove itself.
const GRANT: Duration = Duration::from_secs(9);
const DEADLINE: Duration = Duration::from_secs(8);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// One call in 200 takes 20 times as long.
    Stray,
    /// One target slows tenfold for 30 s.
    Target,
    /// All targets slow tenfold for 10 s.
    Stage,
}

/// What a run adds up to.
pub struct Totals {
    pub requests: u64,
    pub answered: u64,
    pub hedges: u64,
    /// Time from arrival to the answer, in microseconds.
    pub times: Histogram<u64>,
    busy: Duration,
    lost: Duration,
}

impl Totals {
    /// Returns the share of requests answered in full.
    pub fn attainment(&self) -> f64 {
        self.answered as f64 / self.requests as f64
    }

    /// Returns the share of the targets' time that brought no answer.
    pub fn wasted(&self) -> f64 {
        self.lost.as_secs_f64() / self.busy.as_secs_f64()
    }
}

/// Event of a run; its request is gone where it came too late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Answer(CallId),
    HedgeDue(CallId),
    Deadline(RequestId),
}

struct Request {
    run: PipelineRun,
    arrived: Instant,
    chosen: Option<Permit>,
    /// Target of the first call.
    called: Option<TargetName>,
}

struct Flight {
    permit: Permit,
    started: Instant,
}

/// One entry before one pool.
pub struct Site {
    now: Instant,
    router: Router,
    rng: ChaCha8Rng,
    fault: Fault,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    requests: IndexMap<RequestId, Request>,
    flights: IndexMap<CallId, Flight>,
    pipeline: Arc<Pipeline>,
    totals: Totals,
}

impl Site {
    /// Creates a site whose targets are warm.
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
            busy: Duration::ZERO,
            lost: Duration::ZERO,
        };
        Self {
            now: at(0),
            router: warm_router(&document(BEARS, &[("w", 1)]), &targets, settings),
            rng: ChaCha8Rng::seed_from_u64(1),
            fault,
            events: BinaryHeap::from([Reverse((at(0), Event::Arrive))]),
            requests: IndexMap::new(),
            flights: IndexMap::new(),
            pipeline: Arc::new(pipeline),
            totals,
        }
    }

    /// Runs to the end of the last request.
    pub fn run(mut self) -> Totals {
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrive => self.arrive(),
                Event::Answer(call) => self.answer(call),
                Event::HedgeDue(call) => self.feed(call.request, Input::HedgeDue(call)),
                Event::Deadline(id) => self.feed(id, Input::DeadlinePassed),
            }
            self.grant();
            for ready in self.router.take_ready(now) {
                self.decided(ready.call.request, ready.decision);
            }
        }
        self.totals
    }

    /// Plays the issuer, which grants what is asked for.
    fn grant(&mut self) {
        for out in self.router.take_messages(self.now) {
            let GrantMessage::Request { number, target, .. } = out.message else {
                continue;
            };
            let (grant, lasts) = (GrantId { issuer: out.issuer, number }, GRANT);
            let granted = GrantMessage::Granted { number, grant, target, lasts };
            self.router.handle_message(self.now, &granted);
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.events.push(Reverse((self.now + delay, event)));
    }

    fn arrive(&mut self) {
        if self.now < at(RUN_MILLIS) {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / RATE;
            self.after(Duration::from_secs_f64(gap), Event::Arrive);
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
        let request = Request { run, arrived: self.now, chosen: None, called: None };
        self.requests.insert(id, request);
        self.after(DEADLINE, Event::Deadline(id));
        self.feed(id, Input::Started);
    }

    fn answer(&mut self, call: CallId) {
        let Some(flight) = self.flights.swap_remove(&call) else {
            return;
        };
        let latency = self.now.since(flight.started);
        self.totals.busy += latency;
        let incarnation = Some(Incarnation(1));
        let outcome = CallOutcome::Answered { latency, tokens: 0, incarnation };
        let (target, grant) = (flight.permit.target.clone(), flight.permit.grant.clone());
        self.router.finish_call(self.now, flight.permit, outcome);
        if let Some(grant) = grant {
            let warm = GrantMessage::Warm { grant, target, incarnation };
            self.router.handle_message(self.now, &warm);
        }
        self.feed(call.request, Input::Answered { call, answer: Bytes::new() });
    }

    fn feed(&mut self, id: RequestId, input: Input) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        for action in request.run.handle(self.now, input) {
            self.carry_out(id, action);
        }
        if self.requests.get(&id).is_some_and(|r| r.run.is_ended()) {
            self.requests.swap_remove(&id);
        }
    }

    fn carry_out(&mut self, id: RequestId, action: Action) {
        match action {
            Action::Route { stage, attempt } => {
                let call = CallId { request: id, stage, attempt };
                let decision = self.choose(call, AttemptKind::First, Vec::new());
                self.decided(id, decision);
            }
            Action::Dispatch { call, .. } => self.dispatch(call),
            Action::Hedge(call) => self.hedge(call),
            Action::Cancel(call) => self.cancel(call),
            Action::Finish(_) => self.finish(id),
            Action::ReleasePermit | Action::Refuse(_) => {
                let stage = StageIndex(0);
                let call = CallId { request: id, stage, attempt: AttemptNumber(0) };
                self.router.cancel(self.now, call);
            }
            other => panic!("not met here: {other:?}"),
        }
    }

    fn choose(&mut self, call: CallId, repeat: AttemptKind, excluded: Vec<TargetName>) -> Decision {
        let asked = StageRequest {
            call,
            workspace: "w".into(),
            pool: "p".into(),
            deadline: self.requests[&call.request].arrived + DEADLINE,
            floor: Duration::from_millis(1),
            excluded,
            kind: repeat,
            ..StageRequest::default()
        };
        self.router.choose(self.now, &asked)
    }

    fn decided(&mut self, id: RequestId, decision: Decision) {
        match decision {
            Decision::Send { permit, .. } => {
                let Some(request) = self.requests.get_mut(&id) else {
                    return self.router.finish_call(self.now, permit, CallOutcome::Cancelled);
                };
                request.chosen = Some(permit);
                self.feed(id, Input::Routed);
            }
            Decision::Wait { .. } => {}
            Decision::Refuse { .. } => self.feed(id, Input::NotRouted { retry_after: None }),
        }
    }

    fn dispatch(&mut self, call: CallId) {
        let request = self.requests.get_mut(&call.request).unwrap();
        let permit = request.chosen.take().unwrap();
        request.called = Some(permit.target.clone());
        if let Some(after) = self.router.hedge_delay(&permit) {
            self.after(after, Event::HedgeDue(call));
        }
        self.fly(call, permit);
    }

    fn hedge(&mut self, call: CallId) {
        let called = self.requests[&call.request].called.clone();
        let decision = self.choose(call, AttemptKind::Hedge, called.into_iter().collect());
        let Decision::Send { permit, .. } = decision else {
            let failure = CallFailure::NotSent;
            return self.feed(call.request, Input::Failed { call, failure, received: 0 });
        };
        self.totals.hedges += 1;
        self.fly(call, permit);
    }

    /// Begins a call.
    fn fly(&mut self, call: CallId, permit: Permit) {
        let time = self.call_time(&permit.target);
        self.after(time, Event::Answer(call));
        self.flights.insert(call, Flight { permit, started: self.now });
    }

    fn call_time(&mut self, target: &TargetName) -> Duration {
        let since = |millis: u64| (at(FAULT_MILLIS)..at(FAULT_MILLIS + millis)).contains(&self.now);
        let slow = match self.fault {
            Fault::None => 1,
            Fault::Stray if self.rng.random_range(0..200) == 0 => 20,
            Fault::Target if since(30_000) && target.as_str() == "t0" => 10,
            Fault::Stage if since(10_000) => 10,
            Fault::Stray | Fault::Target | Fault::Stage => 1,
        };
        Duration::from_micros(self.rng.random_range(USUAL) * slow)
    }

    fn cancel(&mut self, call: CallId) {
        let flight = self.flights.swap_remove(&call).unwrap();
        let busy = self.now.since(flight.started);
        self.totals.busy += busy;
        self.totals.lost += busy;
        self.router.finish_call(self.now, flight.permit, CallOutcome::Cancelled);
    }

    fn finish(&mut self, id: RequestId) {
        let time = self.now.since(self.requests[&id].arrived);
        self.totals.answered += 1;
        self.totals.times.record(time.as_micros() as u64).unwrap();
    }
}
