//! Desk with targets that do calls on a virtual clock.

#![allow(dead_code, clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Locality;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::scheduler::Action;
use hawthornkeel_core::stages::scheduler::CallFailure;
use hawthornkeel_core::stages::scheduler::CallNumber;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Item;
use hawthornkeel_core::stages::scheduler::PieceOutcome;
use hawthornkeel_core::stages::scheduler::Scheduler;
use hawthornkeel_core::stages::scheduler::WorkerInfo;
use hawthornkeel_core::table::pool::StageWorkload;
use hawthornkeel_core::time::Instant;

pub const POOL: StageWorkload = StageWorkload {
    slots: 1,
    batch_size: 8,
    call_overhead: Duration::from_millis(150),
    piece_time: Duration::from_millis(16),
    memory: 41_000_000,
    result_ttl: Duration::from_secs(4),
};

/// Work that a test wants done.
#[derive(Clone, Debug)]
pub struct Wanted {
    pub number: u32,
    pub pieces: u32,
    pub priority: u16,
    pub bytes: u64,
    pub due_ms: u64,
    pub end_ms: u64,
    pub near: Option<Locality>,
}

/// Returns work that nothing is special about.
pub fn job(number: u32, pieces: u32) -> Wanted {
    Wanted { number, pieces, priority: 0, bytes: 1_000, due_ms: 2_000, end_ms: 5_000, near: None }
}

#[derive(Clone, Copy, Debug)]
enum Mood {
    Well,
    Silent,
    Failing(CallFailure),
    Slow(f64),
}

/// Desk, its targets and what came of its work.
pub struct Site {
    desk: Scheduler,
    now: u64,
    moods: Vec<Mood>,
    running: BTreeMap<(u64, u64), (CallNumber, String, Vec<Item>)>,
    calls: Vec<Vec<u32>>,
    offered: BTreeMap<u32, u64>,
    ended: BTreeMap<u32, (u64, JobOutcome)>,
    freed: usize,
    /// Time of a piece against what the pool says.
    times: f64,
}

impl Site {
    /// Creates a site with targets in data centres `c0`, `c1` and so on.
    pub fn new(targets: usize) -> Self {
        let mut site = Self {
            desk: Scheduler::new(POOL),
            now: 1_000,
            moods: vec![Mood::Well; targets],
            running: BTreeMap::new(),
            calls: Vec::new(),
            offered: BTreeMap::new(),
            ended: BTreeMap::new(),
            freed: 0,
            times: 1.0,
        };
        let info = |n: usize| WorkerInfo {
            name: TargetName::new(&n.to_string()),
            centre: CentreName::new(&format!("c{n}")),
        };
        site.input(Input::Workers((0..targets).map(info).collect()));
        site
    }

    pub fn silence(&mut self, target: usize) {
        self.moods[target] = Mood::Silent;
    }

    pub fn fail(&mut self, target: usize, failure: CallFailure) {
        self.moods[target] = Mood::Failing(failure);
    }

    pub fn slow(&mut self, target: usize, times: f64) {
        self.moods[target] = Mood::Slow(times);
    }

    /// Has pieces take so many times as long as the pool says.
    pub fn pieces_take(&mut self, times: f64) {
        self.times = times;
    }

    pub fn heal(&mut self, target: usize) {
        self.moods[target] = Mood::Well;
    }

    /// Returns the time after which a booking of work would begin.
    pub fn drain(&mut self, wanted: &Wanted) -> Duration {
        Duration::from_millis(self.booked(wanted).drain_ms)
    }

    /// Returns what a booking of work comes to.
    pub fn booked(&mut self, wanted: &Wanted) -> ReservationEstimate {
        let booking = Reservation {
            id: id(wanted.number),
            pieces: wanted.pieces,
            priority: wanted.priority,
            due_ms: wanted.due_ms,
        };
        self.desk.reserve(self.time(), &booking).unwrap()
    }

    /// Books work, and gives the booking up where it would be late.
    pub fn book(&mut self, wanted: &Wanted) -> bool {
        let booked = self.booked(wanted);
        let fits = booked.drain_ms + booked.run_ms <= wanted.due_ms && booked.harm_ms == 0;
        if !fits {
            self.input(Input::Cancel(id(wanted.number)));
        }
        fits
    }

