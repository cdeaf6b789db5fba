//! Load and speed of targets, from what their answers state and from the times of an entry's calls.
//!
//! An entry among many hears of one target of a large pool only every few seconds. A stated number
//! of running requests is out of date by then, but the load and the speed that a target has on
//! average are not. So there are two beliefs about each process: the last report, which counts for
//! less than a second, and averages over a minute, which count for as much as the samples show.
//! Nothing here raises a target's weight above that of a target that states nothing: a process that
//! states too little gains nothing where sessions have their places.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::fleet::ListedTarget;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::RouteName;
use crate::time::Instant;

/// Time in which the belief in the last report halves.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(300);
/// Age from which on the last report tells nothing: a hundredth of the belief would be left.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Time in which the weight of a sample in the averages halves.
///
/// An entry of 83 that send 330 requests a second to 90 targets hears of each every 23 s, so a
/// shorter time would leave it with two or three samples.
const AVERAGE_HALF_LIFE: Duration = Duration::from_secs(120);
/// Interval within which further reports tell nothing new about the average load.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without samples after which the averages begin to lose their effect.
const AVERAGE_FADES: Duration = Duration::from_secs(120);
/// Time without samples after which they have none.
const AVERAGE_TTL: Duration = Duration::from_secs(300);
/// Samples that the assumption of an ordinary load counts for, times the mean number of requests.
///
/// A number of requests varies by its square root, and the loads of targets by about a fifth:
/// together, a report of `n` requests counts for `n / 25` times that assumption.
const LOAD_PRIOR: f64 = 25.0;
/// Samples that the assumption of an ordinary speed counts for.
///
/// Stated speeds vary by about a quarter within a second, and machines differ by about an eighth.
const SPEED_PRIOR: f64 = 4.0;
/// Weight of the latency of a call among the samples of the speed, as work differs in size.
const LATENCY_WEIGHT: f64 = 0.25;
/// Logarithm of the largest factor by which one sample may differ from the mean.
const MAX_LOG_RATIO: f64 = std::f64::consts::LN_2;
/// Load relative to the mean of the pool from which on a target is clearly overloaded.
const OVERLOADED: f64 = 1.05;
/// Exponent of the overload in the weight.
///
/// With an exponent of `e` and an overload `x` before, `x` to the power of `1 / (1 + e)` is left.
const OVERLOAD_EXPONENT: i32 = 3;
/// Relative time of work from which on a target is clearly slower.
const SLOWER: f64 = 1.04;
/// Least relative time of work that one report counts for.
const MIN_WORK_TIME: f64 = 0.25;
/// Largest relative time of work that one report counts for.
const MAX_WORK_TIME: f64 = 4.0;
/// Waiting requests for each slot from which on the last report counts as overload.
const CLEAR_QUEUE: f64 = 0.25;
/// Least factor in the weight of a target.
const MIN_FACTOR: f64 = 0.5;
/// Weight of a new sample in the averages of a pool, once there are many.
const POOL_WEIGHT: f64 = 0.005;
/// Number of samples of a pool, or of a route at a data centre, from which on others are compared.
const MIN_SAMPLES: u32 = 10;
/// Largest occupancy that one report counts for, relative to the mean of the pool.
const MAX_SAMPLE_RATIO: f64 = 3.0;
/// Pairs of routes and data centres whose latencies are kept for one pool.
const MAX_ROUTES: usize = 256;

/// Load that a target has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Time that work takes at the moment, as a ratio to the normal time.
    pub speed: Option<f64>,
}

impl StatedLoad {
    /// Returns whether it can be true of a target with the slots that the platform's list names;
    /// zero if it names none.
    fn is_plausible(&self, listed_slots: u32) -> bool {
        let near = |a: u32, b: u32| a <= b.saturating_mul(MAX_SLOT_RATIO);
        let same_slots =
            listed_slots == 0 || near(self.slots, listed_slots) && near(listed_slots, self.slots);
        same_slots && near(self.running, self.slots)
    }

