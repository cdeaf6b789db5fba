//! Slow followers hold up nobody, get bounded traffic, and catch up by entries or a snapshot.

mod simulation;

use bytes::Bytes;
use hawthornkeel_core::replica::Body;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Proposal;
use hawthornkeel_core::replica::ProposalId;

use crate::simulation::Cluster;
use crate::simulation::waits::calm;

/// Commits `count` commands.
fn load(cluster: &mut Cluster, from: u64, count: u64) {
    let leader = cluster.leads().unwrap();
    for command in from..from + count {
        cluster.propose(leader, command);
        cluster.run(5);
    }
    cluster.run(100);
    assert!(cluster.checker.accepted.contains_key(&(from + count - 1)));
}

#[test]
fn slow_disk_holds_up_nobody() {
    let mut cluster = calm(1, 3);
    let slow = (cluster.leads().unwrap() + 1) % 3;
    cluster.machines[slow].sync_us = 400_000;
    let term = cluster.status(slow).term;
    load(&mut cluster, 0, 400);
    assert_eq!(cluster.status(slow).term, term, "a slow follower cost an election");
    assert!(cluster.heals(20_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn cut_follower_gets_bounded_traffic() {
    let mut cluster = calm(2, 3);
    let away = (cluster.leads().unwrap() + 1) % 3;
    cluster.machines[away].cut = true;
    cluster.run(500);
    let before = cluster.machines[away].received;
    load(&mut cluster, 0, 400);
    let sent = cluster.machines[away].received - before;
    // One probe each resend time of 100 ms, over 2.1 s.
    assert!(sent <= 25, "{sent} messages with entries to a follower that answers nothing");
    cluster.machines[away].cut = false;
    assert!(cluster.heals(5_000));
}

#[test]
fn late_follower_gets_snapshot() {
    let mut cluster = calm(3, 3);
    let away = (cluster.leads().unwrap() + 1) % 3;
    cluster.kill(away);
    load(&mut cluster, 0, 100);
    cluster.start(away);
    assert!(cluster.heals(5_000));
    let stored = cluster.machines[away].disk.stored();
    assert!(stored.snapshot.is_some_and(|s| s.index.0 >= 80));
    // It comes back from what it installed.
    cluster.kill(away);
    cluster.start(away);
    assert!(cluster.heals(5_000));
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn snapshot_survives_losses() {
    for seed in 0..30 {
        let mut cluster = calm(seed, 3);
        let away = (cluster.leads().unwrap() + 1) % 3;
        cluster.kill(away);
        load(&mut cluster, 0, 60);
        cluster.weather =
            simulation::Weather { loss: 0.1, doubling: 0.1, late: 0.1, slow_sync: 0.1 };
        cluster.start(away);
        assert!(cluster.heals(20_000), "seed {seed}");
        assert_eq!(cluster.checker.fault, None, "seed {seed}");
    }
}

#[test]
fn proposals_share_messages() {
    let mut cluster = calm(4, 3);
    let leader = cluster.leads().unwrap();
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
fn full_leader_refuses() {
    let mut cluster = calm(5, 3);
    let leader = cluster.leads().unwrap();
    (0..3).filter(|i| *i != leader).for_each(|i| cluster.machines[i].cut = true);
    for command in 0..1_000 {
        cluster.propose(leader, command);
    }
    cluster.run(1);
    let refused = cluster.checker.refused.len();
    // Each takes 32 bytes of the 20,000 that may be pending.
    assert_eq!(refused, 1_000 - 625);
    (0..3).for_each(|i| cluster.machines[i].cut = false);
    assert!(cluster.commits(2_000, 3_000));
    let applied = cluster.machines[leader].applied;
    cluster.checker.finish(applied);
    assert_eq!(cluster.checker.fault, None);
}

#[test]
fn append_carries_bounded_bytes() {
    let mut cluster = calm(6, 3);
    let leader = cluster.leads().unwrap();
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
    // Two followers, 200 bytes a message, four messages or 600 bytes on their way.
    assert!(sizes.iter().all(|s| *s <= 200) && sizes.len() <= 8, "{sizes:?}");
}
