//! Expected call times of a pool's open targets by class, laid out for a quick search of the lowest.

use crate::routing::candidate::Class;
use crate::routing::candidate::Hot;

/// Values that are compared at once.
const LANES: usize = 16;

/// Scores of one class by position of the target; infinite where a target is not of the class.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassScores {
    scores: Vec<f32>,
    /// Targets of the class.
    pub count: u32,
}

impl ClassScores {
    /// Sets the score of a position.
    fn set(&mut self, index: usize, score: Option<f32>) {
        let Some(old) = self.scores.get_mut(index) else {
            return;
        };
        self.count -= u32::from(old.is_finite());
        self.count += u32::from(score.is_some());
        *old = score.unwrap_or(f32::INFINITY);
    }

    /// Returns the position and value of the lowest score, the first from `start` on if equal.
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

/// Returns the lowest value, comparing several at once.
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
    /// Adds a closed target at the end.
    pub fn push(&mut self) {
        for class in [&mut self.near, &mut self.far, &mut self.cold] {
            class.scores.push(f32::INFINITY);
        }
    }

    /// Removes a target and puts the last one in its place.
    pub fn swap_remove(&mut self, index: usize) {
        for class in [&mut self.near, &mut self.far, &mut self.cold] {
            class.set(index, None);
            if index < class.scores.len() {
                class.scores.swap_remove(index);
            }
        }
    }

    /// Takes what a choice reads of a target.
    pub fn set(&mut self, index: usize, hot: &Hot) {
        let score = |class: Class| (hot.class == class).then_some(hot.score);
        self.near.set(index, score(Class::Near));
        self.far.set(index, score(Class::Far));
        self.cold.set(index, score(Class::Cold));
    }

    /// Returns the number of targets that can be chosen now.
    pub fn open(&self) -> u32 {
        self.near.count + self.far.count + self.cold.count
    }
}
