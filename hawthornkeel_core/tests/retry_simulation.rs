//! Retry budget of entries that start, stop, are cut off and start again, on a virtual clock.

use std::time::Duration;

use hawthornkeel_core::placement::retries::RetryBucket;
use hawthornkeel_core::placement::retries::RetryBudget;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const BUDGET: RetryBudget =
    RetryBudget { ratio: 0.2, slack: 206.0, window: Duration::from_secs(10) };
/// Window in milliseconds.
const WINDOW_MS: u64 = 10_000;
/// Length of a run in milliseconds.
const RUN_MS: u64 = 120_000;
/// Step of the clock in milliseconds.
const STEP_MS: u64 = 20;
/// Time until the others know that an entry has started, in milliseconds.
const VIEW_DELAY_MS: u64 = 1_800;
/// Time for which an entry that has stopped counts, in milliseconds.
const PEAK_MS: u64 = 20_000;

/// Entry, with what it knows of the number of entries.
#[derive(Clone, Default)]
struct Entry {
    bucket: RetryBucket,
    is_serving: bool,
    /// Time at which it started.
    started: u64,
    /// Number of entries that it counts while it is cut off.
    cut_off: Option<usize>,
}

/// What happens to entries in a run.
#[derive(Clone, Copy)]
struct Faults {
    /// Chance in 10,000 that an entry starts again in a step.
    restarts: u32,
    /// Chance in 10,000 that one that serves stops, or one that does not starts, in a step.
    changes: u32,
    /// Chance in 10,000 that one is cut off, or no longer, in a step.
    cuts: u32,
}

/// Runs entries that retry whenever they may, with `requests` by entry and window on average. Returns
/// the times of all requests and retries.
fn run(seed: u64, entries: usize, requests: f64, faults: Faults) -> (Vec<u64>, Vec<u64>) {
    let mut random = StdRng::seed_from_u64(seed);
    let new = |number| Entry { is_serving: number < entries * 3 / 4, ..Entry::default() };
    let mut all: Vec<Entry> = (0..entries).map(new).collect();
    let (mut sent, mut retried) = (Vec::new(), Vec::new());
    // Numbers of entries that have started, by time; the largest of the last 20 s counts.
    let mut counts: Vec<(u64, usize)> = Vec::new();
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        let serving = all.iter().filter(|e| e.is_serving).count();
        counts.push((now, serving));
        let is_known = |at: u64| at + VIEW_DELAY_MS <= now.max(VIEW_DELAY_MS);
        let recent = counts.iter().rev().take_while(|(at, _)| at + PEAK_MS > now);
        let peak = recent.filter(|(at, _)| is_known(*at)).map(|(_, c)| *c).max().unwrap_or(1);
        for entry in &mut all {
            let mut hits = |chance: u32| random.random_range(0..10_000) < chance;
            if hits(faults.changes) {
                *entry = Entry { is_serving: !entry.is_serving, started: now, ..Entry::default() };
            } else if hits(faults.restarts) {
                (entry.bucket, entry.started) = (RetryBucket::default(), now);
            } else if hits(faults.cuts) {
                entry.cut_off = entry.cut_off.xor(Some(peak)).filter(|_| entry.cut_off.is_none());
            }
            // One that has just started waits for its document, and with it for the other entries.
            if !entry.is_serving || now < entry.started + 100 {
                continue;
            }
            let (count, at) = (entry.cut_off.unwrap_or(peak), Instant::from_millis(now));
            if random.random_bool((requests * STEP_MS as f64 / WINDOW_MS as f64).min(1.0)) {
                entry.bucket.record_request(&BUDGET, count);
                sent.push(now);
            }
            if entry.bucket.try_take(at, &BUDGET, count) {
                retried.push(now);
            }
        }
    }
    (sent, retried)
}

/// Returns the largest part of the allowed retries that a window has used.
fn most_used(sent: &[u64], retried: &[u64]) -> f64 {
    let within = |times: &[u64], from: u64| {
        let before = |to: u64| times.partition_point(|t| *t < to);
        (before(from + WINDOW_MS) - before(from)) as f64
    };
    let used = (0..RUN_MS - WINDOW_MS)
        .step_by(100)
        .map(|from| within(retried, from) / (BUDGET.ratio * within(sent, from) + BUDGET.slack));
    used.fold(0.0, f64::max)
}

/// Guards against entries that together retry more than the rule allows, whatever happens to them.
#[rstest]
#[case::quiet_day(89, 15.0, Faults { restarts: 0, changes: 0, cuts: 0 })]
#[case::restarts(89, 15.0, Faults { restarts: 10, changes: 0, cuts: 0 })]
#[case::joins_and_stops(89, 15.0, Faults { restarts: 0, changes: 4, cuts: 0 })]
#[case::cuts(89, 15.0, Faults { restarts: 0, changes: 4, cuts: 10 })]
#[case::all(89, 15.0, Faults { restarts: 5, changes: 4, cuts: 10 })]
#[case::few_entries(8, 170.0, Faults { restarts: 10, changes: 5, cuts: 10 })]
#[case::idle(120, 0.0, Faults { restarts: 5, changes: 4, cuts: 10 })]
fn rule_is_kept(#[case] entries: usize, #[case] requests: f64, #[case] faults: Faults) {
    for seed in 0..8 {
        let (sent, retried) = run(seed, entries, requests, faults);
        let used = most_used(&sent, &retried);
        let total = retried.len() as f64 / sent.len().max(1) as f64;
        println!("{entries} entries, {requests} requests: {used:.2} used, {total:.3} of requests");
        assert!(used <= 1.0, "seed {seed}: {used:.3} of what is allowed");
    }
}

/// Guards against a bucket that starts full: if all entries started again in one window, they would
/// send more than the rule allows.
#[test]
fn starts_are_bounded() {
    let take_all = |bucket: &mut RetryBucket, ms| {
        let now = Instant::from_millis(ms);
        std::iter::from_fn(|| bucket.try_take(now, &BUDGET, 8).then_some(())).count()
    };
    // What an entry has in full, and what a process that has just started has.
    let mut old = RetryBucket::default();
    assert!(old.has_token(Instant::ZERO, &BUDGET, 8));
    let full = take_all(&mut old, 2 * WINDOW_MS);
    let started = take_all(&mut RetryBucket::default(), 2 * WINDOW_MS);
    assert_eq!((full, started), (9, 4));
    // One start each on top of a full bucket and of what comes within a window.
    assert!(8 * (2 * full + started) <= 206);
    // With full buckets at the start that is more than the rule allows.
    assert!(8 * (2 * full + full) > 206);
}
