//! Retry budget: the retries of all entries together stay within it in every window.

use std::time::Duration;

use hawthornkeel_core::placement::retries::RetryBucket;
use hawthornkeel_core::placement::retries::RetryBudget;
use hawthornkeel_core::placement::retries::RunningAttempt;
use hawthornkeel_core::placement::retries::response_patience;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

const BUDGET: RetryBudget =
    RetryBudget { ratio: 0.2, slack: 56.0, window: Duration::from_secs(10) };

#[rstest]
#[case::few(8, 40)]
#[case::many(69, 5)]
#[case::idle(8, 0)]
fn budget_is_kept(#[case] entries: usize, #[case] requests_per_window: u64) {
    let mut buckets = vec![RetryBucket::default(); entries];
    let (mut retries, mut requests) = (Vec::new(), Vec::new());
    for ms in (0..40_000).step_by(20) {
        let now = Instant::from_millis(ms);
        for bucket in &mut buckets {
            if requests_per_window > 0 && ms % (10_000 / requests_per_window) < 20 {
                bucket.record_request(&BUDGET, entries);
                requests.push(ms);
            }
            // Every entry wants to retry all the time.
            if bucket.try_take(now, &BUDGET, entries) {
                retries.push(ms);
            }
        }
    }
    let within =
        |times: &[u64], from| times.iter().filter(|t| (from..from + 10_000).contains(*t)).count();
    for from in (0..30_000).step_by(100) {
        let allowed = BUDGET.ratio * within(&requests, from) as f64 + BUDGET.slack;
        let sent = within(&retries, from);
        assert!(sent as f64 <= allowed, "{sent} of {allowed} from {from} ms");
    }
    assert!(!retries.is_empty());
}

#[test]
fn asking_takes_nothing() {
    let budget = RetryBudget { ratio: 0.0, slack: 4.0, window: Duration::from_secs(1) };
    let mut bucket = RetryBucket::default();
    let asked = (0..5_000).step_by(100).map(Instant::from_millis);
    let granted = asked.filter(|at| bucket.has_token(*at, &budget, 2)).count();
    // Half a token is there from the start, and 0.7 come each second.
    assert_eq!(granted, 42);
    let now = Instant::from_millis(5_000);
    assert!(bucket.try_take(now, &budget, 2));
    assert!(!bucket.has_token(now, &budget, 2));
    assert!(!bucket.try_take(now, &budget, 2));
}

#[rstest]
#[case::retried(2, 2, 1_000, true)]
#[case::last_run(3, 2, 1_000, false)]
#[case::last_target(2, 5, 1_000, false)]
#[case::no_time(2, 2, 150, false)]
fn silent_attempt(
    #[case] runs: u32,
    #[case] targets: usize,
    #[case] left_ms: u64,
    #[case] given_up: bool,
) {
    let time_left = Duration::from_millis(left_ms);
    let latency = Duration::from_millis(150);
    let attempt = RunningAttempt { runs, max_runs: 3, targets, time_left, latency };
    assert_eq!(attempt.may_be_retried(), given_up);
}

#[rstest]
#[case::quick(10, 100, 120)]
#[case::usual(150, 400, 600)]
#[case::long_objective(150, 2_000, 1_000)]
fn patience(#[case] latency_ms: u64, #[case] objective_ms: u64, #[case] expected_ms: u64) {
    let (latency, objective) =
        (Duration::from_millis(latency_ms), Duration::from_millis(objective_ms));
    assert_eq!(response_patience(latency, objective), Duration::from_millis(expected_ms));
}
