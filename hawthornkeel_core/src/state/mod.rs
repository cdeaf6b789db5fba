//! Replicated state: claims, the environment document, data centres and fencing numbers.

pub mod command;
pub mod published;
