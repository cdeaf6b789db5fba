//! CPU time and messages of the replicated log, with all replicas in one thread.
//!
//! Run with `cargo bench -p hawthornkeel_core --bench log_costs`. Disk and network latency is zero.

use std::collections::VecDeque;
use std::time::Instant as StdInstant;

use bytes::Bytes;
use hawthornkeel_core::ids::ReplicaId;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Action;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Proposal;
use hawthornkeel_core::replica::ProposalId;
use hawthornkeel_core::replica::Replica;
use hawthornkeel_core::replica::ReplicaSettings;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Size of a command in bytes, about that of a claim.
const COMMAND_BYTES: usize = 200;

/// Group of replicas without disk and network latency.
struct Group {
    replicas: Vec<Replica>,
    queue: VecDeque<(usize, Input)>,
    now: u64,
    applied: u64,
    messages: u64,
    bytes: u64,
}

impl Group {
    fn new(size: usize) -> Self {
        let names: Vec<_> = (0..size).map(|i| InstanceName::new(&format!("i{i}"))).collect();
        let replica = |i: usize| {
            let node = Node { id: ReplicaId(i as u64 + 1), name: names[i].clone() };
            let settings =
                ReplicaSettings { founders: names.clone(), ..ReplicaSettings::default() };
            Replica::new(node, settings, ChaCha8Rng::seed_from_u64(i as u64), Instant::ZERO)
        };
        let replicas = (0..size).map(replica).collect();
        let queue = VecDeque::new();
        Self { replicas, queue, now: 0, applied: 0, messages: 0, bytes: 0 }
    }

    /// Processes all queued inputs and those that result from them.
    fn drain(&mut self) {
        while let Some((i, input)) = self.queue.pop_front() {
            for action in self.replicas[i].handle(Instant::from_micros(self.now), input) {
                match action {
                    Action::Save { seq, .. } => {
                        self.queue.push_back((i, Input::Synced { seq }));
                    }
                    Action::Send { to, message } => {
                        self.messages += 1;
                        self.bytes += postcard::to_stdvec(&message).unwrap().len() as u64;
                        let j: usize = to.as_str()[1..].parse().unwrap();
                        self.queue.push_back((j, Input::Message(message)));
                    }
                    Action::Apply(applied) => self.applied += applied.len() as u64,
                    Action::TakeSnapshot => {
                        let index = self.replicas[i].status().commit;
                        let data = Bytes::from_static(&[7; 1024]);
                        self.queue.push_back((i, Input::Snapshot { index, data }));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Advances the time to the next tick of any replica.
    fn step(&mut self) {
        let due = self.replicas.iter().map(|r| r.next_tick().as_micros()).min().unwrap();
        self.now = self.now.max(due);
        (0..self.replicas.len()).for_each(|i| self.queue.push_back((i, Input::Tick)));
        self.drain();
    }

    /// Returns the leader, after running the group until there is one.
    fn leader(&mut self) -> usize {
        loop {
            if let Some(i) = self.replicas.iter().position(|r| r.status().role == Role::Leader) {
                return i;
            }
            self.step();
        }
    }
}

/// Commits `count` commands in batches, and prints the costs per command.
fn measure_commits(size: usize, batch: u64, count: u64) {
    let mut group = Group::new(size);
    let leader = group.leader();
    let data = Bytes::from(vec![1; COMMAND_BYTES]);
    let (applied, messages, bytes) = (group.applied, group.messages, group.bytes);
    let start = StdInstant::now();
    for first in (0..count).step_by(batch as usize) {
        let proposal = |id| Proposal { id: ProposalId(id), data: data.clone() };
        let proposals = (first..first + batch).map(proposal).collect();
        group.queue.push_back((leader, Input::Propose(proposals)));
        group.drain();
    }
    let time = start.elapsed();
    group.step();
    assert!(group.applied - applied >= count * size as u64);
    println!(
        "{size:>8} {batch:>6} {:>12.2} {:>10.2} {:>9.0}",
        time.as_secs_f64() * 1e6 / count as f64,
        (group.messages - messages) as f64 / count as f64,
        (group.bytes - bytes) as f64 / count as f64
    );
}

/// Runs an idle group, and prints the costs per second.
fn measure_idle(size: usize) {
    const SECONDS: u64 = 600;
    let mut group = Group::new(size);
    group.leader();
    let (messages, bytes, end) = (group.messages, group.bytes, group.now + SECONDS * 1_000_000);
    let start = StdInstant::now();
    while group.now < end {
        group.step();
    }
    let time = start.elapsed();
    let rate = |n: u64| n as f64 / SECONDS as f64;
    println!(
        "{size:>8} {:>10.1} {:>12.1} {:>10.0}",
        time.as_secs_f64() * 1e6 / SECONDS as f64,
        rate(group.messages - messages),
        rate(group.bytes - bytes)
    );
}

fn main() {
    println!("commands of {COMMAND_BYTES} B, all replicas and the codec in one thread");
    println!("replicas  batch   us/command   messages   bytes");
    for size in [3, 5] {
        for batch in [1, 16, 256] {
            measure_commits(size, batch, 256 * 200);
        }
    }
    println!("\nidle group, per second\nreplicas         us     messages      bytes");
    [3, 5, 7].into_iter().for_each(measure_idle);
}
