//! Rollouts on a virtual clock: entries, targets of two versions, a lossy network and leaders that change.

#![allow(dead_code)]

use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::rollout::controller::Action;
use hawthornkeel_core::rollout::controller::Input;
use hawthornkeel_core::rollout::controller::RolloutController;
use hawthornkeel_core::rollout::controller::RolloutSettings;
use hawthornkeel_core::rollout::message::CountRow;
use hawthornkeel_core::rollout::message::LATENCY_BUCKETS;
use hawthornkeel_core::rollout::message::OutcomeCounts;
use hawthornkeel_core::rollout::message::RolloutGrant;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RollBackCause;
use hawthornkeel_core::rollout::record::RolloutCommand;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::rollout::record::RolloutStep;
use hawthornkeel_core::rollout::record::Rollouts;
use hawthornkeel_core::time::Instant;
use hawthornkeel_core::time::WallTime;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Length of a step.
pub const STEP_MS: u64 = 10;
const POOL: &str = "huvo11a";
const ROUTES: usize = 5;
/// Requests per second and median latency in milliseconds, by route.
const RATES: [f64; ROUTES] = [82.0, 156.0, 37.0, 91.0, 21.0];
const MEDIANS_MS: [f64; ROUTES] = [60.0, 40.0, 150.0, 90.0, 300.0];
const SIGMA: f64 = 0.5;
/// Share of failures of a good version.
const BASE_FAILURES: f64 = 0.005;
const CENTRES: usize = 3;
const ENTRIES: usize = 76;
/// What happens during a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Sound,
    /// Trial targets crash and return, cold if so told.
    Crashes {
        cold: bool,
    },
    CutCentre,
    /// All targets take four times as long from some time on.
    BothSlow,
    /// One trial target fails every request or takes eight times as long.
    OneBroken,
    /// No version can answer 30 % of the requests of one route.
    BothFail,
    Fails(f64),
    Slower(f64),
    /// Fails 30 % from some time on.
    Later,
    /// Fails half of the requests at a target with over 0.6 of the usual load.
    UnderLoad,
    /// Fails all requests of one route.
    OneRoute,
}

impl Way {
    pub fn is_sound(self) -> bool {
        !matches!(
            self,
            Self::Fails(_) | Self::Slower(_) | Self::Later | Self::UnderLoad | Self::OneRoute
        )
    }
}

/// Conditions of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub way: Way,
    pub duration_ms: u64,
    /// Whether messages are lost, late and doubled, entries restart and leaders change.
    pub is_lossy: bool,
    /// Share of the sessions that an entry sends to the trial if its grant allows it.
    pub eagerness: f64,
    /// Factor of the traffic.
    pub traffic: f64,
    /// Targets of each version.
    pub targets: usize,
}

impl Plan {
    pub fn new(way: Way, duration_ms: u64) -> Self {
        Self { way, duration_ms, is_lossy: false, eagerness: 0.05, traffic: 1.0, targets: 60 }
    }
}

impl Plan {
    fn trial_targets(&self) -> usize {
        ((self.targets as f64 * 0.05).ceil() as usize).max(2)
    }
}

/// What became of a rollout.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub phase: RolloutPhase,
    pub cause: Option<RollBackCause>,
    /// Requests until the deadline, and those of them sent to the new version.
    pub arrivals: u64,
    pub sent: u64,
    pub trial_sent: u64,
    /// Time from the 50th bad response to the last request before the deadline, in milliseconds.
    pub stopped_after_ms: Option<u64>,
    /// Steps at which the trial had sent more than its budget.
    pub over_budget: u64,
    pub detail: String,
}

#[derive(Clone, Debug)]
enum Event {
    Response { entry: usize, process: u64, key: RowKey, bucket: Option<usize>, failed: bool },
    Lost { entry: usize, process: u64, is_old: bool },
    Report { leader: usize, entry: usize, at_ms: u64, report: RolloutReport },
    Grant { entry: usize, process: u64, at_ms: u64, grant: RolloutGrant },
    Commit { leader: usize, step: RolloutStep },
}

/// Route, data centre, and target of the new version.
type RowKey = (usize, usize, Option<usize>);