    pub fn offer(&mut self, wanted: Wanted) {
        self.offered.insert(wanted.number, self.now);
        self.input(Input::Submit(Job {
            id: id(wanted.number),
            pieces: wanted.pieces,
            priority: wanted.priority,
            key: Some(Arc::from("key")),
            inputs: Arc::from([]),
            bytes: wanted.bytes,
            due_ms: wanted.due_ms,
            end_ms: wanted.end_ms,
            near: wanted.near,
        }));
    }

    pub fn withdraw(&mut self, number: u32) {
        self.input(Input::Cancel(id(number)));
    }

    /// Gives up the results of work that is done.
    pub fn release(&mut self, number: u32) {
        if let Some((_, JobOutcome::Done(results))) = self.ended.get(&number).cloned() {
            self.input(Input::Release(results));
        }
    }

    /// Runs for a time in milliseconds.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            while let Some(entry) = self.running.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (call, target, items) = entry.remove();
                let mood = self.moods[target.parse::<usize>().unwrap()];
                self.input(match mood {
                    Mood::Failing(failure) => Input::Failed(call, failure),
                    Mood::Silent => Input::Failed(call, CallFailure::Lost),
                    Mood::Well | Mood::Slow(_) => Input::Answered(call, done(&target, &items)),
                });
            }
            if self.desk.next_tick().is_some_and(|d| d <= self.time()) {
                self.input(Input::Tick);
            }
        }
    }

    pub fn outcome(&self, number: u32) -> Option<&JobOutcome> {
        self.ended.get(&number).map(|(_, o)| o)
    }

    pub fn is_done(&self, number: u32) -> bool {
        matches!(self.outcome(number), Some(JobOutcome::Done(_)))
    }

    pub fn took(&self, number: u32) -> Duration {
        Duration::from_millis(self.ended[&number].0 - self.offered[&number])
    }

    /// Returns the data centre in which work was done.
    pub fn place(&self, number: u32) -> &str {
        let Some(JobOutcome::Done(results)) = self.outcome(number) else { return "nowhere" };
        results[0].split('/').next().unwrap()
    }

    /// Returns the numbers of pieces of all calls.
    pub fn sizes(&self) -> Vec<usize> {
        self.calls.iter().map(Vec::len).collect()
    }

    /// Returns the first work of each call.
    pub fn order(&self) -> Vec<u32> {
        self.calls.iter().map(|c| c[0]).collect()
    }

    pub fn freed(&self) -> usize {
        self.freed
    }

    pub fn held(&self) -> u64 {
        self.desk.summary().held_bytes
    }

    fn time(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn input(&mut self, input: Input) {
        for action in self.desk.handle(self.time(), input) {
            match action {
                Action::Run { call, worker, items, timeout } => {
                    let number = |i: &Item| i.job.request.parse().unwrap();
                    self.calls.push(items.iter().map(number).collect());
                    let usual = POOL.call_overhead
                        + POOL.piece_time.mul_f64(self.times) * items.len() as u32;
                    let took = match self.moods[worker.as_str().parse::<usize>().unwrap()] {
                        Mood::Well => usual,
                        Mood::Silent => timeout,
                        Mood::Failing(_) => Duration::from_millis(2),
                        Mood::Slow(times) => usual.mul_f64(times),
                    };
                    let end = self.now + took.as_millis() as u64;
                    self.running.insert((end, call.0), (call, worker.to_string(), items));
                }
                Action::Free { results, .. } => self.freed += results.len(),
                Action::Reply { job, outcome } => {
                    let number = job.request.parse().unwrap();
                    self.ended.insert(number, (self.now, outcome));
                }
            }
        }
    }
}

fn id(number: u32) -> JobId {
    JobId { request: Arc::from(number.to_string()), stage: 0, pass: 0 }
}

fn done(target: &str, items: &[Item]) -> Vec<PieceOutcome> {
    let handle = |i: &Item| format!("c{target}/{}.{}", i.job.request, i.piece);
    items.iter().map(|i| PieceOutcome::Done(handle(i))).collect()
}