    fn requests(&self) -> f64 {
        f64::from(self.running) + f64::from(self.waiting)
    }

    fn occupancy(&self) -> f64 {
        self.requests() / f64::from(self.slots.max(1))
    }

    /// Returns the waiting requests for each slot.
    fn queue(&self) -> f64 {
        f64::from(self.waiting) / f64::from(self.slots.max(1))
    }
}

/// Factor by which the stated slots may differ from those in the platform's list, and the running
/// requests from the slots.
const MAX_SLOT_RATIO: u32 = 4;
/// Load relative to the mean of the pool below which a target with an equal part of the sessions is
/// not believed.
const IMPLAUSIBLE_LOAD: f64 = 0.5;
/// Load relative to the mean of the pool below which no target is believed.
///
/// A target in a data centre without entries may have a fifth of the mean, as entries prefer their own.
const IDLE_LOAD: f64 = 0.15;
/// Requests that reports of an ordinary target would have stated together, from which on one is not
/// believed: fewer than a seventh of ten are stated by chance in less than one of 1,000 cases.
const IDLE_EVIDENCE: f64 = 10.0;

/// What an entry believes about the load and the speed of one process; clones share it.
#[derive(Clone, Debug, Default)]
pub struct TargetLoad(Rc<RefCell<Belief>>);

#[derive(Clone, Debug)]
struct Belief {
    last: Option<LastReport>,
    /// Occupied share of the slots.
    occupancy: Average,
    /// Logarithm of the time that work takes, relative to the pool.
    slowness: Average,
    /// Last time at which the averages changed.
    averaged: Instant,
    /// Time of the last sample of the occupancy.
    sampled: Option<Instant>,
    /// Factor in the weight by the averages.
    factor: f64,
    /// Load relative to the pool.
    load: f64,
    /// Time of work relative to the pool.
    slow: f64,
    /// Whether it states less load than the choice of targets can explain.
    states_idle: bool,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            last: None,
            occupancy: Average::default(),
            slowness: Average::default(),
            averaged: Instant::ZERO,
            sampled: None,
            factor: 1.0,
            load: 1.0,
            slow: 1.0,
            states_idle: false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LastReport {
    load: StatedLoad,
    heard: Instant,
    /// Time that work took then, relative to the pool.
    work_time: Option<f64>,
    /// This entry's requests in progress at that time.
    in_flight: u32,
}

impl LastReport {
    /// Returns how much of the report is believed, from zero to one.
    fn belief(&self, now: Instant) -> f64 {
        let age = now.since(self.heard);
        if age >= REPORT_TTL {
            return 0.0;
        }
        0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64())
    }
}

/// Average whose samples lose weight with time.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    sum: f64,
    weight: f64,
    updated: Instant,
}

impl Average {
    fn add(&mut self, now: Instant, sample: f64, weight: f64) {
        let age = now.since(self.updated).as_secs_f64() / AVERAGE_HALF_LIFE.as_secs_f64();
        let kept = 0.5_f64.powf(age);
        self.sum = self.sum * kept + sample * weight;
        self.weight = self.weight * kept + weight;
        self.updated = now;
    }

    /// Returns the average together with an assumption that counts for `prior` samples.
    fn with_prior(&self, assumed: f64, prior: f64) -> f64 {
        (self.sum + assumed * prior) / (self.weight + prior)
    }
}

/// Mean over many samples, in which the first ones count alike.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    mean: f64,
    count: u32,
}

impl RunningMean {
    fn add(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (sample - self.mean) * (1.0 / f64::from(self.count)).max(POOL_WEIGHT);
    }
}

/// Means over the targets of each pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolLoads(IndexMap<PoolName, PoolLoad>);

#[derive(Clone, Debug, Default)]
struct PoolLoad {
    requests: RunningMean,
    occupancy: RunningMean,
    /// Factor of the averages in the weights.
    factor: RunningMean,
    /// Logarithm of the stated speed.
    speed: RunningMean,
    /// Logarithm of the latency by route and data centre, as the way there counts as well.
    routes: Vec<(RouteName, CentreName, RunningMean)>,
}

