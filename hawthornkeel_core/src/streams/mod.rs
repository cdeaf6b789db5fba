//! Which software began a stream, so that no other software goes on with it.
//!
//! What two software versions write does not fit together, and targets don't check it.

pub mod origin;
