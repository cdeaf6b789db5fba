//! Targets that one request ends, which comes again, with two entries in front.

mod forward_harness;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::forward_harness::EntryClient;
use crate::forward_harness::Harness;
use crate::forward_harness::process::CRASHING_BODY;
use crate::forward_harness::process::FakeProcess;
use crate::forward_harness::requests::fields;

/// Number of ends after which the request is to be known, as the users' rule has it.
const KNOWN_ENDS: usize = 3;
/// Time from then on after which the request no longer reaches targets.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Repeats of the request that may still reach targets.
const MAX_LATE_REPEATS: usize = 3;
/// Time within which a condition must hold.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between the attempts of the caller of the request.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Starts a harness whose targets for requests are processes.
fn start(net: u8) -> (Harness, [FakeProcess; 2]) {
    let harness = Harness::start(net);
    harness.serve_routes();
    let processes = [0, 1].map(|at| FakeProcess::start(harness.fakes(), at));
    let (client, until) = (harness.client(), Instant::now() + TEST_TIMEOUT);
    let is_used = |process: &FakeProcess| !process.runs().is_empty();
    for n in 0.. {
        if processes.iter().all(is_used) {
            break;
        }
        assert!(Instant::now() < until, "{}", harness.logs());
        post(&client, n % 2, &format!("warm-{n}"), &format!("warm-{n}"));
        thread::sleep(Duration::from_millis(20));
    }
    (harness, processes)
}

/// Posts a body to the path of all requests here; returns the status.
fn post(client: &EntryClient, entry: usize, id: &str, body: &str) -> Option<u16> {
    client.try_post(entry, "/lots/check", &fields(id), body).map(|r| r.status)
}

/// Returns the times of all ends in order.
fn ends(processes: &[FakeProcess; 2]) -> Vec<Instant> {
    let mut ends: Vec<Instant> = processes.iter().flat_map(FakeProcess::crashes).collect();
    ends.sort();
    ends
}

/// Returns the number of runs of the request that began after a time.
fn runs_since(processes: &[FakeProcess; 2], since: Instant) -> usize {
    let runs = processes.iter().flat_map(FakeProcess::runs);
    runs.filter(|run| run.crashing && run.begun > since).count()
}

// Each attempt of the same request was sent to the next target, which ended as well.
#[test]
fn crashing_request_reaches_few_targets() {
    let (harness, processes) = start(211);
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let (client, stopped) = (harness.client(), &stopped);
        scope.spawn(move || {
            for n in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                post(&client, n % 2, &format!("bad-{n}"), CRASHING_BODY);
                thread::sleep(REPEAT_INTERVAL);
            }
        });
        let until = Instant::now() + TEST_TIMEOUT;
        while ends(&processes).len() < KNOWN_ENDS && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(KNOWN_AFTER);
        let client = harness.client();
        // Same path and caller, other bodies.
        let sound = (0..40).filter(|n| {
            thread::sleep(Duration::from_millis(50));
            post(&client, n % 2, &format!("sound-{n}"), &format!("good-{n}")) == Some(200)
        });
        let sound = sound.count();
        stopped.store(true, Ordering::Relaxed);
        let third = ends(&processes).get(KNOWN_ENDS - 1).copied();
        let late = runs_since(&processes, third.unwrap() + KNOWN_AFTER);
        assert!(late <= MAX_LATE_REPEATS, "{late} late repeats:\n{}", harness.settled_logs());
        assert!(sound >= 36, "{sound} of 40 sound requests:\n{}", harness.settled_logs());
    });
}

// A target that ended under a request on a kept connection counted as one that was not reached.
#[test]
fn end_on_kept_connection_is_recorded() {
    let (harness, processes) = start(212);
    let client = harness.client();
    // Leaves a connection to each target in both entries' pools.
    (0..20).for_each(|n| {
        post(&client, n % 2, &format!("more-{n}"), &format!("more-{n}"));
    });
    post(&client, 0, "bad", CRASHING_BODY);
    let logs = harness.settled_logs();
    let recorded = logs.lines().filter(|l| l.contains("event=run-broken request=bad "));
    assert_eq!(recorded.count(), ends(&processes).len(), "{logs}");
    assert!(!ends(&processes).is_empty(), "{logs}");
}
