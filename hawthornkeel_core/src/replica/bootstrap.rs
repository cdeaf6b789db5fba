//! How a replica without a group forms one or comes into one.

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
use crate::replica::persistence::Gate;
use crate::time::Instant;

/// Term of the founding entry.
const FOUNDING_TERM: Term = Term(1);

/// What a replica without a group knows of the others.
#[derive(Debug)]
pub(super) struct Formation {
    /// When to announce itself next.
    pub(super) hello_at: Instant,
    /// Founders that said that their disks are empty, by name.
    empty: IndexMap<InstanceName, ReplicaId>,
    /// Last forming founder that was told that this disk is empty.
    told: Option<ReplicaId>,
    /// Leader that a member spoke of.
    leader: Option<Node>,
}

impl Formation {
    /// Starts to know nothing.
    pub(super) fn new(now: Instant) -> Self {
        Self { hello_at: now, empty: IndexMap::new(), told: None, leader: None }
    }
}

impl Replica {
    /// Announces this replica, which belongs to no group.
    pub(super) fn say_hello(&mut self) {
        let RoleState::Empty(formation) = &mut self.part else { return };
        formation.hello_at = self.now + self.settings.hello_interval;
        let mut names = self.settings.founders.clone();
        names.extend(formation.leader.as_ref().map(|l| l.name.clone()));
        names.retain(|n| *n != self.node.name);
        names.dedup();
        for name in names {
            self.send_to(&name, None, Gate::Free, Body::Hello);
        }
        self.form();
    }

    /// Announces this replica again, because the entry that added it may have been lost.
    pub(super) fn ask_to_be_added(&mut self) {
        let members = self.log.members();
        let mut names = IndexSet::<InstanceName>::from_iter(self.settings.founders.clone());
        names.extend(members.0.into_iter().map(|m| m.node.name));
        names.shift_remove(&self.node.name);
        for name in names {
            self.send_to(&name, None, Gate::Free, Body::Hello);
        }
    }

    /// Answers a replica that belongs to no group.
    pub(super) fn receive_hello(&mut self, from: Node) {
        let forms = self.former() == Some(&from.name);
        if let RoleState::Empty(formation) = &mut self.part {
            if !self.settings.can_bootstrap {
                return;
            }
            if forms {
                formation.told = Some(from.id);
            }
            self.send(&from, Gate::Free, Body::HelloReply(HelloReply::Empty));
            return;
        }
        let membership = self.place_of(from.id);
        let reply = HelloReply::Member { membership, leader: self.leader.clone() };
        self.send(&from, Gate::All, Body::HelloReply(reply));
        self.note_hello(from);
    }

    /// Takes in an answer to a hello.
    pub(super) fn receive_hello_reply(&mut self, from: Node, reply: HelloReply) {
        let RoleState::Empty(formation) = &mut self.part else { return };
        match reply {
            HelloReply::Empty => {
                formation.empty.insert(from.name, from.id);
                self.form();
            }
            HelloReply::Member { membership, leader } => {
                formation.empty.shift_remove(&from.name);
                formation.leader = leader.or(formation.leader.take());
                self.take_place(&from, membership);
            }
        }
    }

    /// Returns the founder that forms the group.
    fn former(&self) -> Option<&InstanceName> {
        self.settings.founders.iter().min()
    }

    /// Forms the group, once every founder has said that its disk is empty.
    fn form(&mut self) {
        let RoleState::Empty(formation) = &self.part else { return };
        if self.former() != Some(&self.node.name) || !self.settings.can_bootstrap {
            return;
        }
        let mut members = Vec::new();
        for name in &self.settings.founders {
            let own = *name == self.node.name;
            let id = if own { Some(self.node.id) } else { formation.empty.get(name).copied() };
            let Some(id) = id else { return };
            let node = Node { id, name: name.clone() };
            members.push(Member { node, kind: MemberKind::Voter });
        }
        let group = GroupId(self.rng.random());
        let founding = BootstrapConfig { group, members: Members(members) };
        self.found(founding.clone());
        self.announce(&founding);
    }

    /// Takes up a place in a group that names this replica.
    fn take_place(&mut self, from: &Node, membership: Membership) {
        let RoleState::Empty(formation) = &self.part else { return };
        // The former that this disk was last called empty to decides: an older one lost its disk.
        // Where another founder took the older one's group up, a newer one can form none any more.
        let current =
            formation.told.is_none_or(|id| id == from.id) || self.former() != Some(&from.name);
        match membership {
            Membership::Member(group) if current => self.join(group),
            Membership::Founder(founding) if current => self.found(founding),
            Membership::NonMember | Membership::Member(_) | Membership::Founder(_) => {}
        }
    }

    /// Starts the log with the founding entry.
    fn found(&mut self, founding: BootstrapConfig) {
        self.join(founding.group);
        self.set_hard(HardState { term: FOUNDING_TERM, ..self.hard });
        self.add_entry(Payload::Members(founding.members));
    }

    /// Tells the other founders of the group that was formed.
    fn announce(&mut self, founding: &BootstrapConfig) {
        let own = self.node.id;
        for node in founding.members.voters().filter(|n| n.id != own) {
            let membership = Membership::Founder(founding.clone());
            let reply = HelloReply::Member { membership, leader: None };
            self.send(node, Gate::All, Body::HelloReply(reply));
        }
    }

    /// Returns what a replica without a group is to this replica's group.
    fn place_of(&self, id: ReplicaId) -> Membership {
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
