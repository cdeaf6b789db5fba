//! Sequential test of one share of bad responses against a base rate.
//!
//! The statistic is the sum of the logarithms of the likelihood ratio of `p1` against `p0`. It is
//! followed from the start of the rollout, and from each slice of time (CUSUM), so that a version which
//! turns bad late is found as fast. Batches of counts add up exactly, because the order of responses
//! within a batch doesn't matter to the sum; sums may begin at the edges of slices only.
//!
//! While the true rate is at most `p0`, the ratio is a supermartingale, so that the sum from any one
//! begin ever reaches `h` with a probability of at most `exp(-h)`, however often it is looked at. Summed
//! over all begins, alternatives and scopes this bounds the false alarms. Leaving out single targets adds
//! nothing to that sum: the smallest of several statistics is at most the one of any fixed target.

use std::collections::BTreeMap;

/// Alternatives that are tested at once: what is added to the base rate, and the part of the error bound.
///
/// A version that fails a tenth of its requests may by chance have failed only 7 % of the first 700. The
/// test for 0.1 hardly rises at that rate: without the one for 0.05, such versions got requests up to
/// 13.9 s after their 50th failure. A test for 0.1 alone would also need seven failures of a version that
/// fails every request.
pub const ALTERNATIVES: [(f64, f64); 4] = [(0.05, 0.35), (0.1, 0.35), (0.3, 0.15), (0.8, 0.15)];
/// Largest rate tested for, as no version fails more surely than that.
const MAX_RATE: f64 = 0.97;

/// Returns the logarithm of the likelihood ratio of `bad` responses among `count`.
pub fn log_ratio(bad: f64, count: f64, base: f64, shift: f64) -> f64 {
    let raised = (base + shift).min(MAX_RATE);
    if raised <= base {
        return 0.0;
    }
    bad * (raised / base).ln() + (count - bad) * ((1.0 - raised) / (1.0 - base)).ln()
}

/// Contribution of the responses of one slice.
#[derive(Clone, Debug, Default)]
pub struct Delta {
    total: f64,
    /// Part of each target.
    targets: BTreeMap<usize, f64>,
}

impl Delta {
    /// Adds the responses of a target.
    pub fn add(&mut self, target: usize, log_ratio: f64) {
        self.total += log_ratio;
        *self.targets.entry(target).or_default() += log_ratio;
    }

    fn without(&self, target: usize) -> f64 {
        self.total - self.targets.get(&target).copied().unwrap_or(0.0)
    }
}

/// Values of a statistic.
#[derive(Clone, Copy, Debug, Default)]
pub struct Statistic {
    /// Sum from the start of the rollout.
    pub sum: f64,
    /// Largest sum from the start of any slice, or zero.
    pub cusum: f64,
}

impl Statistic {
    fn plus(self, log_ratio: f64) -> Self {
        Self { sum: self.sum + log_ratio, cusum: (self.cusum + log_ratio).max(0.0) }
    }

    fn min(self, other: Self) -> Self {
        Self { sum: self.sum.min(other.sum), cusum: self.cusum.min(other.cusum) }
    }
}

/// Test of all targets together, and with each single one left out.
#[derive(Clone, Debug, Default)]
pub struct Test {
    all: Statistic,
    /// Statistic without the target.
    without: BTreeMap<usize, Statistic>,
}

impl Test {
    /// Returns the statistic with `delta` added: with `leave_out` the smallest that is left if any
    /// single target is ignored.
    pub fn value(&self, delta: &Delta, leave_out: bool) -> Statistic {
        let all = self.all.plus(delta.total);
        if !leave_out {
            return all;
        }
        let used = self.without.keys().chain(delta.targets.keys());
        let without = |target| self.part(target).plus(delta.without(target));
        used.fold(all, |least, target| least.min(without(*target)))
    }

    /// Closes a slice.
    pub fn commit(&mut self, delta: &Delta) {
        let known: Vec<usize> = self.without.keys().chain(delta.targets.keys()).copied().collect();
        let parts = known.into_iter().map(|t| (t, self.part(t).plus(delta.without(t))));
        self.without = parts.collect();
        self.all = self.all.plus(delta.total);
    }

    /// Returns the statistic without a target, which is that of all until the target is used.
    fn part(&self, target: usize) -> Statistic {
        self.without.get(&target).copied().unwrap_or(self.all)
    }
}
