//! Control loops that keep an entry's soft state up to date with its sources.

pub mod document;
pub mod lease;
pub mod load;
pub mod queue;
pub mod targets;
