//! Model of a pool on a virtual clock: many entries, each with its own view, send requests to
//! targets that state their load in the head of each response.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::load::ResponseTime;
use hawthornkeel_core::placement::load::StatedLoad;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Interval at which the momentary speed of a machine changes.
const SPEED_INTERVAL: u64 = 50_000;
/// Data centres.
const CENTRES: [&str; 3] = ["a", "b", "c"];
/// Start of the clock, in microseconds.
const START: u64 = 1_000_000_000;

/// What targets state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reports {
    /// Nothing, as before loads were read.
    None,
    /// The truth.
    True,
    /// What was true up to two seconds ago.
    Stale,
    /// The truth in three of ten responses, nothing in the others.
    Lost,
    /// Random figures in three of ten responses.
    Garbled,
    /// The truth, but the first target always says that it is idle and fast.
    FalselyIdle,
}

/// Pool and load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub entries: usize,
    /// Number of data centres that have entries.
    pub entry_centres: usize,
    pub targets: usize,
    pub slots: u32,
    /// Time of work on the slower third of the machines, relative to the others.
    pub slow: f64,
    /// Requests a second.
    pub rate: f64,
    /// Mean service time, in seconds.
    pub service: f64,
    /// Number of sessions at the same time; zero if requests have none.
    pub sessions: usize,
    /// Range of the momentary speed, as a factor up or down.
    pub jitter: f64,
    /// Time before anything is measured, in seconds.
    pub warm_up: u64,
    /// Time that is measured, in seconds.
    pub measured: u64,
    pub reports: Reports,
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Slot seconds of the busiest target over the mean.
    pub busiest: f64,
    /// Requests of the target with most over the mean.
    pub most: f64,
    /// Requests of the first target over the mean.
    pub first: f64,
    /// Most requests of one target in one second, over the mean of a second.
    pub second_peak: f64,
    /// Median and 99th percentile of the time until the response begins, in milliseconds.
    pub p50: f64,
    pub p99: f64,
    /// Share of requests whose session was last at another target.
    pub moved: f64,
    /// Share of choices that loads changed.
    pub changed: f64,
}

#[derive(Debug)]
struct Target {
    slow: f64,
    momentary: f64,
    next_change: u64,
    running: u32,
    queue: VecDeque<usize>,
    stated: (u64, StatedLoad),
    requests: u32,
    busy: f64,
    seconds: Vec<u32>,
}

#[derive(Debug)]
struct Request {
    entry: usize,
    target: usize,
    arrived: u64,
    work: f64,
    chosen: ChosenTarget,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    /// The response to a request begins.
    Head(usize),
    End(usize),
}

struct Session {
    key: u64,
    weight: f64,
    last: Option<usize>,
}

/// Simulation of one case.
pub struct Simulation {
    case: Case,
    rng: ChaCha8Rng,
    now: u64,
    entries: Vec<Balancer>,
    targets: Vec<Target>,
    sessions: Vec<Session>,
    requests: Vec<Option<Request>>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    latencies: Vec<u64>,
    sent: u32,
    moved: u32,
    changed: u32,
    pool: PoolName,
    route: RouteName,
}

