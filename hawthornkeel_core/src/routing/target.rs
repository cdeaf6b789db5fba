//! State that an entry keeps of one target.

use std::time::Duration;

use crate::document::Pool;
use crate::lease::LeaseSettings;
use crate::lease::message::GrantId;
use crate::routing::hot::Class;
use crate::routing::hot::Hot;
use crate::routing::incarnation::Named;
use crate::routing::incarnation::Word;
use crate::routing::limit::Limit;
use crate::routing::refusals::Refusals;
use crate::routing::settings::RouterSettings;
use crate::routing::types::Liveness;
use crate::routing::types::LoadReport;
use crate::routing::types::TargetInfo;
use crate::time::Instant;

/// Weight of a new sample in the short average of call times.
const SHORT_WEIGHT: f64 = 0.3;
/// Weight of a new sample in the long average of call times.
const LONG_WEIGHT: f64 = 0.03;
/// Ratio of the short average to the long one, and to the pool's, that counts as a step.
const STEP_RATIO: f64 = 4.0;
/// Consecutive failures after which a target gets nothing but probes.
const DOWN_AFTER: u32 = 2;
/// Part of what a target bears that entries above their own shares leave to others.
const FULL_SHARE: f64 = 1.0;
/// Factor on the own use above the share at a target that is reported full.
const YIELD_FACTOR: f64 = 0.9;
/// Multiple of the own share that a limit may reach at a target that reports no load.
const UNREPORTED_FACTOR: f64 = 2.0;
/// Time for which a target that refused a call is left alone.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Part of a grant's time after which a request for one gets a new number.
const RENUMBER_PART: u32 = 4;
/// Time after a failure or a pause during which only first calls probe a target.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
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

/// Grant in hand.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub id: GrantId,
    pub got: Instant,
    /// Time until which a call may be sent: half of the grant's time is left for it then.
    pub use_by: Instant,
    /// Time at which the call must have ended.
    pub until: Instant,
}

/// Grant request that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub number: u64,
    pub sent: Instant,
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
    pub limit: Limit,
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
            limit: Limit::new(1.0, 1.0),
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
        self.leaving = report.leaving || (self.leaving && !new);
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

    /// Tells whether no load report came for `age`.
    fn is_silent(&self, now: Instant, age: Duration) -> bool {
        self.reported.is_none_or(|at| now.since(at) >= age)
    }

    /// Tells whether the target gives signs of itself: reports, or answers where it never reported.
    pub fn is_heard(&self, now: Instant, age: Duration) -> bool {
        match self.reported {
            Some(_) => !self.is_silent(now, age),
            None => !self.is_down(),
        }
    }

    /// Notes that the target is heard again after a silence: one that is down may be tried at once.
    ///
    /// One more failure brings it down again.
    fn reached(&mut self, now: Instant) {
        if self.is_down() {
            self.failures = DOWN_AFTER - 1;
            self.down_until = now;
            self.retry_at = now;
        }
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
    pub fn takes_work(&self) -> bool {
        let leaving = self.leaving || self.info.liveness == Liveness::Leaving;
        self.known && !leaving && !self.taken_out
    }

    /// Tells whether the target takes work and answers, whichever entry it is known to.
    pub fn serves(&self) -> bool {
        let leaving = self.leaving || self.info.liveness == Liveness::Leaving;
        !leaving && !self.taken_out && !self.is_down()
    }

    /// Tells whether the target fails and gets nothing but probes.
    pub fn is_down(&self) -> bool {
        self.failures >= DOWN_AFTER
    }

    /// Tells whether a call can be sent now.
    pub fn is_open(&self, now: Instant) -> bool {
        if !self.takes_work() || now < self.down_until {
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
            warm: self.takes_work() && self.warmth == Warmth::Warm,
            usable: self.takes_work() && !self.is_down(),
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
        match (self.takes_work(), proved) {
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

    /// Takes an answer.
    pub fn answered(&mut self, now: Instant) {
        self.heard = now;
        self.failures = 0;
        self.refusals = None;
        self.down_until = Instant::ZERO;
        self.retry_at = Instant::ZERO;
    }

    /// Takes a failure; once there are `DOWN_AFTER` in a row, the target is left alone a while.
    pub fn failed(&mut self, now: Instant, at_once: bool, set: &RouterSettings) {
        self.failures = self.failures.saturating_add(1);
        if at_once {
            self.failures = self.failures.max(DOWN_AFTER);
        }
        if self.is_down() {
            let doublings = (self.failures - DOWN_AFTER).min(16);
            let pause = set.probe_min.saturating_mul(1 << doublings).min(set.probe_max);
            self.down_until = now + pause;
        }
        self.retry_at = self.down_until.max(now) + RETRY_PAUSE;
    }

    /// Takes a refusal; returns whether it shows that the target bears less than it did.
    pub fn refused(&mut self, now: Instant, most: f64) -> bool {
        self.heard = now;
        self.limit.refused(now);
        self.down_until = self.down_until.max(now + REFUSED_PAUSE);
        let run = self.refusals.get_or_insert(Refusals::new(now));
        run.refused(now, most)
    }

    /// Tells whether a grant would be of use now.
    pub fn wants_grant(&self, now: Instant) -> bool {
        let proved = self.warmth == Warmth::Warm;
        self.takes_work() && !proved && now >= self.down_until && self.grants.is_empty()
    }

    /// Returns the number of a grant request that is due now: a new one, or one sent again.
    ///
    /// A request that is sent again keeps its number and the time of its first sending, from which
    /// the grant's time counts.
    pub fn due_request(
        &mut self,
        now: Instant,
        lease: &LeaseSettings,
        next: &mut u64,
    ) -> Option<u64> {
        if now < self.ask_after {
            return None;
        }
        self.ask_after = now + lease.resend;
        let old = |p: &Pending| now.since(p.sent) >= lease.grant / RENUMBER_PART;
        self.pending.take_if(|p| old(p));
        let pending = self.pending.get_or_insert_with(|| {
            *next += 1;
            Pending { number: *next, sent: now }
        });
        Some(pending.number)
    }

    /// Lets the next grant be asked for at once, after a call under the last one was answered.
    ///
    /// After a failed call the pause stands: grants of calls that may still run stay used up.
    pub fn ask_again(&mut self, now: Instant) {
        if self.pending.is_none() {
            self.ask_after = now;
        }
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
