//! Voter: votes for one lease holder at a time.

use crate::lease::message::MemberId;
use crate::lease::message::VoteMessage;
use crate::lease::settings::LeaseSettings;
use crate::names::InstanceName;
use crate::time::Instant;

/// Vote that was granted.
#[derive(Clone, Debug)]
struct Vote {
    holder: MemberId,
    /// Latest round in which the vote was granted or renewed.
    round: u64,
    expires_at: Instant,
}

/// Voter for a data centre's lease. Its state is not persistent.
#[derive(Clone, Debug)]
pub struct Voter {
    name: InstanceName,
    settings: LeaseSettings,
    /// Time until which a vote from before the restart may still be valid, and no vote is granted.
    no_votes_until: Instant,
    vote: Option<Vote>,
}

impl Voter {
    /// Creates a voter at startup. It grants no vote for one lease duration.
    pub fn new(now: Instant, name: InstanceName, settings: LeaseSettings) -> Self {
        let no_votes_until = now + settings.with_drift(settings.lease_duration);
        Self { name, settings, no_votes_until, vote: None }
    }

    /// Handles a message of a holder or candidate and returns the reply, if any.
    pub fn handle(&mut self, now: Instant, message: &VoteMessage) -> Option<VoteMessage> {
        match message {
            VoteMessage::Ask { holder, round } => {
                let given = self.request_vote(now, holder, *round);
                let voter = self.name.clone();
                Some(VoteMessage::Reply { holder: holder.clone(), voter, round: *round, given })
            }
            VoteMessage::Resign { holder, round } => {
                // A delayed message must not revoke a vote that a later round relies on.
                self.vote.take_if(|v| v.holder == *holder && v.round <= *round);
                None
            }
            VoteMessage::Reply { .. } => None,
        }
    }

    /// Grants or renews the vote of `holder`, unless another member has a valid vote.
    fn request_vote(&mut self, now: Instant, holder: &MemberId, round: u64) -> bool {
        let taken = self.vote.as_ref().is_some_and(|v| v.holder != *holder && now < v.expires_at);
        if taken || now < self.no_votes_until {
            return false;
        }
        let expires_at = now + self.settings.with_drift(self.settings.lease_duration);
        let current = self.vote.as_ref().filter(|v| v.holder == *holder);
        let round = current.map_or(round, |v| v.round.max(round));
        self.vote = Some(Vote { holder: holder.clone(), round, expires_at });
        true
    }
}
