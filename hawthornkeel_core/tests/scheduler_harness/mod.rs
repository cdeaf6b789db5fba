//! Scheduler with targets that run its calls on a virtual clock.

#![allow(dead_code, clippy::indexing_slicing, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::JobOutcome;
use hawthornkeel_core::stages::job::Locality;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::ReservationEstimate;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::stages::scheduler::Action;
use hawthornkeel_core::stages::scheduler::CallFailure;
use hawthornkeel_core::stages::scheduler::CallNumber;
use hawthornkeel_core::stages::scheduler::Input;
use hawthornkeel_core::stages::scheduler::Item;
use hawthornkeel_core::stages::scheduler::PieceOutcome;
use hawthornkeel_core::stages::scheduler::Scheduler;
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

/// Job of a test.
#[derive(Clone, Debug)]
pub struct JobSpec {
    pub number: u32,
    pub pieces: u32,
    pub priority: u16,
    pub bytes: u64,
    pub due_ms: u64,
    pub end_ms: u64,
    pub near: Option<Locality>,
}

/// Returns a job with default settings.
pub fn job(number: u32, pieces: u32) -> JobSpec {
    JobSpec { number, pieces, priority: 0, bytes: 1_000, due_ms: 2_000, end_ms: 5_000, near: None }
}

#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Normal,
    Hanging,
    Failing(CallFailure),
    Slow(f64),
}

/// Scheduler, its targets and the outcomes of its jobs.
pub struct Harness {
    scheduler: Scheduler,
    balancer: Balancer,
    now: u64,
    behaviours: Vec<Behaviour>,
    running: BTreeMap<(u64, u64), (CallNumber, String, Vec<Item>)>,
    calls: Vec<Vec<u32>>,
    submitted: BTreeMap<u32, u64>,
    finished: BTreeMap<u32, (u64, JobOutcome)>,
    freed: usize,
    /// Ratio of the time of a piece to that of the pool.
    piece_scale: f64,
}

impl Harness {
    /// Creates a harness with targets in data centres `c0`, `c1` and so on.
    pub fn new(targets: usize) -> Self {
        let mut harness = Self {
            scheduler: Scheduler::new(POOL),
            balancer: Balancer::default(),
            now: 1_000,
            behaviours: vec![Behaviour::Normal; targets],
            running: BTreeMap::new(),
            calls: Vec::new(),
            submitted: BTreeMap::new(),
            finished: BTreeMap::new(),
            freed: 0,
            piece_scale: 1.0,
        };
        let listed = (0..targets).map(listed).collect();
        harness.balancer.update(harness.time(), &TargetList { targets: listed, mark: 1 });
        let name = SchedulerName { pool: PoolName::new("pool"), centre: None, part: 0 };
        let workers = harness.balancer.workers(&name);
        assert!(workers.len() == targets);
        harness.input(Input::Workers(workers));
        harness
    }

    /// Applies what an answer of a target says about it.
    pub fn tell(&mut self, target: usize, notice: Notice) {
        let run = listed(target).run();
        self.balancer.record_notice(self.time(), &run, self.time(), notice);
    }

    pub fn hang(&mut self, target: usize) {
        self.behaviours[target] = Behaviour::Hanging;
    }

    pub fn fail(&mut self, target: usize, failure: CallFailure) {
        self.behaviours[target] = Behaviour::Failing(failure);
    }

    pub fn slow(&mut self, target: usize, factor: f64) {
        self.behaviours[target] = Behaviour::Slow(factor);
    }

    /// Sets the ratio of the time of a piece to that of the pool.
    pub fn scale_piece_time(&mut self, factor: f64) {
        self.piece_scale = factor;
    }

    pub fn recover(&mut self, target: usize) {
        self.behaviours[target] = Behaviour::Normal;
    }

    /// Reserves capacity and returns the time until the job would start.
    pub fn drain(&mut self, spec: &JobSpec) -> Duration {
        Duration::from_millis(self.reserve(spec).drain_ms)
    }

    /// Reserves capacity and returns the estimate.
    pub fn reserve(&mut self, spec: &JobSpec) -> ReservationEstimate {
        let reservation = Reservation {
            id: id(spec.number),
            pieces: spec.pieces,
            priority: spec.priority,
            due_ms: spec.due_ms,
        };
        self.scheduler.reserve(self.time(), &reservation).unwrap()
    }

