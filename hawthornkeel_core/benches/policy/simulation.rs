//! Discrete-event simulation of entries, targets and callers on a virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::VoteMessage;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::entry::Connections;
use crate::entry::Entry;
use crate::entry::PolicyKind;
use crate::faults::Fault;
use crate::schedule::Schedule;
use crate::stats::RequestEnd;
use crate::stats::Stats;
use crate::stats::second_since;
use crate::target::AcceptOutcome;
use crate::target::Target;
use crate::topology::DEADLINE;
use crate::topology::ENTRIES;
use crate::topology::POOLS;
use crate::topology::WORKSPACE_WEIGHTS;
use crate::topology::centre;

/// Load during warm-up as a share of the sustainable rate.
const WARMUP_LOAD: f64 = 0.5;
/// Start of arrivals; entries acquire the leases before it.
const ARRIVALS_START: Instant = Instant::from_millis(14_000);
/// Time at which the load rises to that of the case.
const LOAD_START: Instant = Instant::from_millis(45_000);
/// Start of the measurement.
pub const MEASURE_START: Instant = Instant::from_millis(60_000);
/// Start of the first faults.
pub const FAULT_START: Instant = Instant::from_millis(80_000);
/// End of arrivals and of the measurement.
const ARRIVALS_END: Instant = Instant::from_millis(150_000);
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which a target responds with a refusal or an error.
const ERROR_LATENCY: Duration = Duration::from_millis(1);
/// Time after which a connection without progress is closed.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the simulated duration of a run.
pub fn total_time() -> Duration {
    (ARRIVALS_END + DEADLINE).since(Instant::ZERO)
}

/// Settings of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    pub kind: PolicyKind,
    /// Share of the sustainable rate.
    pub load: f64,
    pub schedule: Schedule,
    pub seed: u64,
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub entry: usize,
    pub workspace: usize,
    pub arrived: Instant,
    pub deadline: Instant,
    pub stage: usize,
    pub attempt: u16,
    /// Attempts at the stage that count towards the limit.
    pub counted_attempts: u16,
    pub excluded: Vec<usize>,
    /// Whether an earlier attempt at the stage may have run.
    pub may_have_run: bool,
    /// Busy seconds of the completed calls, by stage.
    pub completed_work: [f64; POOLS.len()],
}

/// Call at a target.
#[derive(Debug)]
pub struct Call {
    pub request: RequestId,
    pub entry: usize,
    pub boot: u64,
    pub stage: usize,
    pub target: usize,
    pub incarnation: Incarnation,
    pub started: Instant,
    /// Whether the target runs the call.
    pub accepted: bool,
    pub permit: Option<Permit>,
}

/// Event of the simulation.
#[derive(Debug)]
pub enum Event {
    Arrival,
    /// A caller submits a request again after it lost its entry.
    Submit {
        workspace: usize,
        arrived: Instant,
    },
    CallEnded {
        call: u64,
        outcome: CallOutcome,
    },
    Tick {
        entry: usize,
    },
    SendReport {
        target: usize,
    },
    ReportReceived {
        entry: usize,
        target: usize,
        report: LoadReport,
    },
    ConnectionsLost {
        entry: usize,
        target: usize,
    },
    Vote {
        from: usize,
        to: usize,
        centre: CentreName,
        message: VoteMessage,
    },
    ToIssuer {
        from: usize,
        to: usize,
        message: GrantMessage,
    },
    ToEntry {
        to: usize,
        message: GrantMessage,
    },
    PollTargets {
        entry: usize,
    },
    Fault {
        fault: Fault,
        on: bool,
    },
}