/// Time until the response of a target to a request began.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime<'a> {
    /// Route.
    pub route: &'a RouteName,
    /// Time.
    pub time: Duration,
}

impl PoolLoads {
    /// Records what a listed target has stated, with this entry's requests `in_flight` there;
    /// returns false if it can't be true.
    pub(super) fn record(
        &mut self,
        now: Instant,
        listed: &ListedTarget,
        target: &TargetLoad,
        load: StatedLoad,
        in_flight: u32,
    ) -> bool {
        if !load.is_plausible(listed.slots) {
            return false;
        }
        if !self.0.contains_key(&listed.pool) {
            self.0.insert(listed.pool.clone(), PoolLoad::default());
        }
        let Some(pool) = self.0.get_mut(&listed.pool) else { return true };
        let mut belief = target.0.borrow_mut();
        let log = load.speed.map(|s| s.max(f64::MIN_POSITIVE).ln());
        let work_time = log.filter(|_| pool.speed.count > 0).map(|l| (l - pool.speed.mean).exp());
        belief.last = Some(LastReport { load, heard: now, work_time, in_flight });
        let is_new = |at: Instant| now.since(at) >= SAMPLE_INTERVAL;
        if !belief.sampled.is_none_or(is_new) {
            return true;
        }
        belief.sampled = Some(now);
        let occupancy = pool.bounded_occupancy(load.occupancy());
        pool.requests.add(occupancy * f64::from(load.slots));
        pool.occupancy.add(occupancy);
        belief.occupancy.add(now, occupancy, 1.0);
        if let Some(log) = log {
            pool.speed.add(log);
            belief.slowness.add(now, bounded_ratio(log - pool.speed.mean), 1.0);
        }
        belief.update(now, pool);
        true
    }

    /// Records the latency of a call to a target in `centre`, if targets of the pool state loads.
    pub(super) fn record_latency(
        &mut self,
        now: Instant,
        pool: &PoolName,
        centre: &CentreName,
        target: &TargetLoad,
        response: ResponseTime<'_>,
    ) {
        let Some(pool) = self.0.get_mut(pool) else { return };
        let mut belief = target.0.borrow_mut();
        // A request that waited for a slot tells of the load, not of the machine.
        if belief.last.is_some_and(|l| l.load.waiting > 0 && l.belief(now) > 0.0) {
            return;
        }
        let Some(mean) = pool.route(response.route, centre) else { return };
        let log = response.time.as_secs_f64().max(1e-6).ln();
        mean.add(log);
        if mean.count >= MIN_SAMPLES {
            let ratio = bounded_ratio(log - mean.mean);
            belief.slowness.add(now, ratio, LATENCY_WEIGHT);
            belief.update(now, pool);
        }
    }

    /// Forgets the pools for which `is_listed` is false.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&PoolName) -> bool) {
        self.0.retain(|pool, _| is_listed(pool));
    }
}

impl PoolLoad {
    /// Bounds an occupancy, so that one report can't mark a target as overloaded.
    fn bounded_occupancy(&self, occupancy: f64) -> f64 {
        match self.occupancy.count >= MIN_SAMPLES {
            true => occupancy.min(self.occupancy.mean * MAX_SAMPLE_RATIO),
            false => occupancy,
        }
    }

    fn route(&mut self, route: &RouteName, centre: &CentreName) -> Option<&mut RunningMean> {
        let index = self.routes.iter().position(|(r, c, _)| r == route && c == centre);
        let index = match index {
            Some(index) => index,
            None => {
                // Routes of earlier documents may have filled it.
                if self.routes.len() >= MAX_ROUTES {
                    self.routes.clear();
                }
                self.routes.push((route.clone(), centre.clone(), RunningMean::default()));
                self.routes.len() - 1
            }
        };
        self.routes.get_mut(index).map(|(_, _, mean)| mean)
    }
}

