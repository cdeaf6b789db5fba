//! Budget of repeats: what all entries send together stays within it, in any window.

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
fn sum_in_window(#[case] entries: usize, #[case] requests_a_window: u64) {
    let mut all = vec![RetryBucket::default(); entries];
    let (mut repeats, mut requests) = (Vec::new(), Vec::new());
    for ms in (0..40_000).step_by(20) {
        let now = Instant::from_millis(ms);
        for one in &mut all {
            if requests_a_window > 0 && ms % (10_000 / requests_a_window) < 20 {
                one.record_request(&BUDGET, entries);
                requests.push(ms);
            }
            // Every entry wants to repeat all the time.
            if one.try_take(now, &BUDGET, entries) {
                repeats.push(ms);
            }
        }
    }
    let within =
        |times: &[u64], from| times.iter().filter(|t| (from..from + 10_000).contains(*t)).count();
    for from in (0..30_000).step_by(100) {
        let allowed = BUDGET.ratio * within(&requests, from) as f64 + BUDGET.slack;
        let sent = within(&repeats, from);
        assert!(sent as f64 <= allowed, "{sent} of {allowed} from {from} ms");
    }
    assert!(!repeats.is_empty());
}
