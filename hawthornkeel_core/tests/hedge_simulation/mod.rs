//! Entries that hedge requests to a pool of three targets, on a virtual clock.
//!
//! Each target runs a bounded number of requests at once and queues the others; a cancelled request
//! frees its place.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::hedging::HedgeDenial;
use hawthornkeel_core::placement::hedging::HedgeLimits;
use hawthornkeel_core::placement::hedging::Hedging;
use hawthornkeel_core::placement::hedging::SlowAttempt;
use hawthornkeel_core::placement::hedging::ask_interval;
use hawthornkeel_core::placement::limit::EntryView;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::placement::retries::RetryBucket;
use hawthornkeel_core::placement::retries::RetryBudget;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::notice_harness::Fleet;
use crate::notice_harness::listed;
use crate::notice_harness::pool;

/// Number of targets.
pub const TARGETS: usize = 3;
/// Number of entries.
pub const ENTRIES: usize = 8;
/// Requests that a target runs at once.
const SLOTS: usize = 16;
/// Time of a usual request, in microseconds; the mean of the spread part is as long again.
const BASE_US: f64 = 20_000.0;
/// Time of a slow outlier, in microseconds.
const OUTLIER_US: f64 = 400_000.0;
/// Window of the budgets.
pub const WINDOW: Duration = Duration::from_secs(10);

/// What a run simulates.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Share of hedges.
    pub share: f64,
    /// Requests a second at all entries together.
    pub rate: f64,
    /// Share of requests that are slow for no reason.
    pub outliers: f64,
    /// Factor of the time of each target from the middle third of the run on, up to its end.
    pub slow: [f64; TARGETS],
    /// What the second and third target say of themselves at the start of that third.
    pub notice: Option<Notice>,
    /// Retry budget.
    pub retries: RetryBudget,
    /// Whether a planned stop is in progress in that third.
    pub stopping: bool,
    /// Time from arrival to the deadline of each request.
    pub deadline: Duration,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            share: 0.05,
            rate: 400.0,
            outliers: 0.0,
            slow: [1.0; TARGETS],
            notice: None,
            retries: RetryBudget { ratio: 0.2, slack: 206.0, window: WINDOW },
            stopping: false,
            deadline: Duration::from_secs(5),
        }
    }
}

/// What a run has shown.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Latencies of all requests in microseconds, sorted.
    pub latencies: Vec<u64>,
    /// Times of all arrivals by entry, in milliseconds.
    pub arrivals: Vec<(usize, u64)>,
    /// Times of all hedges by entry, in milliseconds.
    pub hedges: Vec<(usize, u64)>,
    /// Times of all attempts at the second and third target, in milliseconds.
    pub others: Vec<u64>,
    /// Number of hedges that won.
    pub won: usize,
    /// Times and reasons of each denial of a hedge.
    pub denied: Vec<(u64, HedgeDenial)>,
}

impl Outcome {
    /// Returns a quantile of the latencies in milliseconds.
    pub fn quantile(&self, quantile: f64) -> f64 {
        let at = (self.latencies.len() as f64 * quantile) as usize;
        self.latencies[at.min(self.latencies.len() - 1)] as f64 / 1_000.0
    }

    /// Returns the number of hedges as a share of the requests.
    pub fn extra(&self) -> f64 {
        self.hedges.len() as f64 / self.arrivals.len() as f64
    }

    /// Returns how many hedges were denied for a reason.
    pub fn denials(&self, reason: HedgeDenial) -> usize {
        self.denied.iter().filter(|(_, r)| *r == reason).count()
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    HedgeDue(usize, Duration),
    Ended(usize),
}

struct Entry {
    fleet: Fleet,
    hedging: Hedging,
    retries: RetryBucket,
}

struct Request {
    entry: usize,
    arrived: u64,
    attempts: Vec<usize>,
    is_done: bool,
}

struct Attempt {
    request: usize,
    target: usize,
    /// Held as long as it is in progress.
    chosen: Option<ChosenTarget>,
    started: u64,
    is_running: bool,
}

/// Simulation of one scenario.
pub struct Simulation {
    scenario: Scenario,
    random: StdRng,
    now: u64,
    third: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    running: [usize; TARGETS],
    queues: [VecDeque<usize>; TARGETS],
    is_told: bool,
    pool: PoolName,
    route: RouteName,
    outcome: Outcome,
}

impl Simulation {
    /// Runs a scenario for some seconds, and returns what it has shown.
    pub fn run(seed: u64, seconds: u64, scenario: Scenario) -> Outcome {
        let names: Vec<InstanceName> =
            (0..ENTRIES).map(|n| InstanceName::new(&format!("e{n}"))).collect();
        let limits = HedgeLimits { share: scenario.share, quantile: 0.95, window: WINDOW };
        let entry = |own: &InstanceName| {
            let mut fleet = Fleet::new(TARGETS as u16);
            let view = EntryView { own: own.clone(), entries: names.clone(), peak: ENTRIES };
            fleet.balancer.set_entry_view(Instant::ZERO, view);
            Entry { fleet, hedging: Hedging::new(limits), retries: RetryBucket::default() }
        };
        let mut simulation = Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            third: seconds * 1_000_000 / 3,
            events: BinaryHeap::from([Reverse((0, Event::Arrival))]),
            entries: names.iter().map(entry).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            running: [0; TARGETS],
            queues: Default::default(),
            is_told: false,
            pool: pool(),
            route: RouteName::new("lots"),
            outcome: Outcome::default(),
        };
        while let Some(Reverse((now, event))) = simulation.events.pop() {
            simulation.now = now;
            match event {
                Event::Arrival if now > seconds * 1_000_000 => {}
                Event::Arrival => simulation.arrive(),
                Event::HedgeDue(request, delay) => simulation.hedge(request, delay),
                Event::Ended(attempt) => simulation.end(attempt),
            }
        }
        simulation.outcome.latencies.sort_unstable();
        simulation.outcome
    }

