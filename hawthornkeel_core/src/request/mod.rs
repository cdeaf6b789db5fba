//! Execution of one request by its pipeline.

pub mod event;
pub mod failure;
pub mod refusal;
pub mod run;
pub mod spec;
