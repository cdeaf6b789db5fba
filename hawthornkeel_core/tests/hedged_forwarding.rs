//! Hedging of forwarded requests: what it gains, and what bounds it.

mod hedge_simulation;
mod notice_harness;

use std::time::Duration;

use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::placement::hedging::HedgeBucket;
use hawthornkeel_core::placement::hedging::HedgeDenial;
use hawthornkeel_core::placement::hedging::HedgeLimits;
use hawthornkeel_core::placement::hedging::Hedging;
use hawthornkeel_core::placement::hedging::RouteLatencies;
use hawthornkeel_core::placement::limit::RequestRate;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::placement::retries::RetryBudget;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

use crate::hedge_simulation::ENTRIES;
use crate::hedge_simulation::Outcome;
use crate::hedge_simulation::Scenario;
use crate::hedge_simulation::Simulation;
use crate::hedge_simulation::WINDOW;
use crate::notice_harness::at;
use crate::notice_harness::pause;

/// Length of a simulation in seconds.
const SECONDS: u64 = 90;
/// Third of it, in milliseconds.
const THIRD_MS: u64 = SECONDS * 1_000 / 3;

/// Runs a scenario without and with hedging, checks the limits, and prints the figures.
fn compare(name: &str, scenario: Scenario) -> [Outcome; 2] {
    let off = Simulation::run(7, SECONDS, Scenario { share: 0.0, ..scenario });
    let on = Simulation::run(7, SECONDS, scenario);
    for (state, run) in [("off", &off), ("on", &on)] {
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|q| run.quantile(q));
        let (extra, won) = (run.extra() * 100.0, run.won);
        let sent = run.hedges.len();
        println!(
            "| {name} | {state} | {p50:.0} | {p99:.0} | {p999:.0} | {extra:.2} | {won}/{sent} |"
        );
    }
    assert!(off.hedges.is_empty() && off.denied.is_empty(), "hedging is off");
    assert_limits(&on, &scenario);
    [off, on]
}

/// Checks the limits of hedges in every window, for all entries together.
fn assert_limits(run: &Outcome, scenario: &Scenario) {
    let window = WINDOW.as_millis() as u64;
    let within = |times: &[(usize, u64)], from: u64, to: u64| {
        times.iter().filter(|(_, t)| (from..to).contains(t)).count() as f64
    };
    for from in (window..SECONDS * 1_000 - window).step_by(500) {
        let sent = within(&run.hedges, from, from + window);
        let now = within(&run.arrivals, from, from + window);
        let before = within(&run.arrivals, from - window, from);
        let allowed = 0.8 * scenario.share * now + 0.2 * scenario.share * before;
        assert!(sent <= allowed + ENTRIES as f64, "{sent} of {allowed} from {from} ms");
        // What operators set is kept to where the load does not fall.
        if now >= before {
            assert!(sent <= scenario.share * now + ENTRIES as f64, "{sent} from {from} ms");
        }
    }
    assert!(run.extra() <= 0.8 * scenario.share, "{} in all", run.extra());
}

/// Guards against hedging that does not shorten the tail, or sends more than it may.
#[test]
fn outliers_are_cut() {
    let [off, on] = compare("slow outliers", Scenario { outliers: 0.01, ..Scenario::default() });
    assert!(on.quantile(0.99) < 0.6 * off.quantile(0.99), "{}", on.quantile(0.99));
    assert!(on.quantile(0.999) < 0.6 * off.quantile(0.999), "{}", on.quantile(0.999));
    assert!(on.quantile(0.5) < 1.1 * off.quantile(0.5));
}

/// Guards against hedges that stay at a slow target, or make its requests slower.
#[test]
fn slow_target_is_helped() {
    let [off, on] =
        compare("one slow target", Scenario { slow: [8.0, 1.0, 1.0], ..Scenario::default() });
    assert!(on.quantile(0.99) <= off.quantile(0.99), "{}", on.quantile(0.99));
    assert!(on.won > 0);
}

/// Guards against hedges that add load to a pool that is slow because it has too much.
#[test]
fn slow_pool_is_spared() {
    let [off, on] = compare(
        "all targets slow",
        Scenario { slow: [4.0; 3], rate: 250.0, ..Scenario::default() },
    );
    assert!(on.quantile(0.99) < 1.1 * off.quantile(0.99), "{}", on.quantile(0.99));
    assert!(on.denials(HedgeDenial::HedgeBudget) > 0);
}

/// Guards against a hedge that goes to a target that wants no request now, or past what forbids it.
#[rstest]
#[case::pause(Scenario { notice: Some(pause(30_000)), ..slow() }, HedgeDenial::Paused)]
#[case::limit(Scenario { notice: Some(limit()), ..slow() }, HedgeDenial::Paused)]
#[case::stop(Scenario { stopping: true, ..slow() }, HedgeDenial::Stopping)]
fn nothing_is_bypassed(#[case] scenario: Scenario, #[case] reason: HedgeDenial) {
    let [_, on] = compare(reason.as_str(), scenario);
    let in_third = |t: &&u64| (THIRD_MS + 50..2 * THIRD_MS).contains(*t);
    assert!(on.denials(reason) > 0, "{:?}", on.denied.len());
    let hedges: Vec<u64> = on.hedges.iter().map(|(_, t)| *t).collect();
    let hedged = hedges.iter().filter(in_third).count();
    let window = 4_000;
    let most = (THIRD_MS + 50..2 * THIRD_MS - window)
        .step_by(100)
        .map(|from| on.others.iter().filter(|t| (from..from + window).contains(*t)).count());
    match scenario.notice {
        Some(notice) if notice.pause.is_some() => {
            assert_eq!(on.others.iter().filter(in_third).count(), 0, "paused targets get nothing");
        }
        // Two targets of a rate of 0.5 a second each: 1.5 times the rate and 5 more in a window.
        Some(_) => assert!(most.max().unwrap() <= 2 * (5 + 3), "the limit is kept"),
        None => assert_eq!(hedged, 0, "nothing is hedged while the entry stops"),
    }
    assert!(hedges.iter().any(|t| *t < THIRD_MS), "hedged before");
}

