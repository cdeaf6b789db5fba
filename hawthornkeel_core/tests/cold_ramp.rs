//! A cold target never gets more concurrent calls than its cold limit, summed over all entries, and
//! reaches full load soon.

mod cold_simulation;

use rstest::rstest;

use cold_simulation::COLD_LIMIT;
use cold_simulation::ENTRIES;
use cold_simulation::Faults;
use cold_simulation::Links;
use cold_simulation::Simulation;

/// Time until leases are acquired and grants of earlier holders have expired, in milliseconds.
const SETTLED: u64 = 4_500;

/// Links that lose, duplicate and delay messages.
const BAD_LINKS: Links = Links { lost: 10, duplicated: 10, delayed: 5 };

#[rstest]
fn target_warms_up_without_faults(#[values(true, false)] named: bool) {
    let mut simulation = Simulation::new(1, Faults { named, ..Faults::default() });
    simulation.run_until(SETTLED + 6_000);
    assert!(!simulation.is_cold());
    assert_eq!(simulation.warm_entries(), ENTRIES);
    assert_eq!(simulation.max_cold, COLD_LIMIT, "the whole cold limit is used");
}

#[test]
fn cold_target_reaches_full_load_soon() {
    let mut simulation = Simulation::new(2, Faults { named: true, ..Faults::default() });
    simulation.run_until(SETTLED + 6_000);
    simulation.restart_target();
    let from = simulation.now;
    while simulation.is_cold() {
        simulation.run_until(simulation.now + 10);
        assert!(simulation.now - from < 5_000, "still cold after {} answers", simulation.answers);
    }
    // 12 calls of 160 ms on average, two at a time, take 960 ms.
    assert!(simulation.now - from < 2_000, "{} ms", simulation.now - from);
}

/// All faults except cancelled calls.
const ALL: Faults = Faults {
    links: BAD_LINKS,
    kill: 8_000,
    freeze: 6_000,
    partition: 6_000,
    restart: 2_000,
    cancel: 0,
    named: false,
};

#[rstest]
#[case::links(Faults { links: BAD_LINKS, ..Faults::default() })]
#[case::restarts(Faults { restart: 2_000, ..Faults::default() })]
#[case::kills(Faults { kill: 4_000, ..Faults::default() })]
#[case::freezes(Faults { freeze: 2_000, ..Faults::default() })]
#[case::partitions(Faults { partition: 3_000, ..Faults::default() })]
#[case::cancelled(Faults { cancel: 5, restart: 4_000, ..Faults::default() })]
#[case::all(ALL)]
#[case::all_and_cancelled(Faults { cancel: 20, ..ALL })]
fn sum_over_entries_stays_within_the_cold_limit(
    #[case] faults: Faults,
    #[values(true, false)] named: bool,
) {
    let (mut calls, mut restarts) = (0, 0);
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, Faults { named, ..faults });
        simulation.run_until(40_000);
        calls += simulation.total_calls;
        restarts += simulation.restarts;
    }
    // A cancelled call occupies its slot until its grant expires, which leaves fewer calls.
    let least = if faults.cancel > 0 { 100 } else { 200 };
    assert!(calls > least, "{calls} calls and {restarts} restarts");
}

#[test]
fn grant_of_a_killed_entry_counts_until_it_expires() {
    let mut simulation = Simulation::new(3, Faults { named: true, ..Faults::default() });
    simulation.call_millis = 700..900;
    simulation.run_until(SETTLED);
    for _ in 0..40 {
        simulation.restart_target();
        simulation.run_until(simulation.now + 600);
        simulation.kill(ENTRIES - 1, 20);
        simulation.run_until(simulation.now + 600);
    }
    assert_eq!(simulation.max_cold, COLD_LIMIT);
}
