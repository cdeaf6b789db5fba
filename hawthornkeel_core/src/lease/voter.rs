//! Voter: gives its vote to one holder at a time.

use crate::lease::message::MemberId;
use crate::lease::message::VoteMessage;
use crate::lease::settings::LeaseSettings;
use crate::names::InstanceName;
use crate::time::Instant;

/// Vote that was given.
#[derive(Clone, Debug)]
struct Vote {
    holder: MemberId,
    /// Latest round in which the vote was given or renewed.
    round: u64,
    until: Instant,
}

/// Voter of a data centre's lease; keeps nothing over a restart.
#[derive(Clone, Debug)]
pub struct Voter {
    name: InstanceName,
    settings: LeaseSettings,
    /// Time before which a vote of this voter's last run may still count.
    silent_until: Instant,
    vote: Option<Vote>,
}

impl Voter {
    /// Creates a voter that has just started: it gives no vote for one lease period.
    pub fn new(now: Instant, name: InstanceName, settings: LeaseSettings) -> Self {
        let silent_until = now + settings.with_drift(settings.lease_duration);
        Self { name, settings, silent_until, vote: None }
    }

    /// Answers a message of a holder; `None` where there is nothing to answer.
    pub fn handle(&mut self, now: Instant, message: &VoteMessage) -> Option<VoteMessage> {
        match message {
            VoteMessage::Ask { holder, round } => {
                let given = self.ask(now, holder, *round);
                let voter = self.name.clone();
                Some(VoteMessage::Reply { holder: holder.clone(), voter, round: *round, given })
            }
            VoteMessage::Resign { holder, round } => {
                // A late message must not take back a vote that a later round counts on.
                self.vote.take_if(|v| v.holder == *holder && v.round <= *round);
                None
            }
            VoteMessage::Reply { .. } => None,
        }
    }

    /// Gives the vote to `holder` unless another member has it.
    fn ask(&mut self, now: Instant, holder: &MemberId, round: u64) -> bool {
        let taken = self.vote.as_ref().is_some_and(|v| v.holder != *holder && now < v.until);
        if taken || now < self.silent_until {
            return false;
        }
        let until = now + self.settings.with_drift(self.settings.lease_duration);
        let own = self.vote.as_ref().filter(|v| v.holder == *holder);
        let round = own.map_or(round, |v| v.round.max(round));
        self.vote = Some(Vote { holder: holder.clone(), round, until });
        true
    }
}
