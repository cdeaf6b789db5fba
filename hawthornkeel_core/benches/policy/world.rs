//! Discrete-event loop over entries, stand-in targets and callers on a virtual clock.

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

use crate::entry::Connected;
use crate::entry::Entry;
use crate::entry::PolicyKind;
use crate::faults::Fault;
use crate::schedule::Schedule;
use crate::sites::DEADLINE;
use crate::sites::ENTRIES;
use crate::sites::POOLS;
use crate::sites::WEIGHTS;
use crate::sites::centre;
use crate::stats::End;
use crate::stats::Stats;
use crate::stats::second;
use crate::target::Taken;
use crate::target::Target;

/// Load before the measure, for warming up, as a share of what targets bear.
const WARM_LOAD: f64 = 0.5;
/// Time at which callers start; before it, leases are won.
const CALLERS_AT: Instant = Instant::from_millis(14_000);
/// Time at which the load of the measure starts.
const LOAD_AT: Instant = Instant::from_millis(45_000);
/// Time at which the measure starts.
pub const MEASURE_AT: Instant = Instant::from_millis(60_000);
/// Time at which the fault starts.
pub const FAULT_AT: Instant = Instant::from_millis(80_000);
/// Time at which callers stop.
const END_AT: Instant = Instant::from_millis(150_000);
/// Pause between an entry's ticks.
const TICK: Duration = Duration::from_millis(20);
/// Time that a target takes to answer a refusal or an error.
const QUICK: Duration = Duration::from_millis(1);
/// Time until a connection without progress is given up.
pub const SILENT: Duration = Duration::from_secs(1);

/// Returns the time of a whole run.
pub fn whole_time() -> Duration {
    (END_AT + DEADLINE).since(Instant::ZERO)
}

/// Setting of one run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub kind: PolicyKind,
    /// Share of what the targets bear.
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
    /// Attempts at the stage that may have run.
    pub runs: u16,
    pub excluded: Vec<usize>,
    pub ran: bool,
    /// Busy time whose result the request has, by stage.
    pub held: [f64; POOLS.len()],
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
    pub ran: bool,
    pub permit: Option<Permit>,
}

/// Event of the loop.
#[derive(Debug)]
pub enum Event {
    Arrive,
    Submit { workspace: usize, arrived: Instant },
    End { call: u64, outcome: CallOutcome },
    Tick { entry: usize },
    Report { target: usize },
    Heard { entry: usize, target: usize, report: LoadReport },
    Lost { entry: usize, target: usize },
    Vote { from: usize, to: usize, centre: CentreName, message: VoteMessage },
    ToIssuer { from: usize, to: usize, message: GrantMessage },
    ToEntry { to: usize, message: GrantMessage },
    List { entry: usize },
    Fault { fault: Fault, on: bool },
}

/// State of the loop.
pub struct World {
    pub now: Instant,
    pub run: Run,
    /// Draws what callers do, which is the same under both policies.
    pub arrivals: ChaCha8Rng,
    /// Draws everything else.
    pub rng: ChaCha8Rng,
    pub targets: Vec<Target>,
    pub entries: Vec<Entry>,
    pub boots: u64,
    /// Data centre that is cut off.
    pub cut: Option<CentreName>,
    pub burst: f64,
    pub requests: IndexMap<RequestId, Request>,
    pub calls: IndexMap<u64, Call>,
    pub stats: Stats,
    pub next_id: u64,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
}