/// State of a run.
pub struct Simulation {
    pub now: Instant,
    pub config: RunConfig,
    /// Random source of arrivals, so that these are the same for both policies.
    pub arrivals: ChaCha8Rng,
    /// Random source of everything else.
    pub rng: ChaCha8Rng,
    pub targets: Vec<Target>,
    pub entries: Vec<Entry>,
    /// Boot number of the entry that restarted last.
    pub boots: u64,
    /// Data centre without connections to the others.
    pub isolated_centre: Option<CentreName>,
    pub burst_factor: f64,
    pub requests: IndexMap<RequestId, Request>,
    pub calls: IndexMap<u64, Call>,
    pub stats: Stats,
    pub next_id: u64,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl Simulation {
    /// Creates newly started entries and cold targets; the baseline gets warm ones.
    pub fn new(config: RunConfig) -> Self {
        let mut targets = Vec::new();
        for spec in POOLS {
            targets.extend((0..spec.count).map(|i| Target::new(spec, &centre(i), i)));
        }
        if config.kind == PolicyKind::Baseline {
            targets.iter_mut().for_each(|t| t.answered_calls = t.spec.warm_after);
        }
        let list: Vec<TargetInfo> = targets.iter().map(|t| t.info.clone()).collect();
        let entry = |i| Entry::start(Instant::ZERO, i, 0, config.kind, &list);
        Self {
            now: Instant::ZERO,
            config,
            arrivals: ChaCha8Rng::seed_from_u64(config.seed),
            rng: ChaCha8Rng::seed_from_u64(!config.seed),
            entries: (0..ENTRIES).map(entry).collect(),
            targets,
            boots: 0,
            isolated_centre: None,
            burst_factor: 1.0,
            requests: IndexMap::new(),
            calls: IndexMap::new(),
            stats: Stats::default(),
            next_id: 0,
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Runs the simulation and returns its statistics.
    pub fn run(mut self) -> Stats {
        self.schedule_at(ARRIVALS_START, Event::Arrival);
        for change in self.config.schedule.changes() {
            self.schedule_at(change.at, Event::Fault { fault: change.fault, on: change.on });
        }
        for entry in 0..self.entries.len() {
            self.schedule_at(Instant::from_millis(entry as u64), Event::Tick { entry });
            self.schedule_at(
                Instant::from_millis(1_000 + 100 * entry as u64),
                Event::PollTargets { entry },
            );
        }
        for target in 0..self.targets.len() {
            self.schedule_at(Instant::from_millis(7 * target as u64), Event::SendReport { target });
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > ARRIVALS_END + DEADLINE {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.stats.crashes = self.targets.iter().map(|t| t.crashes).sum();
        self.stats
    }

    /// Schedules an event.
    pub fn schedule_at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Returns whether two data centres can reach each other.
    pub fn can_reach(&self, a: &CentreName, b: &CentreName) -> bool {
        a == b
            || self.isolated_centre.as_ref().is_none_or(|isolated| a != isolated && b != isolated)
    }

    /// Returns the one-way network delay between two data centres.
    pub fn one_way_delay(&self, a: &CentreName, b: &CentreName) -> Duration {
        Duration::from_micros(if a == b { 200 } else { 1_300 })
    }

    /// Returns whether requests that arrive at `at` are measured.
    pub fn is_measured(at: Instant) -> bool {
        at >= MEASURE_START && at < ARRIVALS_END
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::Submit { workspace, arrived } => self.submit(workspace, arrived),
            Event::CallEnded { call, outcome } => self.handle_call_end(call, outcome),
            Event::Tick { entry } => {
                if entry == 0 && Self::is_measured(self.now) {
                    self.record_capacity();
                }
                self.tick(entry);
                self.schedule_at(self.now + TICK_INTERVAL, Event::Tick { entry });
            }
            Event::SendReport { target } => self.send_load_report(target),
            Event::PollTargets { entry } => self.poll_targets(entry),
            Event::ReportReceived { entry, target, report } => {
                self.receive_load_report(entry, target, report)
            }
            Event::ConnectionsLost { entry, target } => self.handle_connection_loss(entry, target),
            Event::Vote { from, to, centre, message } => {
                self.handle_vote(from, to, centre, message)
            }
            Event::ToIssuer { from, to, message } => self.handle_at_issuer(from, to, message),
            Event::ToEntry { to, message } => self.handle_at_entry(to, message),
            Event::Fault { fault, on } => self.apply_fault(fault, on),
        }
    }

    /// Adds the capacity of all reachable targets since the last tick.
    fn record_capacity(&mut self) {
        let pools = POOLS.iter().zip(self.stats.capacity.iter_mut());
        for (spec, sum) in pools {
            let own = self.targets.iter().filter(|t| t.spec.name == spec.name);
            let reached = own.filter(|t| self.isolated_centre.as_ref() != Some(&t.info.centre));
            *sum +=
                reached.map(|t| t.throughput(self.now)).sum::<f64>() * TICK_INTERVAL.as_secs_f64();
        }
    }

    /// Submits a new request and schedules the next arrival.
    fn handle_arrival(&mut self) {
        if self.now >= ARRIVALS_END {
            return;
        }
        let half: bool = self.arrivals.random();
        let workspace =
            if half { 0 } else { self.arrivals.random_range(1..WORKSPACE_WEIGHTS.len()) };
        self.submit(workspace, self.now);
        let load =
            if self.now < LOAD_START { WARMUP_LOAD } else { self.config.load * self.burst_factor };
        let rate = load * crate::faults::sustainable_rate(&self.targets);
        let draw: f64 = self.arrivals.random_range(f64::MIN_POSITIVE..1.0);
        self.schedule_at(self.now + Duration::from_secs_f64(-draw.ln() / rate), Event::Arrival);
    }

    /// Sends a call to a target.
    pub fn dispatch(&mut self, id: RequestId, target: usize, permit: Option<Permit>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (entry, stage, is_repeated) = (request.entry, request.stage, request.attempt > 0);
        if self.now >= MEASURE_START {
            self.stats.first_calls[stage] += u64::from(!is_repeated);
            self.stats.budgeted_retries[stage] += u64::from(request.may_have_run);
        }
        if Self::is_measured(request.arrived) {
            self.stats.calls[stage] += 1;
            self.stats.repeated_calls[stage] += u64::from(is_repeated);
        }
        let from = self.entries[entry].centre.clone();
        let to = self.targets[target].info.centre.clone();
        let (reachable, round_trip) =
            (self.can_reach(&from, &to), self.one_way_delay(&from, &to) * 2);
        let outcome = match reachable {
            true if self.connect(entry, target) => {
                Some(self.targets[target].accept_call(self.now, &mut self.rng))
            }
            true => Some(AcceptOutcome::StaleConnection),
            false => None,
        };
        schedule_call_end(self, id, entry, stage, target, permit, outcome, round_trip);
    }

    /// Takes an idle connection to a target or opens one; returns false if the idle one is stale.
    ///
    /// Idle connections to a process that has ended fail on their first use. An entry keeps a spare
    /// connection open, so that a call doesn't open one while the loss of others is still unnoticed.
    fn connect(&mut self, entry: usize, target: usize) -> bool {
        let present = self.targets[target].incarnation;
        let calls = self.calls.values().filter(|c| c.entry == entry && c.target == target);
        let used = calls.count();
        let connections = &mut self.entries[entry].connections;
        let known =
            connections.entry(target).or_insert(Connections { incarnation: present, open: 0 });
        if known.open > used {
            let is_current = known.incarnation == present;
            known.open = if is_current { known.open.max(used + 2) } else { known.open - 1 };
            return is_current;
        }
        *known = Connections { incarnation: present, open: used + 2 };
        true
    }

    /// Resets all calls and connections to a process that has ended.
    pub fn reset_calls(&mut self, target: usize, incarnation: Incarnation) {
        let lost = self.calls.iter().filter(|(_, c)| c.target == target);
        let lost = lost.filter(|(_, c)| c.incarnation == incarnation && c.accepted);
        let ids: Vec<u64> = lost.map(|(id, _)| *id).collect();
        for call in ids {
            self.schedule_at(
                self.now + ERROR_LATENCY,
                Event::CallEnded { call, outcome: CallOutcome::Reset },
            );
        }
        for entry in 0..self.entries.len() {
            self.schedule_at(self.now + ERROR_LATENCY, Event::ConnectionsLost { entry, target });
        }
    }

    /// Records the end of a request and the work that it wasted.
    pub fn record_end(&mut self, request: &Request, end: RequestEnd) {
        if !Self::is_measured(request.arrived) {
            return;
        }
        self.stats.record_end(second_since(MEASURE_START, request.arrived), request.workspace, end);
        if end != RequestEnd::Answered {
            for (wasted, completed_work) in self.stats.wasted.iter_mut().zip(request.completed_work)
            {
                *wasted += completed_work;
            }
        }
    }
}

/// Records a call and schedules its end.
#[allow(clippy::too_many_arguments)]
fn schedule_call_end(
    simulation: &mut Simulation,
    request: RequestId,
    entry: usize,
    stage: usize,
    target: usize,
    permit: Option<Permit>,
    accept: Option<AcceptOutcome>,
    round_trip: Duration,
) {
    let before = simulation.targets[target].incarnation;
    simulation.next_id += 1;
    let (call, boot) = (simulation.next_id, simulation.entries[entry].id.boot);
    let accepted = matches!(accept, Some(AcceptOutcome::Accepted(_)));
    let (started, incarnation) = (simulation.now, before);
    let new = Call { request, entry, boot, stage, target, incarnation, started, accepted, permit };
    simulation.calls.insert(call, new);
    let (after, outcome) = match accept {
        None => (PROGRESS_TIMEOUT, CallOutcome::TimedOut),
        Some(AcceptOutcome::Accepted(time)) => {
            let (latency, incarnation) = (time + round_trip, Some(before));
            (latency, CallOutcome::Answered { latency, tokens: 0, incarnation })
        }
        Some(AcceptOutcome::Refused) => (ERROR_LATENCY + round_trip, CallOutcome::Refused),
        Some(AcceptOutcome::Failed) => (ERROR_LATENCY + round_trip, CallOutcome::Failed),
        Some(AcceptOutcome::NoProcess) => (round_trip, CallOutcome::ConnectFailed),
        Some(AcceptOutcome::Crashed | AcceptOutcome::StaleConnection) => {
            (round_trip, CallOutcome::Reset)
        }
    };
    simulation.schedule_at(simulation.now + after, Event::CallEnded { call, outcome });
    if accept == Some(AcceptOutcome::Crashed) {
        simulation.reset_calls(target, Incarnation(before.0 - 1));
    }
}
