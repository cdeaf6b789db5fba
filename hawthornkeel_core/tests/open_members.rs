//! Membership open to any control instance, for machines that are replaced by new ones at other
//! addresses.

mod simulation;

use std::ops::Range;
use std::time::Duration;

use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::VoterPolicy;

use crate::simulation::Cluster;
use crate::simulation::Defect;

/// Time without a message from a voter after which a learner replaces it.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);
/// Time without a message from a learner after which it is removed.
const REMOVE_AFTER: Duration = Duration::from_millis(6_000);

fn cluster(seed: u64, size: usize) -> Cluster {
    let policy = VoterPolicy::Open {
        max_voters: 3,
        replace_after: REPLACE_AFTER,
        remove_after: REMOVE_AFTER,
    };
    Cluster::with_voter_policy(seed, size, 3, Defect::None, policy)
}

fn has_voters(cluster: &Cluster, voters: [&str; 3]) -> bool {
    cluster.voters() == voters
}

/// Returns `size` machines, the first three of which vote, after they have settled.
fn settled_cluster(seed: u64, size: usize) -> Cluster {
    let mut cluster = cluster(seed, size);
    assert!(cluster.run_until(5_000, |c| has_voters(c, ["i0", "i1", "i2"])), "seed {seed}");
    cluster.run(1_000);
    cluster
}

/// Returns whether the first of the two changes of a replacement has been made, but not the second.
fn is_replacing(cluster: &Cluster) -> bool {
    ![0, 3].contains(&cluster.voters().len())
}

/// Isolates leaders for a while until one of `machines` leads; returns whether one does.
fn elect_among(cluster: &mut Cluster, machines: Range<usize>) -> bool {
    for _ in 0..20 {
        cluster.run_until(5_000, |c| c.ready_leader().is_some());
        let Some(leader) = cluster.leader() else { continue };
        if machines.contains(&leader) {
            return true;
        }
        cluster.machines[leader].isolated = true;
        cluster.run(3_000);
        cluster.machines[leader].isolated = false;
    }
    false
}

#[test]
fn further_instances_stay_learners() {
    for seed in 0..20 {
        let mut cluster = cluster(seed, 5);
        assert!(cluster.run_until(5_000, |c| has_voters(c, ["i0", "i1", "i2"])), "seed {seed}");
        cluster.run(3_000);
        assert_eq!(cluster.voters(), ["i0", "i1", "i2"], "seed {seed}");
        assert!(cluster.commits_within(0, 2_000), "seed {seed}");
        // Committed entries reach the learners as well.
        let reached = |c: &Cluster| c.machines.iter().all(|m| m.applied == c.machines[0].applied);
        assert!(cluster.run_until(2_000, reached), "seed {seed}");
    }
}

