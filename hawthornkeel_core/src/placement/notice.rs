//! What targets say about themselves: that they leave, or that they want no request for a while.
//!
//! An entry believes what an answer says of the process that gave it, until the platform's list
//! names another process. The list and the answers are two sources, and neither withdraws what the
//! other has said. Whatever sends requests to a target reads the same [`TargetNotice`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::fleet::TargetRun;
use crate::placement::limit::RequestRate;
use crate::time::Instant;

/// Longest pause that a target gets; longer ones are probably not meant.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Time after a pause over which requests return.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Time after the end of a pause at which the second request may be sent.
///
/// After `n` times as long, there may be `n` squared more.
const RETURN_STEP: Duration = Duration::from_millis(50);
/// Shortest time after the end of a pause at which a caller is told to come back, as clocks differ.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(10);
/// Time for which a belief outlasts the listing of its target, as lists may be incomplete.
const UNLISTED_TTL: Duration = Duration::from_secs(10);

/// Divisor of the objective that a request may wait for the end of a pause in any case.
const SHORT_WAIT_DIVISOR: u32 = 8;

/// Times of a request that would wait for the end of a pause.
#[derive(Clone, Copy, Debug)]
pub struct PauseWait {
    /// Time for which it has waited.
    pub waited: Duration,
    /// Time until the pause ends.
    pub wait: Duration,
    /// Expected time from then until its response begins.
    pub latency: Duration,
    /// Time left until its objective is missed.
    pub left: Duration,
    /// Latency objective of its route.
    pub objective: Duration,
}

impl PauseWait {
    /// Returns whether the request should wait: it can still be in time, or the wait is so short
    /// that a request which is late in any case loses little.
    pub fn is_worthwhile(&self) -> bool {
        let in_time = self.wait.saturating_add(self.latency) <= self.left;
        let short = self.objective / SHORT_WAIT_DIVISOR;
        in_time || self.waited.saturating_add(self.wait) <= short
    }
}

/// What one answer of a target says about it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether the target leaves.
    pub leaving: bool,
    /// Time for which it wants no request.
    pub pause: Option<Duration>,
    /// Requests that it takes from all entries together.
    pub limit: Option<RequestRate>,
}

/// Change of what an entry believes about a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeChange {
    /// It leaves.
    Leaving,
    /// It wants no request for a while.
    Paused {
        /// Length of the pause, from now.
        pause: Duration,
        /// Whether the target asked for more than the longest pause.
        bounded: bool,
        /// Age of an earlier pause that this one extends.
        extended: Option<Duration>,
    },
    /// It names another limit of requests than before, or none.
    Limited {
        /// Limit.
        limit: Option<RequestRate>,
    },
}

/// Belief that was dropped, as its process is no longer listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DroppedNotice {
    /// Process.
    pub run: TargetRun,
    /// Time since the process said that it leaves.
    pub leaving: Option<Duration>,
    /// Time since the process asked for a pause first, if that has not ended.
    pub paused: Option<Duration>,
}

/// What an entry believes about one process of a target; clones share it.
#[derive(Clone, Debug, Default)]
pub struct TargetNotice(Rc<RefCell<Belief>>);

impl PartialEq for TargetNotice {
    /// Returns whether both share one belief.
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

impl Eq for TargetNotice {}

#[derive(Clone, Copy, Debug, Default)]
struct Belief {
    /// Time at which it said first that it leaves.
    leaving_since: Option<Instant>,
    pause: Option<Pause>,
    limit: Option<NamedLimit>,
}

/// Limit as it was named last.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: RequestRate,
    heard: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Instant,
    end: Instant,
    /// Number of requests sent since the end.
    sent: u32,
}

impl TargetNotice {
    /// Returns whether the target has said that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.0.borrow().leaving_since.is_some()
    }

    /// Returns the time at which the target may get the next request; `None` if it may at `now`.
    ///
    /// That is the end of a pause, or shortly after it while requests return.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let belief = self.0.borrow();
        let opens = belief.pause.as_ref()?.opens_at(now);
        (opens > now).then_some(opens)
    }

    /// Counts a request that is sent at `now`, or pieces that are sent together.
    pub fn record_sent(&self, now: Instant) {
        if let Some(pause) = &mut self.0.borrow_mut().pause
            && pause.end <= now
        {
            pause.sent = pause.sent.saturating_add(1);
        }
    }

    /// Applies what the answer to a request says that was sent at `sent`, and returns the changes.
    fn apply(&self, now: Instant, sent: Instant, notice: Notice) -> Vec<NoticeChange> {
        let mut belief = self.0.borrow_mut();
        let mut changes = Vec::new();
        if notice.leaving && belief.leaving_since.is_none() {
            belief.leaving_since = Some(now);
            changes.push(NoticeChange::Leaving);
        }
        if let Some(pause) = notice.pause {
            changes.extend(belief.extend_pause(now, pause));
        }
        changes.extend(belief.update_limit(now, sent, notice.limit));
        changes
    }
}

