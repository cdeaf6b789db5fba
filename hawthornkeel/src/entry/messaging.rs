//! Messages between entries.

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
    /// Message of the election for a data centre's lease.
    Vote(VoteMessage),
    /// Message about grants for cold targets.
    Grant {
        /// Sender.
        from: MemberId,
        /// The message itself.
        message: GrantMessage,
    },
}

/// Sends messages to other entries.
#[derive(Clone)]
pub enum PeerMessenger {
    /// A trial has no peers.
    Disabled,
    /// Peers over QUIC.
    Quic(Endpoint),
}

impl PeerMessenger {
    /// Sends `message` without confirmation; it may be lost.
    pub fn send(&self, to: &InstanceName, message: EntryMessage) {
        let Self::Quic(endpoint) = self else {
            return;
        };
        if let Err(error) = endpoint.send(to, &Frame::Entry(message)) {
            tracing::debug!(event = "entry-message-dropped", %to, %error);
        }
    }
}
