//! Disk losses: no acknowledged entry is lost, and a replica with an empty disk is not counted
//! before it is added again.

mod simulation;

use hawthornkeel_core::replica::Role;

use crate::simulation::Cluster;
use crate::simulation::Defect;
use crate::simulation::waits::healthy_cluster;

/// Replaces the disk of a machine with an empty one and restarts the machine.
fn replace_disk(cluster: &mut Cluster, i: usize) {
    cluster.wipe(i);
    cluster.run(100);
    cluster.start(i);
}

#[test]
fn second_loss_after_repair() {
    for seed in 0..100 {
        let mut cluster = healthy_cluster(seed, 3);
        for round in 0..3 {
            assert!(cluster.commits_within(round * 100, 3_000), "seed {seed}");
            replace_disk(&mut cluster, round as usize);
            // The next disk is lost immediately after the repair is complete.
            assert!(
                cluster.run_until(10_000, |c| c.checker.has_full_membership(3, 3)),
                "seed {seed}"
            );
        }
        assert!(cluster.recovers(10_000), "seed {seed}");
        let applied = cluster.machines.iter().map(|m| m.applied).min().unwrap();
        cluster.checker.check_end(applied);
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn new_identity_waits_for_promotion() {
    let mut cluster = healthy_cluster(1, 3);
    let leader = cluster.ready_leader().unwrap();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.run(500);
    cluster.machines[other].isolated = true;
    replace_disk(&mut cluster, lost);
    cluster.run(100);
    // One of the old members and the new replica are not a quorum.
    let before = cluster.checker.accepted.len();
    for command in 0..20 {
        cluster.propose(leader, command);
        cluster.run(50);
    }
    assert_eq!(cluster.checker.accepted.len(), before);
    cluster.machines[other].isolated = false;
    assert!(cluster.recovers(10_000));
    assert!(cluster.commits_within(100, 2_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn lost_majority_forms_no_group() {
    let mut cluster = healthy_cluster(2, 3);
    cluster.run(1_000);
    let applied = cluster.machines[2].applied;
    // With two of three disks lost, the group is lost: it must stop and not bootstrap again.
    replace_disk(&mut cluster, 0);
    replace_disk(&mut cluster, 1);
    cluster.run(20_000);
    assert_eq!(cluster.status(0).role, Role::Empty);
    assert_eq!(cluster.status(1).role, Role::Empty);
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.machines[2].applied, applied);
}

#[test]
fn group_needs_all_founders() {
    let mut cluster = Cluster::new(3, 3, Defect::None);
    cluster.machines[2].isolated = true;
    cluster.run(10_000);
    assert!((0..3).all(|i| cluster.status(i).role == Role::Empty));
    cluster.machines[2].isolated = false;
    assert!(cluster.run_until(2_000, |c| c.ready_leader().is_some()));
}

#[test]
fn coordinator_lost_during_bootstrap() {
    for seed in 0..100 {
        let mut cluster = Cluster::new(seed, 3, Defect::None);
        // The founder that creates the group loses its disk immediately after that.
        let formed = |c: &Cluster| c.machines[0].disk.stored().hard.group.is_some();
        assert!(cluster.run_until(5_000, formed), "seed {seed}");
        // Its announcement reaches some founders only after its new replica has contacted them.
        cluster.fault_rates.delay = 0.7;
        cluster.run(1);
        cluster.wipe(0);
        cluster.start(0);
        cluster.run(300);
        cluster.fault_rates.delay = 0.0;
        assert!(cluster.recovers(20_000), "seed {seed}: {:?}", cluster.status(0));
        assert!(cluster.commits_within(1, 2_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn restart_gives_no_early_vote() {
    for seed in 0..100 {
        let mut cluster = healthy_cluster(seed, 3);
        let leader = cluster.ready_leader().unwrap();
        let (cut_off, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // One follower can't reach the leader and starts pre-votes all the time. The other one
        // restarts and so forgets its contact with the leader.
        cluster.blocked_links.extend([(leader, cut_off), (cut_off, leader)]);
        cluster.run(1_000);
        assert_eq!(cluster.ready_leader(), Some(leader), "seed {seed}");
        for _ in 0..10 {
            cluster.kill(other);
            cluster.start(other);
            cluster.run(70);
        }
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
        cluster.blocked_links.clear();
        assert!(cluster.commits_within(1, 5_000), "seed {seed}");
    }
}
