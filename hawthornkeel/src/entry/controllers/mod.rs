//! Controllers: loops that keep an entry's soft state in step with what it follows.

pub mod document;
pub mod lease;
pub mod load;
pub mod queue;
pub mod targets;
