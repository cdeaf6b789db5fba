//! Fencing numbers for orders to targets.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::FencingNumber;

/// Source of fencing numbers.
///
/// One counter serves all targets: the numbers of each target rise, and nothing has to be kept for
/// targets that are gone.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct FencingCounter {
    last: FencingNumber,
}

impl FencingCounter {
    /// Draws a number higher than every one drawn before.
    pub fn next_number(&mut self) -> FencingNumber {
        self.last = FencingNumber(self.last.0.saturating_add(1));
        self.last
    }
}
