//! Fencing numbers for orders to targets.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;

/// Generator of fencing numbers.
///
/// All targets share one counter: the numbers that each target sees still increase, and no state
/// has to be kept for targets that no longer exist.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FencingCounter {
    last: FencingNumber,
}

impl FencingCounter {
    /// Returns a number higher than all numbers returned before.
    pub fn next_number(&mut self) -> FencingNumber {
        self.last = FencingNumber(self.last.0.saturating_add(1));
        self.last
    }
}
