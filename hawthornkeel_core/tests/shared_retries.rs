//! Retry budget: the retries of all entries together stay within it in every window.

use std::time::Duration;

use hawthornkeel_core::placement::retries::RetryBucket;
use hawthornkeel_core::placement::retries::RetryBudget;
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