fn slow() -> Scenario {
    Scenario { rate: 200.0, outliers: 0.05, ..Scenario::default() }
}

fn limit() -> Notice {
    Notice { limit: Some(RequestRate(500)), ..Notice::default() }
}

/// Guards against hedges that take what the retry budget does not have, or that end too late.
#[rstest]
#[case::no_retries(
    Scenario { retries: RetryBudget { ratio: 0.0, slack: 0.0, window: WINDOW }, ..slow() },
    HedgeDenial::RetryBudget,
)]
#[case::deadline(
    Scenario { deadline: Duration::from_millis(60), ..slow() },
    HedgeDenial::Deadline,
)]
fn denied_hedges_cost_nothing(#[case] scenario: Scenario, #[case] reason: HedgeDenial) {
    let [_, on] = compare(reason.as_str(), scenario);
    assert_eq!(on.hedges.len(), 0);
    assert!(on.denials(reason) > 0);
}

/// Guards against a bucket that is full at the start, keeps tokens for ever or grants without
/// requests.
#[test]
fn bucket_starts_empty() {
    let limits = HedgeLimits { share: 0.1, quantile: 0.95, window: WINDOW };
    let mut bucket = HedgeBucket::default();
    assert!(!bucket.has_token(at(60_000), &limits, true));
    (0..12).for_each(|_| bucket.record_request(at(60_000), &limits));
    assert!(!bucket.has_token(at(60_000), &limits, true), "0.96 tokens");
    (0..988).for_each(|_| bucket.record_request(at(60_000), &limits));
    let taken = |bucket: &mut HedgeBucket, now, is_late| {
        let mut taken = 0;
        while bucket.has_token(at(now), &limits, is_late) {
            bucket.take();
            taken += 1;
        }
        taken
    };
    // A fifth of the 100 that 1,000 requests allow is kept, and one of them once the window is over.
    let mut later = bucket;
    // The lower half is kept for the slowest requests.
    assert_eq!(taken(&mut bucket, 60_000, false), 10);
    assert_eq!(taken(&mut bucket, 60_000, true), 10);
    assert_eq!(taken(&mut later, 80_000, true), 1);
}

/// Guards against a quantile from too few samples, from old ones, or without the slow ones.
#[test]
fn latencies_decay() {
    let mut latencies = RouteLatencies::default();
    let ms = |value| Some(Duration::from_millis(value));
    let near = |got: Option<Duration>, expected: Option<Duration>| match (got, expected) {
        (Some(got), Some(expected)) => got.abs_diff(expected) <= expected / 50,
        (got, expected) => got == expected,
    };
    for count in 1..=100 {
        latencies.record(at(0), Duration::from_millis(count));
        let known = latencies.quantile(at(0), 0.95);
        assert_eq!(known.is_some(), count >= 20, "{count} samples");
    }
    assert!(near(latencies.quantile(at(0), 0.95), ms(95)));
    assert!(near(latencies.quantile(at(0), 0.99), ms(99)));
    assert_eq!(latencies.quantile(at(0), 0.999), None, "too few samples");
    // With many samples, those of two half-lives ago weigh a quarter.
    (0..300).for_each(|_| latencies.record(at(0), Duration::from_millis(50)));
    (0..100).for_each(|_| latencies.record(at(20_000), Duration::from_millis(500)));
    assert!(near(latencies.quantile(at(20_000), 0.6), ms(500)));
    assert!(latencies.quantile(at(20_000), 0.4) < ms(100));
    assert_eq!(latencies.quantile(at(400_000), 0.5), None, "too old");
}

/// Guards against a quiet route that is never hedged, as its samples are forgotten too soon.
#[test]
fn quiet_routes_are_known() {
    let mut latencies = RouteLatencies::default();
    for second in 0..600 {
        latencies.record(at(second * 1_000), Duration::from_millis(50));
        let known = latencies.quantile(at(second * 1_000), 0.95);
        assert_eq!(known.is_some(), second >= 19, "{second}");
    }
}

/// Guards against hedges of a route whose latencies are not known, or without a share.
#[test]
fn off_is_never_due() {
    let route = RouteName::new("lots");
    for share in [0.0, 0.1] {
        let limits = HedgeLimits { share, quantile: 0.95, window: WINDOW };
        let mut hedging = Hedging::new(limits);
        assert_eq!(hedging.delay(at(0), &route), None);
        (0..100).for_each(|_| hedging.record_latency(at(0), &route, Duration::from_millis(10)));
        assert_eq!(hedging.delay(at(0), &route).is_some(), share > 0.0);
        assert_eq!(hedging.delay(Instant::ZERO, &RouteName::new("other")), None);
    }
}
