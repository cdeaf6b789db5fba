//! Sound runs: how often requests with a subject went well lately.

use std::time::Duration;

use indexmap::IndexMap;

use crate::quarantine::evidence::SoundRuns;
use crate::quarantine::evidence::Subject;
use crate::time::Instant;

/// Time in which the weight of a sound run halves.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of subjects; the ones not seen for longest go first.
const MAX_SUBJECTS: usize = 4_096;

/// Number of sound runs, older ones counted less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Weight {
    value: f64,
    at: Instant,
}

impl Weight {
    pub(super) fn new(value: f64, at: Instant) -> Self {
        Self { value, at }
    }

    /// Creates the weight that an entry reports in thousandths.
    pub(super) fn from_thousandths(thousandths: u32, at: Instant) -> Self {
        Self::new(f64::from(thousandths) / 1_000.0, at)
    }

    /// Returns the weight at a time.
    pub(super) fn value_at(&self, now: Instant) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(halvings)
    }

    /// Returns the weight at a time in thousandths, at most the largest that there is.
    fn thousandths(&self, now: Instant) -> u32 {
        (self.value_at(now) * 1_000.0) as u32
    }
}

fn one_more(weight: Option<Weight>, now: Instant) -> Weight {
    Weight::new(weight.map_or(0.0, |w| w.value_at(now)) + 1.0, now)
}

/// Sound runs of all subjects that one entry has seen lately.
#[derive(Clone, Debug, Default)]
pub struct SoundTable {
    subjects: IndexMap<Subject, Weight>,
    /// Runs whatever they held.
    all: Option<Weight>,
}

impl SoundTable {
    /// Records a sound run of a request with some subjects.
    pub fn record(&mut self, now: Instant, subjects: &[Subject]) {
        self.all = Some(one_more(self.all, now));
        for subject in subjects {
            let weight = one_more(self.subjects.get(subject).copied(), now);
            self.subjects.insert(*subject, weight);
        }
        if self.subjects.len() > MAX_SUBJECTS {
            self.subjects.sort_by(|_, one, _, other| other.at.cmp(&one.at));
            self.subjects.truncate(MAX_SUBJECTS / 2);
        }
    }

    /// Returns the sound runs of a subject.
    pub fn runs(&self, now: Instant, subject: Subject) -> SoundRuns {
        let Some(weight) = self.subjects.get(&subject) else {
            return SoundRuns { subject, thousandths: 0, age_ms: None };
        };
        let age_ms = Some(now.millis_since(weight.at));
        SoundRuns { subject, thousandths: weight.thousandths(now), age_ms }
    }

    /// Returns the number of all sound runs in thousandths, older ones counted less.
    pub fn all_thousandths(&self, now: Instant) -> u32 {
        self.all.map_or(0, |w| w.thousandths(now))
    }
}
