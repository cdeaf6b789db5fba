//! Losses of a voter during the planned stop of another one, whose successor has caught up.
//!
//! All of: who leads, who is lost, how, and when after the request to stop. `HAWTHORNKEEL_ROUNDS=20`
//! plays each case with 20 seeds.

mod simulation;

use std::time::Duration;

use hawthornkeel_core::replica::HandoverEnd;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::VoteHandover;
use hawthornkeel_core::replica::VoterPolicy;
use hawthornkeel_core::stop::ControlStop;
use rstest::rstest;

use crate::simulation::Cluster;
use crate::simulation::Defect;
use crate::simulation::FaultRates;

/// Election timeout of the simulated replicas.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a stopping process is killed; `grace_period_s`.
const GRACE: Duration = Duration::from_secs(8);
/// Time in which the group has a leader and takes orders again; `recovery_s`.
const RECOVERY_MS: u64 = 12_000;
/// Time for which a successor runs before its predecessor stops, in ms; `catch_up_s`.
const CATCH_UP_MS: u64 = 4_000;
/// Time for which a voter that comes back is lost, in ms.
const ABSENCE_MS: u64 = 1_000;
/// Interval at which a stopping process checks its vote, in ms.
const POLL_MS: u64 = 20;
/// Latest loss, after the request to stop. The stop has ended by then in most cases, in ms.
const LAST_GAP_MS: u64 = 800;
/// Step of the times of the loss, in ms.
const STEP_MS: u64 = 10;
const THREADS: u64 = 4;

/// How a voter is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// Its process is suspended for [`ABSENCE_MS`].
    Paused,
    /// It is cut off for [`ABSENCE_MS`].
    Isolated,
    /// It is killed, and back after [`ABSENCE_MS`] with its disk.
    Killed,
    /// It is killed, and back after [`ABSENCE_MS`] with an empty disk.
    Wiped,
    /// It is killed for good.
    Gone,
}

/// Who leads when the stop is requested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leader {
    Stopping,
    Lost,
    Other,
}

/// Process that stops as planned.
struct Stop {
    machine: usize,
    /// Times at which it was requested and at which the next step is due, in microseconds.
    requested: u64,
    next: u64,
    handover: Option<VoteHandover>,
    end: Option<HandoverEnd>,
}

impl Stop {
    fn request(cluster: &Cluster, machine: usize) -> Self {
        Self { machine, requested: cluster.now, next: cluster.now, handover: None, end: None }
    }

    /// Runs the step that is due: as an instance does it once its operators have their responses.
    fn step(&mut self, cluster: &mut Cluster) {
        if self.end.is_some() || cluster.now < self.next {
            return;
        }
        self.next += POLL_MS * 1_000;
        let times = ControlStop::within(GRACE, ELECTION_TIMEOUT);
        let elapsed = Duration::from_micros(cluster.now - self.requested);
        let Some(replica) = &cluster.machines[self.machine].replica else { return };
        let leads = replica.status().role == Role::Leader;
        if leads && (elapsed.as_millis() as u64 % 260) < POLL_MS {
            cluster.handle(self.machine, Input::TransferLeadership);
        }
        if leads && elapsed < times.handover {
            return;
        }
        let now = cluster.clock(self.machine);
        if self.handover.is_none() {
            cluster.handle(self.machine, Input::Withdraw);
        }
        let Some(replica) = &cluster.machines[self.machine].replica else { return };
        let (limit, left) = (times.vote_wait(elapsed), times.time_left(elapsed));
        let begin = || VoteHandover::begin(replica, limit, now + left);
        let ended = self.handover.get_or_insert_with(begin).ended(now, replica);
        if ended.is_some() {
            self.end = ended;
            cluster.kill(self.machine);
            let elapsed = Duration::from_micros(cluster.now - self.requested);
            let fault = format!("the stop took {elapsed:?}");
            if elapsed >= GRACE {
                cluster.checker.fault.get_or_insert(fault);
            }
        }
    }
}

/// Machines `0..3` vote, and one successor a stopping machine has caught up.
fn start(seed: u64, successors: usize) -> Cluster {
    let policy = VoterPolicy::Open {
        max_voters: 3,
        replace_after: ELECTION_TIMEOUT * 2,
        remove_after: Duration::from_secs(6),
    };
    let mut cluster = Cluster::with_voter_policy(seed, 3 + successors, 3, Defect::None, policy);
    let all = 3 + successors;
    let is_ready = |c: &Cluster| {
        c.ready_leader().is_some() && c.voters().len() == 3 && c.checker.members.0.len() == all
    };
    assert!(cluster.run_until(8_000, is_ready), "seed {seed}");
    cluster.set_can_bootstrap(false);
    cluster.run(CATCH_UP_MS);
    assert!(cluster.commits_within(1_000_000, 4_000), "seed {seed}");
    cluster
}

/// Returns the voters that stop, are lost, and neither, for the one that leads.
fn roles(cluster: &Cluster, leader: Leader) -> Option<[usize; 3]> {
    let leads = cluster.leader().filter(|l| *l < 3)?;
    let others: Vec<_> = (0..3).filter(|i| *i != leads).collect();
    Some(match leader {
        Leader::Stopping => [leads, others[0], others[1]],
        Leader::Lost => [others[0], leads, others[1]],
        Leader::Other => [others[0], others[1], leads],
    })
}

fn lose(cluster: &mut Cluster, machine: usize, loss: Loss) {
    match loss {
        Loss::Paused => cluster.pause(machine, ABSENCE_MS * 1_000),
        Loss::Isolated => cluster.machines[machine].isolated = true,
        Loss::Killed | Loss::Gone => cluster.kill(machine),
        Loss::Wiped => cluster.wipe(machine),
    }
}

