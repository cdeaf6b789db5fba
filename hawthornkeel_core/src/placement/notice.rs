//! What targets say about themselves: that they leave, or that they want no request for a while.
//!
//! An entry believes what an answer says of the process that gave it, until the platform's list
//! names another process. The list and the answers are two sources, and neither withdraws what the
//! other has said. Whatever sends requests to a target reads the same [`TargetNotice`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::fleet::ProcessId;
use crate::fleet::TargetRun;
use crate::placement::brittle::BRITTLE_TIME;
use crate::placement::limit::EntryView;
use crate::placement::limit::LimitBounds;
use crate::placement::limit::LimitBucket;
use crate::placement::limit::LimitReport;
use crate::placement::limit::LimitShare;
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

/// Time for which an entry reports a limit that it has heard, over several polls.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// Time after which a limit is forgotten that no entry reports any more.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

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
    /// Whether rejections for want of room end it.
    pub brittle: Brittleness,
}

/// What one answer of a target says about the rejections that it bears.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Brittleness {
    /// Nothing: it is not brittle.
    #[default]
    Absent,
    /// More rejections a second, for want of room, end it.
    Named(u32),
    /// Something that can't be read.
    Unreadable,
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
    /// It says for the first time, or no longer, that rejections end it.
    Brittle {
        /// Rejections a second that it bears, `None` if it no longer says so.
        rejections: Option<u32>,
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
    /// Time of the last answer that called it brittle.
    brittle: Option<Instant>,
}

/// Limit as it was named last.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    /// Requests that this entry may send; `None` if the limit was withdrawn.
    bucket: Option<LimitBucket>,
    heard: Instant,
    /// Time at which this entry itself heard it, if it did.
    own: Option<Instant>,
}

impl NamedLimit {
    fn rate(&self) -> Option<RequestRate> {
        self.bucket.map(|b| b.rate())
    }
}

/// How limits are shared out among the entries.
#[derive(Clone, Debug, Default)]
pub(super) struct LimitSharing {
    bounds: LimitBounds,
    /// Entries, once they are known.
    view: Option<EntryView>,
}

impl LimitSharing {
    /// Returns the limit of a process with the part of this entry in it; none until it knows the
    /// others.
    fn share(&self, run: &TargetRun, rate: RequestRate) -> (RequestRate, LimitShare) {
        let share = |v: &EntryView| v.share(ProcessId::from(run), rate, &self.bounds);
        (rate, self.view.as_ref().map_or(LimitShare::NONE, share))
    }
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
    /// That is the end of a pause, or shortly after it while requests return, and the time at which
    /// its limit leaves one to this entry.
    pub fn opens_at(&self, now: Instant) -> Option<Instant> {
        let belief = self.0.borrow();
        let paused = belief.pause.as_ref().map(|p| p.opens_at(now)).filter(|opens| *opens > now);
        let bucket = belief.limit.as_ref().and_then(|l| l.bucket.as_ref());
        paused.max(bucket.and_then(|b| b.opens_at(now)))
    }

    /// Returns whether it has asked for a pause that goes on.
    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.0.borrow().pause.is_some_and(|p| p.end > now)
    }

    /// Returns whether it is brittle, by its latest answers.
    pub(super) fn is_brittle(&self, now: Instant) -> bool {
        self.0.borrow().brittle.is_some_and(|heard| now.since(heard) < BRITTLE_TIME)
    }

    /// Counts a request that is sent at `now`, or pieces that are sent together.
    pub fn record_sent(&self, now: Instant) {
        let mut belief = self.0.borrow_mut();
        if let Some(pause) = &mut belief.pause
            && pause.end <= now
        {
            pause.sent = pause.sent.saturating_add(1);
        }
        if let Some(bucket) = belief.limit.as_mut().and_then(|l| l.bucket.as_mut()) {
            bucket.record_sent(now);
        }
    }

    /// Applies what an answer says, and returns the changes.
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
        changes.extend(belief.set_brittle(now, sent, notice.brittle));
        changes
    }
}

impl Belief {
    /// Applies whether an answer to a request that was sent at `sent` calls the target brittle.
    ///
    /// An answer that does not withdraws only what was heard before that.
    fn set_brittle(
        &mut self,
        now: Instant,
        sent: Instant,
        brittle: Brittleness,
    ) -> Option<NoticeChange> {
        let was_brittle = self.brittle.is_some();
        let rejections = match brittle {
            Brittleness::Named(rejections) => {
                self.brittle = Some(now);
                Some(rejections)
            }
            Brittleness::Absent if self.brittle.is_some_and(|heard| sent > heard) => {
                self.brittle = None;
                None
            }
            Brittleness::Absent | Brittleness::Unreadable => return None,
        };
        let changed = was_brittle != self.brittle.is_some();
        changed.then_some(NoticeChange::Brittle { rejections })
    }

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
    fn rate(&self) -> Option<RequestRate> {
        self.limit.as_ref()?.rate()
    }

