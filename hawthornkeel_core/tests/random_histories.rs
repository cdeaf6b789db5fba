//! Random fault injection: no acknowledged command is lost and no read is stale.
//!
//! `HAWTHORNKEEL_SEEDS=20000` runs more seeds, `HAWTHORNKEEL_SEED=17` runs one.

mod simulation;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::VoterPolicy;
use rand::Rng;
use rstest::rstest;

use crate::simulation::Cluster;
use crate::simulation::Defect;
use crate::simulation::FaultRates;

const SEEDS: u64 = 2_000;
const THREADS: usize = 3;
/// Voters of a group whose other machines are learners that replace lost voters.
const OPEN_VOTERS: usize = 3;

/// Which machines of a group are voters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Group {
    /// All of them.
    Founders,
    /// [`OPEN_VOTERS`] of them, by turns.
    Open,
}

impl Group {
    /// Returns the number of machines, which depends on the seed.
    fn size(self, seed: u64) -> usize {
        match self {
            Self::Founders => 3 + (seed % 3) as usize,
            Self::Open => 4 + (seed % 3) as usize,
        }
    }

    /// Returns the number of voters in a group of `size` machines.
    fn voters(self, size: usize) -> usize {
        match self {
            Self::Founders => size,
            Self::Open => OPEN_VOTERS,
        }
    }

    /// Starts the machines. The silences after which members change are shorter than many faults.
    fn start(self, seed: u64, defect: Defect) -> Cluster {
        let size = self.size(seed);
        let policy = match self {
            Self::Founders => VoterPolicy::Founders,
            Self::Open => VoterPolicy::Open {
                max_voters: OPEN_VOTERS,
                replace_after: Duration::from_millis(500),
                remove_after: Duration::from_millis(1_500),
            },
        };
        Cluster::with_voter_policy(seed, size, self.voters(size), defect, policy)
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Injects one random fault.
fn inject_fault(cluster: &mut Cluster) {
    let i = cluster.rng.random_range(0..cluster.machines.len());
    match cluster.rng.random_range(0..12) {
        0 | 1 => cluster.kill(i),
        2 | 3 if cluster.tolerates_loss() => cluster.wipe(i),
        4 => {
            let time = cluster.rng.random_range(50_000..1_500_000);
            cluster.pause(i, time);
        }
        5 => cluster.machines[i].isolated = true,
        6 => {
            (0..cluster.machines.len()).for_each(|i| cluster.kill(i));
            (0..cluster.machines.len()).for_each(|i| cluster.start(i));
        }
        7 => {
            let leader = cluster.leader().unwrap_or(i);
            cluster.machines[leader].isolated = true;
        }
        8 => {
            let leader = cluster.leader().unwrap_or(i);
            cluster.handle(leader, Input::TransferLeadership);
        }
        // The link between the leader and another machine fails in one or both directions.
        _ => {
            let leader = cluster.leader().unwrap_or(0);
            cluster.blocked_links.insert((leader, i));
            if cluster.rng.random_bool(0.5) {
                cluster.blocked_links.insert((i, leader));
            }
        }
    }
}

/// Ends the faults of one machine and starts it if it is stopped.
fn repair_machine(cluster: &mut Cluster) {
    let i = cluster.rng.random_range(0..cluster.machines.len());
    cluster.machines[i].isolated = false;
    cluster.blocked_links.retain(|(from, to)| *from != i && *to != i);
    cluster.start(i);
}

/// Runs one seed and returns the cluster, whose checker has the result.
fn run_seed(group: Group, seed: u64, defect: Defect) -> Cluster {
    let mut cluster = group.start(seed, defect);
    let lossy = cluster.rng.random_bool(0.7);
    let share = if lossy { 0.05 } else { 0.0 };
    cluster.fault_rates =
        FaultRates { loss: share, duplication: share, delay: share, slow_sync: share };
    // Most groups bootstrap without faults, so that the runs reach the later phases.
    if !seed.is_multiple_of(4) {
        cluster.run(1_000);
    }
    let size = cluster.machines.len();
    let sync_us = if cluster.rng.random_bool(0.3) { 30_000 } else { 3_000 };
    cluster.machines.iter_mut().for_each(|m| m.max_sync_us = sync_us);
    for step in 0..400 {
        let pause = cluster.rng.random_range(1..40);
        cluster.run(pause);
        if cluster.rng.random_bool(0.06) {
            inject_fault(&mut cluster);
        }
        if cluster.rng.random_bool(0.2) {
            repair_machine(&mut cluster);
        }
        let any = cluster.rng.random_range(0..size);
        let likely = cluster.leader().unwrap_or(any);
        let to = if cluster.rng.random_bool(0.7) { likely } else { any };
        cluster.propose(to, step);
        cluster.read(any);
        cluster.read(likely);
    }
    check_convergence(group, &mut cluster);
    cluster
}

/// Ends all faults, and checks that the group makes progress and converges.
fn check_convergence(group: Group, cluster: &mut Cluster) {
    const FIRST_COMMAND: u64 = 1_000_000;
    let size = cluster.machines.len();
    cluster.fault_rates = FaultRates::default();
    cluster.blocked_links.clear();
    for i in 0..cluster.machines.len() {
        cluster.machines[i].isolated = false;
        cluster.start(i);
    }
    for attempt in 0..60 {
        cluster.run(500);
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader, FIRST_COMMAND + attempt);
        }
        let converged = cluster.checker.accepted.range(FIRST_COMMAND..).next().is_some()
            && cluster.machines.iter().all(|m| m.applied >= cluster.checker.known)
            && cluster.checker.has_full_membership(group.voters(size), size);
        if converged || cluster.checker.fault.is_some() {
            let applied = cluster.machines.iter().map(|m| m.applied).min().unwrap();
            cluster.checker.check_end(applied);
            return;
        }
    }
    let roles = cluster.machines.iter().map(|m| m.replica.as_ref().map(|r| r.status().clone()));
    let states: Vec<_> = roles.collect();
    cluster.checker.fault.get_or_insert(format!("no convergence after the faults: {states:?}"));
}

