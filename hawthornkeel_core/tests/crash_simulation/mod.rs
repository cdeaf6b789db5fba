//! Entries, a control instance and engines on a virtual clock, with parts that end engines and
//! engines that end by themselves.

#![allow(dead_code, clippy::indexing_slicing)]

use std::collections::VecDeque;

use hawthornkeel_core::fleet::ProcessId;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::quarantine::board::Board;
use hawthornkeel_core::quarantine::evidence::Ending;
use hawthornkeel_core::quarantine::evidence::Evidence;
use hawthornkeel_core::quarantine::evidence::SoundRuns;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_core::quarantine::record::SubjectRecord;
use hawthornkeel_core::quarantine::record::Suspicion;
use hawthornkeel_core::quarantine::sound::SoundTable;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Part that all requests hold.
pub const SHARED_PART: Subject = Subject::Part(1);
/// Part that ends the engines.
pub const CRASHING_PART: Subject = Subject::Part(2);
const ENTRIES: usize = 8;
const ENGINES: usize = 9;
/// Step of the clock, and time that a message takes, in milliseconds.
const STEP_MS: u64 = 10;
const DELAY_MS: u64 = 60;
/// Time for which an engine is down after its process has ended, in milliseconds.
const DOWN_MS: u64 = 3_500;

/// What a simulation plays.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    /// Sound requests a second.
    pub sound_rate: f64,
    /// Number of parts that the sound requests share out among them.
    pub sessions: u64,
    /// Requests a second with the crashing part, from 5 s on.
    pub crashing_rate: f64,
    /// Probability for each engine to end by itself in a second.
    pub crash_chance: f64,
    /// Time at which all engines end at once, in milliseconds.
    pub all_end: Option<u64>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            sound_rate: 40.0,
            sessions: 60,
            crashing_rate: 0.0,
            crash_chance: 0.0,
            all_end: None,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times at which requests with the crashing part reached engines, in milliseconds.
    pub crashing_sent: Vec<u64>,
    /// Times at which such a request ended an engine.
    pub crashes: Vec<u64>,
    /// Number of engines that ended by themselves.
    pub other_crashes: usize,
    /// Number of sound requests that were rejected.
    pub sound_rejected: usize,
}

struct Run {
    entry: usize,
    engine: usize,
    process: u64,
    begins: u64,
    first_event: u64,
    ends: u64,
    id: u64,
    parts: Vec<Subject>,
    crashing: bool,
}

struct EntryState {
    name: InstanceName,
    board: Board,
    sound: SoundTable,
}

/// Entries and engines, with the messages in transit.
pub struct Simulation {
    plan: Plan,
    random: StdRng,
    entries: Vec<EntryState>,
    control: Board,
    /// Process of each engine, and the time at which it is up.
    engines: Vec<(u64, u64)>,
    runs: Vec<Run>,
    to_control: VecDeque<(u64, Evidence)>,
    to_entries: VecDeque<(u64, Vec<SubjectRecord>)>,
    mark: u64,
    next_id: u64,
    pub outcome: Outcome,
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

impl Simulation {
    /// Plays a plan for some time.
    pub fn play(plan: Plan, millis: u64) -> Self {
        let entry = |n| EntryState {
            name: format!("entry-{n}").as_str().into(),
            board: Board::default(),
            sound: SoundTable::default(),
        };
        let mut simulation = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            entries: (0..ENTRIES).map(entry).collect(),
            control: Board::default(),
            engines: vec![(0, 0); ENGINES],
            runs: Vec::new(),
            to_control: VecDeque::new(),
            to_entries: VecDeque::new(),
            mark: Board::default().mark(),
            next_id: 0,
            outcome: Outcome::default(),
        };
        for now in (0..millis).step_by(STEP_MS as usize) {
            simulation.step(now);
        }
        simulation
    }

    /// Returns the suspicion of a part at the control instance.
    pub fn suspicion(&self, part: Subject) -> Suspicion {
        self.control.suspicion(&[part])
    }

    /// Returns the parts that any entry rejects.
    pub fn rejected(&self) -> Vec<Subject> {
        let suspects = self.entries.iter().flat_map(|e| e.board.suspects());
        let rejected = suspects.filter(|(_, s)| *s == Suspicion::Rejected);
        let mut parts: Vec<Subject> = rejected.map(|(part, _)| part).collect();
        parts.sort();
        parts.dedup();
        parts
    }