    /// Sets the limit that was heard, with the part of this entry in it, and returns the change.
    fn set_limit(
        &mut self,
        now: Instant,
        limit: Option<(RequestRate, LimitShare)>,
        heard: Instant,
    ) -> Option<NoticeChange> {
        let (before, known) = (self.rate(), self.limit.and_then(|l| l.bucket));
        let bucket = limit.map(|(rate, share)| match known {
            Some(mut bucket) => {
                bucket.update(now, rate, share);
                bucket
            }
            None => LimitBucket::new(now, rate, share),
        });
        let own = self.limit.and_then(|l| l.own);
        self.limit = Some(NamedLimit { bucket, heard, own });
        let limit = self.rate();
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
    sharing: LimitSharing,
    /// Whether any process may have a limit, which answers without one withdraw.
    any_limited: bool,
    /// Whether any process may be brittle, which answers that don't say so withdraw.
    any_brittle: bool,
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
        self.any_limited = self.known.iter().any(KnownRun::is_limited);
        self.any_brittle = self.known.iter().any(|k| k.notice.is_brittle(now));
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
        // Most answers say nothing, and the search for their process would cost more than they do.
        if notice == Notice::default() && !self.any_limited && !self.any_brittle {
            return Vec::new();
        }
        self.any_limited |= notice.limit.is_some();
        self.any_brittle |= matches!(notice.brittle, Brittleness::Named(_));
        let sharing = self.sharing.clone();
        let Some(known) = self.latest(run) else { return Vec::new() };
        let mut changes = known.notice.apply(now, sent, notice);
        changes.extend(known.hear_limit(now, sent, notice.limit, &sharing));
        changes
    }

    /// Returns the number of requests that this entry may have in progress at a brittle process with
    /// `slots`; none until it knows the other entries.
    pub(super) fn slot_share(&self, run: &TargetRun, slots: u32) -> u32 {
        let view = self.sharing.view.as_ref();
        view.map_or(0, |v| v.slot_share(ProcessId::from(run), slots))
    }

    /// Returns whether any process may be brittle.
    pub(super) fn any_brittle(&self) -> bool {
        self.any_brittle
    }

    /// Shares the limits out among other entries than before.
    pub(super) fn set_view(&mut self, now: Instant, view: EntryView) {
        if self.sharing.view.as_ref() == Some(&view) {
            return;
        }
        self.sharing.view = Some(view);
        for known in &self.known {
            known.share_limit(now, &self.sharing);
        }
    }

    /// Returns what this entry itself has lately heard of limits.
    pub(super) fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        self.known.iter().filter_map(|k| k.limit_report(now)).collect()
    }

    /// Applies what all entries together have heard of limits.
    pub(super) fn learn_limits(&mut self, now: Instant, reports: &[LimitReport]) {
        for known in &self.known {
            let process = ProcessId::from(&known.run);
            let report = reports.iter().find(|r| r.process == process);
            known.learn_limit(now, report, &self.sharing);
        }
        self.any_limited = self.known.iter().any(KnownRun::is_limited);
    }

    /// Returns the process that was listed first most recently, among those that `run` may be.
    fn latest(&mut self, run: &TargetRun) -> Option<&mut KnownRun> {
        self.known.iter_mut().rev().find(|k| k.run.is_same(run))
    }
}

impl KnownRun {
    fn is_limited(&self) -> bool {
        self.notice.0.borrow().rate().is_some()
    }

    /// Applies the limit in an answer to a request of this entry that was sent at `sent`.
    ///
    /// An answer without one withdraws a limit that was heard before that, as answers may overtake
    /// each other.
    fn hear_limit(
        &self,
        now: Instant,
        sent: Instant,
        limit: Option<RequestRate>,
        sharing: &LimitSharing,
    ) -> Option<NoticeChange> {
        let mut belief = self.notice.0.borrow_mut();
        let is_withdrawn = belief.rate().is_some() && belief.limit.is_some_and(|l| sent > l.heard);
        if limit.is_none() && !is_withdrawn {
            return None;
        }
        let limit = limit.map(|rate| sharing.share(&self.run, rate));
        let change = belief.set_limit(now, limit, now);
        if let Some(limit) = &mut belief.limit {
            limit.own = Some(now);
        }
        change
    }

    fn share_limit(&self, now: Instant, sharing: &LimitSharing) {
        let mut belief = self.notice.0.borrow_mut();
        if let Some((rate, heard)) = belief.limit.and_then(|l| Some((l.rate()?, l.heard))) {
            belief.set_limit(now, Some(sharing.share(&self.run, rate)), heard);
        }
    }

    fn limit_report(&self, now: Instant) -> Option<LimitReport> {
        let belief = self.notice.0.borrow();
        let limit = belief.limit.as_ref()?;
        let heard = limit.own?;
        (now.since(heard) < REPORT_TIME).then(|| LimitReport {
            process: ProcessId::from(&self.run),
            rate: limit.rate(),
            age_ms: now.millis_since(heard),
        })
    }

    /// Applies what others have heard of the limit; `None` if nobody has for a while.
    fn learn_limit(&self, now: Instant, report: Option<&LimitReport>, sharing: &LimitSharing) {
        let mut belief = self.notice.0.borrow_mut();
        let known = belief.limit.map(|l| l.heard);
        let Some(report) = report else {
            if known.is_some_and(|heard| now.since(heard) >= FORGOTTEN_AFTER) {
                belief.limit = None;
            }
            return;
        };
        let heard = now.before_millis(report.age_ms);
        if known.is_none_or(|known| heard.is_clearly_after(known)) {
            let limit = report.rate.map(|rate| sharing.share(&self.run, rate));
            belief.set_limit(now, limit, heard);
        }
    }

    /// Returns what is dropped with the process, if something was believed.
    fn dropped(&self, now: Instant) -> Option<DroppedNotice> {
        let belief = *self.notice.0.borrow();
        let leaving = belief.leaving_since.map(|since| now.since(since));
        let paused = belief.pause.filter(|p| p.end > now).map(|p| now.since(p.since));
        let is_known = leaving.is_some() || paused.is_some();
        is_known.then(|| DroppedNotice { run: self.run.clone(), leaving, paused })
    }
}
