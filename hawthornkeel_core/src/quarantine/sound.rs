//! Sound runs: how often requests with a part of a prompt went well lately.

use std::time::Duration;

use indexmap::IndexMap;

use crate::quarantine::evidence::PartId;
use crate::quarantine::evidence::SoundRuns;
use crate::time::Instant;

/// Time in which the weight of a sound run halves.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of parts; the ones not seen for longest go first.
const MAX_PARTS: usize = 4_096;

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

    /// Returns the weight at a time.
    pub(super) fn value_at(&self, now: Instant) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.value * 0.5_f64.powf(halvings)
    }
}

/// Sound runs of all parts that one entry has seen lately.
#[derive(Clone, Debug, Default)]
pub struct SoundTable {
    parts: IndexMap<PartId, Weight>,
}

impl SoundTable {
    /// Records a sound run of a request with a part.
    pub fn record(&mut self, now: Instant, part: PartId) {
        let value = self.parts.get(&part).map_or(0.0, |w| w.value_at(now));
        self.parts.insert(part, Weight::new(value + 1.0, now));
        if self.parts.len() > MAX_PARTS {
            self.parts.sort_by(|_, one, _, other| other.at.cmp(&one.at));
            self.parts.truncate(MAX_PARTS / 2);
        }
    }

    /// Returns the sound runs of a part.
    pub fn runs(&self, now: Instant, part: PartId) -> SoundRuns {
        let Some(weight) = self.parts.get(&part) else {
            return SoundRuns { part, thousandths: 0, age_ms: None };
        };
        let age_ms = u32::try_from(now.since(weight.at).as_millis()).unwrap_or(u32::MAX);
        // The cast saturates.
        let thousandths = (weight.value_at(now) * 1_000.0) as u32;
        SoundRuns { part, thousandths, age_ms: Some(age_ms) }
    }
}
