//! Stand-in targets, platform list and callers for tests and benches; not shipped.

pub mod behaviour;
pub mod caller;
pub mod control;
pub mod document;
pub mod generate;
pub mod platform;
pub mod raw;
pub mod record;
pub mod relay;
pub mod stream_relay;
pub mod target;
pub mod thread;
pub mod wire;
