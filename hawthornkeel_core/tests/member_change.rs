//! Membership changes by operators: one at a time, and learners are added first.

mod simulation;

use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::MemberKind;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::MembershipChange;
use hawthornkeel_core::replica::ProposalId;

use crate::simulation::Cluster;
use crate::simulation::Defect;

/// Starts three founders and a fourth machine, and waits until the fourth is a learner.
///
/// Returns the leader as well.
fn four_machines() -> (Cluster, usize) {
    let mut cluster = Cluster::with_founders(1, 4, 3, Defect::None);
    let joined = |c: &Cluster| c.checker.members.0.len() == 4 && c.ready_leader().is_some();
    assert!(cluster.run_until(5_000, joined));
    cluster.run(500);
    let leader = cluster.ready_leader().unwrap();
    (cluster, leader)
}

fn change(cluster: &mut Cluster, number: u64, change: MembershipChange) {
    let leader = cluster.ready_leader().unwrap();
    cluster.handle(leader, Input::ChangeMembers(ProposalId(number), change));
}

fn voters(members: &Members) -> usize {
    members.0.iter().filter(|m| m.kind == MemberKind::Voter).count()
}

#[test]
fn non_founder_stays_learner() {
    let (cluster, leader) = four_machines();
    assert_eq!(voters(&cluster.status(leader).members), 3);
    assert!(cluster.machines[3].applied.0 > 0);
}

#[test]
fn learner_is_promoted() {
    let (mut cluster, _) = four_machines();
    let id = cluster.machines[3].disk.id;
    change(&mut cluster, 900, MembershipChange::Promote(id));
    assert!(cluster.run_until(1_000, |c| c.checker.accepted.contains_key(&900)));
    assert_eq!(voters(&cluster.checker.members), 4);
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn lagging_learner_is_not_promoted() {
    let (mut cluster, leader) = four_machines();
    let id = cluster.machines[3].disk.id;
    cluster.kill(3);
    for command in 0..30 {
        cluster.propose(leader, command);
        cluster.run(5);
    }
    change(&mut cluster, 900, MembershipChange::Promote(id));
    assert!(cluster.checker.rejected.contains(&900));
}

#[test]
fn second_change_waits() {
    let (mut cluster, leader) = four_machines();
    let id = cluster.machines[3].disk.id;
    let other = cluster.machines[(leader + 1) % 3].disk.id;
    change(&mut cluster, 900, MembershipChange::Promote(id));
    change(&mut cluster, 901, MembershipChange::Remove(other));
    assert!(cluster.checker.rejected.contains(&901) && !cluster.checker.rejected.contains(&900));
}

#[test]
fn removed_member_causes_no_election() {
    let (mut cluster, leader) = four_machines();
    let other = (leader + 1) % 3;
    let id = cluster.machines[other].disk.id;
    let term = cluster.status(leader).term;
    // It is not informed of its removal and still considers itself a voter.
    cluster.machines[other].isolated = true;
    change(&mut cluster, 900, MembershipChange::Remove(id));
    assert!(cluster.run_until(1_000, |c| c.checker.accepted.contains_key(&900)));
    cluster.machines[other].isolated = false;
    cluster.run(10_000);
    assert_eq!((cluster.ready_leader(), cluster.status(leader).term), (Some(leader), term));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn leader_is_not_removed() {
    let (mut cluster, leader) = four_machines();
    let id = cluster.machines[leader].disk.id;
    change(&mut cluster, 900, MembershipChange::Remove(id));
    assert!(cluster.checker.rejected.contains(&900));
}
