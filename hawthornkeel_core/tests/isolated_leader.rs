//! A member that was cut off or stopped for long: it serves nothing old and disturbs nobody.

mod simulation;

use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Role;
use rstest::rstest;

use crate::simulation::Cluster;
use crate::simulation::waits::calm;

const MINUTE_MS: u64 = 60_000;

/// Returns a machine other than `i`.
fn other(cluster: &Cluster, i: usize) -> usize {
    (i + 1) % cluster.machines.len()
}

#[rstest]
fn acknowledges_nothing(#[values(3, 5)] size: usize) {
    let mut cluster = calm(1, size);
    let old = cluster.leads().unwrap();
    cluster.machines[old].cut = true;
    let before = cluster.checker.accepted.len();
    for command in 0..20 {
        cluster.propose(old, command);
        cluster.read(old);
        cluster.run(1);
    }
    cluster.run(2_000);
    assert_eq!(cluster.checker.accepted.len(), before);
    assert_ne!(cluster.status(old).role, Role::Leader);
    assert_eq!(cluster.checker.lost.len(), 20, "proposers were left without an end");
    cluster.propose(old, 99);
    cluster.run(1);
    assert!(cluster.checker.refused.contains(&99));
    assert!(cluster.commits(100, 2_000));
    cluster.machines[old].cut = false;
    assert!(cluster.heals(3_000));
    assert_eq!(cluster.checker.fault, None);
}

#[rstest]
fn returns_quietly(#[values(true, false)] leader: bool) {
    let mut cluster = calm(2, 3);
    let first = cluster.leads().unwrap();
    let away = if leader { first } else { other(&cluster, first) };
    cluster.machines[away].cut = true;
    cluster.run(MINUTE_MS);
    let current = cluster.leads().unwrap();
    let term = cluster.status(current).term;
    assert!(cluster.status(away).term <= term, "the term rose while it was cut off");
    cluster.machines[away].cut = false;
    cluster.run(MINUTE_MS);
    assert_eq!(cluster.leads(), Some(current));
    assert_eq!(cluster.status(current).term, term);
    assert_eq!(cluster.status(away).leader, cluster.status(current).leader);
    assert_eq!(cluster.checker.fault, None);
}

#[rstest]
fn planned_stop_hands_over(#[values(3, 5)] size: usize) {
    for seed in 0..50 {
        let mut cluster = calm(seed, size);
        let old = cluster.leads().unwrap();
        (0..20).for_each(|command| cluster.propose(old, command));
        cluster.run(0);
        cluster.handle(old, Input::TransferLeadership);
        cluster.propose(old, 99);
        // Far less than an election time of 250 ms.
        let transferred = cluster.run_until(60, |c| c.leader().is_some_and(|l| l != old));
        assert!(transferred, "seed {seed}: no other leader");
        assert_eq!(cluster.checker.accepted.len(), 20, "seed {seed}");
        assert!(cluster.checker.refused.contains(&99) && cluster.checker.lost.is_empty());
        assert!(cluster.run_until(500, |c| c.leads().is_some()));
        assert_eq!(cluster.checker.fault, None);
    }
}

#[test]
fn frozen_leader_has_no_lease() {
    let mut cluster = calm(3, 3);
    let old = cluster.leads().unwrap();
    cluster.freeze(old, 5_000_000);
    cluster.run(2_000);
    assert!(cluster.commits(1, 2_000));
    let answered = cluster.checker.answered;
    // These reads wait at the frozen leader, which handles them first when it goes on.
    (0..5).for_each(|_| cluster.read(old));
    cluster.run(2_900);
    assert_eq!(cluster.checker.answered, answered);
    assert!(cluster.heals(3_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn lease_ends_before_another_leads() {
    for seed in 0..50 {
        let mut cluster = calm(seed, 3);
        let old = cluster.leads().unwrap();
        cluster.machines[old].cut = true;
        let elected = cluster.run_until(5_000, |c| c.leader().is_some_and(|l| l != old));
        assert!(elected, "seed {seed}: no other leader");
        assert_ne!(cluster.leads(), Some(old));
        let replica = cluster.machines[old].replica.as_ref().unwrap();
        let late = cluster.clock(old);
        assert!(!replica.has_lease(late), "seed {seed}: lease stands beside another leader");
        assert_eq!(cluster.checker.fault, None);
    }
}
