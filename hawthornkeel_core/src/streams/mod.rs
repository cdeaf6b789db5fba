//! Which software began a stream, so that no other software goes on with it.
//!
//! What two software versions write does not fit together, and targets don't check it. An entry
//! records the origin of each stream with a few control instances, which hold it longer than any
//! caller takes streams up: it outlives all entries at once. Where no record is found, the origin is
//! known only if the pool has had a single version for longer than a stream lasts.

pub mod origin;
pub mod table;
pub mod versions;
