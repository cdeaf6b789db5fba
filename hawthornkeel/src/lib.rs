//! I/O layer of the hawthornkeel serving system: HTTP, QUIC, disk, clocks, roles and command line.

#![deny(clippy::unwrap_used, clippy::expect_used, clippy::panic, clippy::indexing_slicing)]

pub mod admin;
pub mod cli;
pub mod clock;
pub mod control;
pub mod disk;
pub mod entry;
pub mod explain;
pub mod forward;
pub mod http;
pub mod instance;
pub mod logging;
pub mod metrics_server;
pub mod peer;
pub mod runtime;
pub mod stop;
pub mod target;
pub mod telemetry;
pub mod trial;