#[derive(Clone, Debug, Default)]
struct Entry {
    process: u64,
    sequence: u64,
    phase: RolloutPhase,
    limit: u64,
    expires_ms: u64,
    report_ms: u64,
    next_report_ms: u64,
    arrivals: u64,
    sent: u64,
    old_running: u32,
    rows: IndexMap<RowKey, OutcomeCounts>,
}

/// Names, which are shared because making them takes most of the time otherwise.
struct Names {
    entries: Vec<InstanceName>,
    routes: Vec<RouteName>,
    centres: Vec<CentreName>,
    targets: Vec<TargetName>,
}

impl Names {
    fn new(targets: usize) -> Self {
        Self {
            entries: (0..ENTRIES).map(|i| InstanceName::new(&format!("e{i}"))).collect(),
            routes: (0..ROUTES).map(|i| RouteName::new(&format!("r{i}"))).collect(),
            centres: (0..CENTRES).map(|i| CentreName::new(&format!("c{i}"))).collect(),
            targets: (0..targets).map(|i| TargetName::new(&format!("t{i}"))).collect(),
        }
    }
}

struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now_ms: u64,
    events: Vec<Vec<Event>>,
    leaders: Vec<RolloutController>,
    rollouts: Rollouts,
    entries: Vec<Entry>,
    names: Names,
    centres: Vec<usize>,
    answered: Vec<u32>,
    load: Vec<(u64, f64)>,
    trouble_ms: u64,
    odd: usize,
    bad: u64,
    fiftieth_ms: Option<u64>,
    last_ms: u64,
    outcome: Outcome,
}

/// Returns the number of rollouts of each case: that of the environment variable `ROLLOUT_RUNS`, or
/// `usual`.
pub fn runs(usual: u64) -> u64 {
    std::env::var("ROLLOUT_RUNS").ok().and_then(|r| r.parse().ok()).unwrap_or(usual)
}

/// Runs a rollout.
pub fn run(seed: u64, plan: Plan) -> Outcome {
    let mut world = World::new(seed, plan);
    while world.now_ms < plan.duration_ms + 1_000 {
        world.step();
    }
    let record = world.record().clone();
    let fiftieth = world.fiftieth_ms.filter(|f| *f < plan.duration_ms);
    Outcome {
        phase: record.phase,
        cause: record.cause,
        stopped_after_ms: fiftieth.map(|f| world.last_ms.saturating_sub(f)),
        ..world.outcome
    }
}

impl World {
    fn new(seed: u64, plan: Plan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let part = rng.random_range(0.2..0.7);
        let mut world = Self {
            plan,
            now_ms: 0,
            events: vec![Vec::new(); (plan.duration_ms / STEP_MS) as usize + 2_000],
            leaders: vec![RolloutController::new(RolloutSettings::default())],
            rollouts: Rollouts::default(),
            entries: vec![Entry::default(); ENTRIES],
            names: Names::new(plan.targets),
            centres: (0..2 * plan.targets).map(|_| rng.random_range(0..CENTRES)).collect(),
            answered: vec![0; 2 * plan.targets],
            load: vec![(0, 0.0); 2 * plan.targets],
            trouble_ms: (plan.duration_ms as f64 * part) as u64,
            odd: rng.random_range(0..ROUTES * CENTRES),
            bad: 0,
            fiftieth_ms: None,
            last_ms: 0,
            outcome: Outcome::default(),
            rng,
        };
        for entry in &mut world.entries {
            entry.process = world.rng.random();
            entry.next_report_ms = world.rng.random_range(20..500);
            entry.report_ms = 500;
        }
        let order =
            RolloutOrder { pool: POOL.into(), version: "v2".into(), duration_ms: plan.duration_ms };
        world.rollouts.apply(LogIndex(7), WallTime::default(), &RolloutCommand::Begin(order));
        world.tell_record(0);
        world
    }

    fn record(&self) -> &RolloutRecord {
        &self.rollouts.records()[POOL]
    }

