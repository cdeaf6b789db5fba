//! Slow followers do not delay commits, receive bounded traffic, and catch up by entries or a
//! snapshot.

mod simulation;

use bytes::Bytes;
use hawthornkeel_core::replica::Body;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Proposal;
use hawthornkeel_core::replica::ProposalId;

use crate::simulation::Cluster;
use crate::simulation::waits::healthy_cluster;

/// Commits `count` commands, starting with the number `from`.
fn commit_load(cluster: &mut Cluster, from: u64, count: u64) {
    let leader = cluster.ready_leader().unwrap();
    for command in from..from + count {
        cluster.propose(leader, command);
        cluster.run(5);
    }
    cluster.run(100);
    assert!(cluster.checker.accepted.contains_key(&(from + count - 1)));
}

#[test]
fn slow_disk_delays_no_commit() {
    let mut cluster = healthy_cluster(1, 3);
    let slow = (cluster.ready_leader().unwrap() + 1) % 3;
    cluster.machines[slow].max_sync_us = 400_000;
    let term = cluster.status(slow).term;
    commit_load(&mut cluster, 0, 400);
    assert_eq!(cluster.status(slow).term, term, "a slow follower caused an election");
    assert!(cluster.recovers(20_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn isolated_follower_gets_bounded_traffic() {
    let mut cluster = healthy_cluster(2, 3);
    let away = (cluster.ready_leader().unwrap() + 1) % 3;
    cluster.machines[away].isolated = true;
    cluster.run(500);
    let before = cluster.machines[away].received;
    commit_load(&mut cluster, 0, 400);
    let sent = cluster.machines[away].received - before;
    // One probe per resend timeout of 100 ms, over 2.1 s.
    assert!(sent <= 25, "{sent} messages with entries to a follower that does not reply");
    cluster.machines[away].isolated = false;
    assert!(cluster.recovers(5_000));
}

#[test]
fn late_follower_gets_snapshot() {
    let mut cluster = healthy_cluster(3, 3);
    let away = (cluster.ready_leader().unwrap() + 1) % 3;
    cluster.kill(away);
    commit_load(&mut cluster, 0, 100);
    cluster.start(away);
    assert!(cluster.recovers(5_000));
    let stored = cluster.machines[away].disk.stored();
    assert!(stored.snapshot.is_some_and(|s| s.index.0 >= 80));
    // It recovers from the installed snapshot.
    cluster.kill(away);
    cluster.start(away);
    assert!(cluster.recovers(5_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn snapshot_tolerates_message_loss() {
    for seed in 0..30 {
        let mut cluster = healthy_cluster(seed, 3);
        let away = (cluster.ready_leader().unwrap() + 1) % 3;
        cluster.kill(away);
        commit_load(&mut cluster, 0, 60);
        cluster.fault_rates =
            simulation::FaultRates { loss: 0.1, duplication: 0.1, delay: 0.1, slow_sync: 0.1 };
        cluster.start(away);
        assert!(cluster.recovers(20_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn proposals_are_batched() {
    let mut cluster = healthy_cluster(4, 3);
    let leader = cluster.ready_leader().unwrap();
    cluster.run(300);
    let before: u64 = cluster.machines.iter().map(|m| m.received).sum();
    let command = |id: u64| Bytes::copy_from_slice(&id.to_le_bytes());
    let proposals = (0..6).map(|id| Proposal { id: ProposalId(id), data: command(id) });
    cluster.handle(leader, Input::Propose(proposals.collect()));
    assert!(cluster.run_until(100, |c| c.checker.accepted.len() == 6));
    let sent = cluster.machines.iter().map(|m| m.received).sum::<u64>() - before;
    assert_eq!(sent, 2, "one message with entries to each follower");
}

#[test]
fn overloaded_leader_rejects() {
    let mut cluster = healthy_cluster(5, 3);
    let leader = cluster.ready_leader().unwrap();
    (0..3).filter(|i| *i != leader).for_each(|i| cluster.machines[i].isolated = true);
    for command in 0..1_000 {
        cluster.propose(leader, command);
    }
    cluster.run(1);
    let rejected = cluster.checker.rejected.len();
    // Each command takes 32 bytes of the 20,000 bytes that may be pending.
    assert_eq!(rejected, 1_000 - 625);
    (0..3).for_each(|i| cluster.machines[i].isolated = false);
    assert!(cluster.commits_within(2_000, 3_000));
    let applied = cluster.machines[leader].applied;
    cluster.checker.check_end(applied);
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn append_size_is_bounded() {
    let mut cluster = healthy_cluster(6, 3);
    let leader = cluster.ready_leader().unwrap();
    let command = |id: u64| Bytes::copy_from_slice(&id.to_le_bytes());
    let proposals = (0..200).map(|id| Proposal { id: ProposalId(id), data: command(id) });
    let now = cluster.clock(leader);
    let replica = cluster.machines[leader].replica.as_mut().unwrap();
    let actions = replica.handle(now, Input::Propose(proposals.collect()));
    let sizes = actions.iter().filter_map(|action| match action {
        hawthornkeel_core::replica::Action::Send { message, .. } => match &message.body {
            Body::Append(append) => Some(append.entries.iter().map(|e| e.size()).sum::<usize>()),
            _ => None,
        },
        _ => None,
    });
    let sizes: Vec<_> = sizes.collect();
    // Two followers, 200 bytes per message, four messages or 600 bytes in flight per follower.
    assert!(sizes.iter().all(|s| *s <= 200) && sizes.len() <= 8, "{sizes:?}");
}