    fn step(&mut self, now: u64) {
        self.deliver(now);
        self.arrive(now);
        self.advance(now);
        if self.plan.all_end == Some(now) {
            (0..ENGINES).for_each(|engine| self.end_engine(now, engine));
        }
        let chance = self.plan.crash_chance * STEP_MS as f64 / 1_000.0;
        for engine in 0..ENGINES {
            if self.engines[engine].1 <= now && self.random.random_bool(chance) {
                self.outcome.other_crashes += 1;
                self.end_engine(now, engine);
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let per_step = STEP_MS as f64 / 1_000.0;
        if self.random.random_bool(self.plan.sound_rate * per_step) {
            let session = Subject::Part(100 + self.random.random_range(0..self.plan.sessions));
            self.begin(now, vec![SHARED_PART, session], false);
        }
        if now >= 5_000 && self.random.random_bool(self.plan.crashing_rate * per_step) {
            self.begin(now, vec![SHARED_PART, CRASHING_PART], true);
        }
    }

    fn begin(&mut self, now: u64, parts: Vec<Subject>, crashing: bool) {
        let entry = self.random.random_range(0..ENTRIES);
        if self.entries[entry].board.suspicion(&parts) == Suspicion::Rejected {
            self.outcome.sound_rejected += usize::from(!crashing);
            return;
        }
        let up: Vec<usize> = (0..ENGINES).filter(|e| self.engines[*e].1 <= now).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        if crashing {
            self.outcome.crashing_sent.push(now);
        }
        self.next_id += 1;
        let begins = now + self.random.random_range(0..150);
        let first_event = begins + self.random.random_range(60..160);
        let ends = first_event + self.random.random_range(100..3_000);
        let (process, id) = (self.engines[engine].0, self.next_id);
        let run = Run { entry, engine, process, begins, first_event, ends, id, parts, crashing };
        self.runs.push(run);
    }

    fn advance(&mut self, now: u64) {
        let is_crash = |r: &&Run| r.crashing && r.first_event <= now;
        let ended: Vec<usize> = self.runs.iter().filter(is_crash).map(|r| r.engine).collect();
        for engine in ended {
            if self.engines[engine].1 <= now {
                self.outcome.crashes.push(now);
            }
            self.end_engine(now, engine);
        }
        let (done, runs) = std::mem::take(&mut self.runs).into_iter().partition(|r| r.ends <= now);
        self.runs = runs;
        for run in done {
            self.record_sound(now, &run);
        }
    }

    /// Ends the process of an engine and breaks off its runs.
    fn end_engine(&mut self, now: u64, engine: usize) {
        let process = self.engines[engine].0;
        self.engines[engine] = (process + 1, now + DOWN_MS);
        let runs = std::mem::take(&mut self.runs);
        let (broken, runs) = runs.into_iter().partition(|r| r.engine == engine);
        self.runs = runs;
        for run in broken {
            self.record_ending(now, &run);
        }
    }

    fn record_ending(&mut self, now: u64, run: &Run) {
        let entry = &mut self.entries[run.entry];
        // A run whose events have arrived has survived the begin of its answer.
        if !run.crashing && run.first_event < now {
            return;
        }
        let subjects = run.parts.iter().map(|p| entry.sound.runs(at(now), *p)).collect();
        let process = ProcessId(run.engine as u64 * 1_000 + run.process);
        let begun = run.begins <= now;
        let ending = Ending { process, request: run.id, begun, subjects, age_ms: 0 };
        self.report(now, run.entry, vec![ending], Vec::new());
    }

    fn record_sound(&mut self, now: u64, run: &Run) {
        let entry = &mut self.entries[run.entry];
        entry.sound.record(at(now), &run.parts);
        let suspects: Vec<Subject> = entry.board.suspects().map(|(part, _)| part).collect();
        let watched = run.parts.iter().filter(|p| suspects.contains(p));
        let sound: Vec<SoundRuns> = watched.map(|p| entry.sound.runs(at(now), *p)).collect();
        if !sound.is_empty() {
            self.report(now, run.entry, Vec::new(), sound);
        }
    }

    fn report(&mut self, now: u64, entry: usize, endings: Vec<Ending>, sound: Vec<SoundRuns>) {
        let reporter = self.entries[entry].name.clone();
        let all_thousandths = self.entries[entry].sound.all_thousandths(at(now));
        let evidence = Evidence { reporter, endings, sound, all_thousandths, relayed: false };
        self.entries[entry].board.record(at(now), &evidence);
        self.to_control.push_back((now + DELAY_MS, evidence));
    }

    fn deliver(&mut self, now: u64) {
        while self.to_control.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, evidence)) = self.to_control.pop_front() else { break };
            self.control.record(at(now), &evidence);
        }
        self.control.settle(at(now));
        for entry in &mut self.entries {
            entry.board.defer();
        }
        if self.control.mark() != self.mark {
            self.mark = self.control.mark();
            self.to_entries.push_back((now + DELAY_MS, self.control.records(at(now))));
        }
        while self.to_entries.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, records)) = self.to_entries.pop_front() else { break };
            (0..ENTRIES).for_each(|entry| self.receive(now, entry, &records));
        }
    }

    fn receive(&mut self, now: u64, entry: usize, records: &[SubjectRecord]) {
        let state = &mut self.entries[entry];
        state.board.merge(at(now), records);
        let suspects = state.board.suspects().map(|(part, _)| part);
        let runs = suspects.map(|part| state.sound.runs(at(now), part));
        let sound: Vec<SoundRuns> = runs.filter(|r| r.age_ms.is_some()).collect();
        if !sound.is_empty() {
            self.report(now, entry, Vec::new(), sound);
        }
    }
}