    fn step(&mut self) {
        let step = (self.now_ms / STEP_MS) as usize;
        for event in std::mem::take(&mut self.events[step]) {
            self.process(event);
        }
        for leader in 0..self.leaders.len() {
            let due = self.leaders[leader].next_tick();
            if due.is_some_and(|d| d <= self.now()) {
                self.input(leader, Input::Tick);
            }
        }
        for (route, rate) in RATES.into_iter().enumerate() {
            for _ in 0..self.poisson(rate * self.plan.traffic * STEP_MS as f64 / 1000.0) {
                self.request(route);
            }
        }
        for entry in 0..ENTRIES {
            let state = &self.entries[entry];
            if state.phase.is_running() && self.now_ms >= state.next_report_ms {
                self.report(entry);
            }
        }
        if self.plan.is_lossy {
            self.disturb();
        }
        let budget = 0.05 * self.outcome.arrivals as f64 + 20.0;
        self.outcome.over_budget += u64::from(self.outcome.trial_sent as f64 > budget);
        self.now_ms += STEP_MS;
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    /// Restarts entries and changes leaders; the last two leaders go on side by side.
    fn disturb(&mut self) {
        if self.rng.random_bool(0.005) {
            let entry = self.rng.random_range(0..ENTRIES);
            let next_report_ms = self.now_ms + self.rng.random_range(10..800);
            let process = self.rng.random();
            let phase = self.record().phase;
            self.entries[entry] =
                Entry { process, phase, next_report_ms, report_ms: 500, ..Entry::default() };
        }
        if self.rng.random_bool(0.002) {
            self.leaders.push(RolloutController::new(RolloutSettings::default()));
            self.tell_record(self.leaders.len() - 1);
        }
    }

    fn tell_record(&mut self, leader: usize) {
        let elapsed = Duration::from_millis(self.now_ms);
        let record = self.record().clone();
        self.input(leader, Input::Record { record, elapsed });
        let versions = ["v1", "v2"].map(|v| (v.into(), self.plan.targets)).into_iter().collect();
        self.input(leader, Input::Targets { pool: POOL.into(), versions });
    }

    fn input(&mut self, leader: usize, input: Input) -> Option<RolloutGrant> {
        let now = self.now();
        let actions = self.leaders[leader].handle(now, input);
        let mut reply = None;
        for action in actions {
            match action {
                // A leader that was replaced commits nothing.
                Action::Propose(step) if leader + 1 == self.leaders.len() => {
                    let lost = self.plan.is_lossy && self.rng.random_bool(0.1);
                    let delay = self.rng.random_range(20..60);
                    if !lost {
                        self.at(delay, Event::Commit { leader, step });
                    }
                }
                Action::Propose(_) => {}
                Action::Grant(grant) => reply = grant,
                Action::Judged { detail, .. } => self.outcome.detail = detail,
            }
        }
        reply
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        let step = ((self.now_ms + delay_ms.max(STEP_MS)) / STEP_MS) as usize;
        if let Some(events) = self.events.get_mut(step) {
            events.push(event);
        }
    }

    /// Sends a message, which may be lost, late or doubled.
    fn send(&mut self, entry: usize, event: Event) {
        if self.is_cut(entry % CENTRES) || self.plan.is_lossy && self.rng.random_bool(0.1) {
            return;
        }
        let late = |rng: &mut ChaCha8Rng| if rng.random_bool(0.2) { 4_000 } else { 20 };
        if !self.plan.is_lossy {
            return self.at(STEP_MS, event);
        }
        for _ in 0..self.rng.random_range(1..3) {
            let most = late(&mut self.rng);
            let delay = self.rng.random_range(1..=most);
            self.at(delay, event.clone());
        }
    }

    fn is_cut(&self, centre: usize) -> bool {
        self.plan.way == Way::CutCentre && centre == self.odd % CENTRES && self.in_trouble(3_000)
    }

    fn in_trouble(&self, length_ms: u64) -> bool {
        (self.trouble_ms..self.trouble_ms + length_ms).contains(&self.now_ms)
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Response { entry, process, key, bucket, failed } => {
                let entry = &mut self.entries[entry];
                if entry.process != process {
                    return;
                }
                entry.old_running -= u32::from(key.2.is_none());
                let counts = entry.rows.entry(key).or_default();
                counts.answers += 1;
                counts.failures += u64::from(failed);
                if let Some(bucket) = bucket {
                    counts.latencies[bucket] += 1;
                }
            }
            Event::Lost { entry, process, is_old } => {
                let entry = &mut self.entries[entry];
                entry.old_running -= u32::from(is_old && entry.process == process);
            }
            Event::Report { leader, entry, at_ms, report } => {
                let (process, from) = (report.process, self.names.entries[entry].clone());
                if let Some(grant) = self.input(leader, Input::Report { from, report }) {
                    self.send(entry, Event::Grant { entry, process, at_ms, grant });
                }
            }
            Event::Grant { entry, process, at_ms, grant } => {
                self.take(entry, process, at_ms, grant)
            }
            // What a replaced leader had not committed is lost.
            Event::Commit { leader, .. } if leader + 1 < self.leaders.len() => {}
            Event::Commit { step, .. } => {
                let command = RolloutCommand::Advance(step);
                let (_, changed) = self.rollouts.apply(LogIndex(8), WallTime::default(), &command);
                if changed {
                    for leader in 0..self.leaders.len() {
                        let elapsed = Duration::from_millis(self.now_ms);
                        let record = self.record().clone();
                        self.input(leader, Input::Record { record, elapsed });
                    }
                }
            }
        }
    }

