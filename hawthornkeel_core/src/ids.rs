//! Numbers that identify requests, attempts, log positions and versions.

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
    /// Random identity of one request at one entry instance.
    RequestId, u128
}
number_type! {
    /// Position of a stage in its pipeline, from zero.
    StageIndex, u16
}
number_type! {
    /// Number of an attempt at a stage, from zero.
    AttemptNumber, u16
}
number_type! {
    /// Term of the replicated log: rises with each election.
    Term, u64
}
number_type! {
    /// Position of an entry in the replicated log, from one.
    LogIndex, u64
}
number_type! {
    /// Identity of a replica, drawn anew for each empty data folder.
    ReplicaId, u64
}
number_type! {
    /// Version of the environment document: rises with each accepted document.
    Version, u64
}
number_type! {
    /// Number that an operator gives to an order, so that a resend is recognised.
    OperationNumber, u64
}
number_type! {
    /// Incarnation of a target's process: differs after each start.
    Incarnation, u64
}
number_type! {
    /// Fencing number of an order to a target: rises with each order.
    FencingNumber, u64
}

/// Identity of one call to a target: an answer is matched to it before it is used.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    /// Request that the call works for.
    pub request: RequestId,
    /// Stage of the request's pipeline.
    pub stage: StageIndex,
    /// Attempt at that stage.
    pub attempt: AttemptNumber,
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}/{}/{}", self.request.0, self.stage, self.attempt)
    }
}
