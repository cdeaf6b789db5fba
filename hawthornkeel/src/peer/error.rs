//! Errors of messages to peers.

use std::fmt;
use std::io;

use hawthornkeel_core::names::InstanceName;

use crate::peer::credentials::CredentialsError;
use crate::peer::frame::Refusal;
use crate::peer::wire::WireError;

/// Error of a message to a peer, or of opening the endpoint.
#[derive(Debug)]
pub enum PeerError {
    /// The settings name no such peer.
    UnknownPeer(InstanceName),
    /// The settings lack `peers.listen`.
    NoListenAddress,
    /// No connection could be made: nothing was sent.
    Unreachable(String),
    /// The connection failed after the call was sent.
    ConnectionLost(String),
    /// The time ran out; `sent` tells whether the call may have reached the peer.
    TimedOut {
        /// Whether the call may have reached the peer.
        sent: bool,
    },
    /// The peer refused the call.
    Refused(Refusal),
    /// A frame can't be encoded or decoded.
    Wire(WireError),
    /// The instance's own credentials can't be used.
    Credentials(CredentialsError),
    /// The socket can't be used.
    Io(io::Error),
}

impl PeerError {
    /// Tells whether the call may have reached the peer and been carried out.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::ConnectionLost(_) => true,
            Self::TimedOut { sent } => *sent,
            Self::Wire(e) => !matches!(e, WireError::TooLong(_)),
            Self::UnknownPeer(_)
            | Self::NoListenAddress
            | Self::Unreachable(_)
            | Self::Refused(_)
            | Self::Credentials(_)
            | Self::Io(_) => false,
        }
    }
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPeer(name) => write!(f, "settings name no peer {name}"),
            Self::NoListenAddress => f.write_str("settings lack peers.listen"),
            Self::Unreachable(reason) => write!(f, "peer can't be reached: {reason}"),
            Self::ConnectionLost(reason) => write!(f, "connection lost: {reason}"),
            Self::TimedOut { sent: true } => f.write_str("no answer in time"),
            Self::TimedOut { sent: false } => f.write_str("no connection in time"),
            Self::Refused(Refusal::Version { found, known }) => {
                write!(f, "peer refused protocol version {found}, it speaks {known}")
            }
            Self::Refused(Refusal::Unsupported) => f.write_str("peer does not serve this call"),
            Self::Refused(Refusal::Malformed) => f.write_str("peer could not decode the call"),
            Self::Wire(e) => e.fmt(f),
            Self::Credentials(e) => e.fmt(f),
            Self::Io(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for PeerError {}

impl From<WireError> for PeerError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

impl From<CredentialsError> for PeerError {
    fn from(error: CredentialsError) -> Self {
        Self::Credentials(error)
    }
}

impl From<io::Error> for PeerError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
