//! Raft-style replicated log: elections, log replication, snapshots and membership changes.
//!
//! A [`Replica`] is a state machine without I/O, driven by [`Replica::handle`]. The clock behind
//! `now` must be monotonic, must advance while the process or machine is suspended
//! (`CLOCK_BOOTTIME` on Linux), and must be read immediately before each call.
//!
//! # Identity
//!
//! A [`ReplicaId`](crate::ids::ReplicaId) identifies a data folder, not an instance: it is
//! generated when the folder is empty. Quorums count these identities, so a replica that lost its
//! disk comes back as a different replica. It belongs to no group and does not vote. The leader
//! adds it as a learner, sends it the log, and promotes it to a voter in place of the lost replica
//! once it has caught up.
//!
//! # Bootstrap
//!
//! The founder with the lowest name creates the group, and only after every other founder has
//! reported to this exact identity that its own disk is empty. The first log entry lists the
//! identities of all founders; the other founders accept it only if it contains their own. A
//! founder that later returns with an empty disk is answered by members of the group, so it can't
//! create a second group. Its new identity is not among the members, so it can't vote either.

pub mod action;
pub mod entry;
pub mod message;
pub mod settings;
pub mod vote_handover;

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
mod withdrawal;

use std::collections::VecDeque;
use std::fmt;

use rand_chacha::ChaCha8Rng;

use crate::ids::LogIndex;
use crate::ids::ReplicaId;
use crate::ids::Term;
use crate::names::InstanceName;
use crate::replica::bootstrap::Bootstrap;
use crate::replica::election::Votes;
use crate::replica::follower::IncomingSnapshot;
use crate::replica::leader_state::LeaderState;
use crate::replica::log::Log;
use crate::replica::persistence::DeferredMessage;
use crate::replica::persistence::Persistence;
use crate::replica::persistence::SyncBarrier;
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
pub use crate::replica::vote_handover::HandoverEnd;
pub use crate::replica::vote_handover::VoteHandover;

/// Role of a replica with the state that only this role needs.
#[derive(Debug)]
enum RoleState {
    Empty(Bootstrap),
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<LeaderState>),
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
    persistence: Persistence,
    role_state: RoleState,
    /// Leader of the current term, if known.
    leader: Option<Node>,
    /// Instance that another replica named as the leader, while this one knows none.
    named_leader: Option<InstanceName>,
    /// Last contact with a leader, or the start of the process.
    ///
    /// No vote is granted until an election timeout has passed since then.
    last_contact: Option<Instant>,
    /// Time at which the next pre-vote starts.
    election_at: Instant,
    /// Whether the pre-vote that is due was put off, as this replica was stalled.
    election_deferred: bool,
    /// Whether this replica is about to stop, and asks the leader to give its vote to a learner.
    leaving: bool,
    /// Term whose leader knows that.
    leaving_known: Option<Term>,
    commit: LogIndex,
    snapshot: Option<Snapshot>,
    /// Size of the entries applied since the last snapshot, in bytes.
    applied_bytes: usize,
    /// Whether a snapshot was requested and has not been provided yet.
    snapshot_requested: bool,
    /// Snapshot that is being received.
    incoming_snapshot: Option<IncomingSnapshot>,
    actions: Vec<Action>,
    /// Messages of the input that is being handled.
    outgoing: Vec<DeferredMessage>,
    /// Messages of earlier inputs that wait for a save.
    deferred: VecDeque<DeferredMessage>,
    status: Status,
}

impl Replica {
    /// Creates a replica on an empty data folder: it bootstraps a group or waits to be added to
    /// one.
    pub fn new(node: Node, settings: ReplicaSettings, rng: ChaCha8Rng, now: Instant) -> Self {
        Self {
            node,
            settings,
            rng,
            now,
            hard: HardState::default(),
            log: Log::default(),
            persistence: Persistence::default(),
            role_state: RoleState::Empty(Bootstrap::new(now)),
            leader: None,
            named_leader: None,
            last_contact: None,
            election_at: now,
            election_deferred: false,
            leaving: false,
            leaving_known: None,
            commit: LogIndex(0),
            snapshot: None,
            applied_bytes: 0,
            snapshot_requested: false,
            incoming_snapshot: None,
            actions: Vec::new(),
            outgoing: Vec::new(),
            deferred: VecDeque::new(),
            status: Status::default(),
        }
    }

