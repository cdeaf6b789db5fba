//! Leadership transfer before a planned stop.

use crate::ids::ReplicaId;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::Node;
use crate::replica::message::Body;
use crate::replica::persistence::SyncBarrier;

impl Replica {
    /// Starts a leadership transfer if this replica is the leader and another voter may lead.
    ///
    /// During a transfer the leader accepts no proposals and changes no members.
    pub(super) fn start_transfer(&mut self) {
        let deadline = self.now + self.settings.election_timeout;
        let has_successor = self.log.members().voters().any(|n| self.may_succeed(n.id));
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        if has_successor {
            leader.transfer_deadline = Some(deadline);
            self.try_transfer();
        }
    }

    /// Returns whether a voter is responsive and not about to stop itself.
    fn may_succeed(&self, id: ReplicaId) -> bool {
        id != self.node.id && !self.is_unresponsive(id) && !self.is_leaving(id)
    }

    /// Transfers leadership once the whole log is committed and a voter has all of it.
    pub(super) fn try_transfer(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(deadline) = leader.transfer_deadline else { return };
        if deadline <= self.now {
            leader.transfer_deadline = None;
            return;
        }
        if self.commit < self.log.last() {
            return;
        }
        let Some(node) = self.successor() else { return };
        self.send(&node, SyncBarrier::None, Body::TimeoutNow);
        // Gives up the lease: voters may vote for the successor from now on.
        self.step_down();
    }

    /// Returns the voter with the latest contact that has the whole log on disk.
    fn successor(&self) -> Option<Node> {
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let members = self.log.members();
        let ready = leader
            .peers
            .iter()
            .filter(|(id, p)| p.match_index == self.log.last() && self.may_succeed(**id));
        let successor = ready
            .filter(|(id, _)| members.is_voter(**id))
            .max_by_key(|(_, progress)| progress.last_contact);
        successor.and_then(|(id, _)| members.get(*id)).map(|m| m.node.clone())
    }

    /// Starts an election at once, at the request of the leader.
    pub(super) fn receive_timeout_now(&mut self) {
        // One that is about to stop would have to transfer the leadership again.
        let can_lead = !self.leaving && self.log.members().is_voter(self.node.id);
        if can_lead && matches!(self.role_state, RoleState::Follower) {
            self.leader = None;
            self.start_election(true);
        }
    }
}
