//! Replicated log: elections, replication, snapshots and membership.
//!
//! A [`Replica`] is driven by [`Replica::handle`] and does no I/O. The clock that `now` comes from
//! must be monotonic, go on while the process or machine is stopped (`CLOCK_BOOTTIME` on Linux),
//! and be read right before each call.
//!
//! # Identity
//!
//! A [`ReplicaId`](crate::ids::ReplicaId) belongs to a data folder, not to an instance: it is drawn
//! when the folder is empty. Agreement counts identities, so a replica that lost its disk is
//! another replica. It belongs to no group, answers no vote, and is added by the leader as a
//! learner, sent the log, and made a voter in place of the lost one once it has caught up.
//!
//! # Formation
//!
//! The founder with the lowest name draws the first group, and only after every founder has told
//! that very identity that its own disk is empty. The group is a log entry that names the identities
//! of all founders; the other founders adopt it only if it names their own. A founder that comes
//! back with an empty disk after that meets members, so it can't form a group again, and is not
//! named by the group that stands, so it can't vote in it.

pub mod action;
pub mod entry;
pub mod message;
pub mod settings;

mod bootstrap;
mod election;
mod follower;
mod leader_state;
mod leadership;
mod leadership_transfer;
mod log;
mod membership;
mod persistence;
mod progress;
mod receive;
mod replication;

use std::collections::VecDeque;
use std::fmt;

use rand_chacha::ChaCha8Rng;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::names::InstanceName;
use crate::replica::bootstrap::Formation;
use crate::replica::election::Votes;
use crate::replica::follower::Incoming;
use crate::replica::leader_state::Leader;
use crate::replica::log::Log;
use crate::replica::persistence::Gate;
use crate::replica::persistence::Held;
use crate::replica::persistence::Saves;
use crate::time::Instant;

pub use crate::replica::action::Action;
pub use crate::replica::action::CommittedEntry;
pub use crate::replica::action::Input;
pub use crate::replica::action::LogRetention;
pub use crate::replica::action::MembershipChange;
pub use crate::replica::action::Proposal;
pub use crate::replica::action::RejectReason;
pub use crate::replica::action::Role;
pub use crate::replica::action::Save;
pub use crate::replica::action::Status;
pub use crate::replica::entry::Entry;
pub use crate::replica::entry::GroupId;
pub use crate::replica::entry::HardState;
pub use crate::replica::entry::Member;
pub use crate::replica::entry::MemberKind;
pub use crate::replica::entry::Members;
pub use crate::replica::entry::Node;
pub use crate::replica::entry::Payload;
pub use crate::replica::entry::PersistedState;
pub use crate::replica::entry::ProposalId;
pub use crate::replica::entry::ReadId;
pub use crate::replica::entry::SaveSeq;
pub use crate::replica::entry::Snapshot;
pub use crate::replica::message::Body;
pub use crate::replica::message::Message;
pub use crate::replica::settings::ReplicaSettings;
pub use crate::replica::settings::VoterPolicy;

/// Part that a replica plays, with what it needs for it.
#[derive(Debug)]
enum RoleState {
    Empty(Formation),
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    node: Node,
    settings: ReplicaSettings,
    rng: ChaCha8Rng,
    now: Instant,
    hard: HardState,
    log: Log,
    saves: Saves,
    part: RoleState,
    /// Leader of the term, if known.
    leader: Option<Node>,
    /// Last contact with a leader, or the start: no vote is given for an election time after it.
    heard: Option<Instant>,
    /// When to stand for election next.
    stand_at: Instant,
    commit: LogIndex,
    snapshot: Option<Snapshot>,
    /// Entries applied since the last snapshot, in bytes.
    grown: usize,
    /// Whether a snapshot was asked for and not handed in.
    asked: bool,
    /// Snapshot that is being received.
    incoming: Option<Incoming>,
    actions: Vec<Action>,
    outgoing: Vec<Held>,
    held: VecDeque<Held>,
    status: Status,
}

