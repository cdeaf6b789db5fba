//! State that an entry keeps per target.

mod call_times;
mod direct_probe;
mod grants;
mod health;

use std::time::Duration;

use crate::document::Pool;
use crate::lease::SuspectReason;
use crate::lease::message::GrantId;
use crate::routing::candidate::Candidate;
use crate::routing::candidate::Class;
use crate::routing::incarnation::IncarnationTracker;
use crate::routing::incarnation::Observation;
use crate::routing::limit::ConcurrencyLimit;
use crate::routing::refusals::RefusalRun;
use crate::routing::settings::RouterSettings;
use crate::routing::types::CallOutcome;
use crate::routing::types::Lifecycle;
use crate::routing::types::LoadReport;
use crate::routing::types::TargetInfo;
use crate::time::Instant;

use self::call_times::CallTimes;
use self::direct_probe::DirectProbe;
pub(crate) use self::grants::Grant;
pub(crate) use self::grants::PendingRequest;

/// Fraction of a target's limit up to which entries may exceed their own shares.
const FILL_FRACTION: f64 = 1.0;
/// Factor on the calls in flight above this entry's share while a target reports that it is full.
const YIELD_FACTOR: f64 = 0.9;
/// Multiple of this entry's share that the limit may reach for a target without load reports.
const UNREPORTED_FACTOR: f64 = 2.0;
/// Fraction of the average call time expected at an idle target.
const IDLE_FACTOR: f64 = 0.5;

/// Whether a target is proved to sustain full load, as seen by this entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Warmth {
    /// Never proved; calls require grants.
    Cold,
    /// Proved before, but the target may have turned cold since; calls require grants.
    Suspect,
    /// Proved by a call of this entry and confirmed by the issuer; calls require no grant.
    Warm,
}

/// State that an entry keeps per target.
#[derive(Debug)]
pub(crate) struct Target {
    pub info: TargetInfo,
    /// Index of the data centre in the pool.
    pub centre: u16,
    pub near: bool,
    /// Whether this entry sends to the target.
    pub in_subset: bool,
    /// Whether the platform's list contains the target.
    pub listed: bool,
    /// When the target was last listed, answered, refused a call or sent a load report.
    pub last_seen: Instant,
    /// Whether the target itself reported that it is draining.
    pub draining: bool,
    /// Whether operators have taken out the target's data centre.
    pub taken_out: bool,
    pub warmth: Warmth,
    pub incarnations: IncarnationTracker,
    pub last_sequence: Option<u64>,
    /// Grant of the last answered call; cleared when the target becomes suspect.
    pub answered_grant: Option<GrantId>,
    /// Number of times that the target became suspect.
    pub suspect_count: u32,
    pub running: u32,
    pub limit: ConcurrencyLimit,
    /// This entry's share of the target's limit, in calls.
    pub share: f64,
    pub call_times: CallTimes,
    /// Calls of other entries, according to the last load report.
    pub other_calls: f64,
    pub last_report: Option<Instant>,
    pub failures: u32,
    /// Refusals since the last answer.
    pub refusal_run: Option<RefusalRun>,
    pub backoff_until: Instant,
    /// Time from which retries may be sent, after a failure.
    pub retry_at: Instant,
    pub grants: Vec<Grant>,
    pub pending: Option<PendingRequest>,
    pub next_request: Instant,
    pub direct_probe: DirectProbe,
}

impl Target {
    /// Creates the state of a target that isn't proved warm.
    pub fn new(now: Instant, info: TargetInfo, near: bool) -> Self {
        Self {
            info,
            centre: 0,
            near,
            in_subset: true,
            listed: true,
            last_seen: now,
            draining: false,
            taken_out: false,
            warmth: Warmth::Cold,
            incarnations: IncarnationTracker::new(now),
            last_sequence: None,
            answered_grant: None,
            suspect_count: 0,
            running: 0,
            limit: ConcurrencyLimit::new(1.0, 1.0),
            share: 1.0,
            call_times: CallTimes::default(),
            other_calls: 0.0,
            last_report: None,
            failures: 0,
            refusal_run: None,
            backoff_until: Instant::ZERO,
            retry_at: Instant::ZERO,
            grants: Vec::new(),
            pending: None,
            next_request: Instant::ZERO,
            direct_probe: DirectProbe::default(),
        }
    }

    /// Updates the target from the platform's list.
    pub fn update_info(&mut self, now: Instant, info: &TargetInfo, near: bool) {
        self.info = info.clone();
        self.near = near;
        self.listed = true;
        self.last_seen = now;
    }

