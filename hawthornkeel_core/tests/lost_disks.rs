//! Lost disks: nothing acknowledged goes with them, and what comes back does not count.

mod simulation;

use hawthornkeel_core::replica::Role;

use crate::simulation::Cluster;
use crate::simulation::Variant;
use crate::simulation::waits::calm;

/// Loses the disk of a machine and starts it again.
fn replace(cluster: &mut Cluster, i: usize) {
    cluster.wipe(i);
    cluster.run(100);
    cluster.start(i);
}

#[test]
fn second_loss_after_repair() {
    for seed in 0..100 {
        let mut cluster = calm(seed, 3);
        for round in 0..3 {
            assert!(cluster.commits(round * 100, 3_000), "seed {seed}");
            replace(&mut cluster, round as usize);
            // The next disk is lost at the very moment at which the repair is complete.
            assert!(cluster.run_until(10_000, |c| c.checker.is_whole(3)), "seed {seed}");
        }
        assert!(cluster.heals(10_000), "seed {seed}");
        let applied = cluster.machines.iter().map(|m| m.applied).min().unwrap();
        cluster.checker.finish(applied);
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn new_identity_waits_for_promotion() {
    let mut cluster = calm(1, 3);
    let leader = cluster.leads().unwrap();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.run(500);
    cluster.machines[other].cut = true;
    replace(&mut cluster, lost);
    cluster.run(100);
    // One old member and the new one are no quorum.
    let before = cluster.checker.accepted.len();
    for command in 0..20 {
        cluster.propose(leader, command);
        cluster.run(50);
    }
    assert_eq!(cluster.checker.accepted.len(), before);
    cluster.machines[other].cut = false;
    assert!(cluster.heals(10_000));
    assert!(cluster.commits(100, 2_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn founders_without_disks_form_nothing() {
    let mut cluster = calm(2, 3);
    cluster.run(1_000);
    let applied = cluster.machines[2].applied;
    // Two of three are lost, so the group is: it must stop rather than start anew.
    replace(&mut cluster, 0);
    replace(&mut cluster, 1);
    cluster.run(20_000);
    assert_eq!(cluster.status(0).role, Role::Empty);
    assert_eq!(cluster.status(1).role, Role::Empty);
    assert_eq!(cluster.leader(), None);
    assert_eq!(cluster.machines[2].applied, applied);
}

#[test]
fn group_needs_all_founders() {
    let mut cluster = Cluster::new(3, 3, Variant::Right);
    cluster.machines[2].cut = true;
    cluster.run(10_000);
    assert!((0..3).all(|i| cluster.status(i).role == Role::Empty));
    cluster.machines[2].cut = false;
    assert!(cluster.run_until(2_000, |c| c.leads().is_some()));
}

#[test]
fn founder_lost_while_forming() {
    for seed in 0..100 {
        let mut cluster = Cluster::new(seed, 3, Variant::Right);
        // The one that forms the group loses its disk just after it did.
        let formed = |c: &Cluster| c.machines[0].disk.stored().hard.group.is_some();
        assert!(cluster.run_until(5_000, formed), "seed {seed}");
        // What it announced reaches some after its successor has asked them.
        cluster.weather.late = 0.7;
        cluster.run(1);
        cluster.wipe(0);
        cluster.start(0);
        cluster.run(300);
        cluster.weather.late = 0.0;
        assert!(cluster.heals(20_000), "seed {seed}: {:?}", cluster.status(0));
        assert!(cluster.commits(1, 2_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn restart_gives_no_early_vote() {
    for seed in 0..100 {
        let mut cluster = calm(seed, 3);
        let leader = cluster.leads().unwrap();
        let (blind, other) = ((leader + 1) % 3, (leader + 2) % 3);
        // One sees the leader no more and stands all the time; the other forgets whom it heard.
        cluster.links.extend([(leader, blind), (blind, leader)]);
        cluster.run(1_000);
        assert_eq!(cluster.leads(), Some(leader), "seed {seed}");
        for _ in 0..10 {
            cluster.kill(other);
            cluster.start(other);
            cluster.run(70);
        }
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
        cluster.links.clear();
        assert!(cluster.commits(1, 5_000), "seed {seed}");
    }
}
