//! Judgement of rollouts: bad versions stay within the exposure bound, good ones are not rolled back.

mod rollout_harness;

use std::time::Instant;

use hawthornkeel_core::rollout::record::RollBackCause;
use hawthornkeel_core::rollout::record::RolloutPhase;
use rollout_harness::Outcome;
use rollout_harness::Plan;
use rollout_harness::Way;
use rollout_harness::run;
use rollout_harness::runs;
use rstest::rstest;

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
    check(Plan::new(way, seconds * 1000), runs(180 / seconds));
}

/// Few responses may not be enough to find a fault, but the exposure stays bounded and noise is no proof.
#[rstest]
#[case::sound(Way::Sound)]
#[case::cold_returns(Way::Crashes { cold: true })]
#[case::both_slow(Way::BothSlow)]
#[case::one_broken(Way::OneBroken)]
#[case::fails_all(Way::Fails(1.0))]
#[case::slower_8(Way::Slower(8.0))]
fn little_traffic(#[case] way: Way, #[values(0.02, 0.1)] traffic: f64) {
    check(Plan { traffic, ..Plan::new(way, 60_000) }, runs(5));
}

/// With few targets, the responses that count for slowness are most of all, and one is half of the trial.
#[rstest]
#[case::sound(Way::Sound)]
#[case::cold_returns(Way::Crashes { cold: true })]
#[case::both_slow(Way::BothSlow)]
#[case::one_broken(Way::OneBroken)]
#[case::fails_tenth(Way::Fails(0.1))]
#[case::fails_third(Way::Fails(0.3))]
#[case::slower_4(Way::Slower(4.0))]
#[case::bad_later(Way::Later)]
#[case::under_load(Way::UnderLoad)]
#[case::one_route(Way::OneRoute)]
fn few_targets(#[case] way: Way) {
    check(Plan { targets: 10, ..Plan::new(way, 30_000) }, runs(6));
}

/// Late, lost and doubled reports and new leaders must not look like faults of a version.
#[rstest]
#[case::sound(Way::Sound)]
#[case::both_slow(Way::BothSlow)]
#[case::one_broken(Way::OneBroken)]
fn lossy_fleets_keep_sound_versions(#[case] way: Way) {
    for seed in 0..runs(10) {
        let outcome = run(seed, Plan { is_lossy: true, ..Plan::new(way, 30_000) });
        let judged = matches!(outcome.cause, Some(RollBackCause::Failures | RollBackCause::Slow));
        assert!(!judged, "seed {seed}: {outcome:?}");
    }
}

/// Runs a plan with several seeds, prints a row of the table and checks the bounds of the requirements.
fn check(plan: Plan, runs: u64) {
    let Plan { way, traffic, targets, .. } = plan;
    let seconds = plan.duration_ms / 1000;
    let started = Instant::now();
    let outcomes: Vec<Outcome> = (0..runs).map(|seed| run(seed, plan)).collect();
    let count = |phase| outcomes.iter().filter(|o| o.phase == phase).count() as u64;
    let (back, done) = (count(RolloutPhase::RolledBack), count(RolloutPhase::Completed));
    let share = |o: &Outcome| (o.sent as f64 - 50.0) / o.arrivals as f64;
    let exposed = outcomes.iter().map(share).fold(0.0, f64::max);
    let stops: Vec<u64> = outcomes.iter().filter_map(|o| o.stopped_after_ms).collect();
    let mean = stops.iter().sum::<u64>() / (stops.len() as u64).max(1);
    let longest = stops.iter().max().copied().unwrap_or(0);
    println!(
        "| {way:?} x{traffic} {targets} | {seconds} | {runs} | {back} | {done} | {exposed:.3} | {mean} | {longest} | {:?}",
        started.elapsed()
    );
    assert_eq!(back + done, runs, "a rollout has not ended by its deadline");
    let over_budget = outcomes.iter().filter(|o| o.over_budget > 0).count();
    assert_eq!(over_budget, 0, "trials over their budget");
    // A good version might have been a bad one that no test can find.
    assert!(exposed <= 0.1, "exposed: {exposed}");
    if way.is_sound() {
        let first = outcomes.iter().find(|o| o.phase == RolloutPhase::RolledBack);
        assert!(back * 1000 <= runs, "{back} of {runs} sound rollouts rolled back: {first:?}");
    } else {
        assert!(longest <= 5_000, "still sent {longest} ms after the 50th bad response");
    }
}
