//! Log output: one key=value line an event.
