//! Stand-in target: bears a limited number of calls and falls over when cold and overloaded.

use std::time::Duration;

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::sites::PoolSpec;

/// Time that a target which fell over takes to start again.
const RESTART: Duration = Duration::from_secs(1);
/// Part of the call time that is added at full load.
const LOAD_PART: f64 = 0.5;
/// Factor on the call time while cold.
const COLD_FACTOR: f64 = 2.0;

/// How a target takes a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// The call runs for a time.
    Runs(Duration),
    /// The target takes no more calls.
    Refused,
    /// The target answers with an error at once.
    Failed,
    /// The connection leads to a process that is gone.
    Broken,
    /// There is no process.
    Gone,
    /// The target fell over: this call and all that ran are lost.
    FellOver,
}

/// Stand-in target.
#[derive(Clone, Debug)]
pub struct Target {
    pub info: TargetInfo,
    pub spec: PoolSpec,
    pub incarnation: Incarnation,
    pub running: u32,
    pub answers: u32,
    pub slow: f64,
    pub failing: bool,
    pub dead_until: Instant,
    /// Times that it fell over.
    pub falls: u32,
    /// Time at which it turned cold last, until it is fully loaded again.
    pub cold_since: Option<Instant>,
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
            answers: 0,
            slow: 1.0,
            failing: false,
            dead_until: Instant::ZERO,
            falls: 0,
            cold_since: None,
        }
    }

    /// Tells whether the target bears only its cold limit.
    pub fn is_cold(&self) -> bool {
        self.answers < self.spec.warm_after
    }

    /// Takes a call.
    pub fn take(&mut self, now: Instant, rng: &mut ChaCha8Rng) -> Taken {
        if now < self.dead_until {
            return Taken::Gone;
        }
        if self.failing {
            return Taken::Failed;
        }
        if self.is_cold() && self.running >= self.spec.cold_limit {
            self.falls += 1;
            self.restart(now, RESTART);
            return Taken::FellOver;
        }
        if self.running >= self.spec.warm_limit {
            return Taken::Refused;
        }
        self.running += 1;
        Taken::Runs(self.call_time(rng))
    }

    /// Notes the end of a call of the present incarnation.
    pub fn end(&mut self, answered: bool) {
        self.running = self.running.saturating_sub(1);
        self.answers += u32::from(answered);
    }

    /// Starts the process again after `pause`; what ran is lost.
    pub fn restart(&mut self, now: Instant, pause: Duration) {
        self.incarnation.0 += 1;
        self.running = 0;
        self.answers = 0;
        self.dead_until = now + pause;
        self.cold_since = Some(now);
    }

    /// Returns the calls a second that the target answers at full load in its present state.
    pub fn rate(&self, now: Instant) -> f64 {
        if now < self.dead_until || self.failing {
            return 0.0;
        }
        let cold = self.is_cold();
        let limit = if cold { self.spec.cold_limit } else { self.spec.warm_limit };
        let load = f64::from(limit) / f64::from(self.spec.warm_limit);
        let factor = if cold { COLD_FACTOR } else { 1.0 };
        let time = self.spec.time.as_secs_f64() * (1.0 + LOAD_PART * load) * factor * self.slow;
        f64::from(limit) / time
    }

    /// Draws the time of a call at the present load.
    fn call_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        let load = f64::from(self.running) / f64::from(self.spec.warm_limit);
        let cold = if self.is_cold() { COLD_FACTOR } else { 1.0 };
        let spread: f64 = rng.random_range(0.7..1.3);
        self.spec.time.mul_f64(spread * (1.0 + LOAD_PART * load) * cold * self.slow)
    }
}

/// Returns the calls a second that `count` warm targets of a pool answer at full load.
pub fn full_rate(spec: &PoolSpec, count: usize) -> f64 {
    let time = spec.time.as_secs_f64() * (1.0 + LOAD_PART);
    f64::from(spec.warm_limit) * count as f64 / time
}
