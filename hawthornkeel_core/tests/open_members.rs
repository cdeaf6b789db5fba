//! Membership open to any control instance: machines that are replaced by others at new addresses.

mod simulation;

use std::time::Duration;

use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::VoterPolicy;

use crate::simulation::Cluster;
use crate::simulation::Variant;

/// Time without an answer after which a learner takes a voter's place.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);

fn cluster(seed: u64, size: usize) -> Cluster {
    let policy = VoterPolicy::Open { max_voters: 3, replace_after: REPLACE_AFTER };
    Cluster::with_admission(seed, size, 3, Variant::Right, policy)
}

fn is(cluster: &Cluster, voters: [&str; 3]) -> bool {
    cluster.voters() == voters
}

#[test]
fn further_instances_learn() {
    for seed in 0..20 {
        let mut cluster = cluster(seed, 5);
        assert!(cluster.run_until(5_000, |c| is(c, ["i0", "i1", "i2"])), "seed {seed}");
        cluster.run(3_000);
        assert_eq!(cluster.voters(), ["i0", "i1", "i2"], "seed {seed}");
        assert!(cluster.commits(0, 2_000), "seed {seed}");
        // What is committed reaches the learners too.
        let reached = |c: &Cluster| c.machines.iter().all(|m| m.applied == c.machines[0].applied);
        assert!(cluster.run_until(2_000, reached), "seed {seed}");
    }
}

#[test]
fn learner_takes_place() {
    for seed in 0..20 {
        let mut cluster = cluster(seed, 4);
        assert!(cluster.run_until(5_000, |c| is(c, ["i0", "i1", "i2"])), "seed {seed}");
        cluster.run(1_000);
        assert!(cluster.commits(0, 2_000), "seed {seed}");
        cluster.kill(1);
        assert!(cluster.run_until(10_000, |c| is(c, ["i0", "i2", "i3"])), "seed {seed}");
        // The group bears the loss of another now.
        cluster.kill(2);
        assert!(cluster.commits(100, 5_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn short_stop_changes_nothing() {
    let mut cluster = cluster(3, 4);
    assert!(cluster.run_until(5_000, |c| is(c, ["i0", "i1", "i2"])));
    cluster.run(1_000);
    let follower = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    cluster.kill(follower);
    cluster.run(700);
    cluster.start(follower);
    cluster.run(3_000);
    assert_eq!(cluster.voters(), ["i0", "i1", "i2"]);
}

#[test]
fn replaced_voter_learns() {
    for seed in 0..20 {
        let mut cluster = cluster(seed, 4);
        assert!(cluster.run_until(5_000, |c| is(c, ["i0", "i1", "i2"])), "seed {seed}");
        cluster.run(1_000);
        cluster.kill(1);
        assert!(cluster.run_until(10_000, |c| is(c, ["i0", "i2", "i3"])), "seed {seed}");
        cluster.start(1);
        assert!(cluster.commits(0, 3_000), "seed {seed}");
        let caught_up = |c: &Cluster| {
            let leader = c.leader().unwrap_or_default();
            c.machines[1].applied == c.machines[leader].applied
        };
        assert!(cluster.run_until(10_000, caught_up), "seed {seed}");
        assert_eq!(cluster.voters(), ["i0", "i2", "i3"], "seed {seed}");
    }
}

#[test]
fn empty_disks_form_nothing() {
    let mut cluster = cluster(7, 3);
    assert!(cluster.run_until(5_000, |c| c.leads().is_some()));
    cluster.set_forms(false);
    // Beyond what may be lost: a new group would hide that what was acknowledged is gone.
    (0..3).for_each(|i| cluster.wipe(i));
    (0..3).for_each(|i| cluster.start(i));
    cluster.run(5_000);
    let empty = |c: &Cluster, i: usize| {
        let replica = c.machines[i].replica.as_ref();
        replica.is_some_and(|r| r.status().role == Role::Empty)
    };
    assert!((0..3).all(|i| empty(&cluster, i)));
}
