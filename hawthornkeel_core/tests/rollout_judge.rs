//! Judgement of rollouts: bad versions stay within the exposure bound, good ones are not rolled back.

mod rollout_harness;

use std::time::Instant;

use hawthornkeel_core::rollout::record::RolloutPhase;
use rollout_harness::Outcome;
use rollout_harness::Plan;
use rollout_harness::Way;
use rollout_harness::run;
use rstest::rstest;

/// Environment variable with the number of rollouts of each case.
const RUNS: &str = "ROLLOUT_RUNS";
const RUNS_IN_CI: u64 = 30;

#[rstest]
#[case::sound(Way::Sound)]
#[case::crashes(Way::Crashes { cold: false })]
#[case::cold_returns(Way::Crashes { cold: true })]
#[case::cut_centre(Way::CutCentre)]
#[case::both_slow(Way::BothSlow)]
#[case::one_broken(Way::OneBroken)]
#[case::both_fail(Way::BothFail)]
#[case::fails_tenth(Way::Fails(0.1))]
#[case::fails_third(Way::Fails(0.3))]
#[case::fails_all(Way::Fails(1.0))]
#[case::slower_3(Way::Slower(3.0))]
#[case::slower_4(Way::Slower(4.0))]
#[case::slower_8(Way::Slower(8.0))]
#[case::bad_later(Way::Later)]
#[case::under_load(Way::UnderLoad)]
#[case::one_route(Way::OneRoute)]
fn bounds_are_kept(#[case] way: Way, #[values(12, 30, 60)] seconds: u64) {
    let given = std::env::var(RUNS).ok().and_then(|r| r.parse().ok());
    let runs: u64 = given.unwrap_or(RUNS_IN_CI);
    let started = Instant::now();
    let plan = Plan::new(way, seconds * 1000);
    let outcomes: Vec<Outcome> = (0..runs).map(|seed| run(seed, plan)).collect();
    let count = |phase| outcomes.iter().filter(|o| o.phase == phase).count() as u64;
    let (back, done) = (count(RolloutPhase::RolledBack), count(RolloutPhase::Completed));
    let share = |o: &Outcome| (o.sent as f64 - 50.0) / o.arrivals as f64;
    let exposed = outcomes.iter().map(share).fold(0.0, f64::max);
    let stops: Vec<u64> = outcomes.iter().filter_map(|o| o.stopped_after_ms).collect();
    let mean = stops.iter().sum::<u64>() / (stops.len() as u64).max(1);
    let longest = stops.iter().max().copied().unwrap_or(0);
    println!(
        "| {way:?} | {seconds} | {runs} | {back} | {done} | {exposed:.3} | {mean} | {longest} | {:?}",
        started.elapsed()
    );
    assert_eq!(back + done, runs, "a rollout has not ended by its deadline");
    let over_budget = outcomes.iter().filter(|o| o.over_budget > 0).count();
    assert_eq!(over_budget, 0, "trials over their budget");
    if way.is_sound() {
        let first = outcomes.iter().find(|o| o.phase == RolloutPhase::RolledBack);
        assert!(back * 1000 <= runs, "{back} of {runs} sound rollouts rolled back: {first:?}");
    } else {
        assert!(exposed <= 0.1, "exposed: {exposed}");
        assert!(longest <= 5_000, "still sent {longest} ms after the 50th bad response");
    }
}
