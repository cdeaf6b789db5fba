//! Reverse proxy for routes: forwards requests to a target of a pool and returns its responses.
//!
//! Callers reach it through the platform's load balancer. Target selection, retry budgets and
//! scheduling are decided in the core crate; names on the platform's wire come from its own crate.

pub mod access;
pub mod body_blocks;
pub mod context;
pub mod discovery_client;
pub mod discovery_server;
pub mod event_buffer;
pub mod exchange_error;
pub mod handler;
pub mod http_client;
pub mod internal_request;
pub mod link_watch;
pub mod list_reader;
pub mod operators;
pub mod outcome;
pub mod progress;
pub mod relay;
pub mod request;
pub mod response_memory;
pub mod rollout_clock;
pub mod rollout_requests;
pub mod rollout_server;
pub mod schedulers;
pub mod server;
pub mod stages;
pub mod stop;
pub mod target_calls;
pub mod target_response;
pub mod targeting;

mod attempts;
mod broken_runs;
mod hedging;
mod helper_client;
mod helper_server;
mod limit_server;
mod load_counts;
mod measures;
mod plan;
mod proofs;
mod quarantine;
mod quarantine_server;
mod race;
mod replacement;
mod reservation;
mod rollout_gate;
mod rollout_lead;
mod rollout_metrics;
mod rollout_orders;
mod rollouts;
mod silence;
mod stream_form;
mod stream_server;
mod streams;
mod subjects;
mod target_connection;