impl Replica {
    /// Creates a replica on an empty data folder: it forms a group or waits to be added to one.
    pub fn new(node: Node, settings: ReplicaSettings, rng: ChaCha8Rng, now: Instant) -> Self {
        Self {
            node,
            settings,
            rng,
            now,
            hard: HardState::default(),
            log: Log::default(),
            saves: Saves::default(),
            part: RoleState::Empty(Formation::new(now)),
            leader: None,
            heard: None,
            stand_at: now,
            commit: LogIndex(0),
            snapshot: None,
            grown: 0,
            asked: false,
            incoming: None,
            actions: Vec::new(),
            outgoing: Vec::new(),
            held: VecDeque::new(),
            status: Status::default(),
        }
    }

    /// Creates a replica from what its disk holds.
    ///
    /// The first actions of [`Replica::handle`] restore the state from the snapshot, if any.
    ///
    /// # Errors
    ///
    /// Returns an error where the log has a gap.
    pub fn recover(
        node: Node,
        settings: ReplicaSettings,
        rng: ChaCha8Rng,
        now: Instant,
        stored: PersistedState,
    ) -> Result<Self, RecoverError> {
        let mut replica = Self::new(node, settings, rng, now);
        if stored.hard.group.is_none() {
            return Ok(replica);
        }
        replica.log = Log::recover(stored.snapshot.as_ref(), stored.entries)?;
        replica.saves = Saves::new(replica.log.last());
        replica.hard = stored.hard;
        replica.part = RoleState::Follower;
        // What it promised to a leader before it stopped is not on disk: it waits that time out.
        replica.heard = Some(now);
        replica.arm_election();
        if let Some(snapshot) = stored.snapshot {
            replica.commit = snapshot.index;
            replica.actions.push(Action::Restore(snapshot.clone()));
            replica.snapshot = Some(snapshot);
        }
        replica.update_status();
        Ok(replica)
    }

