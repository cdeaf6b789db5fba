//! Fake targets and platform, traffic relays and load generator for tests; not shipped.

pub mod behaviour;
pub mod document;
pub mod generate;
pub mod http1;
pub mod load_generator;
pub mod platform;
pub mod raw_client;
pub mod record;
pub mod target;
pub mod target_control;
pub mod tcp_relay;
pub mod thread;
pub mod udp_relay;
