//! State that an entry keeps of one target.

mod grants;
mod health;

use std::time::Duration;

use crate::document::Pool;
use crate::lease::message::GrantId;
use crate::routing::candidate::Class;
use crate::routing::candidate::Hot;
use crate::routing::incarnation::Named;
use crate::routing::incarnation::Word;
use crate::routing::limit::ConcurrencyLimit;
use crate::routing::refusals::Refusals;
use crate::routing::settings::RouterSettings;
use crate::routing::types::Lifecycle;
use crate::routing::types::LoadReport;
use crate::routing::types::TargetInfo;
use crate::time::Instant;

pub(crate) use self::grants::Grant;
pub(crate) use self::grants::Pending;

/// Weight of a new sample in the short average of call times.
const SHORT_WEIGHT: f64 = 0.3;
/// Weight of a new sample in the long average of call times.
const LONG_WEIGHT: f64 = 0.03;
/// Ratio of the short average to the long one, and to the pool's, that counts as a step.
const STEP_RATIO: f64 = 4.0;
/// Part of what a target bears that entries above their own shares leave to others.
const FULL_SHARE: f64 = 1.0;
/// Factor on the own use above the share at a target that is reported full.
const YIELD_FACTOR: f64 = 0.9;
/// Multiple of the own share that a limit may reach at a target that reports no load.
const UNREPORTED_FACTOR: f64 = 2.0;
/// Share of a call's time that an idle target is expected to take.
const IDLE_SHARE: f64 = 0.5;

/// Whether a target bears full load, as far as this entry has proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Warmth {
    /// No proof yet: calls need grants.
    Cold,
    /// There was proof, but the target may have turned cold since: calls need grants.
    Suspect,
    /// Proved by an own call and the issuer: calls need no grant.
    Warm,
}

/// State that an entry keeps of one target.
#[derive(Debug)]
pub(crate) struct Target {
    pub info: TargetInfo,
    /// Number of the data centre in the pool.
    pub centre: u16,
    pub near: bool,
    /// Whether this entry is among those that send to the target.
    pub known: bool,
    /// Whether the platform's list has the target.
    pub listed: bool,
    /// Last time that the target was listed or gave a sign of itself.
    pub heard: Instant,
    /// Whether the target itself said that it is leaving.
    pub leaving: bool,
    /// Whether operators have taken out the target's data centre.
    pub taken_out: bool,
    pub warmth: Warmth,
    pub named: Named,
    pub sequence: Option<u64>,
    /// Grant of the last answered call, until the target is suspected.
    pub proof: Option<GrantId>,
    /// Times that the target was suspected.
    pub losses: u32,
    pub running: u32,
    pub limit: ConcurrencyLimit,
    /// Own share of the target's limit.
    pub share: f64,
    pub short: f64,
    pub long: f64,
    /// Calls of other entries, by the last load report.
    pub others: f64,
    pub reported: Option<Instant>,
    pub failures: u32,
    /// Refusals since the last answer.
    pub refusals: Option<Refusals>,
    pub down_until: Instant,
    /// Time from which a repeated call may go, where the target failed last.
    pub retry_at: Instant,
    pub grants: Vec<Grant>,
    pub pending: Option<Pending>,
    pub ask_after: Instant,
}

impl Target {
    /// Creates the state of a target that is not yet proved warm.
    pub fn new(now: Instant, info: TargetInfo, near: bool) -> Self {
        Self {
            info,
            centre: 0,
            near,
            known: true,
            listed: true,
            heard: now,
            leaving: false,
            taken_out: false,
            warmth: Warmth::Cold,
            named: Named::new(now),
            sequence: None,
            proof: None,
            losses: 0,
            running: 0,
            limit: ConcurrencyLimit::new(1.0, 1.0),
            share: 1.0,
            short: 0.0,
            long: 0.0,
            others: 0.0,
            reported: None,
            failures: 0,
            refusals: None,
            down_until: Instant::ZERO,
            retry_at: Instant::ZERO,
            grants: Vec::new(),
            pending: None,
            ask_after: Instant::ZERO,
        }
    }

    /// Takes what the platform's list says of the target.
    pub fn take_info(&mut self, now: Instant, info: &TargetInfo, near: bool) {
        self.info = info.clone();
        self.near = near;
        self.listed = true;
        self.heard = now;
    }

