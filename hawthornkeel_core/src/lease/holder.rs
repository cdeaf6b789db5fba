//! Holder: wins and renews the lease of a data centre.

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
    refused: bool,
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
            refused: false,
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
    pub fn next_wake(&self) -> Instant {
        self.next_ask
    }

    /// Starts a round of asking where one is due; the message goes to all voters.
    pub fn tick(&mut self, now: Instant) -> Option<VoteMessage> {
        if now < self.next_ask {
            return None;
        }
        self.round += 1;
        self.sent = now;
        self.votes.clear();
        self.refused = false;
        self.next_ask = now + self.settings.renew;
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
            self.back_off(now);
            return false;
        }
        self.votes.insert(voter.clone());
        if self.votes.len() != self.voters.len() / 2 + 1 {
            return false;
        }
        self.renew(now)
    }

    /// Extends the lease from the time at which the round was sent.
    fn renew(&mut self, now: Instant) -> bool {
        let until = self.sent + self.settings.period;
        if now >= until {
            return false;
        }
        if !self.holds(now) {
            self.term += 1;
            self.clear = now + self.settings.stretched(self.settings.grant);
        }
        self.until = until;
        true
    }

    /// Asks later after a refusal, by a time that differs between members.
    fn back_off(&mut self, now: Instant) {
        if self.refused || self.holds(now) {
            return;
        }
        self.refused = true;
        let spread = self.settings.period * u32::from(self.id.boot as u8) / 256;
        self.next_ask = now + self.settings.renew + spread;
    }

    /// Gives up the lease; the message goes to all voters once no grant is handed out any more.
    pub fn resign(&mut self) -> VoteMessage {
        self.until = Instant::ZERO;
        VoteMessage::Resign { holder: self.id.clone() }
    }
}
