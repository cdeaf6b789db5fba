//! Wait of a control instance that stops as planned until a learner has its vote.

use std::fmt;
use std::time::Duration;

use crate::ids::LogIndex;
use crate::replica::Replica;
use crate::time::Instant;

/// Why a stopping control instance waits no longer for its vote to be handed over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandoverEnd {
    /// A learner has the vote.
    HandedOver,
    /// It had no vote.
    NoVote,
    /// It has a vote, and there is no learner that could get it.
    NoLearner,
    /// It has a vote, and no learner got it in time.
    TimedOut,
}

impl fmt::Display for HandoverEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::HandedOver => "handed-over",
            Self::NoVote => "no-vote",
            Self::NoLearner => "no-learner",
            Self::TimedOut => "timed-out",
        })
    }
}

/// Wait of a stopping control instance until a learner has its vote.
///
/// Without the vote of the instance the group may have no quorum if another voter is lost meanwhile.
/// So the time limit counts only while another replica leads, which could have handed the vote over,
/// and while it replaces no voter, for which it needs the others.
#[derive(Clone, Copy, Debug)]
pub struct VoteHandover {
    had_vote: bool,
    /// Longest time that is waited under one leader.
    limit: Duration,
    /// Time at which the wait ends in any case.
    end: Instant,
    /// Time since which another replica has led and has not changed the members.
    idle_since: Option<Instant>,
    /// Log index of the members at the last check.
    members_index: LogIndex,
}

impl VoteHandover {
    /// Begins the wait, which ends after `limit` under one leader and at `end` in any case.
    pub fn begin(replica: &Replica, limit: Duration, end: Instant) -> Self {
        let (had_vote, members_index) = (replica.is_voter(), replica.members_index());
        Self { had_vote, limit, end, idle_since: None, members_index }
    }

    /// Returns why the wait ends at `now`, if it does.
    pub fn ended(&mut self, now: Instant, replica: &Replica) -> Option<HandoverEnd> {
        let is_voter = replica.is_voter();
        self.had_vote |= is_voter;
        let is_idle = replica.follows_leader(now)
            && !replica.is_replacing_voter()
            && self.members_index == replica.members_index();
        self.members_index = replica.members_index();
        self.idle_since = is_idle.then(|| self.idle_since.unwrap_or(now));
        let is_late = self.idle_since.is_some_and(|since| now.since(since) >= self.limit);
        let is_over = is_late || now >= self.end;
        if !is_voter && (is_over || replica.is_leaving_known(now)) {
            return Some(if self.had_vote { HandoverEnd::HandedOver } else { HandoverEnd::NoVote });
        }
        if is_voter && !replica.has_transferable_vote() {
            return Some(HandoverEnd::NoLearner);
        }
        is_over.then_some(HandoverEnd::TimedOut)
    }
}
