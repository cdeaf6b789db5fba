//! Events of log lines.

use std::error::Error;
use std::fmt;
use std::sync::Arc;

use crate::explain::logfmt;
use crate::explain::timestamp::Timestamp;

/// Name of the field that begins each line of the product.
const TIME: &str = "ts=";
/// Name of the field that names the event; its own fields follow.
const EVENT: &str = "event";
/// Characters that collectors write around the names of processes.
const MARKS: [char; 3] = ['|', ':', ','];

/// Reason why a line is not an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadLine {
    /// It is longer than the limit.
    TooLong,
    /// It is not UTF-8.
    NotUtf8,
    /// It has no `ts` with a time.
    NoTime,
    /// It is not logfmt behind `ts`.
    NotLogfmt,
}

impl fmt::Display for BadLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "too long",
            Self::NotUtf8 => "not UTF-8",
            Self::NoTime => "without a time",
            Self::NotLogfmt => "not logfmt",
        })
    }
}

impl Error for BadLine {}

/// Defines the kinds of events with their names in logs.
macro_rules! kinds {
    ($($name:ident, $text:literal;)*) => {
        /// Kind of an event that is told in words or used to find a cause.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Kind {
            $(#[doc = concat!("`", $text, "`.")] $name,)*
            /// Any other event.
            Other,
        }

        impl Kind {
            /// Returns the kind of the event with a name.
            pub fn of(name: &str) -> Self {
                match name {
                    $($text => Self::$name,)*
                    _ => Self::Other,
                }
            }
        }
    };
}

kinds! {
    AnswerBroken, "answer-broken";
    Answered, "answered";
    Call, "call";
    CentreOrder, "centre-order";
    CentresCutOff, "centres-cut-off";
    EntryStopped, "entry-stopped";
    EntrySuspected, "entry-suspected";
    HandedOver, "handed-over";
    HedgeEnded, "hedge-ended";
    HedgeSent, "hedge-sent";
    JobEnded, "job-ended";
    LinesDropped, "log-lines-dropped";
    LinksLost, "links-lost";
    NotAdmitted, "not-admitted";
    PiecesFailed, "pieces-failed";
    Refused, "refused";
    RepeatRefused, "repeat-refused";
    RequestDenied, "request-denied";
    RequestDropped, "request-dropped";
    RequestEnded, "request-ended";
    ResumeFailed, "resume-failed";
    ResumeUnstaged, "resume-unstaged";
    RetryWaits, "retry-waits";
    Route, "route";
    RouteRefused, "route-refused";
    RouteWait, "route-wait";
    SchedulerSilent, "desk-silent";
    SchedulerState, "desk-state";
    SettleGivenUp, "settle-given-up";
    StopBegun, "stop-begun";
    StopRefused, "stop-refused";
    StreamBroken, "stream-broken";
    StreamResumed, "stream-resumed";
    TargetLeaving, "target-leaving";
    TargetPaused, "target-paused";
    TargetTried, "target-tried";
}

impl Kind {
    /// Returns whether an event of this kind may tell the cause of what happened to a request that
    /// it does not name.
    pub fn tells_cause(self) -> bool {
        match self {
            Self::AnswerBroken
            | Self::CentreOrder
            | Self::CentresCutOff
            | Self::EntryStopped
            | Self::EntrySuspected
            | Self::LinesDropped
            | Self::LinksLost
            | Self::PiecesFailed
            | Self::RepeatRefused
            | Self::SchedulerState
            | Self::StopBegun
            | Self::StreamBroken
            | Self::TargetLeaving
            | Self::TargetPaused
            | Self::TargetTried => true,
            Self::Answered
            | Self::Call
            | Self::HandedOver
            | Self::HedgeEnded
            | Self::HedgeSent
            | Self::JobEnded
            | Self::NotAdmitted
            | Self::Other
            | Self::Refused
            | Self::RequestDenied
            | Self::RequestDropped
            | Self::RequestEnded
            | Self::ResumeFailed
            | Self::ResumeUnstaged
            | Self::RetryWaits
            | Self::Route
            | Self::RouteRefused
            | Self::RouteWait
            | Self::SchedulerSilent
            | Self::SettleGivenUp
            | Self::StopRefused
            | Self::StreamResumed => false,
        }
    }
}

/// Event of a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Time of the line, by the clock of its process.
    pub time: Timestamp,
    /// Process that wrote the line.
    pub process: Arc<str>,
    /// Kind of the event.
    pub kind: Kind,
    /// Name of the event; empty if the line has none.
    pub name: String,
    /// Fields of the event.
    pub fields: Vec<(String, String)>,
}

impl Event {
    /// Parses a line.
    ///
    /// The process is the last word with a letter before `ts`, or `file` if there is none.
    ///
    /// # Errors
    /// Fails if the line is not an event.
    pub fn parse(line: &[u8], file: &Arc<str>) -> Result<Self, BadLine> {
        let line = std::str::from_utf8(line).map_err(|_| BadLine::NotUtf8)?;
        let (prefix, time, rest) = split(line).ok_or(BadLine::NoTime)?;
        let mut fields = logfmt::parse(rest).map_err(|_| BadLine::NotLogfmt)?;
        // Fields before it, such as the target of the log output, have names that events use too.
        let at = fields.iter().position(|(name, _)| name == EVENT);
        let name = at.map(|at| fields.drain(..=at).next_back().map(|f| f.1).unwrap_or_default());
        let name = name.unwrap_or_default();
        let process = process(prefix).map_or_else(|| Arc::clone(file), Arc::from);
        Ok(Self { time, process, kind: Kind::of(&name), name, fields })
    }

    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field, or `?` if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.get(name).unwrap_or("?")
    }

    /// Returns the value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// Returns whether the event names a request, by itself or as that of a call.
    pub fn is_of(&self, request: &str) -> bool {
        let is_call = || {
            let call = self.get("call").and_then(|call| call.strip_prefix(request));
            call.is_some_and(|rest| rest.starts_with('/'))
        };
        self.get("request") == Some(request) || is_call()
    }
}

/// Splits a line into what precedes `ts`, the time, and the fields behind it.
fn split(line: &str) -> Option<(&str, Timestamp, &str)> {
    line.match_indices(TIME).find_map(|(at, _)| {
        let (prefix, rest) = line.split_at_checked(at)?;
        if !prefix.is_empty() && !prefix.ends_with(char::is_whitespace) {
            return None;
        }
        let rest = rest.strip_prefix(TIME)?;
        let (time, rest) = rest.split_once(char::is_whitespace).unwrap_or((rest, ""));
        Some((prefix, Timestamp::parse(time)?, rest))
    })
}

fn process(prefix: &str) -> Option<&str> {
    let words = prefix.split_whitespace().map(|word| word.trim_matches(MARKS));
    let words = words.map(without_brackets);
    words.rev().find(|word| word.contains(char::is_alphabetic))
}

fn without_brackets(word: &str) -> &str {
    word.strip_prefix('[').and_then(|word| word.strip_suffix(']')).unwrap_or(word)
}
