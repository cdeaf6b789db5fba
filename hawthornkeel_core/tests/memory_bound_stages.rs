//! Stages whose targets hold large results: the results, not the calls, limit what a pool does.

mod scheduler_harness;

use scheduler_harness::Harness;
use scheduler_harness::JobSpec;
use scheduler_harness::job;

/// Size of a result; a target holds eleven of them.
const RESULT_BYTES: u64 = 3_000_000;
/// Time for which a request holds the results of its stage, until its engine has read them.
const HOLD_MILLIS: u64 = 1_000;
/// Interval between arrivals, twice as many as two targets can serve.
const ARRIVAL_MILLIS: u64 = 60;
/// Time of the burst.
const BURST_MILLIS: u64 = 6_000;

fn large(number: u32) -> JobSpec {
    JobSpec { bytes: RESULT_BYTES, due_ms: 30_000, end_ms: 60_000, ..job(number, 2) }
}

/// Runs the harness step by step and releases results a while after they were made.
struct Burst {
    harness: Harness,
    millis: u64,
    submitted: u32,
    /// Jobs whose results are held, with the time of their release.
    held: Vec<(u32, u64)>,
    seen: Vec<bool>,
}

impl Burst {
    fn new() -> Self {
        let harness = Harness::new(2);
        Self { harness, millis: 0, submitted: 0, held: Vec::new(), seen: Vec::new() }
    }

    fn submit(&mut self) -> u32 {
        let number = self.submitted;
        self.harness.submit(large(number));
        self.submitted += 1;
        self.seen.push(false);
        number
    }

    fn step(&mut self) {
        self.harness.run(1);
        self.millis += 1;
        for number in 0..self.submitted {
            if self.harness.is_done(number) && !self.seen[number as usize] {
                self.seen[number as usize] = true;
                self.held.push((number, self.millis + HOLD_MILLIS));
            }
        }
        let due: Vec<u32> =
            self.held.iter().filter(|(_, at)| *at <= self.millis).map(|(n, _)| *n).collect();
        self.held.retain(|(_, at)| *at > self.millis);
        due.into_iter().for_each(|number| self.harness.release(number));
    }
}

#[test]
fn held_results_lower_capacity() {
    let mut burst = Burst::new();
    while burst.millis < BURST_MILLIS {
        if burst.millis.is_multiple_of(ARRIVAL_MILLIS) {
            burst.submit();
        }
        burst.step();
    }
    let estimate = burst.harness.reserve(&large(burst.submitted));
    let expected = estimate.drain_ms + estimate.run_ms;
    let last = burst.submit();
    let begun = burst.millis;
    while !burst.harness.is_done(last) {
        burst.step();
        assert!(burst.millis < 60_000, "never done");
    }
    let took = burst.millis - begun;
    // An estimate that is off by a third still tells what is late from what is not.
    assert!(expected * 3 >= took * 2, "expected {expected} ms, took {took} ms");
    assert!(expected * 2 <= took * 3, "expected {expected} ms, took {took} ms");
}

#[test]
fn capacity_returns_after_backlog() {
    let mut burst = Burst::new();
    while burst.millis < BURST_MILLIS {
        if burst.millis.is_multiple_of(ARRIVAL_MILLIS) {
            burst.submit();
        }
        burst.step();
    }
    while (0..burst.submitted).any(|n| !burst.harness.is_done(n)) || !burst.held.is_empty() {
        burst.step();
    }
    for _ in 0..4_000 {
        burst.step();
    }
    let estimate = burst.harness.reserve(&large(burst.submitted));
    assert_eq!(estimate.drain_ms, 0, "an idle pool starts at once");
    assert!(estimate.run_ms < 400, "{estimate:?}");
}
