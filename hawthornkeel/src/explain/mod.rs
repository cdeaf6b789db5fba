//! Explanation of one request from the log lines of several processes.
//!
//! [`line`](mod@line) and [`search`] read lines within bounds, [`story`] turns events into text
//! without any I/O.

pub mod event;
pub mod line;
pub mod logfmt;
pub mod search;
mod steps;
pub mod story;
mod surroundings;
pub mod timestamp;
mod verdict;
