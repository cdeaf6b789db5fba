//! Elections after all voters were stalled together, as by the connections of hundreds of entries
//! that restart with them.

mod simulation;

use simulation::Cluster;
use simulation::Defect;

/// Number of voters.
const VOTERS: usize = 5;
/// Number of seeds.
const SEEDS: u64 = 60;
/// Stall after the start, longer than any election timer.
const STALL_MILLIS: u64 = 1_000;

/// Returns the time until there is a leader after all voters stalled, in milliseconds.
fn election_millis(seed: u64) -> u64 {
    let mut cluster = Cluster::new(seed, VOTERS, Defect::None);
    assert!(cluster.run_until(10_000, |c| c.leader().is_some()));
    cluster.run(1_000);
    (0..VOTERS).for_each(|i| cluster.kill(i));
    cluster.run(100);
    (0..VOTERS).for_each(|i| cluster.start(i));
    (0..VOTERS).for_each(|i| cluster.pause(i, STALL_MILLIS * 1_000));
    cluster.run(STALL_MILLIS);
    let mut waited = 0;
    while cluster.leader().is_none() {
        cluster.run(5);
        waited += 5;
        assert!(waited < 10_000, "no leader with seed {seed}");
    }
    waited
}

#[test]
fn stalled_voters_elect_at_once() {
    let timeout = simulation::settings(&[]).election_timeout.as_millis() as u64;
    let times: Vec<u64> = (1..=SEEDS).map(election_millis).collect();
    let slow = times.iter().filter(|t| **t > timeout).count();
    // An election without a split vote takes less than one election timeout.
    assert!(slow as u64 * 10 <= SEEDS, "{slow} of {SEEDS} elections were split: {times:?}");
}
