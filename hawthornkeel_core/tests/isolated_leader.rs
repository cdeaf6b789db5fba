//! Members that are isolated or suspended for a long time serve no stale data and do not disrupt
//! the group when they return.

mod simulation;

use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Role;
use rstest::rstest;

use crate::simulation::Cluster;
use crate::simulation::waits::healthy_cluster;

const MINUTE_MS: u64 = 60_000;

/// Returns a machine other than `i`.
fn other(cluster: &Cluster, i: usize) -> usize {
    (i + 1) % cluster.machines.len()
}

#[rstest]
fn acknowledges_nothing(#[values(3, 5)] size: usize) {
    let mut cluster = healthy_cluster(1, size);
    let old = cluster.ready_leader().unwrap();
    cluster.machines[old].isolated = true;
    let before = cluster.checker.accepted.len();
    for command in 0..20 {
        cluster.propose(old, command);
        cluster.read(old);
        cluster.run(1);
    }
    cluster.run(2_000);
    assert_eq!(cluster.checker.accepted.len(), before);
    assert_ne!(cluster.status(old).role, Role::Leader);
    assert_eq!(cluster.checker.unknown.len(), 20, "some proposals got no outcome");
    cluster.propose(old, 99);
    cluster.run(1);
    assert!(cluster.checker.rejected.contains(&99));
    assert!(cluster.commits_within(100, 2_000));
    cluster.machines[old].isolated = false;
    assert!(cluster.recovers(3_000));
    assert_eq!(cluster.checker.fault, None);
}

#[rstest]
fn returns_without_disruption(#[values(true, false)] leader: bool) {
    let mut cluster = healthy_cluster(2, 3);
    let first = cluster.ready_leader().unwrap();
    let away = if leader { first } else { other(&cluster, first) };
    cluster.machines[away].isolated = true;
    cluster.run(MINUTE_MS);
    let current = cluster.ready_leader().unwrap();
    let term = cluster.status(current).term;
    assert!(cluster.status(away).term <= term, "the term increased while it was isolated");
    cluster.machines[away].isolated = false;
    cluster.run(MINUTE_MS);
    assert_eq!(cluster.ready_leader(), Some(current));
    assert_eq!(cluster.status(current).term, term);
    assert_eq!(cluster.status(away).leader, cluster.status(current).leader);
    assert_eq!(cluster.checker.fault, None);
}

#[rstest]
fn planned_stop_transfers_leadership(#[values(3, 5)] size: usize) {
    for seed in 0..50 {
        let mut cluster = healthy_cluster(seed, size);
        let old = cluster.ready_leader().unwrap();
        (0..20).for_each(|command| cluster.propose(old, command));
        cluster.run(0);
        cluster.handle(old, Input::TransferLeadership);
        cluster.propose(old, 99);
        // Much less than the election timeout of 250 ms.
        let transferred = cluster.run_until(60, |c| c.leader().is_some_and(|l| l != old));
        assert!(transferred, "seed {seed}: no other leader");
        assert_eq!(cluster.checker.accepted.len(), 20, "seed {seed}");
        assert!(cluster.checker.rejected.contains(&99) && cluster.checker.unknown.is_empty());
        assert!(cluster.run_until(500, |c| c.ready_leader().is_some()));
        assert_eq!(cluster.checker.fault, None);
    }
}

#[test]
fn suspended_leader_has_no_lease() {
    let mut cluster = healthy_cluster(3, 3);
    let old = cluster.ready_leader().unwrap();
    cluster.pause(old, 5_000_000);
    cluster.run(2_000);
    assert!(cluster.commits_within(1, 2_000));
    let answered = cluster.checker.answered;
    // The suspended leader handles these reads first when it resumes.
    (0..5).for_each(|_| cluster.read(old));
    cluster.run(2_900);
    assert_eq!(cluster.checker.answered, answered);
    assert!(cluster.recovers(3_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn lease_expires_before_election() {
    for seed in 0..50 {
        let mut cluster = healthy_cluster(seed, 3);
        let old = cluster.ready_leader().unwrap();
        cluster.machines[old].isolated = true;
        let elected = cluster.run_until(5_000, |c| c.leader().is_some_and(|l| l != old));
        assert!(elected, "seed {seed}: no other leader");
        assert_ne!(cluster.ready_leader(), Some(old));
        let replica = cluster.machines[old].replica.as_ref().unwrap();
        let now = cluster.clock(old);
        assert!(!replica.has_lease(now), "seed {seed}: lease is valid beside another leader");
        assert_eq!(cluster.checker.fault, None);
    }
}
