//! Deterministic simulation of replicas on a virtual clock, with network, disk and process faults.

#![allow(dead_code, clippy::indexing_slicing, clippy::unwrap_used)]

mod actions;
pub mod checker;
pub mod disk;
pub mod waits;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use bytes::Bytes;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Proposal;
use hawthornkeel_core::replica::ProposalId;
use hawthornkeel_core::replica::ReadId;
use hawthornkeel_core::replica::Replica;
use hawthornkeel_core::replica::ReplicaSettings;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::SaveSeq;
use hawthornkeel_core::replica::VoterPolicy;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::checker::Checker;
use self::disk::Disk;

/// Deliberate bugs in the code around the replica, which the checker must detect.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Defect {
    #[default]
    None,
    /// A leader answers reads without checking its lease.
    NoLease,
    /// A save is reported as synced when it is issued.
    EarlySync,
    /// A replica that lost its disk keeps its identifier.
    OldIdentity,
}

/// Probabilities of network and disk faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub loss: f64,
    pub duplication: f64,
    /// Share of messages that are delayed by up to 300 ms and thus reordered.
    pub delay: f64,
    /// Share of syncs that take up to 300 ms.
    pub slow_sync: f64,
}

#[derive(Debug)]
enum Event {
    Deliver(usize, Message),
    Written(usize, u64, SaveSeq),
    Synced(usize, u64, SaveSeq),
    Snapshot(usize, u64, LogIndex),
    Wake(usize, u64),
    Propose(usize, u64),
    Read(usize, ReadId),
}

/// Simulated machine with a disk, a clock and, while its process runs, a replica.
pub struct Machine {
    pub name: InstanceName,
    pub disk: Disk,
    pub replica: Option<Replica>,
    /// Last entry applied to the replicated state.
    pub applied: LogIndex,
    /// Whether the machine is isolated from the network.
    pub isolated: bool,
    /// Time until which the process is suspended, in microseconds.
    pub paused_until: u64,
    /// Maximum duration of a sync, in microseconds.
    pub max_sync_us: u64,
    /// Number of messages with entries or snapshot chunks sent to it.
    pub received: u64,
    /// Rate of its clock relative to the virtual time.
    rate: f64,
    /// Number of the current run of the process; events of earlier runs are dropped.
    run: u64,
    /// Time of the next scheduled tick, on its clock.
    wake: Option<Instant>,
    /// Pending reads, with the last entry that was visible to clients when they were sent.
    reads: BTreeMap<ReadId, LogIndex>,
}

/// Simulated machines on a virtual clock.
pub struct Cluster {
    pub machines: Vec<Machine>,
    pub checker: Checker,
    pub fault_rates: FaultRates,
    /// Links, from one machine to another, that drop all messages.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub rng: ChaCha8Rng,
    /// Virtual time in microseconds.
    pub now: u64,
    defect: Defect,
    settings: ReplicaSettings,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    sequence: u64,
}

/// Returns settings with short timeouts and small limits, to exercise snapshots and flow control.
pub fn settings(names: &[InstanceName]) -> ReplicaSettings {
    use std::time::Duration;
    ReplicaSettings {
        founders: names.to_vec(),
        election_timeout: Duration::from_millis(250),
        heartbeat_interval: Duration::from_millis(40),
        clock_drift: Duration::from_millis(25),
        resend_timeout: Duration::from_millis(100),
        hello_interval: Duration::from_millis(50),
        read_timeout: Duration::from_millis(400),
        snapshot_entries: 20,
        retain_entries: 5,
        catchup_entries: 4,
        append_bytes: 200,
        inflight_messages: 4,
        inflight_bytes: 600,
        pending_bytes: 20_000,
        chunk_bytes: 64,
        ..ReplicaSettings::default()
    }
}

/// Returns the number of a command.
pub fn decode(data: &[u8]) -> u64 {
    u64::from_le_bytes(data[..8].try_into().unwrap())
}

impl Cluster {
    pub fn new(seed: u64, size: usize, defect: Defect) -> Self {
        Self::with_founders(seed, size, size, defect)
    }

