//! Choice of a target: what decides on it, what was chosen, and why none was.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::fleet::TargetRun;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::TargetName;
use crate::rollout::versions::VersionRule;
use crate::table::pool::ColdLimit;
use crate::time::Instant;

/// What a target is needed for.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Pool.
    pub pool: &'a PoolName,
    /// Hash key: equal for requests that share a prompt, otherwise random.
    pub session: u64,
    /// Preferred data centre; given for requests without session affinity only.
    pub centre: Option<&'a CentreName>,
    /// Targets that were tried before.
    pub tried: &'a [TargetName],
    /// Load that a cold target of the pool can take.
    pub cold: Option<ColdLimit>,
    /// Number of entries that serve callers.
    pub entries: usize,
    /// Only software that may run the request, if it goes on with a stream.
    pub version: Option<&'a SoftwareVersion>,
    /// Versions that may get the request while its pool is in a rollout or has had one.
    pub rule: &'a VersionRule,
}

impl TargetQuery<'_> {
    /// Returns whether requests with the same session should go to the same target.
    pub(super) fn has_affinity(&self) -> bool {
        self.centre.is_none()
    }
}

/// Chosen target. Its request counts as in progress until this and all clones are dropped.
#[derive(Clone, Debug)]
pub struct ChosenTarget {
    /// Target.
    pub name: TargetName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: CentreName,
    /// Start of its process on the wall clock, in milliseconds, if it is known.
    pub born: Option<u64>,
    /// Version of its software, by the list.
    pub version: SoftwareVersion,
    /// Whether it counted as cold.
    pub cold: bool,
    /// Whether it was chosen as no target of the version that the rule asks for could get the request.
    pub fall_back: bool,
    /// Whether another one would have been chosen without what is known of loads and speeds.
    pub by_load: bool,
    pub(super) _in_flight: Rc<InFlight>,
}

impl ChosenTarget {
    /// Returns the process to which the request is sent.
    pub fn run(&self) -> TargetRun {
        TargetRun { name: self.name.clone(), address: self.address, born: self.born }
    }
}

/// Counts a request in progress until it is dropped, which includes the caller disconnecting.
#[derive(Debug)]
pub(super) struct InFlight(Rc<Cell<u32>>);

impl InFlight {
    pub(super) fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get().saturating_add(1));
        Self(Rc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Reason why no target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoTarget {
    /// The pool has no target that may get requests.
    Empty,
    /// All were tried.
    Tried,
    /// The remaining ones are cold, and this entry has used its share of their load.
    Cold,
    /// The remaining ones have asked for a pause.
    Paused {
        /// Time at which the first of them may get a request.
        until: Instant,
    },
}

impl NoTarget {
    /// Returns the reason why neither of two targets was chosen.
    ///
    /// A target that becomes available sooner or later outweighs one that does not.
    pub(super) fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Empty, reason) | (reason, Self::Empty) => reason,
            (Self::Paused { until: one }, Self::Paused { until: other }) => {
                Self::Paused { until: one.min(other) }
            }
            (Self::Paused { .. }, Self::Cold) => Self::Cold,
            (Self::Tried, Self::Paused { until }) => Self::Paused { until },
            (reason, _) => reason,
        }
    }
}
