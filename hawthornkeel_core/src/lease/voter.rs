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
        let silent_until = now + settings.stretched(settings.period);
        Self { name, settings, silent_until, vote: None }
    }

    /// Answers a message of a holder; `None` where there is nothing to answer.
    pub fn handle(&mut self, now: Instant, message: &VoteMessage) -> Option<VoteMessage> {
        match message {
            VoteMessage::Ask { holder, round } => {
                let given = self.ask(now, holder);
                let voter = self.name.clone();
                Some(VoteMessage::Reply { holder: holder.clone(), voter, round: *round, given })
            }
            VoteMessage::Resign { holder } => {
                self.vote.take_if(|v| v.holder == *holder);
                None
            }
            VoteMessage::Reply { .. } => None,
        }
    }

    /// Gives the vote to `holder` unless another member has it.
    fn ask(&mut self, now: Instant, holder: &MemberId) -> bool {
        let taken = self.vote.as_ref().is_some_and(|v| v.holder != *holder && now < v.until);
        if taken || now < self.silent_until {
            return false;
        }
        let until = now + self.settings.stretched(self.settings.period);
        self.vote = Some(Vote { holder: holder.clone(), until });
        true
    }
}
