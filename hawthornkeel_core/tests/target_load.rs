//! Loads and speeds that targets state: how evenly they are used, and what sessions pay for it.

mod load_simulation;

use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::placement::load::StatedLoad;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

use crate::load_simulation::Case;
use crate::load_simulation::Outcome;
use crate::load_simulation::Reports;
use crate::load_simulation::run;

/// Engines with sessions, a third of them slower.
const ENGINES: Case = Case {
    entries: 83,
    entry_centres: 3,
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
    entry_centres: 3,
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

// Entries left targets in other data centres idle while the one in their own had a queue.
#[test]
fn other_centres_take_overflow() {
    let case = Case { entries: 8, entry_centres: 1, ..PLAIN };
    let (before, after) = (with(Reports::None, case), with(Reports::True, case));
    assert!(after.busiest < before.busiest - 0.2, "{before:?} {after:?}");
    assert!(after.p99 < before.p99 * 0.8, "{before:?} {after:?}");
}

#[test]
fn entries_next_to_targets_gain() {
    let case = Case { entries: 8, ..PLAIN };
    let (before, after) = (with(Reports::None, case), with(Reports::True, case));
    assert!(after.busiest < before.busiest && after.p50 < before.p50, "{before:?} {after:?}");
}

fn pool_name() -> PoolName {
    PoolName::new("pool")
}

fn listed(number: u16, born: Option<u64>) -> ListedTarget {
    ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: pool_name(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        centre: CentreName::new("a"),
        born,
        version: "v1".into(),
        slots: 8,
        leaving: false,
        cold_ms: 0,
    }
}

fn balancer(count: u16) -> Balancer {
    let mut balancer = Balancer::default();
    let targets = (0..count).map(|n| listed(n, Some(1))).collect();
    balancer.update(Instant::from_millis(0), &TargetList { targets, mark: 1 });
    balancer
}

fn report(running: u32, speed: f64) -> StatedLoad {
    StatedLoad { running, waiting: 0, slots: 8, speed: Some(speed) }
}

/// Returns the number of sessions out of 1,000 that go to the first target.
fn share_of_first(balancer: &mut Balancer, now: Instant) -> usize {
    let pool = pool_name();
    let query = |session| TargetQuery {
        pool: &pool,
        session,
        centre: None,
        tried: &[],
        cold: None,
        entries: 1,
        version: None,
        rule: &VersionRule::Any,
    };
    let first = listed(0, None).name;
    (0..1_000).filter(|s| balancer.choose(now, &query(*s)).unwrap().name == first).count()
}

/// Has each of four targets state its load once a second; the first states `first`.
fn reports_of_a_minute(balancer: &mut Balancer, first: impl Fn(u64) -> StatedLoad) -> Instant {
    for second in 0..60 {
        let now = Instant::from_millis(second * 1_000);
        for number in 0..4 {
            let load = if number == 0 { first(second) } else { report(4, 1.0) };
            assert!(balancer.record_load(now, &listed(number, Some(1)).run(), load));
        }
    }
    Instant::from_millis(60_000)
}

#[test]
fn lasting_slowness_counts_and_moments_do_not() {
    let even = share_of_first(&mut balancer(4), Instant::from_millis(0));
    let mut slow = balancer(4);
    let now = reports_of_a_minute(&mut slow, |_| report(4, 1.5));
    let share = share_of_first(&mut slow, now);
    assert!(share < even * 9 / 10 && share > even / 2, "{share} of {even}");
    // Work takes four times as long in one of ten seconds, and is faster in between.
    let mut varying = balancer(4);
    let speed = |s| if s % 10 == 9 { 4.0 } else { 0.9 };
    let now = reports_of_a_minute(&mut varying, |s| report(4, speed(s)));
    assert_eq!(share_of_first(&mut varying, now + Duration::from_secs(1)), even);
    let mut once = balancer(4);
    let first = listed(0, Some(1)).run();
    once.record_load(Instant::from_millis(0), &first, report(8, 100.0));
    assert_eq!(share_of_first(&mut once, Instant::from_millis(10)), even);
}

#[test]
fn load_belongs_to_its_process() {
    let even = share_of_first(&mut balancer(4), Instant::from_millis(0));
    let mut balancer = balancer(4);
    let now = reports_of_a_minute(&mut balancer, |_| report(16, 1.0));
    let share = share_of_first(&mut balancer, now);
    assert!(share < even * 8 / 10, "{share} of {even}");
    // Averages lose their effect where nothing confirms them.
    assert_eq!(share_of_first(&mut balancer, now + Duration::from_secs(400)), even);
    let targets = [listed(0, Some(2)), listed(1, Some(1)), listed(2, Some(1)), listed(3, Some(1))];
    balancer.update(now, &TargetList { targets: targets.into(), mark: 2 });
    // An answer of the process before says nothing about the new one.
    balancer.record_load(now, &listed(0, Some(1)).run(), report(16, 2.0));
    let others_only = share_of_first(&mut balancer, now);
    assert_eq!(others_only, even);
}

#[test]
fn load_that_contradicts_the_list_is_ignored() {
    let mut balancer = balancer(4);
    let first = listed(0, Some(1)).run();
    let now = Instant::from_millis(0);
    let implausible = [(8, 100), (8, 1), (40, 8)];
    for (running, slots) in implausible {
        let load = StatedLoad { running, waiting: 0, slots, speed: None };
        assert!(!balancer.record_load(now, &first, load), "{load:?}");
    }
    assert!(balancer.record_load(now, &first, report(8, 1.0)));
}
