//! Replicated log: elections, replication, snapshots and membership.
//!
//! A [`Replica`] is driven by [`Replica::handle`] and does no I/O. The clock that `now` comes from
//! must be monotonic, go on while the process or machine is stopped (`CLOCK_BOOTTIME` on Linux),
//! and be read right before each call.

pub mod action;
pub mod entry;
pub mod message;
pub mod settings;

use std::fmt;

use rand_chacha::ChaCha8Rng;

use crate::ids::LogIndex;
use crate::time::Instant;

pub use crate::replica::action::Action;
pub use crate::replica::action::Applied;
pub use crate::replica::action::Change;
pub use crate::replica::action::Input;
pub use crate::replica::action::Keep;
pub use crate::replica::action::Proposal;
pub use crate::replica::action::Refusal;
pub use crate::replica::action::Role;
pub use crate::replica::action::Save;
pub use crate::replica::action::Status;
pub use crate::replica::entry::Entry;
pub use crate::replica::entry::GroupId;
pub use crate::replica::entry::HardState;
pub use crate::replica::entry::Member;
pub use crate::replica::entry::Members;
pub use crate::replica::entry::Node;
pub use crate::replica::entry::Payload;
pub use crate::replica::entry::ProposalId;
pub use crate::replica::entry::ReadId;
pub use crate::replica::entry::Snapshot;
pub use crate::replica::entry::Standing;
pub use crate::replica::entry::Stored;
pub use crate::replica::entry::Ticket;
pub use crate::replica::message::Body;
pub use crate::replica::message::Message;
pub use crate::replica::settings::Settings;

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    status: Status,
}

impl Replica {
    /// Creates a replica on an empty data folder: it forms a group or waits to be added to one.
    pub fn new(node: Node, settings: Settings, rng: ChaCha8Rng, now: Instant) -> Self {
        let _ = (node, settings, rng, now);
        Self { status: Status::default() }
    }

    /// Creates a replica from what its disk holds.
    ///
    /// The first actions of [`Replica::handle`] restore the state from the snapshot, if any.
    ///
    /// # Errors
    ///
    /// Returns an error where the log has a gap.
    pub fn recover(
        node: Node,
        settings: Settings,
        rng: ChaCha8Rng,
        now: Instant,
        stored: Stored,
    ) -> Result<Self, RecoverError> {
        let _ = stored;
        Ok(Self::new(node, settings, rng, now))
    }

    /// Takes in one input at `now` and returns what is to be done, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let _ = (now, input);
        Vec::new()
    }

    /// Returns the point at which [`Input::Tick`] is due.
    pub fn deadline(&self) -> Instant {
        Instant::ZERO
    }

    /// Returns the replica's state.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// Tells whether this replica leads and its lease stands at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        let _ = now;
        false
    }
}

/// Why a replica can't start from what its disk holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoverError {
    /// An entry is missing: the one after `after` is not there.
    Gap {
        /// Last position before the gap.
        after: LogIndex,
    },
}

impl fmt::Display for RecoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { after } => write!(f, "log has a gap after entry {after}"),
        }
    }
}

impl std::error::Error for RecoverError {}