impl Belief {
    /// Computes the factor anew from the averages.
    fn update(&mut self, now: Instant, pool: &mut PoolLoad) {
        let mean = pool.occupancy.mean;
        let prior = LOAD_PRIOR / pool.requests.mean.clamp(1.0, LOAD_PRIOR);
        self.load = match mean > 0.0 {
            true => self.occupancy.with_prior(mean, prior) / mean,
            false => 1.0,
        };
        let Average { sum, weight, .. } = self.occupancy;
        self.states_idle =
            weight * pool.requests.mean >= IDLE_EVIDENCE && sum < weight * mean * IDLE_LOAD;
        self.slow = self.slowness.with_prior(0.0, SPEED_PRIOR).exp();
        let overload = (OVERLOADED / self.load.max(OVERLOADED)).powi(OVERLOAD_EXPONENT);
        let slowness = if self.slow > SLOWER { 1.0 / self.slow } else { 1.0 };
        self.factor = (overload * slowness).max(MIN_FACTOR);
        if self.load < IMPLAUSIBLE_LOAD {
            self.factor = self.factor.min(pool.factor.mean.max(MIN_FACTOR));
        } else {
            pool.factor.add(self.factor);
        }
        self.averaged = now;
    }

    /// Returns the expected time of work by the last report and the average.
    fn work_time(&self, now: Instant) -> f64 {
        let usual = 1.0 + (self.slow - 1.0) * self.freshness(now);
        let Some(last) = &self.last else { return usual };
        let (trust, stated) = (last.belief(now), last.work_time.unwrap_or(usual));
        stated.clamp(MIN_WORK_TIME, MAX_WORK_TIME) * trust + usual * (1.0 - trust)
    }

    /// Returns how much of the averages still holds, from zero to one.
    fn freshness(&self, now: Instant) -> f64 {
        let age = now.since(self.averaged);
        if age <= AVERAGE_FADES {
            return 1.0;
        }
        let left = AVERAGE_TTL.saturating_sub(age).as_secs_f64();
        left / AVERAGE_TTL.saturating_sub(AVERAGE_FADES).as_secs_f64()
    }
}

impl PartialEq for TargetLoad {
    /// Returns whether both share one belief.
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for TargetLoad {}

impl TargetLoad {
    /// Returns the time that work is expected to take at `now`, relative to a normal machine of the
    /// pool; one if the target has stated no load.
    pub fn work_time(&self, now: Instant) -> f64 {
        self.0.borrow().work_time(now)
    }

    /// Returns the factor in the target's weight: one, or less if it is clearly overloaded or
    /// clearly slower than the others of its pool.
    pub(super) fn factor(&self, now: Instant) -> f64 {
        let belief = self.0.borrow();
        let lasting = 1.0 - (1.0 - belief.factor) * belief.freshness(now);
        let queue = match &belief.last {
            Some(last) if last.load.queue() >= CLEAR_QUEUE => last.load.queue() * last.belief(now),
            _ => return lasting,
        };
        (lasting / (1.0 + queue)).max(MIN_FACTOR)
    }

    /// Returns the expected time of one more request relative to other targets of the pool, with
    /// this entry's requests `in_flight` there; `None` if the target has stated no load, or a load
    /// that is lower than the choice of targets can explain.
    pub(super) fn pressure(&self, now: Instant, in_flight: u32) -> Option<f64> {
        let belief = self.0.borrow();
        let last = belief.last.as_ref().filter(|_| !belief.states_idle)?;
        let trust = last.belief(now);
        let slots = f64::from(last.load.slots.max(1));
        let sent = f64::from(in_flight) - f64::from(last.in_flight);
        let stated = (last.load.occupancy() + sent / slots).max(0.0);
        let usual = belief.occupancy.with_prior(0.0, f64::MIN_POSITIVE);
        let occupancy = stated * trust + usual * (1.0 - trust);
        let occupancy = occupancy.max(f64::from(in_flight) / slots);
        Some(belief.work_time(now) * (1.0 + occupancy))
    }
}

/// Bounds the logarithm of a ratio, so that one sample can't mark a target as slow.
fn bounded_ratio(log: f64) -> f64 {
    log.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}
