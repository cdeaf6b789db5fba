//! Bounds in bytes on what is read from a target or from the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::framing::ReadError;
use crate::telemetry;

/// Bound that a response has exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseBound {
    /// Size of a head.
    Head,
    /// Number of informational (1xx) responses before the final one.
    Interim,
    /// Number of digits of a chunk size.
    ChunkSize,
    /// Size of the framing of a chunked body.
    Framing,
    /// Size of a body.
    Body,
    /// Size of one event of a stream.
    Event,
    /// Memory for the responses of all targets together.
    Memory,
}

impl ResponseBound {
    /// Returns the bound that caused `error`, if one did.
    pub fn of(error: &ReadError) -> Option<Self> {
        match error {
            ReadError::HeadTooLarge => Some(Self::Head),
            ReadError::TooManyInterim => Some(Self::Interim),
            ReadError::SizeTooLong => Some(Self::ChunkSize),
            ReadError::FramingTooLarge => Some(Self::Framing),
            ReadError::BodyTooLarge => Some(Self::Body),
            ReadError::Closed
            | ReadError::Truncated
            | ReadError::Malformed(_)
            | ReadError::Io(_) => None,
        }
    }

    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Interim => "interim",
            Self::ChunkSize => "chunk-size",
            Self::Framing => "framing",
            Self::Body => "body",
            Self::Event => "event",
            Self::Memory => "memory",
        }
    }

    /// Logs and counts an exchange that is closed because of this bound.
    ///
    /// `bytes` were received from `address` in the exchange, which began `age` ago.
    pub fn record(self, address: SocketAddr, bytes: usize, age: Duration) {
        let bound = self.as_str();
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        metrics::counter!(telemetry::EXCEEDED_RESPONSES, "bound" => bound).increment(1);
        tracing::warn!(event = "response-exceeded", %address, bound, bytes, age_ms);
    }
}
