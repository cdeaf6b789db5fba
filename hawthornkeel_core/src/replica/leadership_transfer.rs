//! Planned change of the leader.

use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::Node;
use crate::replica::message::Body;
use crate::replica::persistence::Gate;

impl Replica {
    /// Begins to hand over, if this replica leads.
    pub(super) fn start_hand_over(&mut self) {
        let until = self.now + self.settings.election_timeout;
        let RoleState::Leader(leader) = &mut self.part else { return };
        leader.hand_until = Some(until);
        self.hand_over();
    }

    /// Hands over once all is committed and a voter has the whole log.
    pub(super) fn hand_over(&mut self) {
        let RoleState::Leader(leader) = &mut self.part else { return };
        let Some(until) = leader.hand_until else { return };
        if until <= self.now {
            leader.hand_until = None;
            return;
        }
        if self.commit < self.log.last() {
            return;
        }
        let Some(node) = self.successor() else { return };
        self.send(&node, Gate::Free, Body::TimeoutNow);
        // The lease ends here: votes may be given against it from now on.
        self.step_down();
    }

    /// Returns a voter that answers and has the whole log on disk.
    fn successor(&self) -> Option<Node> {
        let RoleState::Leader(leader) = &self.part else { return None };
        let ready = leader.peers.iter().filter(|(_, p)| {
            p.matched == self.log.last() && self.now.since(p.heard) < self.settings.election_timeout
        });
        let members = self.log.members();
        let latest = ready
            .filter(|(id, _)| members.is_voter(**id))
            .max_by_key(|(_, progress)| progress.heard);
        latest.and_then(|(id, _)| members.get(*id)).map(|m| m.node.clone())
    }

    /// Stands for election at once, as the leader asked.
    pub(super) fn take_over(&mut self) {
        let voter = self.log.members().is_voter(self.node.id);
        if voter && matches!(self.part, RoleState::Follower) {
            self.leader = None;
            self.ask_votes(true);
        }
    }
}