/// Runs for `millis` while `stops` go on.
fn run(cluster: &mut Cluster, stops: &mut [Stop], millis: u64) {
    for _ in 0..millis {
        stops.iter_mut().for_each(|stop| stop.step(cluster));
        cluster.run(1);
    }
}

/// Case: a loss `gap_ms` after a request to stop.
#[derive(Clone, Copy, Debug)]
struct Case {
    leader: Leader,
    /// Whether the successor is lost, which may vote already.
    loses_successor: bool,
    loss: Loss,
    gap_ms: u64,
    faults: FaultRates,
    /// Time from the request to stop until another voter is to stop as well, which has a successor too.
    second_stop_ms: Option<u64>,
}

/// Returns faults that `share` of all messages and syncs suffer.
fn faults(share: f64) -> FaultRates {
    FaultRates { loss: share, duplication: share, delay: share, slow_sync: share }
}

/// Plays a case, and returns what was wrong.
fn play(seed: u64, case: Case) -> Option<String> {
    let successors = if case.second_stop_ms.is_some() { 2 } else { 1 };
    let mut cluster = start(seed, successors);
    let [stopping, lost, third] = roles(&cluster, case.leader)?;
    let lost = if case.loses_successor { 3 } else { lost };
    cluster.fault_rates = case.faults;
    let mut stops = vec![Stop::request(&cluster, stopping)];
    let mut left = case.gap_ms;
    if let Some(at) = case.second_stop_ms {
        run(&mut cluster, &mut stops, at.min(left));
        left = left.saturating_sub(at);
        stops.push(Stop::request(&cluster, third));
    }
    run(&mut cluster, &mut stops, left);
    lose(&mut cluster, lost, case.loss);
    run(&mut cluster, &mut stops, ABSENCE_MS);
    cluster.machines[lost].isolated = false;
    if case.loss != Loss::Gone && cluster.machines[lost].replica.is_none() {
        cluster.start(lost);
    }
    run(&mut cluster, &mut stops, GRACE.as_millis() as u64);
    let unended = stops.iter().any(|s| s.end.is_none() && s.machine != lost);
    if unended {
        return Some("a stop has not ended".to_owned());
    }
    let serves = cluster.commits_within(0, RECOVERY_MS);
    let ends: Vec<_> = stops.iter().map(|s| s.end).collect();
    let fault = cluster.checker.fault.take();
    fault.or_else(|| (!serves).then(|| format!("no order is taken any more; stops: {ends:?}")))
}

/// Returns the number of seeds with which each case is played.
fn rounds() -> u64 {
    std::env::var("HAWTHORNKEEL_ROUNDS").ok().and_then(|r| r.parse().ok()).unwrap_or(1)
}

/// Plays all gaps of a case, and returns the failures with their seeds and gaps.
fn sweep(case: Case) -> Vec<String> {
    let steps = LAST_GAP_MS / STEP_MS + 1;
    let part = |thread: u64| {
        let seeds = (0..steps * rounds()).filter(|seed| seed % THREADS == thread);
        let one = |seed: u64| {
            // Not only multiples of the step.
            let case = Case { gap_ms: seed % steps * STEP_MS + seed % STEP_MS, ..case };
            play(seed, case).map(|fault| format!("seed {seed}, {case:?}: {fault}"))
        };
        seeds.filter_map(one).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|t| scope.spawn(move || part(t))).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    })
}

fn assert_none(failures: Vec<String>) {
    assert!(failures.is_empty(), "{} failures, the first: {}", failures.len(), failures[0]);
}

/// A stopping voter fell silent before a learner had its vote, so the loss of another cost the quorum.
#[rstest]
fn another_voter_is_lost(
    #[values(Leader::Stopping, Leader::Lost, Leader::Other)] leader: Leader,
    #[values(Loss::Paused, Loss::Isolated, Loss::Killed, Loss::Wiped, Loss::Gone)] loss: Loss,
    #[values(0.0, 0.05)] share: f64,
) {
    let faults = FaultRates { loss: share, duplication: share, delay: share, slow_sync: share };
    let case =
        Case { leader, loses_successor: false, loss, gap_ms: 0, faults, second_stop_ms: None };
    assert_none(sweep(case));
}

/// The successor may be lost as well, before or after it gets the vote.
#[rstest]
fn successor_is_lost(
    #[values(Leader::Stopping, Leader::Other)] leader: Leader,
    #[values(Loss::Paused, Loss::Isolated, Loss::Killed, Loss::Wiped, Loss::Gone)] loss: Loss,
) {
    let faults = FaultRates::default();
    let case =
        Case { leader, loses_successor: true, loss, gap_ms: 0, faults, second_stop_ms: None };
    assert_none(sweep(case));
}

/// Two voters that stopped at the same time both fell silent, which alone cost the quorum.
#[rstest]
fn stops_overlap(
    #[values(Leader::Stopping, Leader::Lost, Leader::Other)] leader: Leader,
    #[values(Loss::Isolated, Loss::Wiped, Loss::Gone)] loss: Loss,
    #[values(0, 15, 60, 250)] second_stop_ms: u64,
    #[values(0.0, 0.05)] share: f64,
) {
    let faults = faults(share);
    let second_stop_ms = Some(second_stop_ms);
    let case = Case { leader, loses_successor: false, loss, gap_ms: 0, faults, second_stop_ms };
    assert_none(sweep(case));
}
