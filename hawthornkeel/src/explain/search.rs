//! Search for the events of a request and for those that may tell its cause, within bounds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::explain::event::BadLine;
use crate::explain::event::Event;
use crate::explain::event::Kind;
use crate::explain::timestamp::Timestamp;

/// Maximum number of events of a request that are kept.
pub const MAX_EVENTS: usize = 10_000;
/// Maximum number of events that are kept as they may tell the cause.
pub const MAX_SURROUNDINGS: usize = 50_000;
/// Time before the first event of a request in which its cause is looked for.
const BEFORE: Duration = Duration::from_secs(30);
/// Time after the last event of a request in which its cause is looked for.
const AFTER: Duration = Duration::from_secs(10);

/// Further time after the events found so far, where the lines can't be read again.
const SLACK: Duration = Duration::from_secs(300);

/// Numbers of lines that were read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LineCounts {
    /// All lines that are not blank.
    pub all: u64,
    /// Lines that were too long.
    pub long: u64,
    /// Lines that are not UTF-8.
    pub not_utf8: u64,
    /// Lines without a time.
    pub no_time: u64,
    /// Lines that are not logfmt.
    pub not_logfmt: u64,
}

impl LineCounts {
    /// Returns the number of lines that could not be used.
    pub fn bad(&self) -> u64 {
        self.long + self.not_utf8 + self.no_time + self.not_logfmt
    }

    /// Returns a line about what was read.
    pub fn summary(&self) -> String {
        let kinds = [
            (self.long, BadLine::TooLong),
            (self.not_utf8, BadLine::NotUtf8),
            (self.no_time, BadLine::NoTime),
            (self.not_logfmt, BadLine::NotLogfmt),
        ];
        let kinds = kinds.into_iter().filter(|(count, _)| *count > 0);
        let kinds: Vec<String> = kinds.map(|(count, kind)| format!("{count} {kind}")).collect();
        match kinds.is_empty() {
            true => format!("{} lines read", self.all),
            false => {
                format!("{} lines read, {} unusable: {}", self.all, self.bad(), kinds.join(", "))
            }
        }
    }

    fn add(&mut self, bad: BadLine) {
        match bad {
            BadLine::TooLong => self.long += 1,
            BadLine::NotUtf8 => self.not_utf8 += 1,
            BadLine::NoTime => self.no_time += 1,
            BadLine::NotLogfmt => self.not_logfmt += 1,
        }
    }
}

/// Search for a request in lines of any order.
#[derive(Clone, Debug)]
pub struct Search {
    request: String,
    counts: LineCounts,
    events: Vec<Event>,
    /// Time from the arrival of the request until its last event.
    span: Option<(Timestamp, Timestamp)>,
    surroundings: VecDeque<Event>,
    left_out: u64,
}

impl Search {
    /// Creates a search for a request.
    pub fn new(request: &str) -> Self {
        Self {
            request: request.to_owned(),
            counts: LineCounts::default(),
            events: Vec::new(),
            span: None,
            surroundings: VecDeque::new(),
            left_out: 0,
        }
    }

    /// Takes a line of a file that can be read again; `None` is one that is too long.
    pub fn take(&mut self, line: Option<&[u8]>, file: &Arc<str>) {
        let _ = self.take_own(line, file);
    }

    /// Takes a line that can't be read again.
    ///
    /// Of the lines that may tell the cause, the latest are kept.
    pub fn take_once(&mut self, line: Option<&[u8]>, file: &Arc<str>) {
        if let Some(event) = self.take_own(line, file)
            && (self.span.is_none() || self.is_near(event.time, SLACK))
        {
            self.keep(event);
        }
    }

    /// Takes a line again, once all lines were taken.
    pub fn take_again(&mut self, line: Option<&[u8]>, file: &Arc<str>) {
        let event = line.and_then(|line| Event::parse(line, file).ok());
        if let Some(event) = event
            && !event.is_of(&self.request)
            && self.is_near(event.time, Duration::ZERO)
        {
            self.keep(event);
        }
    }

    /// Returns the request.
    pub fn request(&self) -> &str {
        &self.request
    }

    /// Returns the numbers of lines.
    pub fn counts(&self) -> LineCounts {
        self.counts
    }

    /// Returns the number of events that were left out for want of room.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Returns whether a line names the request.
    pub fn is_found(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns the events of the request, and those near it that may tell its cause, each in order
    /// of time.
    pub fn finish(mut self) -> (Vec<Event>, Vec<Event>) {
        let mut near: Vec<Event> = std::mem::take(&mut self.surroundings).into();
        near.retain(|event| self.is_near(event.time, Duration::ZERO));
        near.sort_by_key(|event| event.time);
        self.events.sort_by_key(|event| event.time);
        (self.events, near)
    }

    /// Takes a line; returns its event if it does not belong to the request.
    fn take_own(&mut self, line: Option<&[u8]>, file: &Arc<str>) -> Option<Event> {
        if line.is_some_and(|line| line.trim_ascii().is_empty()) {
            return None;
        }
        self.counts.all += 1;
        let event = line.ok_or(BadLine::TooLong).and_then(|line| Event::parse(line, file));
        match event {
            Err(bad) => self.counts.add(bad),
            Ok(event) if !event.is_of(&self.request) => return Some(event),
            Ok(event) if self.events.len() < MAX_EVENTS => self.push(event),
            Ok(_) => self.left_out += 1,
        }
        None
    }

    fn push(&mut self, event: Event) {
        // The last event tells how long ago the request arrived.
        let arrived = event.time.before(elapsed(&event));
        let (begin, end) = self.span.unwrap_or((arrived, event.time));
        self.span = Some((begin.min(arrived), end.max(event.time)));
        self.events.push(event);
    }

    fn keep(&mut self, event: Event) {
        if !event.kind.tells_cause() {
            return;
        }
        if self.surroundings.len() >= MAX_SURROUNDINGS {
            self.surroundings.pop_front();
            self.left_out += 1;
        }
        self.surroundings.push_back(event);
    }

    /// Returns whether a time is near the request, or at most `slack` later.
    fn is_near(&self, time: Timestamp, slack: Duration) -> bool {
        self.span.is_some_and(|(begin, end)| {
            time >= begin.before(BEFORE) && time <= end.after(AFTER + slack)
        })
    }
}

/// Returns the time from a request's arrival until the event, if the event tells it.
pub fn elapsed(event: &Event) -> Duration {
    let millis = match event.kind {
        Kind::RequestEnded => event.number("ms"),
        Kind::StopRefused => event.number("waited_ms"),
        _ => None,
    };
    Duration::from_millis(millis.unwrap_or_default())
}