#[test]
fn learner_replaces_voter() {
    for seed in 0..20 {
        let mut cluster = settled_cluster(seed, 4);
        assert!(cluster.commits_within(0, 2_000), "seed {seed}");
        cluster.kill(1);
        assert!(cluster.run_until(10_000, |c| has_voters(c, ["i0", "i2", "i3"])), "seed {seed}");
        // The group now tolerates the loss of another voter.
        cluster.kill(2);
        assert!(cluster.commits_within(100, 5_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn short_stop_changes_nothing() {
    let mut cluster = settled_cluster(3, 4);
    let follower = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    cluster.kill(follower);
    cluster.run(700);
    cluster.start(follower);
    cluster.run(3_000);
    assert_eq!(cluster.voters(), ["i0", "i1", "i2"]);
}

#[test]
fn replaced_voter_becomes_learner() {
    for seed in 0..20 {
        let mut cluster = settled_cluster(seed, 4);
        cluster.kill(1);
        assert!(cluster.run_until(10_000, |c| has_voters(c, ["i0", "i2", "i3"])), "seed {seed}");
        cluster.start(1);
        assert!(cluster.commits_within(0, 3_000), "seed {seed}");
        let caught_up = |c: &Cluster| {
            let leader = c.leader().unwrap_or_default();
            c.machines[1].applied == c.machines[leader].applied
        };
        assert!(cluster.run_until(10_000, caught_up), "seed {seed}");
        assert_eq!(cluster.voters(), ["i0", "i2", "i3"], "seed {seed}");
    }
}

#[test]
fn silent_voter_stays_member() {
    for seed in 0..20 {
        let mut cluster = settled_cluster(seed, 4);
        cluster.machines[1].isolated = true;
        assert!(cluster.run_until(10_000, |c| has_voters(c, ["i0", "i2", "i3"])), "seed {seed}");
        let silent = cluster.machines[1].disk.id;
        assert!(cluster.checker.members.get(silent).is_some(), "seed {seed}");
        assert!(cluster.commits_within(0, 2_000), "seed {seed}");
        cluster.machines[1].isolated = false;
        let is_current = |c: &Cluster| c.machines[1].applied >= c.checker.known;
        assert!(cluster.run_until(200, is_current), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

/// The second change of a replacement waited for a heartbeat, while all other voters were needed.
#[test]
fn replacement_ends_at_once() {
    for seed in 0..20 {
        let mut cluster = settled_cluster(seed, 4);
        cluster.kill(1);
        assert!(cluster.run_until(10_000, is_replacing), "seed {seed}");
        // A round trip and a sync for each of the two changes; heartbeats are 40 ms apart.
        assert!(cluster.run_until(20, |c| has_voters(c, ["i0", "i2", "i3"])), "seed {seed}");
    }
}

/// A disk lost while the vote was vacant cost the quorum, also after the silent voter was back.
#[test]
fn disk_lost_amid_replacement() {
    for seed in 0..60 {
        let mut cluster = settled_cluster(seed, 4);
        cluster.set_can_bootstrap(false);
        cluster.machines[1].isolated = true;
        assert!(cluster.run_until(10_000, is_replacing), "seed {seed}");
        cluster.run(seed % 10);
        let lost = if seed.is_multiple_of(2) { 0 } else { 2 };
        cluster.wipe(lost);
        cluster.run(1_000);
        cluster.machines[1].isolated = false;
        cluster.start(lost);
        assert!(cluster.commits_within(0, 5_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn silent_learner_is_removed() {
    let mut cluster = cluster(5, 4);
    let joined = |c: &Cluster| c.checker.members.0.len() == 4;
    assert!(cluster.run_until(5_000, joined));
    let learner = cluster.machines[3].disk.id;
    cluster.kill(3);
    cluster.run(3_000);
    assert!(cluster.checker.members.get(learner).is_some());
    assert!(cluster.run_until(5_000, |c| c.checker.members.get(learner).is_none()));
    cluster.start(3);
    assert!(cluster.run_until(2_000, joined));
}

/// A removed instance announced itself only to instances that it knew, none of which was the leader.
#[test]
fn removed_instance_finds_leader() {
    for seed in 0..20 {
        let mut cluster = cluster(seed, 5);
        (3..5).for_each(|i| cluster.kill(i));
        assert!(cluster.run_until(5_000, |c| has_voters(c, ["i0", "i1", "i2"])), "seed {seed}");
        cluster.run(1_000);
        let absent = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
        let id = cluster.machines[absent].disk.id;
        cluster.kill(absent);
        (3..5).for_each(|i| cluster.start(i));
        let is_removed = |c: &Cluster| c.checker.members.get(id).is_none();
        assert!(cluster.run_until(20_000, is_removed), "seed {seed}");
        // Its leader is an instance that the absent one never knew.
        assert!(elect_among(&mut cluster, 3..5), "seed {seed}");
        cluster.start(absent);
        let is_member = |c: &Cluster| c.checker.members.get(id).is_some();
        assert!(cluster.run_until(5_000, is_member), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

/// Returns four machines, three of which vote, and a voter that doesn't lead.
fn with_follower(seed: u64) -> (Cluster, usize) {
    let cluster = settled_cluster(seed, 4);
    let follower = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    (cluster, follower)
}

/// A voter that ended left its vote to the leader's timeout, in which the group bore no loss.
#[test]
fn withdrawn_voter_is_replaced() {
    for seed in 0..20 {
        let (mut cluster, stopping) = with_follower(seed);
        cluster.handle(stopping, Input::Withdraw);
        let has_vote = |c: &Cluster| c.machines[stopping].replica.as_ref().unwrap().is_voter();
        assert!(cluster.run_until(4_000, |c| !has_vote(c)), "seed {seed}");
        cluster.kill(stopping);
        let other = (0..3).find(|i| *i != stopping).unwrap();
        cluster.kill(other);
        assert!(cluster.commits_within(0, 5_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn withdrawn_voter_never_leads() {
    for seed in 0..20 {
        let (mut cluster, stopping) = with_follower(seed);
        cluster.handle(stopping, Input::Withdraw);
        let leader = cluster.leader().unwrap();
        cluster.handle(leader, Input::TransferLeadership);
        cluster.run(100);
        cluster.kill(leader);
        assert!(!cluster.run_until(3_000, |c| c.leader() == Some(stopping)), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn leader_does_not_withdraw() {
    let (mut cluster, _) = with_follower(1);
    let leader = cluster.leader().unwrap();
    cluster.handle(leader, Input::Withdraw);
    assert!(cluster.commits_within(0, 500));
    cluster.run(3_000);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn founders_keep_votes() {
    for max_voters in [1, 3] {
        let policy = VoterPolicy::Open {
            max_voters,
            replace_after: REPLACE_AFTER,
            remove_after: REMOVE_AFTER,
        };
        let mut cluster = Cluster::with_voter_policy(2, 4, 3, Defect::None, policy);
        assert!(cluster.run_until(5_000, |c| has_voters(c, ["i0", "i1", "i2"])), "{max_voters}");
        cluster.run(3_000);
        assert_eq!(cluster.voters(), ["i0", "i1", "i2"], "{max_voters}");
        cluster.kill(1);
        assert!(cluster.run_until(5_000, |c| has_voters(c, ["i0", "i2", "i3"])), "{max_voters}");
    }
}

#[test]
fn empty_disks_form_no_group() {
    let mut cluster = cluster(7, 3);
    assert!(cluster.run_until(5_000, |c| c.ready_leader().is_some()));
    cluster.set_can_bootstrap(false);
    // More disks are lost than the group tolerates. A new group would hide the loss of acknowledged
    // entries.
    (0..3).for_each(|i| cluster.wipe(i));
    (0..3).for_each(|i| cluster.start(i));
    cluster.run(5_000);
    let empty = |c: &Cluster, i: usize| {
        let replica = c.machines[i].replica.as_ref();
        replica.is_some_and(|r| r.status().role == Role::Empty)
    };
    assert!((0..3).all(|i| empty(&cluster, i)));
}
