//! Settings and the environment document of hawthornkeel: types, defaults, checks, findings.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

pub mod settings;