    /// Takes a load report; returns whether it shows that the target has restarted.
    ///
    /// A report is the first after a silence where none came for `age`.
    pub fn take_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        most: f64,
        age: Duration,
    ) -> bool {
        self.heard = now;
        let word = report.incarnation.map(|i| self.named.report(now, i));
        if word == Some(Word::Late) {
            return false;
        }
        let new = word == Some(Word::New);
        let lower = report.sequence.is_some() && report.sequence < self.sequence;
        self.sequence = report.sequence;
        self.leaving = report.draining || (self.leaving && !new);
        let all = f64::from(report.running) + f64::from(report.waiting);
        self.others = (all - f64::from(self.running)).max(0.0);
        if self.is_silent(now, age) {
            self.reached(now);
        }
        self.reported = Some(now);
        if let Some(run) = &mut self.refusals {
            run.reported(all);
        }
        self.bound(most);
        new || (lower && report.incarnation.is_none())
    }

    /// Bounds the own limit by what the target bears in all and others are known to use.
    pub fn bound(&mut self, most: f64) {
        let own = f64::from(self.running);
        let spare = most * FULL_SHARE - self.others - own;
        let cap = match self.reported {
            Some(_) if spare > 0.0 => own + spare,
            Some(_) if self.others == 0.0 => own,
            Some(_) => own * YIELD_FACTOR,
            None => (self.share * UNREPORTED_FACTOR).max(1.0),
        };
        self.limit.set_bounds(self.share, cap.min(most));
    }

    /// Tells whether the target may get new work at all.
    pub fn accepts_work(&self) -> bool {
        let leaving = self.leaving || self.info.lifecycle == Lifecycle::Draining;
        self.known && !leaving && !self.taken_out
    }

    /// Tells whether the target takes work and answers, whichever entry it is known to.
    pub fn serves(&self) -> bool {
        let leaving = self.leaving || self.info.lifecycle == Lifecycle::Draining;
        !leaving && !self.taken_out && !self.is_down()
    }

    /// Tells whether a call can be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        if !self.accepts_work() || now < self.down_until {
            return false;
        }
        match self.warmth {
            Warmth::Warm if self.is_down() => self.running == 0,
            Warmth::Warm => self.running < self.limit.calls(),
            Warmth::Cold | Warmth::Suspect => self.grants.iter().any(|g| now < g.use_by),
        }
    }

    /// Returns what a choice reads of the target.
    pub fn hot(&self, now: Instant, pool: &Pool, latency: f64, set: &RouterSettings) -> Hot {
        let latency = if self.short > 0.0 { self.short } else { latency };
        let fresh = self.reported.is_some_and(|at| now.since(at) < set.report_age);
        let others = if fresh { self.others } else { 0.0 };
        let load = (f64::from(self.running) + others) / f64::from(pool.warm_limit.max(1));
        let far = if self.near { 0.0 } else { set.far_penalty.as_micros() as f64 };
        Hot {
            score: (latency * (IDLE_SHARE + load) + far) as f32,
            capacity: u16::try_from(self.capacity()).unwrap_or(u16::MAX),
            centre: self.centre,
            class: self.class(now),
            near: self.near,
            warm: self.accepts_work() && self.warmth == Warmth::Warm,
            usable: self.accepts_work() && !self.is_down(),
            failing: self.failures > 0,
        }
    }

    /// Returns how the target can be chosen now.
    fn class(&self, now: Instant) -> Class {
        match (self.is_open(now), self.warmth, self.near) {
            (false, _, _) => Class::Closed,
            (true, Warmth::Warm, true) => Class::Near,
            (true, Warmth::Warm, false) => Class::Far,
            (true, Warmth::Cold | Warmth::Suspect, _) => Class::Cold,
        }
    }

    /// Returns the calls that the target is expected to bear for this entry, also when down.
    fn capacity(&self) -> u32 {
        let proved = self.warmth == Warmth::Warm && !self.is_down();
        match (self.accepts_work(), proved) {
            (false, _) => 0,
            (true, true) => self.limit.calls().max(self.limit.share() as u32),
            (true, false) => self.limit.share() as u32,
        }
    }

    /// Takes the time of an answered call; returns whether it shows a step against the pool.
    pub fn measure(&mut self, latency: Duration, pool_micros: f64) -> bool {
        let micros = latency.as_micros() as f64;
        if self.long == 0.0 {
            self.short = micros;
            self.long = micros;
            return false;
        }
        self.short += (micros - self.short) * SHORT_WEIGHT;
        self.long += (micros - self.long) * LONG_WEIGHT;
        self.short > self.long * STEP_RATIO && self.short > pool_micros * STEP_RATIO
    }

    /// Takes the target for possibly cold; returns whether it was taken for warm before.
    pub fn suspect(&mut self) -> bool {
        self.losses = self.losses.wrapping_add(1);
        let was_warm = self.warmth == Warmth::Warm;
        if was_warm {
            self.warmth = Warmth::Suspect;
        }
        self.proof = None;
        self.limit.restart();
        was_warm
    }
}
