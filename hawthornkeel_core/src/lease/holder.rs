//! Holder: acquires and renews the lease of a data centre.

use std::time::Duration;

use indexmap::IndexSet;

use crate::lease::message::MemberId;
use crate::lease::message::VoteMessage;
use crate::lease::settings::LeaseSettings;
use crate::names::InstanceName;
use crate::time::Instant;

/// Member that requests the lease from the voters of its data centre and may hold it.
#[derive(Clone, Debug)]
pub struct Holder {
    id: MemberId,
    settings: LeaseSettings,
    voters: Vec<InstanceName>,
    round: u64,
    /// Time at which the current round was sent.
    sent_at: Instant,
    votes: IndexSet<InstanceName>,
    refusals: IndexSet<InstanceName>,
    /// Time at which the next round is due.
    next_request: Instant,
    /// Time at which the lease expires unless it is renewed.
    expires_at: Instant,
    /// Number of times that the lease was acquired.
    term: u64,
    /// Time after which grants of earlier holders can no longer be in use.
    issue_after: Instant,
}

impl Holder {
    /// Creates a member that does not hold the lease and is due to request it.
    pub fn new(
        now: Instant,
        id: MemberId,
        voters: Vec<InstanceName>,
        settings: LeaseSettings,
    ) -> Self {
        Self {
            id,
            settings,
            voters,
            round: 0,
            sent_at: now,
            votes: IndexSet::new(),
            refusals: IndexSet::new(),
            next_request: now,
            expires_at: Instant::ZERO,
            term: 0,
            issue_after: Instant::ZERO,
        }
    }

    /// Returns the member's identity.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// Returns the names of the voters, which receive the messages of [`Holder::tick`].
    pub fn voters(&self) -> &[InstanceName] {
        &self.voters
    }

    /// Returns the number of times that the lease was acquired.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the settings of the lease.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Returns whether this member holds the lease at `now`.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// Returns whether grants may be issued: the lease is held and no grant of an earlier holder
    /// can be in use.
    pub fn may_issue(&self, now: Instant) -> bool {
        self.holds(now) && now >= self.issue_after
    }

    /// Returns the time at which [`Holder::tick`] is due.
    pub fn next_tick(&self) -> Instant {
        self.next_request
    }

    /// Starts a round of vote requests if one is due, or releases the votes of a lost round.
    ///
    /// The returned message is for all voters.
    pub fn tick(&mut self, now: Instant) -> Option<VoteMessage> {
        if now < self.next_request {
            return None;
        }
        if !self.refusals.is_empty() && !self.holds(now) {
            return Some(self.release_votes(now));
        }
        self.round += 1;
        self.sent_at = now;
        self.votes.clear();
        self.refusals.clear();
        self.next_request = now + self.settings.renew_interval;
        Some(VoteMessage::Ask { holder: self.id.clone(), round: self.round })
    }

    /// Handles a voter's reply, and returns whether the lease was acquired or renewed by it.
    pub fn handle(&mut self, now: Instant, message: &VoteMessage) -> bool {
        let VoteMessage::Reply { holder, voter, round, given } = message else {
            return false;
        };
        if *holder != self.id || *round != self.round || !self.voters.contains(voter) {
            return false;
        }
        if !given {
            self.record_refusal(now, voter);
            return false;
        }
        self.votes.insert(voter.clone());
        if self.votes.len() != self.quorum() {
            return false;
        }
        self.renew(now)
    }

    /// Returns the number of votes needed to win a round.
    fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Records a refusal. If the round can no longer be won, its votes are released at once.
    fn record_refusal(&mut self, now: Instant, voter: &InstanceName) {
        self.refusals.insert(voter.clone());
        let lost = self.refusals.len() + self.quorum() > self.voters.len();
        if lost && !self.holds(now) {
            self.next_request = now;
        }
    }

    /// Acquires or extends the lease, measured from the time at which the round was sent.
    fn renew(&mut self, now: Instant) -> bool {
        let expires_at = self.sent_at + self.settings.lease_duration;
        if now >= expires_at {
            return false;
        }
        if !self.holds(now) {
            self.term += 1;
            self.issue_after = now + self.settings.with_drift(self.settings.grant_duration);
        }
        self.expires_at = expires_at;
        true
    }

    /// Releases the votes of a lost round and schedules the next one after a backoff.
    ///
    /// Otherwise members that each keep and renew some of the votes would block each other forever.
    fn release_votes(&mut self, now: Instant) -> VoteMessage {
        let lost = self.round;
        // Replies to the lost round that are still in flight must no longer count.
        self.round += 1;
        self.refusals.clear();
        self.votes.clear();
        self.next_request = now + self.settings.renew_interval + self.backoff();
        VoteMessage::Resign { holder: self.id.clone(), round: lost }
    }

    /// Returns a backoff that differs between members and between rounds.
    fn backoff(&self) -> Duration {
        let bits = u32::from(self.round as u8) * u8::BITS;
        let share = self.id.boot.rotate_right(bits) as u8;
        self.settings.renew_interval * u32::from(share) / 256
    }

    /// Gives up the lease. The returned message is for all voters, and must only be sent once no
    /// more grants are issued.
    pub fn resign(&mut self, now: Instant) -> VoteMessage {
        self.expires_at = Instant::ZERO;
        self.release_votes(now)
    }
}
