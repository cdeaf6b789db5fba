//! Changes of the members, one at a time, and the repair of a lost replica.

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
use crate::replica::settings::VoterPolicy;

impl Replica {
    /// Takes in a change of the members.
    pub(super) fn change(&mut self, id: ProposalId, change: MembershipChange) {
        if !matches!(self.part, RoleState::Leader(_)) {
            let reason = RejectReason::NotLeader(self.leader.clone());
            self.actions.push(Action::ProposalRejected { id, reason });
            return;
        }
        match self.changed(&change) {
            Some(members) => {
                let index = self.set_members(members);
                self.note_proposal(index, id);
                self.replicate();
            }
            None => self
                .actions
                .push(Action::ProposalRejected { id, reason: RejectReason::ChangeNotAllowed }),
        }
    }

    /// Notes a replica without a group, which the leader may add.
    pub(super) fn note_hello(&mut self, from: Node) {
        let known = self.log.members().get(from.id).is_some();
        if let RoleState::Leader(leader) = &mut self.part
            && !known
        {
            leader.joining.insert(from.name, from.id);
        }
    }

    /// Adds replicas that announced themselves, and replaces those that lost their disks.
    pub(super) fn repair_members(&mut self) {
        let Some(change) = self.next_repair() else { return };
        if let Some(members) = self.changed(&change) {
            self.set_members(members);
        }
    }

    /// Returns the change that repairs the members, if one is called for.
    fn next_repair(&mut self) -> Option<MembershipChange> {
        if !self.is_changeable() {
            return None;
        }
        let members = self.log.members();
        let RoleState::Leader(leader) = &mut self.part else { return None };
        leader.joining.retain(|_, id| members.get(*id).is_none());
        if let Some((name, id)) = leader.joining.pop() {
            return Some(MembershipChange::Add(Node { id, name }));
        }
        let lost = members.0.iter().find(|m| self.is_replaced(m, &members));
        if let Some(lost) = lost {
            return Some(MembershipChange::Remove(lost.node.id));
        }
        let ready = members.0.iter().find(|m| self.is_ready(m, &members))?;
        Some(MembershipChange::Promote(ready.node.id))
    }

    /// Tells whether a silent member's instance runs another replica, which has caught up.
    fn is_replaced(&self, member: &Member, members: &Members) -> bool {
        let same = self.is_silent(member.node.id)
            && others(member, members).any(|other| self.has_caught_up(other.node.id));
        same || self.is_given_up(member, members)
    }

    /// Tells whether a silent member's place is to go to a replica of another instance.
    ///
    /// A silent learner's place is of use to nobody: it announces itself if it comes back.
    fn is_given_up(&self, member: &Member, members: &Members) -> bool {
        let VoterPolicy::Open { max_voters, replace_after } = self.settings.voter_policy else {
            return false;
        };
        if !self.is_silent_for(member.node.id, replace_after) {
            return false;
        }
        let spare = |m: &&Member| m.kind == MemberKind::Learner && self.has_caught_up(m.node.id);
        match member.kind {
            MemberKind::Learner => true,
            MemberKind::Voter => {
                members.voters().count() >= max_voters && members.0.iter().any(|m| spare(&m))
            }
        }
    }

    /// Tells whether a learner is to become a voter, after the one that it replaces was removed.
    fn is_ready(&self, member: &Member, members: &Members) -> bool {
        member.kind == MemberKind::Learner
            && self.is_admitted(member, members)
            && self.has_caught_up(member.node.id)
            && others(member, members).next().is_none()
    }

    /// Tells whether the settings allow a learner to become a voter.
    fn is_admitted(&self, member: &Member, members: &Members) -> bool {
        match self.settings.voter_policy {
            VoterPolicy::Founders => self.settings.founders.contains(&member.node.name),
            VoterPolicy::Open { max_voters, .. } => members.voters().count() < max_voters,
        }
    }

    /// Tells whether a member did not answer for an election time.
    fn is_silent(&self, id: ReplicaId) -> bool {
        self.is_silent_for(id, self.settings.election_timeout)
    }

    /// Tells whether a member did not answer for `time`.
    fn is_silent_for(&self, id: ReplicaId, time: Duration) -> bool {
        let RoleState::Leader(leader) = &self.part else { return false };
        let heard = leader.peers.get(&id).map(|p| p.heard);
        heard.is_some_and(|h| self.now.since(h) > time)
    }

    /// Tells whether a member answers and has nearly the whole log on disk.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.part else { return false };
        if id == self.node.id {
            return true;
        }
        // One that is lost again would weaken the quorum as a voter.
        if self.is_silent(id) {
            return false;
        }
        leader.peers.get(&id).is_some_and(|p| {
            p.matched >= leader.first
                && p.matched.0 + self.settings.catchup_entries >= self.log.last().0
        })
    }

    /// Tells whether the members may be changed now.
    ///
    /// The last change and an entry of the own term must be committed, or two leaders could each
    /// have a quorum of different members.
    fn is_changeable(&self) -> bool {
        let RoleState::Leader(leader) = &self.part else { return false };
        leader.hand_until.is_none()
            && self.commit >= leader.first
            && self.log.members_index() <= self.commit
    }

    /// Returns the members after a change, if it is allowed.
    fn changed(&self, change: &MembershipChange) -> Option<Members> {
        if !self.is_changeable() {
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
            MembershipChange::Remove(id) if *id != self.node.id && members.get(*id).is_some() => {
                members.0.retain(|m| m.node.id != *id);
            }
            _ => return None,
        }
        Some(members)
    }

    /// Appends new members, which are in force at once.
    fn set_members(&mut self, members: Members) -> crate::ids::LogIndex {
        let index = self.add_entry(Payload::Members(members.clone()));
        let (own, now) = (self.node.id, self.now);
        if let RoleState::Leader(leader) = &mut self.part {
            leader.set_members(&members, own, crate::replica::log::previous(index), now);
        }
        // Where fewer voters are left, more may be committed already.
        self.advance_commit();
        index
    }
}

/// Returns the other members that ran in the same instance.
fn others<'a>(member: &'a Member, members: &'a Members) -> impl Iterator<Item = &'a Member> {
    let same = |m: &&Member| m.node.name == member.node.name && m.node.id != member.node.id;
    members.0.iter().filter(same)
}