    /// Takes in one input at `now` and returns what is to be done, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        // Timers go first, so that a leader that was stopped and continued gives up its lease.
        self.advance();
        match input {
            Input::Tick => {}
            Input::Message(message) => self.receive(message),
            Input::Synced { seq } => self.synced(seq),
            Input::Propose(proposals) => self.propose(proposals),
            Input::Read(id) => self.read(id),
            Input::ChangeMembers(id, change) => self.change(id, change),
            Input::TransferLeadership => self.start_hand_over(),
            Input::Snapshot { index, data } => self.take_snapshot(index, data),
        }
        self.finish()
    }

    /// Returns the point at which [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Instant {
        match &self.part {
            RoleState::Empty(formation) => formation.hello_at,
            RoleState::Leader(leader) => leader.beat_at,
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => {
                self.stand_at
            }
        }
    }

    /// Returns the replica's state.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// Tells whether this replica leads and its lease stands at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        match &self.part {
            RoleState::Leader(leader) => self.lease_stands(leader, now),
            _ => false,
        }
    }

    /// Does what has become due.
    fn advance(&mut self) {
        match &self.part {
            RoleState::Empty(formation) if formation.hello_at <= self.now => self.say_hello(),
            RoleState::Leader(_) => self.advance_leader(),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_)
                if self.stand_at <= self.now =>
            {
                self.stand();
            }
            _ => {}
        }
    }

    /// Notes that a save is on disk, and what follows from it.
    fn synced(&mut self, seq: SaveSeq) {
        self.saves.synced(seq);
        match &self.part {
            RoleState::Candidate(_) => self.count_own_vote(),
            RoleState::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    /// Returns the role for the status.
    fn role(&self) -> Role {
        match &self.part {
            RoleState::Empty(_) => Role::Empty,
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Changes the hard state, which is saved before anything that rests on it leaves.
    fn set_hard(&mut self, hard: HardState) {
        if hard != self.hard {
            self.hard = hard;
            self.saves.set_hard(hard);
        }
    }

    /// Adds an entry to the log.
    fn add_entry(&mut self, payload: Payload) -> LogIndex {
        let index = log::next(self.log.last());
        let entry = Entry { index, term: self.hard.term, payload };
        self.saves.add(entry.clone());
        self.log.append(entry);
        index
    }

    /// Queues a message to a replica.
    fn send(&mut self, to: &Node, gate: Gate, body: Body) {
        self.send_to(&to.name, Some(to.id), gate, body);
    }

    /// Queues a message to an instance.
    fn send_to(&mut self, to: &InstanceName, id: Option<ReplicaId>, gate: Gate, body: Body) {
        // What is changed but not yet numbered belongs to the gate as well.
        self.save_log();
        let message = Message {
            from: self.node.clone(),
            to: id,
            group: self.hard.group,
            term: self.hard.term,
            body,
        };
        let seq = self.saves.gate(gate);
        self.outgoing.push(Held { seq, to: to.clone(), message });
    }

    /// Turns what changed into a save.
    fn save_log(&mut self) {
        let last = self.log.last();
        if let Some((seq, save)) = self.saves.take(last) {
            self.actions.push(Action::Save { seq, save });
        }
    }

    /// Hands out committed entries up to `commit`.
    fn apply(&mut self, commit: LogIndex) {
        let commit = commit.min(self.log.last());
        if commit <= self.commit {
            return;
        }
        let entries = self.log.span(self.commit, commit);
        self.grown += entries.iter().map(Entry::size).sum::<usize>();
        self.commit = commit;
        let applied = entries.into_iter().map(|entry| {
            let proposal = match &mut self.part {
                RoleState::Leader(leader) => leader.take_proposal(&entry),
                _ => None,
            };
            CommittedEntry { entry, proposal }
        });
        let applied = applied.collect();
        self.actions.push(Action::Apply(applied));
        self.ask_snapshot();
    }

    /// Ends an input: saves what changed, and sends what waits for nothing any more.
    fn finish(&mut self) -> Vec<Action> {
        self.save_log();
        self.held.extend(self.outgoing.drain(..));
        let term = self.hard.term;
        let mut waiting = VecDeque::new();
        for held in std::mem::take(&mut self.held) {
            // An answer of an older term is of no use to anyone.
            if held.message.term < term {
                continue;
            }
            if self.saves.is_synced(held.seq) {
                self.actions.push(Action::Send { to: held.to, message: held.message });
            } else {
                waiting.push_back(held);
            }
        }
        self.held = waiting;
        self.update_status();
        std::mem::take(&mut self.actions)
    }

    /// Brings the status up to date and reports changes of role, term, leader and members.
    fn update_status(&mut self) {
        let status = Status {
            role: self.role(),
            term: self.hard.term,
            leader: self.leader.clone(),
            commit: self.commit,
            last_index: self.log.last(),
            members: self.log.members(),
        };
        let changed = status.role != self.status.role
            || status.term != self.status.term
            || status.leader != self.status.leader
            || status.members != self.status.members;
        if changed {
            self.actions.push(Action::StatusChanged(status.clone()));
        }
        self.status = status;
    }

    /// Takes up the term of a message and follows whoever leads it.
    fn follow_term(&mut self, term: Term) {
        if term > self.hard.term {
            self.step_down();
            self.leader = None;
            self.set_hard(HardState { term, vote: None, ..self.hard });
        }
    }
}

/// Why a replica can't start from what its disk holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoverError {
    /// An entry is missing: the one after `after` is not there.
    Gap {
        /// Last position before the gap.
        after: LogIndex,
    },
}

impl fmt::Display for RecoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { after } => write!(f, "log has a gap after entry {after}"),
        }
    }
}

impl std::error::Error for RecoverError {}
