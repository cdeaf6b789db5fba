//! Membership changes, one at a time, and the automatic replacement of lost replicas.

use std::time::Duration;

use crate::ids::ReplicaId;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::action::Action;
use crate::replica::action::MembershipChange;
use crate::replica::action::RejectReason;
use crate::replica::entry::Member;
use crate::replica::entry::MemberKind;
use crate::replica::entry::Members;
use crate::replica::entry::Node;
use crate::replica::entry::Payload;
use crate::replica::entry::ProposalId;
use crate::replica::progress::Progress;
use crate::replica::settings::VoterPolicy;

impl Replica {
    /// Starts a membership change, or rejects it.
    pub(super) fn change(&mut self, id: ProposalId, change: MembershipChange) {
        if !matches!(self.role_state, RoleState::Leader(_)) {
            let reason = RejectReason::NotLeader(self.leader.clone());
            self.actions.push(Action::ProposalRejected { id, reason });
            return;
        }
        match self.members_after(&change) {
            Some(members) => {
                let index = self.set_members(members);
                self.track_proposal(index, id);
                self.replicate();
            }
            None => self
                .actions
                .push(Action::ProposalRejected { id, reason: RejectReason::ChangeNotAllowed }),
        }
    }

    /// Records a replica that announced itself, so that the leader adds it.
    pub(super) fn record_hello(&mut self, from: Node) {
        let known = self.log.members().get(from.id).is_some();
        if let RoleState::Leader(leader) = &mut self.role_state
            && !known
        {
            leader.joining.insert(from.name, from.id);
        }
    }

    /// Adds replicas that announced themselves, and replaces lost ones.
    pub(super) fn repair_members(&mut self) {
        let Some(change) = self.next_repair() else { return };
        if let Some(members) = self.members_after(&change) {
            self.set_members(members);
            self.replicate();
        }
    }

    /// Returns the next change that repairs the membership, if one is needed.
    ///
    /// A learner gets its vote before the voter that it replaces loses its own. With a voter fewer,
    /// the loss of another disk at that moment would cost the quorum for good, even after a silent
    /// voter has come back.
    fn next_repair(&mut self) -> Option<MembershipChange> {
        if !self.can_change_members() {
            return None;
        }
        let members = self.log.members();
        if let Some(surplus) = self.surplus_voter(&members) {
            return Some(MembershipChange::Demote(surplus));
        }
        if let Some(lost) = members.0.iter().find(|m| self.is_removable(m, &members)) {
            return Some(MembershipChange::Remove(lost.node.id));
        }
        if let Some(ready) = members.0.iter().find(|m| self.is_promotable(m, &members)) {
            return Some(MembershipChange::Promote(ready.node.id));
        }
        self.next_addition(&members)
    }

    /// Returns the addition of a replica that announced itself and is not a member.
    fn next_addition(&mut self, members: &Members) -> Option<MembershipChange> {
        let RoleState::Leader(leader) = &mut self.role_state else { return None };
        leader.joining.retain(|_, id| members.get(*id).is_none());
        let (name, id) = leader.joining.pop()?;
        Some(MembershipChange::Add(Node { id, name }))
    }

    /// Returns the voter that loses its vote if a learner was promoted in place of one: one that is
    /// about to stop, else the one with the longest silence.
    fn surplus_voter(&self, members: &Members) -> Option<ReplicaId> {
        if members.voters().count() <= self.settings.open_voters()? {
            return None;
        }
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let contacts = members.voters().filter_map(|n| Some((n.id, leader.peers.get(&n.id)?)));
        let order = |id, progress: &Progress| (!self.is_leaving(id), progress.last_contact);
        contacts.min_by_key(|(id, progress)| order(*id, progress)).map(|(id, _)| id)
    }

    /// Returns whether an unresponsive member is to be removed.
    fn is_removable(&self, member: &Member, members: &Members) -> bool {
        let id = member.node.id;
        let is_superseded = self.is_unresponsive(id)
            && same_instance_members(member, members).any(|m| self.has_caught_up(m.node.id));
        // A learner announces itself when it comes back.
        let is_gone = match self.settings.voter_policy {
            VoterPolicy::Founders => false,
            VoterPolicy::Open { remove_after, .. } => {
                member.kind == MemberKind::Learner && self.is_unresponsive_for(id, remove_after)
            }
        };
        is_superseded || is_gone
    }