    /// Reserves capacity; cancels the reservation if the job would be late or make others late.
    pub fn try_reserve(&mut self, spec: &JobSpec) -> bool {
        let estimate = self.reserve(spec);
        let fits = estimate.drain_ms + estimate.run_ms <= spec.due_ms && estimate.harm_ms == 0;
        if !fits {
            self.input(Input::Cancel(id(spec.number)));
        }
        fits
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.submitted.insert(spec.number, self.now);
        self.input(Input::Submit(Job {
            id: id(spec.number),
            pieces: spec.pieces,
            priority: spec.priority,
            key: Some(Arc::from("key")),
            inputs: Arc::from([]),
            bytes: spec.bytes,
            due_ms: spec.due_ms,
            end_ms: spec.end_ms,
            near: spec.near,
        }));
    }

    pub fn cancel(&mut self, number: u32) {
        self.input(Input::Cancel(id(number)));
    }

    /// Releases the results of a finished job.
    pub fn release(&mut self, number: u32) {
        if let Some((_, JobOutcome::Done(results))) = self.finished.get(&number).cloned() {
            self.input(Input::Release(results));
        }
    }

    /// Advances the clock by a time in milliseconds.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            while let Some(entry) = self.running.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let (call, target, items) = entry.remove();
                let behaviour = self.behaviours[target.parse::<usize>().unwrap()];
                self.input(match behaviour {
                    Behaviour::Failing(failure) => Input::Failed(call, failure),
                    Behaviour::Hanging => Input::Failed(call, CallFailure::Lost),
                    Behaviour::Normal | Behaviour::Slow(_) => {
                        Input::Answered(call, done(&target, &items))
                    }
                });
            }
            if self.scheduler.next_tick().is_some_and(|d| d <= self.time()) {
                self.input(Input::Tick);
            }
        }
    }

    pub fn outcome(&self, number: u32) -> Option<&JobOutcome> {
        self.finished.get(&number).map(|(_, o)| o)
    }

    pub fn is_done(&self, number: u32) -> bool {
        matches!(self.outcome(number), Some(JobOutcome::Done(_)))
    }

    pub fn took(&self, number: u32) -> Duration {
        Duration::from_millis(self.finished[&number].0 - self.submitted[&number])
    }

    /// Returns the data centre in which a job ran.
    pub fn centre_of(&self, number: u32) -> &str {
        let Some(JobOutcome::Done(results)) = self.outcome(number) else { return "nowhere" };
        results[0].split('/').next().unwrap()
    }

    /// Returns the number of pieces of each call.
    pub fn sizes(&self) -> Vec<usize> {
        self.calls.iter().map(Vec::len).collect()
    }

    /// Returns the first job of each call.
    pub fn order(&self) -> Vec<u32> {
        self.calls.iter().map(|c| c[0]).collect()
    }

    pub fn freed(&self) -> usize {
        self.freed
    }

    pub fn held_bytes(&self) -> u64 {
        self.scheduler.summary().held_bytes
    }

    fn time(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    fn input(&mut self, input: Input) {
        for action in self.scheduler.handle(self.time(), input) {
            match action {
                Action::Run { call, worker, items, timeout } => {
                    let number = |i: &Item| i.job.request.parse().unwrap();
                    self.calls.push(items.iter().map(number).collect());
                    let normal = POOL.call_overhead
                        + POOL.piece_time.mul_f64(self.piece_scale) * items.len() as u32;
                    let took = match self.behaviours[worker.as_str().parse::<usize>().unwrap()] {
                        Behaviour::Normal => normal,
                        Behaviour::Hanging => timeout,
                        Behaviour::Failing(_) => Duration::from_millis(2),
                        Behaviour::Slow(factor) => normal.mul_f64(factor),
                    };
                    let end = self.now + took.as_millis() as u64;
                    self.running.insert((end, call.0), (call, worker.to_string(), items));
                }
                Action::Free { results, .. } => self.freed += results.len(),
                Action::Reply { job, outcome } => {
                    let number = job.request.parse().unwrap();
                    self.finished.insert(number, (self.now, outcome));
                }
            }
        }
    }
}

/// Returns the entry of the list for a target in a data centre of its own.
fn listed(number: usize) -> ListedTarget {
    ListedTarget {
        name: TargetName::new(&number.to_string()),
        pool: PoolName::new("pool"),
        address: ([10, 0, 0, 1], 8_000 + number as u16).into(),
        centre: CentreName::new(&format!("c{number}")),
        born: None,
        version: "v1".into(),
        slots: 1,
        leaving: false,
        cold_ms: 0,
    }
}

fn id(number: u32) -> JobId {
    JobId { request: Arc::from(number.to_string()), stage: 0, pass: 0 }
}

fn done(target: &str, items: &[Item]) -> Vec<PieceOutcome> {
    let handle = |i: &Item| format!("c{target}/{}.{}", i.job.request, i.piece);
    items.iter().map(|i| PieceOutcome::Done(handle(i))).collect()
}
