//! Simulated target that limits its concurrent calls and crashes if overloaded while cold.

use std::time::Duration;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::topology::PoolSpec;

/// Downtime of a target after a crash.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Share of the call time that is added at full load.
const LOAD_SLOWDOWN: f64 = 0.5;
/// Factor of the call time while cold.
const COLD_SLOWDOWN: f64 = 2.0;

/// Outcome of a target's attempt to accept a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// The call runs for this time.
    Accepted(Duration),
    /// The target is at its concurrency limit.
    Refused,
    /// The target responds with an error at once.
    Failed,
    /// The connection belonged to a process that has ended.
    StaleConnection,
    /// No process accepts connections.
    NoProcess,
    /// The target crashed: this call and all running ones are lost.
    Crashed,
}

/// Simulated target.
#[derive(Clone, Debug)]
pub struct Target {
    pub info: TargetInfo,
    pub spec: PoolSpec,
    pub incarnation: Incarnation,
    pub running: u32,
    /// Calls answered since the last restart.
    pub answered_calls: u32,
    /// Factor of the call time.
    pub slowdown: f64,
    pub failing: bool,
    pub down_until: Instant,
    /// Crashes under overload while cold.
    pub crashes: u32,
    /// Time of the last restart.
    pub last_restart: Option<Instant>,
}

impl Target {
    /// Creates a cold target.
    pub fn new(spec: PoolSpec, centre: &CentreName, index: usize) -> Self {
        let name = format!("{}-{index}", spec.name);
        let info = TargetInfo {
            name: name.as_str().into(),
            address: name.into(),
            pool: spec.name.into(),
            centre: centre.clone(),
            ..TargetInfo::default()
        };
        Self {
            info,
            spec,
            incarnation: Incarnation(1),
            running: 0,
            answered_calls: 0,
            slowdown: 1.0,
            failing: false,
            down_until: Instant::ZERO,
            crashes: 0,
            last_restart: None,
        }
    }

    /// Returns whether only the cold limit applies.
    pub fn is_cold(&self) -> bool {
        self.answered_calls < self.spec.warm_after
    }

    /// Accepts a call, or tells why it doesn't run.
    pub fn accept_call(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> AcceptOutcome {
        if now < self.down_until {
            return AcceptOutcome::NoProcess;
        }
        if self.failing {
            return AcceptOutcome::Failed;
        }
        if self.is_cold() && self.running >= self.spec.cold_limit {
            self.crashes += 1;
            self.restart(now, RESTART_TIME);
            return AcceptOutcome::Crashed;
        }
        if self.running >= self.spec.warm_limit {
            return AcceptOutcome::Refused;
        }
        self.running += 1;
        AcceptOutcome::Accepted(self.call_time(rng))
    }

    /// Records the end of a call of the current incarnation.
    pub fn finish_call(&mut self, answered: bool) {
        self.running = self.running.saturating_sub(1);
        self.answered_calls += u32::from(answered);
    }

    /// Restarts the process after `downtime`; running calls are lost.
    pub fn restart(&mut self, now: Instant, downtime: Duration) {
        self.incarnation.0 += 1;
        self.running = 0;
        self.answered_calls = 0;
        self.down_until = now + downtime;
        self.last_restart = Some(now);
    }

    /// Returns the target's current throughput at full load, in calls per second.
    pub fn throughput(&self, now: Instant) -> f64 {
        if now < self.down_until || self.failing {
            return 0.0;
        }
        let cold = self.is_cold();
        let limit = if cold { self.spec.cold_limit } else { self.spec.warm_limit };
        let load = f64::from(limit) / f64::from(self.spec.warm_limit);
        let factor = if cold { COLD_SLOWDOWN } else { 1.0 };
        let time =
            self.spec.time.as_secs_f64() * (1.0 + LOAD_SLOWDOWN * load) * factor * self.slowdown;
        f64::from(limit) / time
    }

    /// Draws the time of a call at the current load.
    fn call_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        let load = f64::from(self.running) / f64::from(self.spec.warm_limit);
        let cold = if self.is_cold() { COLD_SLOWDOWN } else { 1.0 };
        let spread: f64 = rng.random_range(0.7..1.3);
        self.spec.time.mul_f64(spread * (1.0 + LOAD_SLOWDOWN * load) * cold * self.slowdown)
    }
}

/// Returns the throughput of `count` warm targets at full load, in calls per second.
pub fn full_throughput(spec: &PoolSpec, count: usize) -> f64 {
    let time = spec.time.as_secs_f64() * (1.0 + LOAD_SLOWDOWN);
    f64::from(spec.warm_limit) * count as f64 / time
}
