//! Messages from an entry to its peers.

use hawthornkeel_core::lease::message::GrantMessage;
use hawthornkeel_core::lease::message::MemberId;
use hawthornkeel_core::lease::message::VoteMessage;
use hawthornkeel_core::names::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::peer::endpoint::Endpoint;
use crate::peer::frame::Frame;

/// Message between entries.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
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
pub enum PeerMessenger {
    /// There are no peers: a trial.
    Disabled,
    /// Peers over QUIC.
    Quic(Endpoint),
}

impl PeerMessenger {
    /// Sends `message`, which may be lost.
    pub fn send(&self, to: &InstanceName, message: EntryMessage) {
        let Self::Quic(endpoint) = self else {
            return;
        };
        if let Err(error) = endpoint.send(to, &Frame::Entry(message)) {
            tracing::debug!(event = "entry-message-dropped", %to, %error);
        }
    }
}
