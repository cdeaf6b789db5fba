//! Entries, a control instance and engines on a virtual clock, with parts and works that end engines
//! and engines that end by themselves. Entries start anew, are cut off and lose messages.

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
/// Work that ends the engines.
pub const CRASHING_WORK: Subject = Subject::Work(2);
/// Session of the crashing work, which sound requests are in as well.
const CRASHING_SESSION: u64 = 100;
const ENTRIES: usize = 8;
const ENGINES: usize = 9;
/// Step of the clock, and time that a message takes, in milliseconds.
const STEP_MS: u64 = 10;
const DELAY_MS: u64 = 60;
/// Time for which an engine is down after its process has ended, in milliseconds.
const DOWN_MS: u64 = 3_500;
/// Number of engines that one attempt of a caller may reach.
const MAX_ATTEMPTS: u32 = 2;
/// Time for which a cut-off entry stays so, and after which it counts as in touch, in milliseconds.
const CUT_MS: u64 = 6_000;
const CONTACT_MS: u64 = 3_000;
/// Time after which an entry notices that a message was lost, in milliseconds.
const REPEAT_MS: u64 = 1_300;

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
    /// Attempts a second of the crashing work, from 5 s on; the system may repeat each of them.
    pub work_rate: f64,
    /// Probability for each entry to start anew in a second.
    pub restart_chance: f64,
    /// Probability for each entry to be cut off in a second.
    pub cut_chance: f64,
    /// Share of the messages that are lost.
    pub loss: f64,
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
            work_rate: 0.0,
            restart_chance: 0.0,
            cut_chance: 0.0,
            loss: 0.0,
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
    /// Times at which the crashing work was sent to engines by entries in touch.
    pub work_sent: Vec<u64>,
    /// Times at which it ended an engine.
    pub work_crashes: Vec<u64>,
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
    subjects: Vec<Subject>,
    kind: RunKind,
    attempt: u32,
}

/// What a run does to its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunKind {
    Sound,
    /// Ends it by a part of its prompt before the first event.
    CrashingPart,
    /// Ends it as it begins to run.
    CrashingWork,
}

impl Run {
    /// Returns whether it ends its engine at a time.
    fn ends_engine(&self, now: u64) -> bool {
        match self.kind {
            RunKind::Sound => false,
            RunKind::CrashingPart => self.first_event <= now,
            RunKind::CrashingWork => self.begins <= now,
        }
    }
}

struct EntryState {
    name: InstanceName,
    board: Board,
    sound: SoundTable,
    cut_until: u64,
    /// Mark of the records that it has; zero before the first, without which it serves nobody.
    mark: u64,
    /// Evidence that reached no control instance, with its time.
    unsent: Vec<(u64, Evidence)>,
}

