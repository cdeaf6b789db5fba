//! Rules of a leader, on one replica that is handed its messages: what it commits and when it may
//! answer.

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

/// Replica 1 of three, whose log holds an entry of term 2 that may not be committed.
struct Alone {
    replica: Replica,
    now: Instant,
}

impl Alone {
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

    /// Hands in an input; what is to be saved is synced at once.
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

    /// Hands in a message of replica 2 in the term that the replica is in.
    fn receive(&mut self, body: Body) -> Vec<Action> {
        let term = self.replica.status().term;
        self.receive_from(2, term, body)
    }

    /// Hands in a message.
    fn receive_from(&mut self, id: u64, term: Term, body: Body) -> Vec<Action> {
        let to = Some(ReplicaId(1));
        let message = Message { from: node(id), to, group: Some(GROUP), term, body };
        self.handle(Input::Message(message))
    }

    /// Makes it the leader of term 4, and returns what it does as its first.
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
    let mut alone = Alone::new();
    alone.elect();
    // A quorum has entry 2 of term 2, and yet another leader might replace it.
    alone.receive(Body::AppendReply(AppendReply::Stored(LogIndex(2))));
    assert_eq!(alone.replica.status().commit, LogIndex(0));
    alone.receive(Body::AppendReply(AppendReply::Stored(LogIndex(3))));
    assert_eq!(alone.replica.status().commit, LogIndex(3));
}

#[test]
fn lease_counts_from_sending() {
    let mut alone = Alone::new();
    let round = round(&alone.elect());
    let sent = alone.now;
    let settings = ReplicaSettings::default();
    // The answer was on its way for long.
    alone.now = sent + Duration::from_millis(400);
    alone.receive(Body::HeartbeatReply(HeartbeatReply { round }));
    let end = sent + (settings.election_timeout - settings.clock_drift);
    assert!(alone.replica.has_lease(alone.now));
    assert!(!alone.replica.has_lease(end));
}

#[test]
fn own_log_counts_once_synced() {
    let mut alone = Alone::new();
    alone.elect();
    alone.receive(Body::AppendReply(AppendReply::Stored(LogIndex(3))));
    let proposal =
        hawthornkeel_core::replica::Proposal { id: Default::default(), data: "x".into() };
    let actions = alone.replica.handle(alone.now, Input::Propose(vec![proposal]));
    alone.receive(Body::AppendReply(AppendReply::Stored(LogIndex(4))));
    assert_eq!(alone.replica.status().commit, LogIndex(3), "counted what is not on its disk");
    let Some(Action::Save { seq, .. }) = actions.first() else { panic!("{actions:?}") };
    alone.handle(Input::Synced { seq: *seq });
    assert_eq!(alone.replica.status().commit, LogIndex(4));
}

#[test]
fn heartbeat_withholds_vote() {
    let mut alone = Alone::new();
    let election = ReplicaSettings::default().election_timeout;
    alone.now = alone.now + election;
    alone.receive(Body::Heartbeat(Heartbeat { round: 1, commit: LogIndex(1) }));
    let heard = alone.now;
    let vote =
        VoteRequest { term: Term(4), last_index: LogIndex(9), last_term: Term(3), transfer: false };
    // The pre-vote may have been given before the heartbeat.
    alone.now = heard + (election - Duration::from_millis(1));
    alone.receive_from(3, Term(4), Body::Vote(vote));
    assert_eq!(alone.replica.status().term, Term(3), "voted while a lease may stand");
    alone.now = heard + election;
    alone.receive_from(3, Term(4), Body::Vote(vote));
    assert_eq!(alone.replica.status().term, Term(4));
}
