//! Bounded memory of operations, so that a resend is recognised.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::OperationNumber;

/// Operations remembered; the oldest are forgotten first.
pub const MAX_OPERATIONS: usize = 10_000;

/// Operations by number, forgotten in the order they came.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct History<T> {
    operations: IndexMap<OperationNumber, T>,
    order: VecDeque<OperationNumber>,
}

impl<T> Default for History<T> {
    fn default() -> Self {
        Self { operations: IndexMap::new(), order: VecDeque::new() }
    }
}

impl<T> History<T> {
    /// Returns what was recorded under `number`.
    pub fn get(&self, number: OperationNumber) -> Option<&T> {
        self.operations.get(&number)
    }

    /// Records the first use of `number`.
    pub fn record(&mut self, number: OperationNumber, operation: T) {
        if self.operations.insert(number, operation).is_none() {
            self.order.push_back(number);
        }
        while self.order.len() > MAX_OPERATIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.operations.swap_remove(&oldest);
            }
        }
    }
}
