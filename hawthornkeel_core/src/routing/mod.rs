//! Choice of a target for a stage: load, limits, cold targets, data centres, retries.
