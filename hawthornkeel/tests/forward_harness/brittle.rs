//! Fake targets without a queue that say how many rejections they bear.

use std::time::Instant;

/// Number of requests that a target runs at the same time, as the list names it.
pub const SLOTS: u32 = 4;

/// Slots of a fake target.
#[derive(Clone, Debug, Default)]
pub struct FakeSlots {
    /// Rejections a second that it bears, as its answers say; `None` if its room has no bound.
    pub brittle: Option<u32>,
    /// Times of its rejections for want of room.
    pub rejections: Vec<Instant>,
    in_progress: u32,
}

impl FakeSlots {
    /// Takes a slot; returns whether one was free.
    pub fn take(&mut self) -> bool {
        if self.brittle.is_some() && self.in_progress >= SLOTS {
            self.rejections.push(Instant::now());
            return false;
        }
        self.in_progress += 1;
        true
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.in_progress -= 1;
    }
}