    /// Starts `size` machines. The first `founders` of them bootstrap the group.
    pub fn with_founders(seed: u64, size: usize, founders: usize, defect: Defect) -> Self {
        Self::with_voter_policy(seed, size, founders, defect, VoterPolicy::Founders)
    }

    /// Like [`Cluster::with_founders`], with the given voter policy.
    pub fn with_voter_policy(
        seed: u64,
        size: usize,
        founders: usize,
        defect: Defect,
        voter_policy: VoterPolicy,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<_> = (0..size).map(|i| InstanceName::new(&format!("i{i}"))).collect();
        let machines = names.iter().map(|name| Machine {
            name: name.clone(),
            disk: Disk::empty(rng.random::<u64>()),
            replica: None,
            applied: LogIndex(0),
            isolated: false,
            paused_until: 0,
            max_sync_us: 3_000,
            received: 0,
            // Clock rates differ by less than the drift that the lease allows for.
            rate: rng.random_range(0.97..1.03),
            run: 0,
            wake: None,
            reads: BTreeMap::new(),
        });
        let mut cluster = Self {
            machines: machines.collect(),
            checker: Checker::default(),
            fault_rates: FaultRates::default(),
            blocked_links: BTreeSet::new(),
            now: 1_000_000,
            defect,
            settings: ReplicaSettings { voter_policy, ..settings(&names[..founders]) },
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            rng,
        };
        (0..size).for_each(|i| cluster.start(i));
        cluster
    }

    /// Sets whether replicas that are started from now on may bootstrap a group.
    pub fn set_can_bootstrap(&mut self, allowed: bool) {
        self.settings.can_bootstrap = allowed;
    }

    /// Returns the names of the voters according to the leader, sorted.
    pub fn voters(&self) -> Vec<String> {
        let leader = self.leader().and_then(|l| self.machines[l].replica.as_ref());
        let members = leader.map(|l| l.status().members.clone()).unwrap_or_default();
        let mut names: Vec<_> = members.voters().map(|n| n.name.to_string()).collect();
        names.sort();
        names
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Returns the current time on the clock of a machine.
    pub fn clock(&self, i: usize) -> Instant {
        Instant::from_micros((self.now as f64 * self.machines[i].rate) as u64)
    }

    /// Starts the process of a machine from its disk, unless it is running.
    pub fn start(&mut self, i: usize) {
        if self.machines[i].replica.is_some() {
            return;
        }
        let now = self.clock(i);
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let settings = self.settings.clone();
        let machine = &mut self.machines[i];
        let node = Node { id: machine.disk.id, name: machine.name.clone() };
        let stored = machine.disk.stored();
        machine.applied = LogIndex(0);
        machine.replica = Some(Replica::recover(node, settings, rng, now, stored).unwrap());
        self.handle(i, Input::Tick);
    }

    /// Kills the process of a machine. Some unsynced writes may reach the disk.
    pub fn kill(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        machine.replica = None;
        machine.run += 1;
        machine.wake = None;
        machine.reads.clear();
        machine.disk.crash(&mut self.rng);
    }

    /// Kills the process of a machine and replaces its disk with an empty one.
    pub fn wipe(&mut self, i: usize) {
        self.kill(i);
        let old = self.machines[i].disk.id;
        self.checker.record_disk_loss(old);
        let id = if self.defect == Defect::OldIdentity { old.0 } else { self.rng.random() };
        self.machines[i].disk = Disk::empty(id);
    }

    /// Suspends the process of a machine for a time in microseconds. Its events are delayed.
    pub fn pause(&mut self, i: usize, micros: u64) {
        self.machines[i].paused_until = self.now + micros;
    }

    /// Proposes a command to a machine.
    pub fn propose(&mut self, i: usize, command: u64) {
        self.schedule(0, Event::Propose(i, command));
    }

    /// Sends a read to a machine. The result must include all entries visible to clients now.
    pub fn read(&mut self, i: usize) {
        let id = ReadId(self.rng.random());
        let known = self.checker.known;
        self.machines[i].reads.insert(id, known);
        self.schedule(0, Event::Read(i, id));
    }

    /// Returns the running machine that is the leader of the highest term, by its own status.
    pub fn leader(&self) -> Option<usize> {
        let lead = |m: &Machine| {
            let status = m.replica.as_ref()?.status();
            (status.role == Role::Leader).then_some(status.term)
        };
        (0..self.machines.len())
            .filter(|i| lead(&self.machines[*i]).is_some())
            .max_by_key(|i| lead(&self.machines[*i]))
    }

    /// Runs the simulation for a time in milliseconds.
    pub fn run(&mut self, millis: u64) {
        self.run_until(millis, |_| false);
    }

    /// Runs until `done` or for a time in milliseconds, and returns whether `done` holds.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + millis * 1000;
        while !done(self) {
            let Some(&Reverse((at, key))) = self.queue.peek() else { break };
            if at > end || self.checker.fault.is_some() {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&key).unwrap();
            self.process(event);
        }
        if done(self) {
            return true;
        }
        self.now = end;
        false
    }