impl EntryState {
    fn new(n: usize) -> Self {
        Self {
            name: format!("entry-{n}").as_str().into(),
            board: Board::default(),
            sound: SoundTable::default(),
            cut_until: 0,
            mark: 0,
            unsent: Vec::new(),
        }
    }
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
    to_entries: VecDeque<(u64, u64, Vec<SubjectRecord>)>,
    next_id: u64,
    pub outcome: Outcome,
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

impl Simulation {
    /// Plays a plan for some time.
    pub fn play(plan: Plan, millis: u64) -> Self {
        let mut simulation = Self {
            plan,
            random: StdRng::seed_from_u64(plan.seed),
            entries: (0..ENTRIES).map(EntryState::new).collect(),
            control: Board::default(),
            engines: vec![(0, 0); ENGINES],
            runs: Vec::new(),
            to_control: VecDeque::new(),
            to_entries: VecDeque::new(),
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
        self.disturb_entries(now);
        self.repeat_evidence(now);
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

    /// Repeats the evidence of entries that reach the control instance again.
    fn repeat_evidence(&mut self, now: u64) {
        for entry in self.entries.iter_mut().filter(|e| e.cut_until <= now) {
            let is_due = |(sent, _): &mut (u64, Evidence)| *sent + REPEAT_MS <= now;
            for (sent, mut evidence) in entry.unsent.extract_if(.., is_due) {
                evidence.endings.iter_mut().for_each(|e| e.age_ms += (now - sent) as u32);
                self.to_control.push_back((now + DELAY_MS, evidence));
            }
        }
    }

    fn happens(&mut self, chance_a_second: f64) -> bool {
        let chance = chance_a_second * STEP_MS as f64 / 1_000.0;
        chance > 0.0 && self.random.random_bool(chance.min(1.0))
    }

    /// Starts some entries anew, and cuts some off.
    fn disturb_entries(&mut self, now: u64) {
        for entry in 0..ENTRIES {
            if self.happens(self.plan.restart_chance) {
                let cut_until = self.entries[entry].cut_until;
                self.entries[entry] = EntryState { cut_until, ..EntryState::new(entry) };
            }
            if self.happens(self.plan.cut_chance) {
                self.entries[entry].cut_until = now + CUT_MS;
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let per_step = STEP_MS as f64 / 1_000.0;
        if self.random.random_bool(self.plan.sound_rate * per_step) {
            let session = CRASHING_SESSION + self.random.random_range(0..self.plan.sessions);
            let subjects = vec![SHARED_PART, Subject::Part(session), self.new_work()];
            self.arrive_one(now, subjects, RunKind::Sound);
        }
        if now >= 5_000 && self.random.random_bool(self.plan.crashing_rate * per_step) {
            let subjects = vec![SHARED_PART, CRASHING_PART, self.new_work()];
            self.arrive_one(now, subjects, RunKind::CrashingPart);
        }
        if now >= 5_000 && self.random.random_bool(self.plan.work_rate * per_step) {
            let subjects = vec![SHARED_PART, Subject::Part(CRASHING_SESSION), CRASHING_WORK];
            self.arrive_one(now, subjects, RunKind::CrashingWork);
        }
    }

    /// Returns the work of a request that does not come again.
    fn new_work(&self) -> Subject {
        Subject::Work(1_000 + self.next_id)
    }

    fn arrive_one(&mut self, now: u64, subjects: Vec<Subject>, kind: RunKind) {
        let entry = self.random.random_range(0..ENTRIES);
        self.next_id += 1;
        self.begin(now, entry, self.next_id, 1, subjects, kind);
    }

    fn begin(
        &mut self,
        now: u64,
        entry: usize,
        id: u64,
        attempt: u32,
        subjects: Vec<Subject>,
        kind: RunKind,
    ) {
        if self.entries[entry].mark == 0 {
            return;
        }
        if self.entries[entry].board.suspicion(&subjects) == Suspicion::Rejected {
            self.outcome.sound_rejected += usize::from(kind == RunKind::Sound);
            return;
        }
        let up: Vec<usize> = (0..ENGINES).filter(|e| self.engines[*e].1 <= now).collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        let is_in_touch = self.entries[entry].cut_until + CONTACT_MS <= now;
        match kind {
            RunKind::CrashingPart => self.outcome.crashing_sent.push(now),
            RunKind::CrashingWork if is_in_touch => self.outcome.work_sent.push(now),
            RunKind::CrashingWork | RunKind::Sound => {}
        }
        let begins = now + self.random.random_range(0..150);
        let first_event = begins + self.random.random_range(60..160);
        let ends = first_event + self.random.random_range(100..3_000);
        let process = self.engines[engine].0;
        self.runs.push(Run {
            entry,
            engine,
            process,
            begins,
            first_event,
            ends,
            id,
            subjects,
            kind,
            attempt,
        });
    }

    fn advance(&mut self, now: u64) {
        let ending: Vec<(usize, RunKind)> =
            self.runs.iter().filter(|r| r.ends_engine(now)).map(|r| (r.engine, r.kind)).collect();
        for (engine, kind) in ending {
            if self.engines[engine].1 <= now {
                match kind {
                    RunKind::CrashingWork => self.outcome.work_crashes.push(now),
                    _ => self.outcome.crashes.push(now),
                }
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
            if run.kind == RunKind::CrashingWork {
                self.repeat(now, run);
            }
        }
    }

    /// Sends a request once more as the system does, unless it is suspect.
    fn repeat(&mut self, now: u64, run: Run) {
        let suspicion = self.entries[run.entry].board.suspicion(&run.subjects);
        if run.attempt < MAX_ATTEMPTS && suspicion == Suspicion::Clear {
            self.begin(now, run.entry, run.id, run.attempt + 1, run.subjects, run.kind);
        }
    }

    fn record_ending(&mut self, now: u64, run: &Run) {
        let entry = &mut self.entries[run.entry];
        // A run whose events have arrived has survived the begin of its answer.
        if run.kind == RunKind::Sound && run.first_event < now {
            return;
        }
        let subjects = run.subjects.iter().map(|p| entry.sound.runs(at(now), *p)).collect();
        let process = ProcessId(run.engine as u64 * 1_000 + run.process);
        let begun = run.begins <= now && run.kind != RunKind::CrashingWork;
        let ending = Ending { process, request: run.id as u32, begun, subjects, age_ms: 0 };
        self.report(now, run.entry, vec![ending], Vec::new());
    }

    fn record_sound(&mut self, now: u64, run: &Run) {
        let entry = &mut self.entries[run.entry];
        entry.sound.record(at(now), &run.subjects);
        let is_news = |s: &&Subject| {
            entry.board.suspicion(&[**s]) > Suspicion::Clear || entry.board.awaits_sound_run(**s)
        };
        let watched = run.subjects.iter().filter(is_news);
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
        let is_lost = self.plan.loss > 0.0 && self.random.random_bool(self.plan.loss);
        if is_lost || self.entries[entry].cut_until > now {
            self.entries[entry].unsent.push((now, evidence));
        } else {
            self.to_control.push_back((now + DELAY_MS, evidence));
        }
    }

    fn deliver(&mut self, now: u64) {
        while self.to_control.front().is_some_and(|(due, _)| *due <= now) {
            let Some((_, evidence)) = self.to_control.pop_front() else { break };
            self.control.record(at(now), &evidence);
        }
        self.control.settle(at(now));
        for entry in &mut self.entries {
            match entry.cut_until <= now {
                true => entry.board.defer(),
                false => drop(entry.board.settle(at(now))),
            }
        }
        let mark = self.control.mark();
        let lacks_records = |e: &EntryState| e.mark != mark && e.cut_until <= now;
        let in_transit = self.to_entries.back().is_some_and(|(_, sent, _)| *sent == mark);
        if !in_transit && self.entries.iter().any(lacks_records) {
            self.to_entries.push_back((now + DELAY_MS, mark, self.control.records(at(now))));
        }
        while self.to_entries.front().is_some_and(|(due, _, _)| *due <= now) {
            let Some((_, mark, records)) = self.to_entries.pop_front() else { break };
            (0..ENTRIES).for_each(|entry| self.receive(now, entry, mark, &records));
        }
    }

    fn receive(&mut self, now: u64, entry: usize, mark: u64, records: &[SubjectRecord]) {
        let state = &mut self.entries[entry];
        if state.cut_until > now {
            return;
        }
        state.mark = mark;
        state.board.merge(at(now), records);
        let suspects = state.board.suspects().map(|(part, _)| part);
        let runs = suspects.map(|part| state.sound.runs(at(now), part));
        let sound: Vec<SoundRuns> = runs.filter(|r| r.age_ms.is_some()).collect();
        if !sound.is_empty() {
            self.report(now, entry, Vec::new(), sound);
        }
    }
}
