//! Totals of one route in one data centre, and the base rates that the old versions set.

use std::collections::BTreeMap;

use crate::rollout::histogram;
use crate::rollout::histogram::Histogram;
use crate::rollout::message::LATENCY_BUCKETS;
use crate::rollout::message::OutcomeCounts;

/// Smallest base rate, so that a single bad response among few is no proof.
const BASE_FLOOR: f64 = 0.02;
/// Responses of old versions from which a route in a data centre has a base rate of its own.
const MIN_BASE: f64 = 20.0;
/// Responses of old versions in a short time from which they count as a sample of it.
const MIN_SAMPLE: f64 = 5.0;
/// Share of the base that each slice replaces. A short memory of few responses has a base rate that
/// varies, and a raised one hides faults.
const BASE_DECAY: f64 = 0.02;
/// Share of the recent responses that each slice replaces.
const RECENT_DECAY: f64 = 0.5;

/// What may be wrong with a version.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    /// It fails requests.
    Failures,
    /// It is several times slower.
    Slow,
}

/// Sum of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Responses.
    pub answers: f64,
    /// Failures among them.
    pub failures: f64,
    /// Warm responses by latency.
    pub latencies: Histogram,
}

impl Counts {
    /// Returns what was counted in `newer` beyond `older`.
    pub fn between(older: &OutcomeCounts, newer: &OutcomeCounts) -> Self {
        let mut latencies = [0.0; LATENCY_BUCKETS];
        let buckets = newer.latencies.iter().zip(&older.latencies);
        for (count, (new, old)) in latencies.iter_mut().zip(buckets) {
            *count = f64::from(new.saturating_sub(*old));
        }
        let answers = newer.answers.saturating_sub(older.answers) as f64;
        let failures = newer.failures.saturating_sub(older.failures) as f64;
        Self { answers, failures: failures.min(answers), latencies }
    }

    /// Adds outcomes, each counted `weight` times.
    pub fn add(&mut self, other: &Self, weight: f64) {
        self.answers += other.answers * weight;
        self.failures += other.failures * weight;
        histogram::add(&mut self.latencies, &other.latencies, weight);
    }

    /// Returns the bad responses and all that count for a fault.
    pub fn tally(&self, fault: Fault, slow_from: usize) -> (f64, f64) {
        match fault {
            Fault::Failures => (self.failures, self.answers),
            Fault::Slow => {
                let bad = histogram::count_from(&self.latencies, slow_from);
                (bad, histogram::total(&self.latencies))
            }
        }
    }

    /// Replaces at most a share of the counts by newer ones. The number of responses never falls, as the
    /// old versions get none any more during the switch, nor is anything replaced while it is small.
    fn replace(&mut self, newer: &Self, share: f64) {
        if self.answers >= MIN_BASE {
            let lost = (newer.answers / self.answers).min(share);
            let before = *self;
            self.add(&before, -lost);
        }
        self.add(newer, 1.0);
    }

    fn is_empty(&self) -> bool {
        self.answers <= 0.0 && histogram::total(&self.latencies) <= 0.0
    }
}

/// Outcomes of one route in one data centre, or of a whole route.
#[derive(Clone, Debug, Default)]
pub struct Group {
    /// Outcomes of the old versions, without the open slice.
    base: Counts,
    /// The latest of them.
    recent: Counts,
    /// Outcomes of the old versions in the open slice.
    slice: Counts,
    /// Outcomes of each target of the new version in the open slice.
    pub targets: BTreeMap<usize, Counts>,
}

impl Group {
    /// Counts new outcomes of old versions.
    pub fn add_old(&mut self, counts: &Counts) {
        self.slice.add(counts, 1.0);
    }

    /// Counts outcomes of old versions since the rollout began.
    pub fn add_old_totals(&mut self, counts: &Counts) {
        self.base.add(counts, 1.0);
    }

    /// Counts outcomes of a target of the new version.
    pub fn add_new(&mut self, target: usize, counts: &Counts) {
        if !counts.is_empty() {
            self.targets.entry(target).or_default().add(counts, 1.0);
        }
    }

    /// Adds the old versions' outcomes of another group.
    pub fn add_base(&mut self, other: &Self) {
        self.base.add(&other.base, 1.0);
        self.recent.add(&other.recent, 1.0);
        self.slice.add(&other.slice, 1.0);
    }

    /// Closes the slice.
    pub fn close_slice(&mut self) {
        self.base.replace(&self.slice, BASE_DECAY);
        self.recent.replace(&self.slice, RECENT_DECAY);
        self.slice = Counts::default();
        self.targets.clear();
    }

    fn all(&self) -> Counts {
        let mut all = self.base;
        all.add(&self.slice, 1.0);
        all
    }

    /// Returns the base for a fault, from this group or its whole route where it has too few responses
    /// of old versions. Returns `None` if nothing can be compared.
    pub fn base(&self, fault: Fault, route: &Self) -> Option<Base> {
        let (own, whole) = (self.all(), route.all());
        let count = |c: &Counts| c.tally(fault, 0).1;
        let from = if count(&own) >= MIN_BASE { own } else { whole };
        let slow_from = match fault {
            Fault::Failures => 0,
            Fault::Slow if count(&from) < MIN_BASE => return None,
            Fault::Slow => histogram::slow_bucket(histogram::median_ms(&from.latencies)?),
        };
        let (bad, all) = from.tally(fault, slow_from);
        let rate = if all >= MIN_BASE { bad / all } else { (bad + 1.0) / (all + 2.0) };
        let rate = rate.max(BASE_FLOOR);
        // What strikes both versions at once shows in the latest responses first.
        let sample = |counts: [&Counts; 2]| {
            let mut tallies = counts.into_iter().map(|c| c.tally(fault, slow_from));
            let (bad, all) = tallies.find(|(_, all)| *all >= MIN_SAMPLE)?;
            Some((bad - 1.0) / all)
        };
        let slice = sample([&self.slice, &route.slice]);
        let recent = sample([&self.recent, &route.recent]);
        // Latencies depend on the load of the moment, so that totals of a time before don't tell.
        if fault == Fault::Slow && slice.or(recent).is_none() {
            return None;
        }
        let rate = slice.into_iter().chain(recent).fold(rate, f64::max);
        Some(Base { rate, slow_from })
    }
}

/// What the old versions set for a comparison.
#[derive(Clone, Copy, Debug)]
pub struct Base {
    /// Share of bad responses.
    pub rate: f64,
    /// Lowest bucket of slow responses.
    pub slow_from: usize,
}