    fn take(&mut self, index: usize, process: u64, at_ms: u64, grant: RolloutGrant) {
        let entry = &mut self.entries[index];
        let expires_ms = at_ms + u64::from(grant.ttl_ms);
        if entry.process != process || self.now_ms >= expires_ms {
            return;
        }
        if grant.phase as u8 > entry.phase as u8 {
            entry.phase = grant.phase;
        }
        (entry.limit, entry.expires_ms) = (grant.limit, expires_ms);
        entry.report_ms = grant.report_ms.into();
        let soon = self.now_ms + entry.report_ms;
        entry.next_report_ms = entry.next_report_ms.min(soon);
    }

    fn report(&mut self, index: usize) {
        let jitter = self.rng.random_range(0.75..1.25);
        let current = self.leaders.len() - 1;
        // An entry may not know the newest leader yet.
        let behind = usize::from(self.plan.is_lossy && self.rng.random_bool(0.3));
        let entry = &mut self.entries[index];
        entry.next_report_ms = self.now_ms + (entry.report_ms as f64 * jitter) as u64;
        entry.sequence += 1;
        let row = |(&(route, centre, target), counts): (&RowKey, &OutcomeCounts)| CountRow {
            route: self.names.routes[route].clone(),
            centre: self.names.centres[centre].clone(),
            target: target.map(|t| self.names.targets[t].clone()),
            counts: counts.clone(),
        };
        let report = RolloutReport {
            pool: PoolName::new(POOL),
            id: LogIndex(7),
            process: entry.process,
            sequence: entry.sequence,
            phase: entry.phase,
            arrivals: entry.arrivals,
            sent: entry.sent,
            old_running: entry.old_running,
            rows: entry.rows.iter().map(row).collect(),
        };
        let leader = current.saturating_sub(behind);
        self.send(index, Event::Report { leader, entry: index, at_ms: self.now_ms, report });
    }

    /// Takes a request and sends it to a target.
    fn request(&mut self, route: usize) {
        let (old, trial) = (self.plan.targets, self.plan.trial_targets());
        let index = self.rng.random_range(0..ENTRIES);
        let in_share = self.rng.random_bool(self.plan.eagerness);
        let in_time = self.now_ms < self.plan.duration_ms;
        let entry = &mut self.entries[index];
        entry.arrivals += 1;
        self.outcome.arrivals += u64::from(in_time);
        let granted = in_share && entry.sent < entry.limit && self.now_ms < entry.expires_ms;
        let targets = match entry.phase {
            RolloutPhase::Trial if granted => old..old + trial,
            RolloutPhase::Trial | RolloutPhase::RolledBack => 0..old,
            RolloutPhase::Switching | RolloutPhase::Completed => old..2 * old,
        };
        let is_trial = entry.phase == RolloutPhase::Trial;
        let process = entry.process;
        let target = self.rng.random_range(targets);
        let is_old = target < old;
        let entry = &mut self.entries[index];
        if is_old {
            entry.old_running += 1;
        } else {
            entry.sent += 1;
            self.outcome.trial_sent += u64::from(is_trial);
            if in_time {
                self.outcome.sent += 1;
                self.last_ms = self.now_ms;
            }
        }
        self.answer(index, process, route, target);
    }