impl Belief {
    /// Pauses the target for some time from now, if that is longer than a pause that it has.
    fn extend_pause(&mut self, now: Instant, asked: Duration) -> Option<NoticeChange> {
        let pause = asked.min(MAX_PAUSE);
        let end = now + pause;
        let current = self.pause.filter(|p| p.end > now);
        if pause.is_zero() || current.is_some_and(|p| p.end >= end) {
            return None;
        }
        let since = current.map_or(now, |p| p.since);
        self.pause = Some(Pause { since, end, sent: 0 });
        let extended = current.map(|p| now.since(p.since));
        Some(NoticeChange::Paused { pause, bounded: asked > MAX_PAUSE, extended })
    }
}

impl Belief {
    /// Updates the limit. An answer without one withdraws it if its request was sent after the limit
    /// was heard, as answers may overtake each other.
    fn update_limit(
        &mut self,
        now: Instant,
        sent: Instant,
        limit: Option<RequestRate>,
    ) -> Option<NoticeChange> {
        let before = self.limit.map(|l| l.rate);
        match limit {
            Some(rate) => self.limit = Some(NamedLimit { rate, heard: now }),
            None if self.limit.is_some_and(|l| sent > l.heard) => self.limit = None,
            None => {}
        }
        let limit = self.limit.map(|l| l.rate);
        (limit != before).then_some(NoticeChange::Limited { limit })
    }
}

impl Pause {
    /// Returns the time from which one more request may be sent.
    fn opens_at(&self, now: Instant) -> Instant {
        if now.since(self.end) >= RETURN_TIME {
            return self.end;
        }
        let steps = f64::from(self.sent).sqrt();
        self.end + RETURN_STEP.mul_f64(steps).min(RETURN_TIME)
    }
}

/// Returns the time after which a caller should come back to a pool whose first pause ends in
/// `left`; `hash` spreads the callers over the time in which requests return.
pub fn return_delay(left: Duration, hash: u64) -> Duration {
    let share = hash as f64 / u64::MAX as f64;
    left.saturating_add(MIN_RETURN_DELAY).saturating_add(RETURN_TIME.mul_f64(share))
}

/// Beliefs about the processes of all targets.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    known: Vec<KnownRun>,
}

#[derive(Clone, Debug)]
struct KnownRun {
    run: TargetRun,
    notice: TargetNotice,
    /// Time of the first list that no longer names it.
    unlisted: Option<Instant>,
}

impl Notices {
    /// Prepares for a new list: drops the processes that no list has named for a while, and returns
    /// what was believed of them. The others count as unlisted until the list names them.
    pub(super) fn begin_list(&mut self, now: Instant) -> Vec<DroppedNotice> {
        let is_gone = |k: &KnownRun| k.unlisted.is_some_and(|at| now.since(at) >= UNLISTED_TTL);
        let gone = self.known.iter().filter(|k| is_gone(k));
        let dropped = gone.filter_map(|k| k.dropped(now)).collect();
        self.known.retain(|k| !is_gone(k));
        for known in &mut self.known {
            known.unlisted = known.unlisted.or(Some(now));
        }
        dropped
    }

    /// Returns the belief about a process that the new list names; a new process has none.
    pub(super) fn list(&mut self, run: &TargetRun) -> TargetNotice {
        if let Some(known) = self.latest(run) {
            known.unlisted = None;
            known.run.born = known.run.born.or(run.born);
            return known.notice.clone();
        }
        let notice = TargetNotice::default();
        self.known.push(KnownRun { run: run.clone(), notice: notice.clone(), unlisted: None });
        notice
    }

    /// Applies what an answer of a process says, and returns the changes.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        run: &TargetRun,
        sent: Instant,
        notice: Notice,
    ) -> Vec<NoticeChange> {
        self.latest(run).map(|k| k.notice.apply(now, sent, notice)).unwrap_or_default()
    }

    /// Returns the process that was listed first most recently, among those that `run` may be.
    fn latest(&mut self, run: &TargetRun) -> Option<&mut KnownRun> {
        self.known.iter_mut().rev().find(|k| k.run.is_same(run))
    }
}

impl KnownRun {
    /// Returns what is dropped with the process, if something was believed.
    fn dropped(&self, now: Instant) -> Option<DroppedNotice> {
        let belief = *self.notice.0.borrow();
        let leaving = belief.leaving_since.map(|since| now.since(since));
        let paused = belief.pause.filter(|p| p.end > now).map(|p| now.since(p.since));
        let is_known = leaving.is_some() || paused.is_some();
        is_known.then(|| DroppedNotice { run: self.run.clone(), leaving, paused })
    }
}