/// Runs a case.
pub fn run(case: Case, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(case, seed);
    let end = START + (case.warm_up + case.measured) * 1_000_000;
    simulation.schedule(START, Event::Arrival);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at >= end {
            break;
        }
        simulation.now = at;
        match event {
            Event::Arrival => simulation.arrive(),
            Event::Head(request) => simulation.begin_response(request),
            Event::End(request) => simulation.end(request),
        }
    }
    simulation.outcome()
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let list =
            TargetList { targets: (0..case.targets).map(|n| listed(n, &case)).collect(), mark: 1 };
        let entry = || {
            let mut balancer = Balancer::default();
            balancer.update(Instant::from_micros(START), &list);
            balancer
        };
        let target = |n: usize| Target {
            slow: if n.is_multiple_of(3) { case.slow } else { 1.0 },
            momentary: 1.0,
            next_change: 0,
            running: 0,
            queue: VecDeque::new(),
            stated: (0, StatedLoad::default()),
            requests: 0,
            busy: 0.0,
            seconds: vec![0; case.measured as usize],
        };
        let sessions = (0..case.sessions).map(|_| session(&mut rng)).collect();
        Self {
            case,
            now: START,
            entries: (0..case.entries).map(|_| entry()).collect(),
            targets: (0..case.targets).map(target).collect(),
            sessions,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            latencies: Vec::new(),
            sent: 0,
            moved: 0,
            changed: 0,
            pool: PoolName::new("pool"),
            route: RouteName::new("route"),
            rng,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn is_measured(&self) -> bool {
        self.now >= START + self.case.warm_up * 1_000_000
    }

    fn arrive(&mut self) {
        let gap = self.exponential(1.0 / self.case.rate);
        self.schedule(self.now + (gap * 1e6) as u64, Event::Arrival);
        let entry = self.rng.random_range(0..self.case.entries);
        let session = (!self.sessions.is_empty()).then(|| self.pick_session());
        let key = session.map_or_else(|| self.rng.random(), |s| self.sessions[s].key);
        let centre =
            session.is_none().then(|| CentreName::new(CENTRES[entry % self.case.entry_centres]));
        let query = TargetQuery {
            pool: &self.pool,
            session: key,
            centre: centre.as_ref(),
            tried: &[],
            cold: None,
            entries: self.case.entries,
            version: None,
            rule: &VersionRule::Any,
        };
        let now = Instant::from_micros(self.now);
        let chosen = self.entries[entry].choose(now, &query).unwrap();
        let target = usize::from(chosen.address.port() - 8_000);
        let work = self.work(session, target);
        if self.is_measured() {
            self.count(session, target, chosen.by_load);
        }
        if let Some(session) = session {
            self.sessions[session].last = Some(target);
        }
        let request = Request { entry, target, arrived: self.now, work, chosen };
        self.requests.push(Some(request));
        let id = self.requests.len() - 1;
        if self.targets[target].running < self.case.slots {
            self.start(id);
        } else {
            self.targets[target].queue.push_back(id);
        }
    }

    /// Picks a session by its weight; each ends at some time and another one takes its place.
    fn pick_session(&mut self) -> usize {
        loop {
            let index = self.rng.random_range(0..self.sessions.len());
            if self.rng.random::<f64>() < self.sessions[index].weight {
                if self.rng.random::<f64>() < 0.01 {
                    self.sessions[index] = session(&mut self.rng);
                }
                return index;
            }
        }
    }

    /// Returns the time of a request on a normal machine; a session's first one at a target has to
    /// read the whole prompt.
    fn work(&mut self, session: Option<usize>, target: usize) -> f64 {
        let cached = session.is_none_or(|s| self.sessions[s].last == Some(target));
        let work = 0.5 * self.case.service + self.exponential(0.5 * self.case.service);
        if cached { work } else { work * 1.2 }
    }

    fn count(&mut self, session: Option<usize>, target: usize, by_load: bool) {
        self.sent += 1;
        self.changed += u32::from(by_load);
        let last = session.and_then(|s| self.sessions[s].last);
        self.moved += u32::from(last.is_some_and(|l| l != target));
        let second = (self.now - START) / 1_000_000 - self.case.warm_up;
        self.targets[target].requests += 1;
        self.targets[target].seconds[second as usize] += 1;
    }

    fn start(&mut self, id: usize) {
        let (target, work) = self.requests[id].as_ref().map(|r| (r.target, r.work)).unwrap();
        let time = work * self.speed(target);
        self.targets[target].running += 1;
        if self.is_measured() {
            self.targets[target].busy += time;
        }
        // Engines respond once they have read the prompt, services at the end.
        let head = if self.sessions.is_empty() { time } else { time * 0.2 };
        self.schedule(self.now + (head * 1e6) as u64, Event::Head(id));
        self.schedule(self.now + (time * 1e6) as u64 + 1, Event::End(id));
    }

    /// Returns the time that work takes on a machine at the moment, as a ratio.
    fn speed(&mut self, target: usize) -> f64 {
        let jitter = self.case.jitter.ln();
        let momentary = (self.rng.random_range(-1.0..=1.0) * jitter).exp();
        let target = &mut self.targets[target];
        if self.now >= target.next_change {
            (target.momentary, target.next_change) = (momentary, self.now + SPEED_INTERVAL);
        }
        target.slow * target.momentary
    }

    fn begin_response(&mut self, id: usize) {
        let target = self.requests[id].as_ref().map(|r| r.target).unwrap();
        let load = self.stated_load(target);
        let Some(request) = self.requests[id].as_ref() else { return };
        let time = Duration::from_micros(self.now - request.arrived);
        let (now, run) = (Instant::from_micros(self.now), request.chosen.run());
        let balancer = &mut self.entries[request.entry];
        if let Some(load) = load {
            balancer.record_load(now, &run, load);
        }
        balancer.record_latency(now, &run, ResponseTime { route: &self.route, time });
        balancer.record_outcome(now, &run.name, TargetOutcome::Succeeded);
        if self.is_measured() {
            self.latencies.push(time.as_micros() as u64);
        }
    }

    fn stated_load(&mut self, target: usize) -> Option<StatedLoad> {
        let speed = self.speed(target);
        let state = &self.targets[target];
        let waiting = state.queue.len() as u32;
        let slots = self.case.slots;
        let truth = StatedLoad { running: state.running, waiting, slots, speed: Some(speed) };
        let is_rare = self.rng.random::<f64>() < 0.3;
        match self.case.reports {
            Reports::None => None,
            Reports::True => Some(truth),
            Reports::Stale => {
                if self.now >= state.stated.0 + 2_000_000 {
                    self.targets[target].stated = (self.now, truth);
                }
                Some(self.targets[target].stated.1)
            }
            Reports::Lost => is_rare.then_some(truth),
            Reports::Garbled if is_rare => Some(StatedLoad {
                running: self.rng.random_range(0..100_000),
                waiting: self.rng.random_range(0..1_000_000),
                slots: self.rng.random_range(1..100_000),
                speed: Some(self.rng.random_range(0.01..100.0)),
            }),
            Reports::Garbled => Some(truth),
            Reports::FalselyIdle if target == 0 => {
                Some(StatedLoad { running: 0, waiting: 0, slots, speed: Some(1.0) })
            }
            Reports::FalselyIdle => Some(truth),
        }
    }

    fn end(&mut self, id: usize) {
        let Some(request) = self.requests[id].take() else { return };
        let target = &mut self.targets[request.target];
        target.running -= 1;
        if let Some(next) = target.queue.pop_front() {
            self.start(next);
        }
    }

    fn outcome(mut self) -> Outcome {
        let count = self.targets.len() as f64;
        let (busy, requests): (f64, u32) =
            self.targets.iter().fold((0.0, 0), |(b, r), t| (b + t.busy, r + t.requests));
        let mean = f64::from(requests) / count;
        let peak = self.targets.iter().flat_map(|t| &t.seconds).max().copied().unwrap_or(0);
        self.latencies.sort_unstable();
        let quantile =
            |q: f64| self.latencies[((self.latencies.len() - 1) as f64 * q) as usize] as f64 / 1e3;
        let most = self.targets.iter().map(|t| t.requests).max().unwrap_or(0);
        Outcome {
            busiest: self.targets.iter().map(|t| t.busy).fold(0.0, f64::max) / (busy / count),
            most: f64::from(most) / mean,
            first: f64::from(self.targets[0].requests) / mean,
            second_peak: f64::from(peak) / (mean / self.case.measured as f64),
            p50: quantile(0.5),
            p99: quantile(0.99),
            moved: f64::from(self.moved) / f64::from(self.sent),
            changed: f64::from(self.changed) / f64::from(self.sent),
        }
    }
}

fn session(rng: &mut ChaCha8Rng) -> Session {
    Session { key: rng.random(), weight: rng.random_range(0.2..1.0), last: None }
}

fn listed(number: usize, case: &Case) -> ListedTarget {
    ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: PoolName::new("pool"),
        address: ([10, 0, 0, 1], 8_000 + number as u16).into(),
        centre: CentreName::new(CENTRES[number % 3]),
        born: None,
        version: "v1".into(),
        slots: case.slots,
        leaving: false,
        cold_ms: 0,
    }
}