/// Runs seeds on several threads, and returns the violations found with their seeds, sorted.
fn search(group: Group, seeds: u64, defect: Defect) -> Vec<(u64, String)> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut faults = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds {
                return faults;
            }
            if let Some(fault) = run_seed(group, seed, defect).checker.fault {
                faults.push((seed, fault));
            }
        }
    };
    let mut faults: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    });
    faults.sort();
    faults
}

#[rstest]
fn random_faults_cause_no_violation(#[values(Group::Founders, Group::Open)] group: Group) {
    let faults = match number("HAWTHORNKEEL_SEED") {
        Some(seed) => {
            let checker = run_seed(group, seed, Defect::None).checker;
            println!("accepted {}, answered {}", checker.accepted.len(), checker.answered);
            Vec::from_iter(checker.fault.map(|f| (seed, f)))
        }
        None => search(group, number("HAWTHORNKEEL_SEEDS").unwrap_or(SEEDS), Defect::None),
    };
    assert!(faults.is_empty(), "{} seeds failed, the first: {:?}", faults.len(), faults[0]);
}

#[rstest]
fn histories_make_progress(#[values(Group::Founders, Group::Open)] group: Group) {
    let run = |seed| run_seed(group, seed, Defect::None).checker;
    let checkers: Vec<_> = (0..20).map(run).collect();
    let accepted: usize = checkers.iter().map(|c| c.accepted.len()).sum();
    let answered: u64 = checkers.iter().map(|c| c.answered).sum();
    println!("accepted {accepted}, answered {answered} over 20 seeds");
    assert!(accepted > 20 * 100 && answered > 20 * 100, "accepted {accepted}, read {answered}");
}

/// Asserts that the checker detects a defect by a violation whose text contains `kind`.
fn assert_caught(defect: Defect, kind: &str) {
    let faults = search(Group::Founders, 300, defect);
    let caught = faults.iter().find(|(_, f)| f.contains(kind));
    println!("{defect:?}: {} of 300 seeds, such as {caught:?}", faults.len());
    assert!(caught.is_some(), "{defect:?} is not detected: {faults:?}");
}

#[test]
fn reads_without_lease_are_caught() {
    assert_caught(Defect::NoLease, "stale read");
}

#[test]
fn early_sync_is_caught() {
    assert_caught(Defect::EarlySync, "where others have");
}

#[test]
fn old_identity_is_caught() {
    assert_caught(Defect::OldIdentity, "although its disk is lost");
}
