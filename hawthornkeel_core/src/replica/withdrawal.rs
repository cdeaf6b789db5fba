//! Withdrawal of a voter before a planned stop, so that a learner gets its vote.
//!
//! A voter that simply ends leaves its vote to the leader's timeout, and the loss of another voter
//! in this time costs the quorum. No message tells the leader of a stop, so the voter falls silent
//! and ends once the log says that it has no vote.

use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::settings::VoterPolicy;

impl Replica {
    /// Returns whether this replica has a vote that a learner can get.
    ///
    /// Whether a learner has caught up is known to the leader only.
    pub fn has_transferable_vote(&self) -> bool {
        let members = self.log.members();
        let has_learners = members.voters().count() < members.0.len();
        let is_open = matches!(self.settings.voter_policy, VoterPolicy::Open { .. });
        is_open && has_learners && self.is_voter()
    }

    /// Returns whether this replica is a voter, as far as its log tells.
    pub fn is_voter(&self) -> bool {
        self.log.members().is_voter(self.node.id)
    }

    /// Falls silent, unless this replica is the leader.
    pub(super) fn withdraw(&mut self) {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            self.step_down();
            self.withdrawn = true;
        }
    }
}