    fn in_middle(&self) -> bool {
        (self.third..2 * self.third).contains(&self.now)
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.scenario.rate * 1e6;
        self.events.push(Reverse((self.now + gap as u64, Event::Arrival)));
        if self.in_middle() && !self.is_told {
            self.is_told = true;
            self.tell();
        }
        let (now, at) = (Instant::from_micros(self.now), self.random.random_range(0..ENTRIES));
        let Scenario { retries, .. } = self.scenario;
        let entry = &mut self.entries[at];
        entry.hedging.record_request(now, &self.pool);
        entry.retries.record_request(&retries, ENTRIES);
        self.outcome.arrivals.push((at, self.now / 1_000));
        let Ok(chosen) = entry.fleet.choose(self.now / 1_000, self.random.random()) else { return };
        let delay = entry.hedging.delay(now, &self.route);
        let request = self.requests.len();
        let (arrived, attempts) = (self.now, Vec::new());
        self.requests.push(Request { entry: at, arrived, attempts, is_done: false });
        self.begin(request, chosen);
        if let Some(delay) = delay {
            let due = self.now + delay.as_micros() as u64;
            self.events.push(Reverse((due, Event::HedgeDue(request, delay))));
        }
    }

    /// Applies what the second and third target say of themselves.
    fn tell(&mut self) {
        let Some(notice) = self.scenario.notice else { return };
        for entry in &mut self.entries {
            for number in 1..TARGETS as u16 {
                entry.fleet.tell(self.now / 1_000, &listed(number, None).run(), notice);
            }
        }
    }

    fn hedge(&mut self, request: usize, delay: Duration) {
        let Request { entry, arrived, ref attempts, is_done } = self.requests[request];
        if is_done {
            return;
        }
        let (now, scenario) = (Instant::from_micros(self.now), self.scenario);
        let first = attempts.first().and_then(|a| self.attempts[*a].chosen.as_ref());
        let tried = vec![first.unwrap().name.clone()];
        let elapsed = Duration::from_micros(self.now - arrived);
        let slow = SlowAttempt {
            elapsed,
            time_left: scenario.deadline.saturating_sub(elapsed),
            stop_allows: !(scenario.stopping && self.in_middle()),
            may_repeat: true,
            has_links: true,
        };
        let Entry { fleet, hedging, retries } = &mut self.entries[entry];
        let names = (&self.route, &self.pool);
        let has_retry = || retries.has_token(now, &scenario.retries, ENTRIES);
        let (ms, session) = (self.now / 1_000, self.random.random());
        let choose = || fleet.choose_other(ms, session, &tried);
        match hedging.decide(now, names, &slow, has_retry, choose) {
            Ok(chosen) => {
                assert!(retries.try_take(now, &scenario.retries, ENTRIES));
                self.outcome.hedges.push((entry, ms));
                self.begin(request, chosen);
            }
            Err(reason) => {
                self.outcome.denied.push((ms, reason));
                let due = self.now + ask_interval(delay).as_micros() as u64;
                self.events.push(Reverse((due, Event::HedgeDue(request, delay))));
            }
        }
    }

    fn begin(&mut self, request: usize, chosen: ChosenTarget) {
        let target = (0..TARGETS).find(|n| listed(*n as u16, None).name == chosen.name).unwrap();
        if target > 0 {
            self.outcome.others.push(self.now / 1_000);
        }
        let attempt = self.attempts.len();
        self.requests[request].attempts.push(attempt);
        let started = self.now;
        let chosen = Some(chosen);
        self.attempts.push(Attempt { request, target, chosen, started, is_running: false });
        self.queues[target].push_back(attempt);
        self.start_next(target);
    }

    fn start_next(&mut self, target: usize) {
        while self.running[target] < SLOTS
            && let Some(attempt) = self.queues[target].pop_front()
        {
            self.running[target] += 1;
            self.attempts[attempt].is_running = true;
            let spread = -(1.0 - self.random.random::<f64>()).ln() * BASE_US;
            let outlier = self.random.random_bool(self.scenario.outliers);
            let time = BASE_US + spread + if outlier { OUTLIER_US } else { 0.0 };
            let factor = if self.in_middle() { self.scenario.slow[target] } else { 1.0 };
            let end = self.now + (time * factor) as u64;
            self.events.push(Reverse((end, Event::Ended(attempt))));
        }
    }

    /// Ends an attempt that is whole, unless it was cancelled, and cancels the other one.
    fn end(&mut self, attempt: usize) {
        if self.attempts[attempt].chosen.is_none() {
            return;
        }
        let number = self.attempts[attempt].request;
        self.requests[number].is_done = true;
        let Request { entry, arrived, ref attempts, .. } = self.requests[number];
        let attempts = attempts.clone();
        self.outcome.latencies.push(self.now - arrived);
        self.outcome.won += usize::from(attempts.len() > 1 && attempts[1] == attempt);
        let first = Duration::from_micros(self.now - self.attempts[attempts[0]].started);
        let now = Instant::from_micros(self.now);
        self.entries[entry].hedging.record_latency(now, &self.route, first);
        for other in attempts {
            let outcome = match other == attempt {
                true => TargetOutcome::Succeeded,
                false => TargetOutcome::Abandoned,
            };
            let chosen = self.attempts[other].chosen.take().unwrap();
            self.entries[entry].fleet.balancer.record_outcome(now, &chosen.name, outcome);
            let target = self.attempts[other].target;
            self.queues[target].retain(|a| *a != other);
            self.running[target] -= usize::from(self.attempts[other].is_running);
            self.start_next(target);
        }
    }
}