    /// Applies a load report. Returns whether it shows that the target has restarted.
    ///
    /// If none arrived for `age`, the report also ends a backoff.
    pub fn apply_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
        max_calls: f64,
        age: Duration,
    ) -> bool {
        self.last_seen = now;
        let observed = report.incarnation.map(|i| self.incarnations.observe_report(now, i));
        if observed == Some(Observation::Stale) {
            return false;
        }
        let new = observed == Some(Observation::Restarted);
        let lower = report.sequence.is_some() && report.sequence < self.last_sequence;
        self.last_sequence = report.sequence;
        self.draining = report.draining || (self.draining && !new);
        let all = f64::from(report.running) + f64::from(report.waiting);
        self.other_calls = (all - f64::from(self.running)).max(0.0);
        if self.lacks_reports(now, age) {
            self.reset_backoff(now);
        }
        self.last_report = Some(now);
        if let Some(run) = &mut self.refusal_run {
            run.record_load(all);
        }
        self.update_limit(max_calls);
        new || (lower && report.incarnation.is_none())
    }

    /// Bounds this entry's limit by the target's limit less the calls of other entries.
    pub fn update_limit(&mut self, max_calls: f64) {
        let own = f64::from(self.running);
        let spare = max_calls * FILL_FRACTION - self.other_calls - own;
        let cap = match self.last_report {
            Some(_) if spare > 0.0 => own + spare,
            Some(_) if self.other_calls == 0.0 => own,
            Some(_) => own * YIELD_FACTOR,
            None => (self.share * UNREPORTED_FACTOR).max(1.0),
        };
        self.limit.set_bounds(self.share, cap.min(max_calls));
    }

    /// Returns whether this entry may send new work to the target at all.
    pub fn accepts_work(&self) -> bool {
        let draining = self.draining || self.info.lifecycle == Lifecycle::Draining;
        self.in_subset && !draining && !self.taken_out
    }

    /// Returns whether the target accepts work and isn't down, regardless of the subset.
    pub fn is_serving(&self) -> bool {
        let draining = self.draining || self.info.lifecycle == Lifecycle::Draining;
        !draining && !self.taken_out && !self.is_down()
    }

    /// Returns whether a call can be sent now.
    pub fn is_available(&self, now: Instant) -> bool {
        if !self.accepts_work() || now < self.backoff_until {
            return false;
        }
        match self.warmth {
            Warmth::Warm if self.is_down() => self.running == 0,
            Warmth::Warm => self.running < self.limit.calls(),
            Warmth::Cold | Warmth::Suspect => {
                self.grants.iter().any(|g| now < g.use_by) || self.may_probe(now)
            }
        }
    }

    /// Returns whether a call may be sent without a grant to show that a suspect target is warm.
    pub fn may_probe(&self, now: Instant) -> bool {
        self.warmth == Warmth::Suspect && self.running == 0 && self.direct_probe.is_due(now)
    }

    /// Returns the summary used for selection. `latency` is the pool's median in microseconds.
    pub fn candidate(
        &self,
        now: Instant,
        pool: &Pool,
        latency: f64,
        set: &RouterSettings,
    ) -> Candidate {
        let latency = self.call_times.expected(now, latency);
        let fresh = self.last_report.is_some_and(|at| now.since(at) < set.report_age);
        let others = if fresh { self.other_calls } else { 0.0 };
        let load = (f64::from(self.running) + others) / f64::from(pool.warm_limit.max(1));
        let far = if self.near { 0.0 } else { set.far_penalty.as_micros() as f64 };
        Candidate {
            score: (latency * (IDLE_FACTOR + load) + far) as f32,
            capacity: u16::try_from(self.capacity()).unwrap_or(u16::MAX),
            centre: self.centre,
            class: self.class(now),
            near: self.near,
            warm: self.accepts_work() && self.warmth == Warmth::Warm,
            usable: self.accepts_work() && !self.is_down(),
            failing: self.failures > 0,
        }
    }

    /// Returns the availability class.
    fn class(&self, now: Instant) -> Class {
        match (self.is_available(now), self.warmth, self.near) {
            (false, _, _) => Class::Unavailable,
            (true, Warmth::Warm, true) => Class::Near,
            (true, Warmth::Warm, false) => Class::Far,
            (true, Warmth::Cold | Warmth::Suspect, _) => Class::Cold,
        }
    }

    /// Returns the calls that the target is expected to sustain for this entry, even while down.
    fn capacity(&self) -> u32 {
        let proved = self.warmth == Warmth::Warm && !self.is_down();
        match (self.accepts_work(), proved) {
            (false, _) => 0,
            (true, true) => self.limit.calls().max(self.limit.share() as u32),
            (true, false) => self.limit.share() as u32,
        }
    }

    /// Records the outcome of a call that was sent without a grant to show that the target is warm.
    ///
    /// If it did not, the next one may be sent after `pause`.
    pub fn record_probe(&mut self, now: Instant, outcome: CallOutcome, pause: Duration) {
        let usual = match outcome {
            CallOutcome::Answered { latency, .. } => self.call_times.is_usual(latency),
            _ => false,
        };
        if usual && self.warmth == Warmth::Suspect {
            self.warmth = Warmth::Warm;
            self.call_times.forget_slowness();
            self.limit.reset();
        } else {
            self.direct_probe.retry_after(now, pause);
        }
    }

    /// Marks a target as possibly cold. Returns whether it was warm before.
    pub fn mark_suspect(&mut self, reason: SuspectReason) -> bool {
        self.suspect_count = self.suspect_count.wrapping_add(1);
        let was_warm = self.warmth == Warmth::Warm;
        if was_warm || reason == SuspectReason::Restart {
            self.direct_probe.suspect(reason);
        }
        if was_warm {
            self.warmth = Warmth::Suspect;
        }
        self.answered_grant = None;
        self.limit.reset();
        was_warm
    }
}
