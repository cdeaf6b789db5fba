//! Holder: wins and renews the lease of a data centre.

use std::time::Duration;

use indexmap::IndexSet;

use crate::lease::message::MemberId;
use crate::lease::message::VoteMessage;
use crate::lease::settings::LeaseSettings;
use crate::names::InstanceName;
use crate::time::Instant;

/// Member that asks the voters of its data centre for the lease and may hold it.
#[derive(Clone, Debug)]
pub struct Holder {
    id: MemberId,
    settings: LeaseSettings,
    voters: Vec<InstanceName>,
    round: u64,
    sent: Instant,
    votes: IndexSet<InstanceName>,
    refusals: IndexSet<InstanceName>,
    next_ask: Instant,
    /// Time until which the lease is held.
    until: Instant,
    /// Number of times that the lease was won.
    term: u64,
    /// Time from which grants of earlier holders can no longer be in use.
    clear: Instant,
}

impl Holder {
    /// Creates a member that does not hold the lease.
    pub fn new(now: Instant, id: MemberId, voters: Vec<InstanceName>, set: LeaseSettings) -> Self {
        Self {
            id,
            settings: set,
            voters,
            round: 0,
            sent: now,
            votes: IndexSet::new(),
            refusals: IndexSet::new(),
            next_ask: now,
            until: Instant::ZERO,
            term: 0,
            clear: Instant::ZERO,
        }
    }

    /// Returns the member's identity.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// Returns the names of the voters that `tick`'s message goes to.
    pub fn voters(&self) -> &[InstanceName] {
        &self.voters
    }

    /// Returns the number of times that the lease was won.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the settings of the lease.
    pub fn settings(&self) -> &LeaseSettings {
        &self.settings
    }

    /// Tells whether the lease is held.
    pub fn holds(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Tells whether grants may be handed out: the lease is held and no earlier grant runs.
    pub fn may_issue(&self, now: Instant) -> bool {
        self.holds(now) && now >= self.clear
    }

    /// Returns the time at which `tick` has something to do.
    pub fn next_tick(&self) -> Instant {
        self.next_ask
    }

    /// Starts a round of asking where one is due, or gives the votes of a lost one back; the
    /// message goes to all voters.
    pub fn tick(&mut self, now: Instant) -> Option<VoteMessage> {
        if now < self.next_ask {
            return None;
        }
        if !self.refusals.is_empty() && !self.holds(now) {
            return Some(self.give_back(now));
        }
        self.round += 1;
        self.sent = now;
        self.votes.clear();
        self.refusals.clear();
        self.next_ask = now + self.settings.renew_interval;
        Some(VoteMessage::Ask { holder: self.id.clone(), round: self.round })
    }

    /// Takes a voter's answer; returns whether the lease was won or renewed by it.
    pub fn handle(&mut self, now: Instant, message: &VoteMessage) -> bool {
        let VoteMessage::Reply { holder, voter, round, given } = message else {
            return false;
        };
        if *holder != self.id || *round != self.round || !self.voters.contains(voter) {
            return false;
        }
        if !given {
            self.refused(now, voter);
            return false;
        }
        self.votes.insert(voter.clone());
        if self.votes.len() != self.quorum() {
            return false;
        }
        self.renew(now)
    }

    /// Returns the number of votes that win a round.
    fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Takes a refusal; a round that can't be won any more is given back at once.
    fn refused(&mut self, now: Instant, voter: &InstanceName) {
        self.refusals.insert(voter.clone());
        let lost = self.refusals.len() + self.quorum() > self.voters.len();
        if lost && !self.holds(now) {
            self.next_ask = now;
        }
    }

    /// Extends the lease from the time at which the round was sent.
    fn renew(&mut self, now: Instant) -> bool {
        let until = self.sent + self.settings.lease_duration;
        if now >= until {
            return false;
        }
        if !self.holds(now) {
            self.term += 1;
            self.clear = now + self.settings.with_drift(self.settings.grant_duration);
        }
        self.until = until;
        true
    }

    /// Gives the votes of a lost round back and asks again after a pause.
    ///
    /// Members that kept and renewed a share of the votes each would shut each other out for ever.
    fn give_back(&mut self, now: Instant) -> VoteMessage {
        let lost = self.round;
        // Answers to the lost round that are still on their way must not count any more.
        self.round += 1;
        self.refusals.clear();
        self.votes.clear();
        self.next_ask = now + self.settings.renew_interval + self.pause();
        VoteMessage::Resign { holder: self.id.clone(), round: lost }
    }

    /// Returns a pause that differs between members and from round to round.
    fn pause(&self) -> Duration {
        let turn = u32::from(self.round as u8) * u8::BITS;
        let share = self.id.boot.rotate_right(turn) as u8;
        self.settings.renew_interval * u32::from(share) / 256
    }

    /// Gives up the lease; the message goes to all voters once no grant is handed out any more.
    pub fn resign(&mut self, now: Instant) -> VoteMessage {
        self.until = Instant::ZERO;
        self.give_back(now)
    }
}
