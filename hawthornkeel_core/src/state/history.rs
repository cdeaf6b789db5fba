//! Bounded history of operations, by which retries are detected.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::OperationNumber;

/// Maximum number of operations in a history; the oldest are evicted first.
pub const MAX_OPERATIONS: usize = 10_000;

/// Operations by number, evicted in first-in, first-out order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct History<T> {
    operations: IndexMap<OperationNumber, T>,
    #[serde(rename = "order")]
    eviction: VecDeque<OperationNumber>,
}

impl<T> Default for History<T> {
    fn default() -> Self {
        Self { operations: IndexMap::new(), eviction: VecDeque::new() }
    }
}

impl<T> History<T> {
    /// Returns the operation recorded under `number`.
    pub fn get(&self, number: OperationNumber) -> Option<&T> {
        self.operations.get(&number)
    }

    /// Records the operation that used `number` first.
    pub fn record(&mut self, number: OperationNumber, operation: T) {
        if self.operations.insert(number, operation).is_none() {
            self.eviction.push_back(number);
        }
        while self.eviction.len() > MAX_OPERATIONS {
            if let Some(oldest) = self.eviction.pop_front() {
                self.operations.swap_remove(&oldest);
            }
        }
    }
}