    /// Returns whether a learner is to be promoted, after a lost replica of its instance was removed.
    fn is_promotable(&self, member: &Member, members: &Members) -> bool {
        member.kind == MemberKind::Learner
            && !self.is_leaving(member.node.id)
            && self.is_vote_eligible(member, members)
            && self.has_caught_up(member.node.id)
            && same_instance_members(member, members).next().is_none()
    }

    /// Returns whether the settings allow a learner to become a voter.
    fn is_vote_eligible(&self, member: &Member, members: &Members) -> bool {
        let voters = members.voters().count();
        match self.settings.voter_policy {
            VoterPolicy::Founders => self.settings.founders.contains(&member.node.name),
            VoterPolicy::Open { replace_after, .. } => {
                let allowed = self.settings.open_voters().unwrap_or_default();
                voters < allowed || (voters == allowed && self.has_lost_voter(replace_after))
            }
        }
    }

    /// Returns whether a voter is about to stop, or there was no message from it for `replace_after`.
    fn has_lost_voter(&self, replace_after: Duration) -> bool {
        let members = self.log.members();
        let is_lost = |id| self.is_leaving(id) || self.is_unresponsive_for(id, replace_after);
        members.voters().any(|n| is_lost(n.id))
    }

    /// Returns whether there was no message from a member for an election timeout.
    pub(super) fn is_unresponsive(&self, id: ReplicaId) -> bool {
        self.is_unresponsive_for(id, self.settings.election_timeout)
    }

    /// Returns whether there was no message from a member for `timeout`.
    fn is_unresponsive_for(&self, id: ReplicaId, timeout: Duration) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        let contact = leader.peers.get(&id).map(|p| p.last_contact);
        contact.is_some_and(|c| self.now.since(c) > timeout)
    }

    /// Returns whether a member is responsive and has nearly the whole log on disk.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        if id == self.node.id {
            return true;
        }
        // An unresponsive replica would reduce the fault tolerance as a voter.
        if self.is_unresponsive(id) {
            return false;
        }
        leader.peers.get(&id).is_some_and(|p| {
            p.match_index >= leader.term_start
                && p.match_index.0 + self.settings.catchup_entries >= self.log.last().0
        })
    }

    /// Returns whether the members may be changed now.
    ///
    /// The previous change and an entry of the current term must be committed. Otherwise two
    /// leaders could have disjoint quorums.
    fn can_change_members(&self) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        leader.transfer_deadline.is_none()
            && self.commit >= leader.term_start
            && self.log.members_index() <= self.commit
    }

    /// Returns the members after a change, or `None` if it is not allowed.
    fn members_after(&self, change: &MembershipChange) -> Option<Members> {
        if !self.can_change_members() {
            return None;
        }
        let mut members = self.log.members();
        match change {
            MembershipChange::Add(node) if members.get(node.id).is_none() => {
                members.0.push(Member { node: node.clone(), kind: MemberKind::Learner });
            }
            MembershipChange::Promote(id) if !members.is_voter(*id) && self.has_caught_up(*id) => {
                let member = members.0.iter_mut().find(|m| m.node.id == *id)?;
                member.kind = MemberKind::Voter;
            }
            MembershipChange::Demote(id) if *id != self.node.id && members.is_voter(*id) => {
                let member = members.0.iter_mut().find(|m| m.node.id == *id)?;
                member.kind = MemberKind::Learner;
            }
            MembershipChange::Remove(id) if *id != self.node.id && members.get(*id).is_some() => {
                members.0.retain(|m| m.node.id != *id);
            }
            _ => return None,
        }
        Some(members)
    }

    /// Appends an entry with new members, which take effect at once, and returns its index.
    fn set_members(&mut self, members: Members) -> crate::ids::LogIndex {
        let index = self.add_entry(Payload::Members(members.clone()));
        let (own, now) = (self.node.id, self.now);
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.set_members(&members, own, crate::replica::log::previous(index), now);
        }
        // With fewer voters, more entries may be committed already.
        self.advance_commit();
        index
    }
}

/// Returns the other members with the same instance name.
fn same_instance_members<'a>(
    member: &'a Member,
    members: &'a Members,
) -> impl Iterator<Item = &'a Member> {
    let same_instance =
        |m: &&Member| m.node.name == member.node.name && m.node.id != member.node.id;
    members.0.iter().filter(same_instance)
}
