//! Errors of exchanges with targets.

use std::fmt;
use std::io;

use crate::http::framing::ReadError;
use crate::http::response_bound::ResponseBound;

/// Error of an exchange that yields no complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// The request was not sent, so it can't have run.
    NotSent(String),
    /// The request was not sent, as its target has meanwhile said that it leaves or wants a pause, or
    /// as its pool's rollout no longer lets it go to that version.
    Withheld,
    /// The request was sent on a kept connection that broke, and none could be opened to send it
    /// again; it may have run.
    NotResent(String),
    /// The exchange failed after the request may have been sent; it may have run.
    Interrupted(&'static str),
    /// The timeout has passed; the request may have run.
    TimedOut,
    /// The response exceeded a bound; the request may have run.
    Exceeded(ResponseBound),
    /// The process that answers may have other software than the stream needs.
    Unproved,
}

impl ExchangeError {
    /// Returns whether the request is known not to have run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Withheld)
    }

    /// Returns whether no connection could be opened.
    pub fn is_unreached(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::NotResent(_))
    }

    /// Returns whether the target ended the exchange before its answer was complete.
    pub fn is_broken_off(&self) -> bool {
        matches!(self, Self::Interrupted(_))
    }

    /// Returns the error of sending a request again that was sent before.
    pub(super) fn after_sending(self) -> Self {
        match self {
            Self::NotSent(cause) => Self::NotResent(cause),
            Self::Withheld => {
                Self::Interrupted("kept connection broke, and the request is withheld")
            }
            other => other,
        }
    }

    /// Returns whether the entry gave the exchange up for its own memory, which says nothing about
    /// the target.
    pub fn is_for_memory(&self) -> bool {
        matches!(self, Self::Exceeded(ResponseBound::Memory))
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Withheld => f.write_str("target may get no request"),
            Self::NotResent(cause) => write!(f, "not sent again: {cause}"),
            Self::Interrupted(cause) => write!(f, "interrupted: {cause}"),
            Self::TimedOut => f.write_str("silent"),
            Self::Unproved => f.write_str("software not proved"),
            Self::Exceeded(bound) => write!(f, "response exceeds its bound: {}", bound.as_str()),
        }
    }
}

impl std::error::Error for ExchangeError {}

impl From<ReadError> for ExchangeError {
    fn from(error: ReadError) -> Self {
        if let Some(bound) = ResponseBound::of(&error) {
            return Self::Exceeded(bound);
        }
        match error {
            ReadError::Closed => Self::Interrupted("closed before the response"),
            ReadError::Truncated => Self::Interrupted("response is truncated"),
            ReadError::Malformed(cause) => Self::Interrupted(cause),
            ReadError::Io(error) => error.into(),
            _ => Self::Interrupted("response can't be read"),
        }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        Self::Interrupted("connection reset")
    }
}
