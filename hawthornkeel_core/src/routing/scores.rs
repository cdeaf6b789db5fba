//! Expected call times of a pool's available targets by class, laid out for a vectorised minimum.

use crate::routing::candidate::Candidate;
use crate::routing::candidate::Class;

/// Number of values compared per step of the vectorised minimum.
const LANES: usize = 16;

/// Scores of one class by index of the target; infinite for targets of other classes.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassScores {
    scores: Vec<f32>,
    /// Number of targets in the class.
    pub count: u32,
}

impl ClassScores {
    /// Sets the score at an index.
    fn set(&mut self, index: usize, score: Option<f32>) {
        let Some(old) = self.scores.get_mut(index) else {
            return;
        };
        self.count -= u32::from(old.is_finite());
        self.count += u32::from(score.is_some());
        *old = score.unwrap_or(f32::INFINITY);
    }

    /// Returns the index and value of the lowest score; of equal ones, the first from `start` on.
    pub fn lowest(&self, start: usize) -> Option<(usize, f32)> {
        if self.count == 0 {
            return None;
        }
        let lowest = lowest(&self.scores);
        let (head, tail) = self.scores.split_at(start.min(self.scores.len()));
        let position = |part: &[f32]| part.iter().position(|s| *s == lowest);
        let index = position(tail).map(|i| i + head.len()).or_else(|| position(head))?;
        Some((index, lowest))
    }
}

/// Returns the lowest value, comparing `LANES` values per step.
fn lowest(scores: &[f32]) -> f32 {
    let mut lanes = [f32::INFINITY; LANES];
    let chunks = scores.chunks_exact(LANES);
    let rest = chunks.remainder();
    for chunk in chunks {
        for (lane, score) in lanes.iter_mut().zip(chunk) {
            *lane = if *score < *lane { *score } else { *lane };
        }
    }
    lanes.iter().chain(rest).copied().fold(f32::INFINITY, f32::min)
}

/// Scores of a pool's targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scores {
    pub near: ClassScores,
    pub far: ClassScores,
    pub cold: ClassScores,
}

impl Scores {
    /// Appends an unavailable target.
    pub fn push(&mut self) {
        for class in [&mut self.near, &mut self.far, &mut self.cold] {
            class.scores.push(f32::INFINITY);
        }
    }

    /// Removes a target and moves the last one to its index.
    pub fn swap_remove(&mut self, index: usize) {
        for class in [&mut self.near, &mut self.far, &mut self.cold] {
            class.set(index, None);
            if index < class.scores.len() {
                class.scores.swap_remove(index);
            }
        }
    }

    /// Updates the scores of the target at `index`.
    pub fn set(&mut self, index: usize, candidate: &Candidate) {
        let score = |class: Class| (candidate.class == class).then_some(candidate.score);
        self.near.set(index, score(Class::Near));
        self.far.set(index, score(Class::Far));
        self.cold.set(index, score(Class::Cold));
    }

    /// Returns the number of available targets.
    pub fn available(&self) -> u32 {
        self.near.count + self.far.count + self.cold.count
    }
}
