//! Numeric identifiers of requests, attempts, log positions and versions.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Defines a number type with ordering, serialisation and display.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type! {
    /// Random identifier of a request at one entry instance.
    RequestId, u128
}
number_type! {
    /// Zero-based position of a stage in its pipeline.
    StageIndex, u16
}
number_type! {
    /// Zero-based number of an attempt at a stage.
    AttemptNumber, u16
}
number_type! {
    /// Term of the replicated log; increases with each election.
    Term, u64
}
number_type! {
    /// One-based position of an entry in the replicated log.
    LogIndex, u64
}
number_type! {
    /// Random identifier of a replica, generated anew for each empty data folder.
    ReplicaId, u64
}
number_type! {
    /// Version of the environment document; increases with each accepted document.
    Version, u64
}
number_type! {
    /// Idempotency number that an operator assigns to an order, by which retries are detected.
    OperationNumber, u64
}
number_type! {
    /// Incarnation of a target's process; changes with each restart.
    Incarnation, u64
}
number_type! {
    /// Fencing number of an order to a target; increases with each order.
    FencingNumber, u64
}

/// Identifier of one call to a target; an answer is used only if it carries the same identifier.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// Request that the call belongs to.
    pub request: RequestId,
    /// Stage of that request's pipeline.
    pub stage: StageIndex,
    /// Attempt at that stage.
    pub attempt: AttemptNumber,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}/{}/{}", self.request.0, self.stage, self.attempt)
    }
}
