//! Commit and lease rules of a leader, tested on a single replica with synthetic messages.

use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Action;
use hawthornkeel_core::replica::Body;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::GroupId;
use hawthornkeel_core::replica::HardState;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Member;
use hawthornkeel_core::replica::MemberKind;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Replica;
use hawthornkeel_core::replica::ReplicaSettings;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::message::AppendReply;
use hawthornkeel_core::replica::message::Heartbeat;
use hawthornkeel_core::replica::message::HeartbeatReply;
use hawthornkeel_core::replica::message::VoteReply;
use hawthornkeel_core::replica::message::VoteRequest;
use hawthornkeel_core::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const GROUP: GroupId = GroupId(1);

fn node(id: u64) -> Node {
    Node { id: ReplicaId(id), name: InstanceName::new(&format!("i{id}")) }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry { index: LogIndex(index), term: Term(term), payload }
}

/// Replica 1 of three, whose log ends with an entry of term 2 that may not be committed.
struct Harness {
    replica: Replica,
    now: Instant,
}

impl Harness {
    fn new() -> Self {
        let member = |id| Member { node: node(id), kind: MemberKind::Voter };
        let members = Members((1..=3).map(member).collect());
        let stored = PersistedState {
            hard: HardState { group: Some(GROUP), term: Term(3), vote: None },
            snapshot: None,
            entries: vec![entry(1, 1, Payload::Members(members)), entry(2, 2, Payload::Noop)],
        };
        let now = Instant::from_millis(1_000);
        let rng = ChaCha8Rng::seed_from_u64(1);
        let settings = ReplicaSettings::default();
        let replica = Replica::recover(node(1), settings, rng, now, stored).unwrap();
        Self { replica, now }
    }

    /// Handles an input, and reports all saves as synced at once.
    fn handle(&mut self, input: Input) -> Vec<Action> {
        let mut actions = self.replica.handle(self.now, input);
        let seqs = actions.iter().filter_map(|action| match action {
            Action::Save { seq, .. } => Some(*seq),
            _ => None,
        });
        if let Some(seq) = seqs.max() {
            actions.extend(self.handle(Input::Synced { seq }));
        }
        actions
    }

    /// Handles a message of replica 2 in the current term.
    fn receive(&mut self, body: Body) -> Vec<Action> {
        let term = self.replica.status().term;
        self.receive_from(2, term, body)
    }

    /// Handles a message.
    fn receive_from(&mut self, id: u64, term: Term, body: Body) -> Vec<Action> {
        let to = Some(ReplicaId(1));
        let message = Message { from: node(id), to, group: Some(GROUP), term, body };
        self.handle(Input::Message(message))
    }

    /// Makes the replica the leader of term 4, and returns its first actions.
    fn elect(&mut self) -> Vec<Action> {
        self.now = self.replica.next_tick();
        self.handle(Input::Tick);
        let reply = VoteReply { term: Term(4), granted: true };
        self.receive(Body::PreVoteReply(reply));
        let actions = self.receive(Body::VoteReply(reply));
        assert_eq!(self.replica.status().role, Role::Leader);
        actions
    }
}

/// Returns the round of the first heartbeat sent.
fn round(actions: &[Action]) -> u64 {
    let rounds = actions.iter().filter_map(|action| match action {
        Action::Send { message, .. } => match &message.body {
            Body::Heartbeat(heartbeat) => Some(heartbeat.round),
            _ => None,
        },
        _ => None,
    });
    rounds.min().unwrap()
}

#[test]
fn older_entries_wait_for_own_term() {
    let mut harness = Harness::new();
    harness.elect();
    // A quorum has entry 2 of term 2, but another leader could still replace it.
    harness.receive(Body::AppendReply(AppendReply::Stored(LogIndex(2))));
    assert_eq!(harness.replica.status().commit, LogIndex(0));
    harness.receive(Body::AppendReply(AppendReply::Stored(LogIndex(3))));
    assert_eq!(harness.replica.status().commit, LogIndex(3));
}

// A lease alone doesn't tell what earlier leaders committed.
#[test]
fn current_with_own_term() {
    let mut harness = Harness::new();
    let round = round(&harness.elect());
    harness.receive(Body::HeartbeatReply(HeartbeatReply { round }));
    assert!(harness.replica.has_lease(harness.now));
    assert!(!harness.replica.is_current(harness.now));
    harness.receive(Body::AppendReply(AppendReply::Stored(LogIndex(3))));
    assert!(harness.replica.is_current(harness.now));
    let end = harness.now + ReplicaSettings::default().election_timeout;
    assert!(!harness.replica.is_current(end));
}

#[test]
fn lease_starts_at_sending() {
    let mut harness = Harness::new();
    let round = round(&harness.elect());
    let sent = harness.now;
    let settings = ReplicaSettings::default();
    // The reply arrives late.
    harness.now = sent + Duration::from_millis(400);
    harness.receive(Body::HeartbeatReply(HeartbeatReply { round }));
    let end = sent + (settings.election_timeout - settings.clock_drift);
    assert!(harness.replica.has_lease(harness.now));
    assert!(!harness.replica.has_lease(end));
}

#[test]
fn own_log_counts_once_synced() {
    let mut harness = Harness::new();
    harness.elect();
    harness.receive(Body::AppendReply(AppendReply::Stored(LogIndex(3))));
    let proposal =
        hawthornkeel_core::replica::Proposal { id: Default::default(), data: "x".into() };
    let actions = harness.replica.handle(harness.now, Input::Propose(vec![proposal]));
    harness.receive(Body::AppendReply(AppendReply::Stored(LogIndex(4))));
    assert_eq!(
        harness.replica.status().commit,
        LogIndex(3),
        "counted an entry that is not on its disk"
    );
    let Some(Action::Save { seq, .. }) = actions.first() else { panic!("{actions:?}") };
    harness.handle(Input::Synced { seq: *seq });
    assert_eq!(harness.replica.status().commit, LogIndex(4));
}

#[test]
fn heartbeat_withholds_vote() {
    let mut harness = Harness::new();
    let election = ReplicaSettings::default().election_timeout;
    harness.now = harness.now + election;
    harness.receive(Body::Heartbeat(Heartbeat { round: 1, commit: LogIndex(1) }));
    let heard = harness.now;
    let request =
        VoteRequest { term: Term(4), last_index: LogIndex(9), last_term: Term(3), transfer: false };
    // The pre-vote may have been granted before the heartbeat.
    harness.now = heard + (election - Duration::from_millis(1));
    harness.receive_from(3, Term(4), Body::Vote(request));
    assert_eq!(harness.replica.status().term, Term(3), "voted while a lease may be valid");
    harness.now = heard + election;
    harness.receive_from(3, Term(4), Body::Vote(request));
    assert_eq!(harness.replica.status().term, Term(4));
}
