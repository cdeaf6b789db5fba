//! Disks that are full or hang for seconds, one after the other.
//!
//! `HAWTHORNKEEL_SEEDS=60` runs more seeds.

mod simulation;

use std::time::Duration;

use hawthornkeel_core::replica::VoterPolicy;
use rand::Rng;

use crate::simulation::Cluster;
use crate::simulation::Defect;
use crate::simulation::FaultRates;
use crate::simulation::disk::Block;

/// Number of seeds for each group.
const SEEDS: u64 = 4;
/// Share of lost and delayed messages where the network is lossy.
const LOSS: f64 = 0.03;
/// Number of blocked disks for each machine.
const ROUNDS: usize = 2;
/// Time without a message after which a learner replaces a voter, and a learner is removed.
const REPLACE_AFTER: Duration = Duration::from_millis(3_000);
/// Time in which a group commits again once all disks have room, in milliseconds.
const RECOVERY_MILLIS: u64 = 10_000;

/// Machines of a group and its policy for promoting learners.
#[derive(Clone, Copy, Debug)]
struct Group {
    size: usize,
    founders: usize,
    policy: VoterPolicy,
}

impl Group {
    fn founders(size: usize) -> Self {
        Self { size, founders: size, policy: VoterPolicy::Founders }
    }

    fn open(size: usize, max_voters: usize) -> Self {
        let policy = VoterPolicy::Open {
            max_voters,
            replace_after: REPLACE_AFTER,
            remove_after: REPLACE_AFTER,
        };
        Self { size, founders: max_voters, policy }
    }

    /// Starts the machines, and waits until they have committed an entry.
    fn start(self, seed: u64) -> Cluster {
        let Self { size, founders, policy } = self;
        let mut cluster = Cluster::with_voter_policy(seed, size, founders, Defect::None, policy);
        assert!(cluster.run_until(5_000, |c| c.ready_leader().is_some()), "seed {seed}");
        cluster
    }
}

/// Proposes commands to every machine for a time in milliseconds.
fn run_load(cluster: &mut Cluster, millis: u64, next_command: &mut u64) {
    let end = cluster.now + millis * 1_000;
    while cluster.now < end {
        for i in 0..cluster.machines.len() {
            cluster.propose(i, *next_command);
            *next_command += 1;
        }
        let pause = cluster.rng.random_range(2..40);
        cluster.run(pause);
    }
}

/// Returns whether all machines have applied what clients know.
fn is_current(cluster: &Cluster) -> bool {
    let known = cluster.checker.known;
    cluster.machines.iter().all(|m| m.applied >= known)
}

/// Blocks the disks one after the other, and checks that the group commits afterwards.
fn check_series(group: Group, block: Block, seed: u64) {
    let mut cluster = group.start(seed);
    if !seed.is_multiple_of(2) {
        cluster.fault_rates = FaultRates { loss: LOSS, delay: LOSS, ..FaultRates::default() };
    }
    let mut next_command = 0;
    let first = cluster.rng.random_range(0..group.size);
    for step in 0..group.size * ROUNDS {
        let i = (first + step) % group.size;
        let millis = cluster.rng.random_range(500..4_000);
        let until = cluster.now + millis * 1_000;
        cluster.machines[i].disk.block(block, until);
        run_load(&mut cluster, millis, &mut next_command);
        let gap = [0, 1, 20, 300, 1_000][cluster.rng.random_range(0..5)];
        run_load(&mut cluster, gap, &mut next_command);
    }
    let place = format!("{group:?}, {block:?}, seed {seed}");
    assert!(cluster.commits_within(next_command, RECOVERY_MILLIS), "no commit: {place}");
    assert!(cluster.run_until(RECOVERY_MILLIS, is_current), "machines lack entries: {place}");
    assert_eq!(cluster.checker.fault, None, "{place}");
}

fn seeds() -> u64 {
    let chosen = std::env::var("HAWTHORNKEEL_SEEDS").ok();
    chosen.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn check_groups(block: Block) {
    let groups = [
        Group::founders(3),
        Group::founders(5),
        Group::open(3, 3),
        Group::open(4, 3),
        Group::open(5, 3),
        Group::open(6, 3),
        Group::open(6, 5),
    ];
    for group in groups {
        (0..seeds()).for_each(|seed| check_series(group, block, seed));
    }
}

#[test]
fn full_disks_stop_nothing() {
    check_groups(Block::Full);
}

#[test]
fn hanging_disks_stop_nothing() {
    check_groups(Block::Hanging);
}
