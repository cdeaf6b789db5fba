//! Replacement of a silent run by one at another target.
//!
//! A sound target may fall silent for a second and go on, and the other targets may be full. So what a
//! caller has of its run is given up only once another target's answer has begun. Two targets may not
//! work on one stream for long, so after [`MAX_OVERLAP`] one of both runs ends: the new one as long as
//! the caller can wait for the old one, and the old one after that, as it may be silent for good.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::TargetName;
use crate::time::Instant;

/// Longest time for which two targets are asked for one stream.
///
/// The users allow 400 ms, from the arrival of the request until the other target has stopped.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);
/// Fraction of the callers' patience after which another target is asked.
const ASK_FRACTION: f64 = 0.4;
/// Fraction of the callers' patience after which a silent run is given up for one that is under way.
///
/// The rest is for the first event from the other target.
const LAST_FRACTION: f64 = 0.65;
/// Time for which sound targets may be silent before they begin to answer.
const SOUND_SILENCE: Duration = Duration::from_millis(1_300);
/// Time for which a target that refused a replacement is asked for no other one.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time for which a target that accepted one may be asked for any number.
const ACCEPTED_TIME: Duration = Duration::from_millis(1_000);

/// Returns the time of silence before which no other target is asked, for callers with a `patience`.
pub fn earliest_ask(patience: Duration) -> Duration {
    patience.mul_f64(ASK_FRACTION)
}

/// Which of two runs of one stream ends after the overlap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SurplusRun {
    /// The silent one.
    Former,
    /// The one that was to replace it.
    Latter,
}

/// Silence of a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamSilence {
    /// Time without an event after which callers leave.
    pub patience: Duration,
    /// Time in which targets usually begin to answer.
    pub latency: Duration,
    /// Whether the answer has begun.
    pub has_begun: bool,
    /// Whether the silent target accepts no connections, so that its run can't go on.
    pub is_unreachable: bool,
    /// Whether a replacement was ended after its overlap.
    pub overlapped: bool,
}

impl StreamSilence {
    /// Returns the time of silence after which another target is asked.
    ///
    /// One whose answer can't be expected within the overlap is asked only once it may replace the
    /// silent run without one.
    pub fn ask_after(&self) -> Duration {
        let earliest = if self.has_begun { earliest_ask(self.patience) } else { Duration::ZERO };
        let is_quick = self.latency * 2 <= MAX_OVERLAP && !self.overlapped;
        match is_quick || self.is_unreachable {
            true => earliest,
            false => self.last_after(),
        }
    }

    /// Returns which run ends after the overlap, when the stream has been silent for `silence`.
    pub fn surplus(&self, silence: Duration) -> SurplusRun {
        match silence < self.last_after() + MAX_OVERLAP && !self.is_unreachable {
            true => SurplusRun::Latter,
            false => SurplusRun::Former,
        }
    }

    /// Returns the time of silence after which a target may be asked that replaces the former run even
    /// if it does not answer within the overlap.
    ///
    /// Before the answer has begun, callers lose no part of it, and their objective runs.
    fn last_after(&self) -> Duration {
        let last = self.patience.mul_f64(LAST_FRACTION);
        if self.has_begun { last } else { last.min(SOUND_SILENCE) }
    }
}

/// What is known of a target that was asked to replace a silent run.
#[derive(Clone, Copy, Debug)]
enum Asked {
    /// It has not answered yet.
    Waiting(Instant),
    /// It refused, as it is full.
    Refused(Instant),
    /// It has begun to answer.
    Accepted(Instant),
}

/// Targets that were asked lately to replace silent runs.
///
/// Many streams fall silent at once if their target does. One of them asks another target, and the
/// others follow if that accepts; each would ask each full target otherwise.
#[derive(Clone, Debug, Default)]
pub struct AskedTargets {
    by_name: IndexMap<TargetName, Asked>,
}

impl AskedTargets {
    /// Records that a target is asked.
    pub fn begin(&mut self, now: Instant, target: &TargetName) {
        self.by_name.retain(|_, asked| asked.is_current(now));
        self.by_name.entry(target.clone()).or_insert(Asked::Waiting(now));
    }

    /// Records that a target has begun to answer.
    pub fn accept(&mut self, now: Instant, target: &TargetName) {
        self.by_name.insert(target.clone(), Asked::Accepted(now));
    }

    /// Records that a target refused.
    pub fn refuse(&mut self, now: Instant, target: &TargetName) {
        self.by_name.insert(target.clone(), Asked::Refused(now));
    }

    /// Returns the targets that are not to be asked now.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = &TargetName> {
        let is_closed = move |asked: &Asked| asked.is_current(now) && asked.is_closed();
        self.by_name.iter().filter(move |(_, asked)| is_closed(asked)).map(|(name, _)| name)
    }
}

impl Asked {
    fn is_closed(self) -> bool {
        matches!(self, Self::Waiting(_) | Self::Refused(_))
    }

    fn is_current(self, now: Instant) -> bool {
        match self {
            Self::Waiting(at) => now.since(at) < MAX_OVERLAP,
            Self::Refused(at) => now.since(at) < REFUSAL_TIME,
            Self::Accepted(at) => now.since(at) < ACCEPTED_TIME,
        }
    }
}