    fn process(&mut self, event: Event) {
        let (Event::Deliver(i, _)
        | Event::Written(i, _, _)
        | Event::Synced(i, _, _)
        | Event::Snapshot(i, _, _)
        | Event::Wake(i, _)
        | Event::Propose(i, _)
        | Event::Read(i, _)) = &event;
        let i = *i;
        let paused_until = self.machines[i].paused_until;
        if paused_until > self.now {
            let jitter = self.rng.random_range(0..50);
            self.schedule(paused_until - self.now + jitter, event);
            return;
        }
        let run = self.machines[i].run;
        match event {
            Event::Deliver(_, _) if self.machines[i].isolated => {}
            Event::Deliver(_, message) => self.handle(i, Input::Message(message)),
            Event::Written(_, of, seq) if of == run => self.machines[i].disk.sync(seq),
            Event::Synced(_, of, seq) if of == run => self.handle(i, Input::Synced { seq }),
            Event::Snapshot(_, of, index) if of == run => {
                let data = Bytes::from(vec![index.0 as u8; 150]);
                self.handle(i, Input::Snapshot { index, data });
            }
            Event::Wake(_, of) if of == run => {
                self.machines[i].wake = None;
                self.handle(i, Input::Tick);
            }
            Event::Propose(_, command) => {
                let data = Bytes::copy_from_slice(&command.to_le_bytes());
                let proposal = Proposal { id: ProposalId(command), data };
                self.handle(i, Input::Propose(vec![proposal]));
            }
            Event::Read(_, id) => self.serve_read(i, id),
            _ => {}
        }
    }

    fn serve_read(&mut self, i: usize, id: ReadId) {
        let replica = self.machines[i].replica.as_ref();
        let leads = replica.is_some_and(|r| r.status().role == Role::Leader);
        if leads && self.defect == Defect::NoLease {
            self.complete_read(i, id);
        } else {
            self.handle(i, Input::Read(id));
        }
    }

    fn complete_read(&mut self, i: usize, id: ReadId) {
        let machine = &mut self.machines[i];
        if let Some(known) = machine.reads.remove(&id) {
            self.checker.record_read(known, machine.applied);
        }
    }

    /// Passes an input to a running replica and performs its actions.
    pub fn handle(&mut self, i: usize, input: Input) {
        let now = self.clock(i);
        let Some(replica) = &mut self.machines[i].replica else { return };
        let actions = replica.handle(now, input);
        let deadline = replica.next_tick();
        for action in actions {
            self.perform(i, action);
        }
        let machine = &mut self.machines[i];
        if machine.replica.is_some() && machine.wake.is_none_or(|w| w > deadline) {
            machine.wake = Some(deadline);
            let (run, rate) = (machine.run, machine.rate);
            let delay = (deadline.since(now).as_micros() as f64 / rate) as u64 + 1;
            self.schedule(delay, Event::Wake(i, run));
        }
    }
}
