//! Loads and speeds that targets state: how evenly they are used, and what sessions pay for it.

mod load_simulation;

use rstest::rstest;

use crate::load_simulation::Case;
use crate::load_simulation::Outcome;
use crate::load_simulation::Reports;
use crate::load_simulation::run;

/// Engines with sessions, a third of them slower.
const ENGINES: Case = Case {
    entries: 83,
    targets: 90,
    slots: 16,
    slow: 1.3,
    rate: 330.0,
    service: 2.0,
    sessions: 4_000,
    jitter: 1.3,
    warm_up: 90,
    measured: 90,
    reports: Reports::None,
};

/// Plain service whose machines change their speed all the time.
const PLAIN: Case = Case {
    entries: 83,
    targets: 3,
    slots: 6,
    slow: 1.0,
    rate: 200.0,
    service: 0.05,
    sessions: 0,
    jitter: 2.0,
    warm_up: 10,
    measured: 60,
    reports: Reports::None,
};

const CALM: Case = Case { warm_up: 120, measured: 240, ..ENGINES };

fn with(reports: Reports, case: Case) -> Outcome {
    let outcome = run(Case { reports, ..case }, 1);
    println!("{} {} {reports:?} {outcome:.3?}", case.entries, case.targets);
    outcome
}

// Without the loads the busiest engine has 1.6 times the mean.
#[test]
fn calm_load_is_even() {
    let (before, after) = (with(Reports::None, CALM), with(Reports::True, CALM));
    assert_eq!((before.changed, before.moved), (0.0, 0.0));
    assert!(before.busiest > 1.45, "{before:?}");
    assert!(after.busiest <= 1.3 && after.most <= 1.4, "{after:?}");
    assert!(after.moved < 0.08, "{after:?}");
    assert!(after.p50 <= before.p50 * 1.03 && after.p99 <= before.p99 * 1.03, "{after:?}");
}

// Bad reports may cost the improvement, but nothing beyond it.
#[rstest]
#[case::stale(Reports::Stale, 1.3)]
#[case::lost(Reports::Lost, 1.4)]
#[case::garbled(Reports::Garbled, 1.4)]
#[case::falsely_idle(Reports::FalselyIdle, 1.6)]
fn bad_reports_of_engines(#[case] reports: Reports, #[case] bound: f64) {
    let outcome = with(reports, ENGINES);
    assert!(outcome.busiest <= bound && outcome.most <= 1.5, "{outcome:?}");
    assert!(outcome.moved < 0.09, "{outcome:?}");
}

// All entries that sent to the target that stated least would have overloaded it.
#[rstest]
#[case::honest(Reports::True)]
#[case::stale(Reports::Stale)]
#[case::lost(Reports::Lost)]
#[case::garbled(Reports::Garbled)]
#[case::falsely_idle(Reports::FalselyIdle)]
fn no_stampede(#[case] reports: Reports, #[values(8, 83)] entries: usize) {
    let case = Case { entries, ..PLAIN };
    let (before, after) = (with(Reports::None, case), with(reports, case));
    assert!(after.second_peak <= 2.0 && after.first <= 1.25, "{after:?}");
    assert!(after.p50 <= before.p50 * 1.2 && after.p99 <= before.p99 * 1.3, "{after:?}");
}

#[test]
fn entries_next_to_targets_gain() {
    let case = Case { entries: 8, ..PLAIN };
    let (before, after) = (with(Reports::None, case), with(Reports::True, case));
    assert!(after.busiest < before.busiest && after.p50 < before.p50, "{before:?} {after:?}");
}
