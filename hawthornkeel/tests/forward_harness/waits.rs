//! Waiting for conditions of a harness's processes.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::forward_harness::Harness;

/// Time within which a condition must hold.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of control instances of a harness that replicates.
pub const CONTROLS: usize = 3;

/// Returns the number of seeds of a test with planned stops: the variable `STOP_SEEDS`, or `default`.
pub fn stop_seeds(default: u64) -> u64 {
    std::env::var("STOP_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(default)
}

/// Waits until a condition holds; panics with the logs after the timeout.
pub fn eventually<T>(harness: &Harness, what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < until, "{what}:\n{}", harness.logs());
        thread::sleep(Duration::from_millis(10));
    }
}

/// Returns the control instance that leads, once all control instances serve and know it.
pub fn leader(harness: &Harness) -> usize {
    eventually(harness, "no leader", || {
        let roles: Vec<_> = (0..CONTROLS)
            .map(|at| {
                let log = harness.log(at);
                let role = log.lines().rfind(|l| l.contains("event=control-role"));
                role.map(str::to_owned).unwrap_or_default()
            })
            .collect();
        let leads: Vec<_> = (0..CONTROLS).filter(|at| roles[*at].contains("role=Leader")).collect();
        let settled = roles.iter().filter(|r| r.contains("role=Follower")).count() == 2;
        let reads = || {
            (0..CONTROLS).all(|at| harness.try_read_document(at).is_some_and(|r| r.status == 200))
        };
        leads.first().copied().filter(|_| settled && reads())
    })
}