    /// Recovers a replica from its persisted state.
    ///
    /// If there is a snapshot, the first actions of [`Replica::handle`] restore the state from it.
    ///
    /// # Errors
    ///
    /// Returns [`RecoverError::Gap`] if the log has a gap.
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
        replica.persistence = Persistence::new(replica.log.last());
        replica.hard = stored.hard;
        replica.role_state = RoleState::Follower;
        // Heartbeats acknowledged before the restart are not on disk. A lease based on them may
        // still be valid, so no vote is granted for one election timeout.
        replica.last_contact = Some(now);
        replica.reset_election_timer();
        if let Some(snapshot) = stored.snapshot {
            replica.commit = snapshot.index;
            replica.actions.push(Action::Restore(snapshot.clone()));
            replica.snapshot = Some(snapshot);
        }
        replica.update_status();
        Ok(replica)
    }

    /// Handles one input at `now` and returns the resulting actions, in order.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        self.now = self.now.max(now);
        // Timers are checked first, so that a leader that was suspended steps down before it
        // serves.
        self.advance();
        match input {
            Input::Tick => {}
            Input::Message(message) => self.receive(message),
            Input::Synced { seq } => self.synced(seq),
            Input::Propose(proposals) => self.propose(proposals),
            Input::Read(id) => self.read(id),
            Input::ChangeMembers(id, change) => self.change(id, change),
            Input::TransferLeadership => self.start_transfer(),
            Input::Withdraw => self.withdraw(),
            Input::Snapshot { index, data } => self.store_snapshot(index, data),
        }
        self.finish()
    }

    /// Returns the time at which the next [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Instant {
        match &self.role_state {
            RoleState::Empty(bootstrap) => bootstrap.hello_at,
            RoleState::Leader(leader) => leader.heartbeat_at,
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_) => {
                self.election_at
            }
        }
    }

    /// Returns the replica's status.
    pub fn status(&self) -> &Status {
        &self.status
    }

    /// Returns whether this replica is the leader and its lease is valid at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => self.is_lease_valid(leader, now),
            _ => false,
        }
    }

    /// Returns whether the state applied here is certain to include all entries committed until `now`.
    ///
    /// Only a leader can know: it needs a valid lease, and an entry of its own term that is committed.
    pub fn is_current(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => self.includes_commits(leader, now),
            _ => false,
        }
    }

    /// Runs the timers that are due.
    fn advance(&mut self) {
        match &self.role_state {
            RoleState::Empty(bootstrap) if bootstrap.hello_at <= self.now => self.send_hello(),
            RoleState::Leader(_) => self.advance_leader(),
            RoleState::Follower | RoleState::PreCandidate(_) | RoleState::Candidate(_)
                if self.election_at <= self.now =>
            {
                self.election_due();
            }
            _ => {}
        }
    }

    /// Records that a save is on disk, and counts the own vote or log position that it makes
    /// durable.
    fn synced(&mut self, seq: SaveSeq) {
        self.persistence.synced(seq);
        match &self.role_state {
            RoleState::Candidate(_) => self.count_own_vote(),
            RoleState::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    /// Returns the role that [`Status`] reports.
    fn role(&self) -> Role {
        match &self.role_state {
            RoleState::Empty(_) => Role::Empty,
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) => Role::PreCandidate,
            RoleState::Candidate(_) => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Changes the hard state. It is saved before any message that depends on it is sent.
    fn set_hard(&mut self, hard: HardState) {
        if hard != self.hard {
            self.hard = hard;
            self.persistence.set_hard(hard);
        }
    }

    /// Appends an entry of the current term to the log and returns its index.
    fn add_entry(&mut self, payload: Payload) -> LogIndex {
        let index = log::next(self.log.last());
        let entry = Entry { index, term: self.hard.term, payload };
        self.persistence.add_entry(entry.clone());
        self.log.append(entry);
        index
    }

    /// Queues a message to a replica.
    fn send(&mut self, to: &Node, barrier: SyncBarrier, body: Body) {
        self.send_to(&to.name, Some(to.id), barrier, body);
    }

    /// Queues a message to an instance.
    fn send_to(
        &mut self,
        to: &InstanceName,
        id: Option<ReplicaId>,
        barrier: SyncBarrier,
        body: Body,
    ) {
        // Unsaved changes get a sequence number first, so that the barrier covers them.
        self.save_log();
        let message = Message {
            from: self.node.clone(),
            to: id,
            group: self.hard.group,
            term: self.hard.term,
            body,
        };
        let seq = self.persistence.barrier_seq(barrier);
        self.outgoing.push(DeferredMessage { seq, to: to.clone(), message });
    }

    /// Emits a save with the changes of the hard state and the log, if any.
    fn save_log(&mut self) {
        let last = self.log.last();
        if let Some((seq, save)) = self.persistence.take_save(last) {
            self.actions.push(Action::Save { seq, save });
        }
    }

    /// Advances the commit index to `commit` and emits the committed entries.
    fn apply(&mut self, commit: LogIndex) {
        let commit = commit.min(self.log.last());
        if commit <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit, commit);
        self.applied_bytes += entries.iter().map(Entry::size).sum::<usize>();
        self.commit = commit;
        let applied = entries.into_iter().map(|entry| {
            let proposal = match &mut self.role_state {
                RoleState::Leader(leader) => leader.take_proposal(&entry),
                _ => None,
            };
            CommittedEntry { entry, proposal }
        });
        let applied = applied.collect();
        self.actions.push(Action::Apply(applied));
        self.request_snapshot();
    }

    /// Finishes an input: saves changes, and sends the messages whose saves are on disk.
    fn finish(&mut self) -> Vec<Action> {
        self.save_log();
        self.deferred.extend(self.outgoing.drain(..));
        let term = self.hard.term;
        let mut waiting = VecDeque::new();
        for deferred in std::mem::take(&mut self.deferred) {
            // Messages of an older term are obsolete.
            if deferred.message.term < term {
                continue;
            }
            if self.persistence.is_synced(deferred.seq) {
                self.actions.push(Action::Send { to: deferred.to, message: deferred.message });
            } else {
                waiting.push_back(deferred);
            }
        }
        self.deferred = waiting;
        self.update_status();
        std::mem::take(&mut self.actions)
    }

    /// Updates the status and reports changes of role, term, leader and members.
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

    /// Adopts a higher term from a message and becomes a follower without a known leader.
    fn observe_term(&mut self, term: Term) {
        if term > self.hard.term {
            self.step_down();
            self.leader = None;
            self.set_hard(HardState { term, vote: None, ..self.hard });
        }
    }
}

/// Reason why a replica can't recover from its persisted state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoverError {
    /// Log entries are missing.
    Gap {
        /// Index of the last entry before the gap.
        after: LogIndex,
    },
}

impl fmt::Display for RecoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { after } => write!(f, "log entries are missing after index {after}"),
        }
    }
}

impl std::error::Error for RecoverError {}