    /// Schedules the response of a target.
    fn answer(&mut self, entry: usize, process: u64, route: usize, target: usize) {
        let (is_old, centre) = (target < self.plan.targets, self.centres[target]);
        let normal = (-2.0 * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt()
            * (std::f64::consts::TAU * self.rng.random::<f64>()).cos();
        let mut latency = MEDIANS_MS[route] * (1.0 + 0.15 * centre as f64) * (SIGMA * normal).exp();
        let (fail_rate, factor, is_bad) = self.behaviour(route, target);
        latency *= factor;
        self.answered[target] += 1;
        if !is_old && self.answered[target] <= 3 {
            latency *= 5.0;
        }
        let key = (route, centre, (!is_old).then(|| target - self.plan.targets));
        let cold = matches!(self.plan.way, Way::Crashes { cold: true })
            && self.crashes(target)
            && (self.trouble_ms + 1_500..self.trouble_ms + 4_000).contains(&self.now_ms);
        if self.crashes(target) && self.in_trouble(1_500) || self.is_cut(centre) {
            return self.at(50, Event::Lost { entry, process, is_old });
        }
        let failed = self.rng.random_bool(fail_rate);
        latency *= if cold { 6.0 } else { 1.0 };
        // Failures by a fault are bad responses, and so are all that take several times as long.
        if is_bad && (failed || factor > 1.0) {
            self.bad += 1;
            if self.bad == 50 {
                self.fiftieth_ms = Some(self.now_ms + latency as u64);
            }
        }
        let bucket = (!cold).then(|| bucket(latency));
        self.at(latency as u64, Event::Response { entry, process, key, bucket, failed });
    }

    fn crashes(&self, target: usize) -> bool {
        // Two of the three trial targets and a part of the others.
        matches!(self.plan.way, Way::Crashes { .. }) && target % 3 != self.odd % 3
    }

    /// Returns the share of failures of a target, the factor by which it is slower, and whether its
    /// version is at fault.
    fn behaviour(&mut self, route: usize, target: usize) -> (f64, f64, bool) {
        let (new, late) = (target >= self.plan.targets, self.now_ms >= self.trouble_ms);
        let usual = self.plan.traffic * RATES.iter().sum::<f64>() / self.plan.targets as f64;
        let (at_ms, load) = self.load[target];
        let load = load * (-((self.now_ms - at_ms) as f64) / 1000.0).exp() + 1.0;
        self.load[target] = (self.now_ms, load);
        let own_route = route == self.odd % ROUTES;
        match self.plan.way {
            Way::BothSlow if late => (BASE_FAILURES, 4.0, false),
            Way::OneBroken
                if target == self.plan.targets + self.odd % self.plan.trial_targets() =>
            {
                if self.odd.is_multiple_of(2) {
                    (1.0, 1.0, false)
                } else {
                    (BASE_FAILURES, 8.0, false)
                }
            }
            Way::BothFail if own_route => (0.3, 1.0, false),
            Way::Fails(rate) if new => (rate, 1.0, true),
            Way::Slower(factor) if new => (BASE_FAILURES, factor, true),
            Way::Later if new && late => (0.3, 1.0, true),
            Way::UnderLoad if new && load > 0.6 * usual => (0.5, 1.0, true),
            Way::OneRoute if new && own_route => (1.0, 1.0, true),
            _ => (BASE_FAILURES, 1.0, false),
        }
    }

    /// Returns a number of arrivals.
    fn poisson(&mut self, mean: f64) -> u32 {
        let (limit, mut product, mut count) = ((-mean).exp(), self.rng.random::<f64>(), 0);
        while product > limit {
            product *= self.rng.random::<f64>();
            count += 1;
        }
        count
    }
}

fn bucket(latency_ms: f64) -> usize {
    let over = (2.0 * (latency_ms / 4.0).log2()).floor() + 1.0;
    (over.max(0.0) as usize).min(LATENCY_BUCKETS - 1)
}
