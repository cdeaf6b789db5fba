//! Bootstrapping a group, and joining one as a replica without a group.

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::names::InstanceName;
use crate::replica::Replica;
use crate::replica::RoleState;
use crate::replica::entry::GroupId;
use crate::replica::entry::HardState;
use crate::replica::entry::Member;
use crate::replica::entry::MemberKind;
use crate::replica::entry::Members;
use crate::replica::entry::Node;
use crate::replica::entry::Payload;
use crate::replica::log;
use crate::replica::message::Body;
use crate::replica::message::BootstrapConfig;
use crate::replica::message::HelloReply;
use crate::replica::message::Membership;
use crate::replica::persistence::SyncBarrier;
use crate::time::Instant;

/// Term of the first entry, which lists the founders.
const BOOTSTRAP_TERM: Term = Term(1);

/// State of a replica that does not belong to a group.
#[derive(Debug)]
pub(super) struct Bootstrap {
    /// Time at which the next hello is due.
    pub(super) hello_at: Instant,
    /// Founders that reported an empty disk, by name.
    empty_founders: IndexMap<InstanceName, ReplicaId>,
    /// Last identity of the coordinator to which an empty disk was reported.
    reported_to: Option<ReplicaId>,
    /// Leader that a member named.
    known_leader: Option<Node>,
}

impl Bootstrap {
    /// Creates the state of a replica that knows nothing about the others.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            hello_at: now,
            empty_founders: IndexMap::new(),
            reported_to: None,
            known_leader: None,
        }
    }
}

impl Replica {
    /// Announces this replica, which does not belong to a group.
    pub(super) fn send_hello(&mut self) {
        let RoleState::Empty(bootstrap) = &mut self.role_state else { return };
        bootstrap.hello_at = self.now + self.settings.hello_interval;
        let mut names = self.settings.founders.clone();
        names.extend(bootstrap.known_leader.as_ref().map(|l| l.name.clone()));
        names.retain(|n| *n != self.node.name);
        names.dedup();
        for name in names {
            self.send_to(&name, None, SyncBarrier::None, Body::Hello);
        }
        self.try_bootstrap();
    }

    /// Announces this replica again, in case it was removed or the entry that added it was lost.
    ///
    /// Only the leader adds it, which may be none of the members that this replica knows.
    pub(super) fn request_membership(&mut self) {
        let members = self.log.members();
        let mut names = IndexSet::<InstanceName>::from_iter(self.settings.founders.clone());
        names.extend(members.0.into_iter().map(|m| m.node.name));
        names.extend(self.named_leader.take());
        names.shift_remove(&self.node.name);
        for name in names {
            self.send_to(&name, None, SyncBarrier::None, Body::Hello);
        }
    }

    /// Replies to a replica that announced itself.
    pub(super) fn receive_hello(&mut self, from: Node) {
        let coordinator = self.bootstrap_coordinator() == Some(&from.name);
        if let RoleState::Empty(bootstrap) = &mut self.role_state {
            if !self.settings.can_bootstrap {
                return;
            }
            if coordinator {
                bootstrap.reported_to = Some(from.id);
            }
            self.send(&from, SyncBarrier::None, Body::HelloReply(HelloReply::Empty));
            return;
        }
        let membership = self.membership_of(from.id);
        let reply = HelloReply::Member { membership, leader: self.leader.clone() };
        self.send(&from, SyncBarrier::All, Body::HelloReply(reply));
        self.record_hello(from);
    }

    /// Handles the reply to a hello.
    pub(super) fn receive_hello_reply(&mut self, from: Node, reply: HelloReply) {
        let RoleState::Empty(bootstrap) = &mut self.role_state else {
            self.record_named_leader(reply);
            return;
        };
        match reply {
            HelloReply::Empty => {
                bootstrap.empty_founders.insert(from.name, from.id);
                self.try_bootstrap();
            }
            HelloReply::Member { membership, leader } => {
                bootstrap.empty_founders.shift_remove(&from.name);
                bootstrap.known_leader = leader.or(bootstrap.known_leader.take());
                self.accept_membership(&from, membership);
            }
        }
    }

    /// Records the leader that another replica named, for the next announcement.
    fn record_named_leader(&mut self, reply: HelloReply) {
        if let HelloReply::Member { leader: Some(leader), .. } = reply {
            self.named_leader = Some(leader.name);
        }
    }

    /// Returns the founder that creates the group.
    fn bootstrap_coordinator(&self) -> Option<&InstanceName> {
        self.settings.founders.iter().min()
    }

    /// Creates the group once every founder has reported an empty disk.
    fn try_bootstrap(&mut self) {
        let RoleState::Empty(bootstrap) = &self.role_state else { return };
        if self.bootstrap_coordinator() != Some(&self.node.name) || !self.settings.can_bootstrap {
            return;
        }
        let mut members = Vec::new();
        for name in &self.settings.founders {
            let own = *name == self.node.name;
            let id =
                if own { Some(self.node.id) } else { bootstrap.empty_founders.get(name).copied() };
            let Some(id) = id else { return };
            let node = Node { id, name: name.clone() };
            members.push(Member { node, kind: MemberKind::Voter });
        }
        let group = GroupId(self.rng.random());
        let config = BootstrapConfig { group, members: Members(members) };
        self.start_log(config.clone());
        self.announce_group(&config);
    }

    /// Joins a group that has this replica as a member.
    fn accept_membership(&mut self, from: &Node, membership: Membership) {
        let RoleState::Empty(bootstrap) = &self.role_state else { return };
        // Only the coordinator identity that was last told of the empty disk counts: if there was
        // an earlier one, it lost its disk. Once another founder has accepted the group of the
        // earlier one, the later one can't create another group, so replies of other founders
        // always count.
        let current = bootstrap.reported_to.is_none_or(|id| id == from.id)
            || self.bootstrap_coordinator() != Some(&from.name);
        match membership {
            Membership::Member(group) if current => self.join_group(group),
            Membership::Founder(config) if current => self.start_log(config),
            Membership::NonMember | Membership::Member(_) | Membership::Founder(_) => {}
        }
    }

    /// Starts the log with the entry that lists the founders.
    fn start_log(&mut self, config: BootstrapConfig) {
        self.join_group(config.group);
        self.set_hard(HardState { term: BOOTSTRAP_TERM, ..self.hard });
        self.add_entry(Payload::Members(config.members));
    }

    /// Announces a new group to the other founders.
    fn announce_group(&mut self, config: &BootstrapConfig) {
        let own = self.node.id;
        for node in config.members.voters().filter(|n| n.id != own) {
            let membership = Membership::Founder(config.clone());
            let reply = HelloReply::Member { membership, leader: None };
            self.send(node, SyncBarrier::All, Body::HelloReply(reply));
        }
    }

    /// Returns the membership of another replica in this replica's group.
    pub(super) fn membership_of(&self, id: ReplicaId) -> Membership {
        let Some(group) = self.hard.group else { return Membership::NonMember };
        let first = self.log.get(log::next(LogIndex(0)));
        if let Some(Payload::Members(members)) = first.map(|e| &e.payload)
            && members.get(id).is_some()
        {
            return Membership::Founder(BootstrapConfig { group, members: members.clone() });
        }
        match self.log.members().get(id) {
            Some(_) => Membership::Member(group),
            None => Membership::NonMember,
        }
    }
}
