//! Histories under random faults: nothing acknowledged is lost and no read is stale.
//!
//! `HAWTHORNKEEL_SEEDS=20000` runs more seeds, `HAWTHORNKEEL_SEED=17` runs one.

mod simulation;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hawthornkeel_core::replica::Input;
use rand::Rng;

use crate::simulation::Cluster;
use crate::simulation::Variant;
use crate::simulation::Weather;

const SEEDS: u64 = 2_000;
const THREADS: usize = 3;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// One random fault.
fn disturb(cluster: &mut Cluster) {
    let i = cluster.rng.random_range(0..cluster.machines.len());
    match cluster.rng.random_range(0..12) {
        0 | 1 => cluster.kill(i),
        2 | 3 if cluster.bears_loss() => cluster.wipe(i),
        4 => {
            let time = cluster.rng.random_range(50_000..1_500_000);
            cluster.freeze(i, time);
        }
        5 => cluster.machines[i].cut = true,
        6 => {
            (0..cluster.machines.len()).for_each(|i| cluster.kill(i));
            (0..cluster.machines.len()).for_each(|i| cluster.start(i));
        }
        7 => {
            let leader = cluster.leader().unwrap_or(i);
            cluster.machines[leader].cut = true;
        }
        8 => {
            let leader = cluster.leader().unwrap_or(i);
            cluster.handle(leader, Input::TransferLeadership);
        }
        // The leader and another lose sight of each other, or only one of them does.
        _ => {
            let leader = cluster.leader().unwrap_or(0);
            cluster.links.insert((leader, i));
            if cluster.rng.random_bool(0.5) {
                cluster.links.insert((i, leader));
            }
        }
    }
}

/// Ends what a fault began at one machine.
fn mend(cluster: &mut Cluster) {
    let i = cluster.rng.random_range(0..cluster.machines.len());
    cluster.machines[i].cut = false;
    cluster.links.retain(|(from, to)| *from != i && *to != i);
    cluster.start(i);
}

/// Runs one seed, and returns the cluster with what was found.
fn run(seed: u64, variant: Variant) -> Cluster {
    let mut cluster = Cluster::new(seed, 3 + (seed % 3) as usize, variant);
    let bad = cluster.rng.random_bool(0.7);
    let share = if bad { 0.05 } else { 0.0 };
    cluster.weather = Weather { loss: share, doubling: share, late: share, slow_sync: share };
    // Most groups form in peace, or little else would be tried.
    if !seed.is_multiple_of(4) {
        cluster.run(1_000);
    }
    let size = cluster.machines.len();
    let sync_us = if cluster.rng.random_bool(0.3) { 30_000 } else { 3_000 };
    cluster.machines.iter_mut().for_each(|m| m.sync_us = sync_us);
    for step in 0..400 {
        let pause = cluster.rng.random_range(1..40);
        cluster.run(pause);
        if cluster.rng.random_bool(0.06) {
            disturb(&mut cluster);
        }
        if cluster.rng.random_bool(0.2) {
            mend(&mut cluster);
        }
        let any = cluster.rng.random_range(0..size);
        let likely = cluster.leader().unwrap_or(any);
        let to = if cluster.rng.random_bool(0.7) { likely } else { any };
        cluster.propose(to, step);
        cluster.read(any);
        cluster.read(likely);
    }
    settle(&mut cluster);
    cluster
}

/// Ends all faults, and checks that the group goes on and agrees.
fn settle(cluster: &mut Cluster) {
    const LAST: u64 = 1_000_000;
    cluster.weather = Weather::default();
    cluster.links.clear();
    for i in 0..cluster.machines.len() {
        cluster.machines[i].cut = false;
        cluster.start(i);
    }
    for attempt in 0..60 {
        cluster.run(500);
        if let Some(leader) = cluster.leader() {
            cluster.propose(leader, LAST + attempt);
        }
        let agreed = cluster.checker.accepted.range(LAST..).next().is_some()
            && cluster.machines.iter().all(|m| m.applied >= cluster.checker.known)
            && cluster.checker.is_whole(cluster.machines.len());
        if agreed || cluster.checker.fault.is_some() {
            let applied = cluster.machines.iter().map(|m| m.applied).min().unwrap();
            cluster.checker.finish(applied);
            return;
        }
    }
    let roles = cluster.machines.iter().map(|m| m.replica.as_ref().map(|r| r.status().clone()));
    let states: Vec<_> = roles.collect();
    cluster.checker.fault.get_or_insert(format!("no agreement after the faults: {states:?}"));
}

/// Runs seeds on several threads, and returns the faults found with their seeds, in order.
fn search(seeds: u64, variant: Variant) -> Vec<(u64, String)> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut faults = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds {
                return faults;
            }
            if let Some(fault) = run(seed, variant).checker.fault {
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

#[test]
fn no_seed_finds_a_fault() {
    let faults = match number("HAWTHORNKEEL_SEED") {
        Some(seed) => {
            let checker = run(seed, Variant::Right).checker;
            println!("accepted {}, answered {}", checker.accepted.len(), checker.answered);
            Vec::from_iter(checker.fault.map(|f| (seed, f)))
        }
        None => search(number("HAWTHORNKEEL_SEEDS").unwrap_or(SEEDS), Variant::Right),
    };
    assert!(faults.is_empty(), "{} seeds failed, the first: {:?}", faults.len(), faults[0]);
}

#[test]
fn histories_do_work() {
    let checkers: Vec<_> = (0..20).map(|seed| run(seed, Variant::Right).checker).collect();
    let accepted: usize = checkers.iter().map(|c| c.accepted.len()).sum();
    let answered: u64 = checkers.iter().map(|c| c.answered).sum();
    println!("accepted {accepted}, answered {answered} over 20 seeds");
    assert!(accepted > 20 * 100 && answered > 20 * 100, "accepted {accepted}, read {answered}");
}

/// Asserts that a variant is caught by a fault of the kind that it leads to.
fn assert_caught(variant: Variant, kind: &str) {
    let faults = search(300, variant);
    let caught = faults.iter().find(|(_, f)| f.contains(kind));
    println!("{variant:?}: {} of 300 seeds, such as {caught:?}", faults.len());
    assert!(caught.is_some(), "{variant:?} is not caught: {faults:?}");
}

#[test]
fn reads_without_lease_are_caught() {
    assert_caught(Variant::NoLease, "stale read");
}

#[test]
fn early_sync_is_caught() {
    assert_caught(Variant::EarlySync, "where others have");
}

#[test]
fn old_identity_is_caught() {
    assert_caught(Variant::OldIdentity, "although its disk is lost");
}
