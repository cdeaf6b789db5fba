//! Messages from an entry to its peers.

use hawthornkeel_core::lease::message::GrantMessage;
use hawthornkeel_core::lease::message::MemberId;
use hawthornkeel_core::lease::message::VoteMessage;
use hawthornkeel_core::names::InstanceName;

/// Message between entries.
#[derive(Clone, Debug)]
pub enum EntryMessage {
    /// About the lease of a data centre.
    Vote(VoteMessage),
    /// About grants for cold targets.
    Grant {
        /// Member that sends it.
        from: MemberId,
        /// Message proper.
        message: GrantMessage,
    },
}

/// Way to the peers.
#[derive(Clone)]
pub enum Outlet {
    /// There are no peers: a trial.
    Alone,
}

impl Outlet {
    /// Sends `message`, which may be lost.
    pub fn send(&self, _to: &InstanceName, _message: EntryMessage) {
        match self {
            Self::Alone => {}
        }
    }
}
