//! Ranking of the targets that may get a request, by their weights and their load.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ratio of the expected times from which on the second target is preferred to the first.
const CLEAR_DIFFERENCE: f64 = 1.05;
/// Ratio of the weights up to which the first target differs by no more than its data centre.
const NEARER_WEIGHT: f64 = 6.5;
/// Ratio of the expected times from which on a target in another data centre is preferred.
const FARTHER_DIFFERENCE: f64 = 1.5;
/// Share of the requests that may go to the less loaded of two targets.
///
/// Bounds what a target that states too little gets: with three targets half of the requests, which
/// is one and a half times its share.
const SWAPPED_SHARE: f64 = 0.5;
/// Seed of the hash that selects these requests.
const SWAP_SEED: u64 = 0x5377_6170;

/// Target that may get a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    /// Index.
    pub(super) index: usize,
    /// Weight without the factor of its load.
    pub(super) weight: f64,
    /// Factor of its load in the weight.
    pub(super) factor: f64,
    /// Rendezvous score, which is proportional to the weight, by its load.
    pub(super) score: f64,
}

/// Target that was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Selected {
    /// Index.
    pub(super) index: usize,
    /// Whether another one would have been without what is known of loads.
    pub(super) by_load: bool,
}

/// The two targets with the highest scores, and the one with the highest score regardless of loads.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ranking {
    first: Option<Candidate>,
    second: Option<Candidate>,
    plain: Option<(f64, usize)>,
}

impl Ranking {
    pub(super) fn add(&mut self, candidate: Candidate) {
        let plain = candidate.score / candidate.factor;
        if self.plain.is_none_or(|(score, _)| plain > score) {
            self.plain = Some((plain, candidate.index));
        }
        let beats = |other: Option<Candidate>| other.is_none_or(|o| candidate.score > o.score);
        if beats(self.first) {
            (self.first, self.second) = (Some(candidate), self.first);
        } else if beats(self.second) {
            self.second = Some(candidate);
        }
    }

    /// Returns the target with the highest score.
    pub(super) fn first(&self) -> Option<Selected> {
        self.first.map(|f| self.selected(f.index))
    }

    /// Returns the less loaded of the first two for a part of the requests, which are selected by
    /// `session`, and the first one for the others.
    ///
    /// `pressure` returns the expected time at a target, if it is known.
    pub(super) fn less_loaded(
        &self,
        session: u64,
        pressure: impl Fn(usize) -> Option<f64>,
    ) -> Option<Selected> {
        let first = self.first?;
        let Some(second) = self.second.filter(|_| may_swap(session)) else { return self.first() };
        let swaps = match (pressure(first.index), pressure(second.index)) {
            (Some(one), Some(other)) => one > other * margin(first.weight / second.weight),
            _ => false,
        };
        Some(self.selected(if swaps { second.index } else { first.index }))
    }

    fn selected(&self, index: usize) -> Selected {
        Selected { index, by_load: self.plain.is_some_and(|(_, plain)| plain != index) }
    }
}

/// Returns the ratio of the expected times from which on the second target is preferred, if the first
/// has `ratio` times its weight. One that is cold, fails or is cut off is not preferred for its load.
fn margin(ratio: f64) -> f64 {
    if ratio <= 1.0 {
        CLEAR_DIFFERENCE
    } else if ratio <= NEARER_WEIGHT {
        FARTHER_DIFFERENCE
    } else {
        ratio
    }
}

fn may_swap(session: u64) -> bool {
    let hash = xxh3_64_with_seed(&session.to_le_bytes(), SWAP_SEED);
    (hash as f64) < SWAPPED_SHARE * u64::MAX as f64
}
