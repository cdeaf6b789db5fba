//! Errors of calls and frames to peers.

use std::fmt;
use std::io;

use hawthornkeel_core::names::InstanceName;

use crate::peer::credentials::CredentialsError;
use crate::peer::frame::Refusal;
use crate::peer::wire::WireError;

/// Error of a call or frame to a peer, or of opening the endpoint.
#[derive(Debug)]
pub enum PeerError {
    /// There is no such peer in the settings.
    UnknownPeer(InstanceName),
    /// The settings lack `peers.listen`.
    NoListenAddress,
    /// No connection could be established; nothing was sent.
    Unreachable(String),
    /// The connection failed after the call was sent.
    ConnectionLost(String),
    /// The call timed out.
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
    /// Tells whether the call may have reached the peer and been executed.
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
            Self::UnknownPeer(name) => write!(f, "peer {name} is not in the settings"),
            Self::NoListenAddress => f.write_str("settings lack peers.listen"),
            Self::Unreachable(reason) => write!(f, "peer is unreachable: {reason}"),
            Self::ConnectionLost(reason) => write!(f, "connection lost: {reason}"),
            Self::TimedOut { sent: true } => f.write_str("timed out waiting for the response"),
            Self::TimedOut { sent: false } => f.write_str("timed out connecting"),
            Self::Refused(Refusal::Version { found, known }) => {
                write!(f, "peer refused protocol version {found}, it speaks {known}")
            }
            Self::Refused(Refusal::Unsupported) => f.write_str("peer does not support this call"),
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