impl World {
    /// Creates the site with cold targets and entries that have just started.
    pub fn new(run: Run) -> Self {
        let mut targets = Vec::new();
        for spec in POOLS {
            targets.extend((0..spec.count).map(|i| Target::new(spec, &centre(i), i)));
        }
        if run.kind == PolicyKind::Plain {
            targets.iter_mut().for_each(|t| t.answers = t.spec.warm_after);
        }
        let list: Vec<TargetInfo> = targets.iter().map(|t| t.info.clone()).collect();
        let entry = |i| Entry::start(Instant::ZERO, i, 0, run.kind, &list);
        Self {
            now: Instant::ZERO,
            run,
            arrivals: ChaCha8Rng::seed_from_u64(run.seed),
            rng: ChaCha8Rng::seed_from_u64(!run.seed),
            entries: (0..ENTRIES).map(entry).collect(),
            targets,
            boots: 0,
            cut: None,
            burst: 1.0,
            requests: IndexMap::new(),
            calls: IndexMap::new(),
            stats: Stats::default(),
            next_id: 0,
            events: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Runs to the end and returns the figures.
    pub fn play(mut self) -> Stats {
        self.at(CALLERS_AT, Event::Arrive);
        for step in self.run.schedule.steps() {
            self.at(step.at, Event::Fault { fault: step.fault, on: step.on });
        }
        for entry in 0..self.entries.len() {
            self.at(Instant::from_millis(entry as u64), Event::Tick { entry });
            self.at(Instant::from_millis(1_000 + 100 * entry as u64), Event::List { entry });
        }
        for target in 0..self.targets.len() {
            self.at(Instant::from_millis(7 * target as u64), Event::Report { target });
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > END_AT + DEADLINE {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.stats.falls = self.targets.iter().map(|t| t.falls).sum();
        self.stats
    }

    /// Adds an event.
    pub fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Tells whether two places can reach each other.
    pub fn linked(&self, a: &CentreName, b: &CentreName) -> bool {
        a == b || self.cut.as_ref().is_none_or(|cut| a != cut && b != cut)
    }

    /// Returns the time that a message takes one way.
    pub fn delay(&self, a: &CentreName, b: &CentreName) -> Duration {
        Duration::from_micros(if a == b { 200 } else { 1_300 })
    }

    /// Tells whether figures of a request that arrived at `at` count.
    pub fn counts(at: Instant) -> bool {
        at >= MEASURE_AT && at < END_AT
    }

    /// Handles an event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Submit { workspace, arrived } => self.submit(workspace, arrived),
            Event::End { call, outcome } => self.call_ended(call, outcome),
            Event::Tick { entry } => {
                if entry == 0 && Self::counts(self.now) {
                    self.count_capacity();
                }
                self.tick(entry);
                self.at(self.now + TICK, Event::Tick { entry });
            }
            Event::Report { target } => self.report(target),
            Event::List { entry } => self.list(entry),
            Event::Heard { entry, target, report } => self.heard(entry, target, report),
            Event::Lost { entry, target } => self.lost(entry, target),
            Event::Vote { from, to, centre, message } => self.vote(from, to, centre, message),
            Event::ToIssuer { from, to, message } => self.issuer_hears(from, to, message),
            Event::ToEntry { to, message } => self.entry_hears(to, message),
            Event::Fault { fault, on } => self.fault(fault, on),
        }
    }

    /// Adds up what the targets that can be reached could do since the last tick.
    fn count_capacity(&mut self) {
        let pools = POOLS.iter().zip(self.stats.can_do.iter_mut());
        for (spec, sum) in pools {
            let own = self.targets.iter().filter(|t| t.spec.name == spec.name);
            let reached = own.filter(|t| self.cut.as_ref() != Some(&t.info.centre));
            *sum += reached.map(|t| t.rate(self.now)).sum::<f64>() * TICK.as_secs_f64();
        }
    }

    /// Lets a caller send a request and plans the next one.
    fn arrive(&mut self) {
        if self.now >= END_AT {
            return;
        }
        let half: bool = self.arrivals.random();
        let workspace = if half { 0 } else { self.arrivals.random_range(1..WEIGHTS.len()) };
        self.submit(workspace, self.now);
        let load = if self.now < LOAD_AT { WARM_LOAD } else { self.run.load * self.burst };
        let rate = load * crate::faults::bearable(&self.targets);
        let draw: f64 = self.arrivals.random_range(f64::MIN_POSITIVE..1.0);
        self.at(self.now + Duration::from_secs_f64(-draw.ln() / rate), Event::Arrive);
    }

    /// Starts a call at a target.
    pub fn dispatch(&mut self, id: RequestId, target: usize, permit: Option<Permit>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (entry, stage, repeated) = (request.entry, request.stage, request.attempt > 0);
        if self.now >= MEASURE_AT {
            self.stats.firsts[stage] += u64::from(!repeated);
            self.stats.reruns[stage] += u64::from(request.ran);
        }
        if Self::counts(request.arrived) {
            self.stats.calls[stage] += 1;
            self.stats.repeated[stage] += u64::from(repeated);
        }
        let from = self.entries[entry].centre.clone();
        let to = self.targets[target].info.centre.clone();
        let (linked, round) = (self.linked(&from, &to), self.delay(&from, &to) * 2);
        let taken = match linked {
            true if self.connect(entry, target) => {
                Some(self.targets[target].take(self.now, &mut self.rng))
            }
            true => Some(Taken::Broken),
            false => None,
        };
        use_taken(self, id, entry, stage, target, permit, taken, round);
    }

    /// Uses an idle connection of an entry to a target, or makes one; returns whether it holds.
    ///
    /// Idle connections to a process that is gone break once they are used. An entry keeps a spare
    /// connection ready, so that a call never opens one while the loss of others is on its way.
    fn connect(&mut self, entry: usize, target: usize) -> bool {
        let present = self.targets[target].incarnation;
        let calls = self.calls.values().filter(|c| c.entry == entry && c.target == target);
        let used = calls.count();
        let connected = &mut self.entries[entry].connected;
        let known = connected.entry(target).or_insert(Connected { incarnation: present, open: 0 });
        if known.open > used {
            let holds = known.incarnation == present;
            known.open = if holds { known.open.max(used + 2) } else { known.open - 1 };
            return holds;
        }
        *known = Connected { incarnation: present, open: used + 2 };
        true
    }

    /// Ends a call with a reset wherever it runs at a target that lost its process.
    pub fn reset_calls(&mut self, target: usize, incarnation: Incarnation) {
        let lost = self.calls.iter().filter(|(_, c)| c.target == target);
        let lost = lost.filter(|(_, c)| c.incarnation == incarnation && c.ran);
        let ids: Vec<u64> = lost.map(|(id, _)| *id).collect();
        for call in ids {
            self.at(self.now + QUICK, Event::End { call, outcome: CallOutcome::Reset });
        }
        for entry in 0..self.entries.len() {
            self.at(self.now + QUICK, Event::Lost { entry, target });
        }
    }

    /// Notes the end of a request.
    pub fn close(&mut self, request: &Request, end: End) {
        if !Self::counts(request.arrived) {
            return;
        }
        self.stats.end(second(MEASURE_AT, request.arrived), request.workspace, end);
        if end != End::Answered {
            for (wasted, held) in self.stats.wasted.iter_mut().zip(request.held) {
                *wasted += held;
            }
        }
    }
}

/// Notes a call and plans its end.
#[allow(clippy::too_many_arguments)]
fn use_taken(
    world: &mut World,
    request: RequestId,
    entry: usize,
    stage: usize,
    target: usize,
    permit: Option<Permit>,
    taken: Option<Taken>,
    round: Duration,
) {
    let before = world.targets[target].incarnation;
    world.next_id += 1;
    let (call, boot) = (world.next_id, world.entries[entry].id.boot);
    let runs = matches!(taken, Some(Taken::Runs(_)));
    let (started, incarnation) = (world.now, before);
    let new = Call { request, entry, boot, stage, target, incarnation, started, ran: runs, permit };
    world.calls.insert(call, new);
    let (after, outcome) = match taken {
        None => (SILENT, CallOutcome::TimedOut),
        Some(Taken::Runs(time)) => {
            let (latency, incarnation) = (time + round, Some(before));
            (latency, CallOutcome::Answered { latency, tokens: 0, incarnation })
        }
        Some(Taken::Refused) => (QUICK + round, CallOutcome::Refused),
        Some(Taken::Failed) => (QUICK + round, CallOutcome::Failed),
        Some(Taken::Gone) => (round, CallOutcome::ConnectFailed),
        Some(Taken::FellOver | Taken::Broken) => (round, CallOutcome::Reset),
    };
    world.at(world.now + after, Event::End { call, outcome });
    if taken == Some(Taken::FellOver) {
        world.reset_calls(target, Incarnation(before.0 - 1));
    }
}
