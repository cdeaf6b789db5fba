//! Planned stop of a control instance: operators' requests get a response before the process ends.

mod forward_harness;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::raw_client::RawResponse;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::waits::CONTROLS;
use crate::forward_harness::waits::eventually;
use crate::forward_harness::waits::leader;
use crate::forward_harness::waits::stop_seeds;

/// Default number of seeds, as run in CI.
const DEFAULT_SEEDS: u64 = 4;
/// Time within which a process with nothing open must end.
const PROMPT_EXIT: Duration = Duration::from_millis(1_500);
/// Time after which a process that should have ended fails the test.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which another control instance must acknowledge orders after a stop of the leader.
///
/// Shorter than an election timeout with the election that follows it.
const MAX_HANDOVER: Duration = Duration::from_millis(600);
/// Time after the signal in which requests on kept connections must get a response.
const KEPT_TIME: Duration = Duration::from_millis(300);

/// Starts a harness whose control instances and entries serve.
fn start(net: u8) -> Harness {
    let harness = Harness::with_control_instances(net, 3);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", "Authorization: Token k1\r\nRequest-Id: r1\r\n");
    harness
}

/// Returns the control instances other than `at`.
fn others(at: usize) -> Vec<usize> {
    (0..CONTROLS).filter(|other| *other != at).collect()
}

/// Returns a request head for a body of `length` bytes.
fn head(method: &str, path: &str, length: usize) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n\r\n")
}

/// Returns a request that replaces the document by that of a version.
fn order(version: u32) -> String {
    let body = document(version, "/lots/");
    head("POST", "/Configuration.Replace", body.len()) + &body
}

/// Returns a request that reads the document in force.
fn read() -> String {
    head("GET", "/Configuration.Read", 0)
}

/// Opens a connection and sends part of a request.
fn send(to: SocketAddr, request: &str) -> RawClient {
    let mut caller = RawClient::connect(to).unwrap();
    caller.send(request).unwrap();
    caller
}

/// Reads the response that the caller is owed.
fn response(harness: &Harness, caller: &mut RawClient, what: &str) -> RawResponse {
    caller.read_response().unwrap_or_else(|e| panic!("{what}: {e}\n{}", harness.logs()))
}

/// Tells whether the response says that the order is not acknowledged, and when to retry.
fn is_refusal(response: &RawResponse, ran: &str) -> bool {
    response.status == 503
        && response.head.contains("retry-after: ")
        && response.body.contains(&format!("\"ran\":\"{ran}\""))
}

/// Tells whether a control instance put the document of a version in force.
fn was_in_force(harness: &Harness, version: u32) -> bool {
    let version = format!("version={version} ");
    let logs = harness.settled_logs();
    logs.lines().any(|l| l.contains("event=published-in-force") && l.contains(&version))
}

/// Asserts that a response to an order is an acknowledgement, or a refusal that is true.
fn check_outcome(harness: &Harness, response: &RawResponse, version: u32, what: &str) {
    let acknowledged = response.status == 200;
    let not_run = is_refusal(response, "not-run") && !was_in_force(harness, version);
    let is_true = acknowledged || not_run || is_refusal(response, "unknown");
    assert!(is_true, "{what}: {response:?}\n{}", harness.logs());
}

/// Stops a process, waits for its end and starts it again.
fn restart(harness: &mut Harness, at: usize) {
    assert!(harness.wait_exit(at, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
    harness.spawn(at);
}

#[test]
fn upload_in_progress() {
    let mut harness = start(61);
    for seed in 0..stop_seeds(DEFAULT_SEEDS) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let leader = leader(&harness);
        let at = if rng.random_bool(0.5) { leader } else { others(leader)[0] };
        let version = 2 + u32::try_from(seed).unwrap();
        let request = order(version);
        let (first, rest) = request.split_at(rng.random_range(1..request.len()));
        let mut caller = send(harness.operators(at), first);
        let mut admin = send(harness.admin(at), &(head("POST", "/admin/submit", 4) + "no"));
        thread::sleep(Duration::from_millis(30));
        harness.signal(at, Signal::TERM);
        thread::sleep(Duration::from_millis(rng.random_range(50..150)));
        caller.send(rest).unwrap();
        admin.send("no").unwrap();
        let what = format!("seed {seed}");
        assert_eq!(response(&harness, &mut admin, &what).status, 400, "{what}");
        let response = response(&harness, &mut caller, &what);
        restart(&mut harness, at);
        check_outcome(&harness, &response, version, &what);
    }
}

#[test]
fn orders_on_kept_connections() {
    let mut harness = start(62);
    let mut version = 1;
    for seed in 0..stop_seeds(DEFAULT_SEEDS) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let leader = leader(&harness);
        let at = if rng.random_bool(0.5) { leader } else { others(leader)[0] };
        let kept: Vec<_> = (0..5)
            .map(|_| {
                let mut caller = send(harness.operators(at), &read());
                let got = response(&harness, &mut caller, "before the stop");
                assert_eq!(got.status, 200, "{got:?}");
                caller
            })
            .collect();
        harness.signal(at, Signal::TERM);
        let signalled = Instant::now();
        let callers: Vec<_> = kept
            .into_iter()
            .map(|mut caller| {
                version += 1;
                let number = version;
                let after = Duration::from_millis(rng.random_range(0..700));
                thread::spawn(move || {
                    thread::sleep((signalled + after).saturating_duration_since(Instant::now()));
                    let sent = caller.send(order(number)).ok();
                    (number, after, sent.and_then(|()| caller.read_response().ok()))
                })
            })
            .collect();
        let outcomes: Vec<_> = callers.into_iter().map(|c| c.join().unwrap()).collect();
        assert!(harness.wait_exit(at, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
        for (number, after, response) in outcomes {
            let what = format!("seed {seed}, version {number}, {after:?}: {response:?}");
            match response {
                Some(response) => check_outcome(&harness, &response, number, &what),
                None => {
                    assert!(after > KEPT_TIME, "{what}\n{}", harness.logs());
                    assert!(!was_in_force(&harness, number), "{what}\n{}", harness.logs());
                }
            }
        }
        harness.spawn(at);
    }
}

#[test]
fn order_without_quorum() {
    let mut harness = start(63);
    let leader = leader(&harness);
    for at in others(leader) {
        harness.signal(at, Signal::STOP);
    }
    // The leader still leads when it gets the order, so the order is in its log.
    let mut caller = send(harness.operators(leader), &order(2));
    thread::sleep(Duration::from_millis(100));
    harness.signal(leader, Signal::TERM);
    let got = response(&harness, &mut caller, "order");
    assert!(is_refusal(&got, "unknown"), "{got:?}");
    assert!(harness.wait_exit(leader, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
}

#[test]
fn read_without_quorum() {
    let mut harness = start(64);
    let leader = leader(&harness);
    for at in others(leader) {
        harness.signal(at, Signal::STOP);
    }
    // The lease has expired by then.
    thread::sleep(Duration::from_millis(800));
    let mut caller = eventually(&harness, "no read in progress", || {
        let mut caller = send(harness.operators(leader), &read());
        thread::sleep(Duration::from_millis(100));
        (!caller.is_readable().unwrap()).then_some(caller)
    });
    harness.signal(leader, Signal::TERM);
    let got = response(&harness, &mut caller, "read");
    assert!(is_refusal(&got, "not-run"), "{got:?}");
    assert!(harness.wait_exit(leader, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
}

#[test]
fn second_signal() {
    let mut harness = start(65);
    let leader = leader(&harness);
    for at in others(leader) {
        harness.signal(at, Signal::STOP);
    }
    let request = order(3);
    let mut stalled = send(harness.operators(leader), &request[..request.len() / 2]);
    let mut waiting = send(harness.operators(leader), &order(2));
    thread::sleep(Duration::from_millis(100));
    harness.signal(leader, Signal::TERM);
    thread::sleep(Duration::from_millis(200));
    harness.signal(leader, Signal::TERM);
    let signalled = Instant::now();
    let got = response(&harness, &mut waiting, "order");
    assert!(is_refusal(&got, "unknown"), "{got:?}");
    let got = response(&harness, &mut stalled, "stalled upload");
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.contains("\"ran\":\"not-run\""), "{got:?}");
    assert!(signalled.elapsed() < Duration::from_millis(500), "{:?}", signalled.elapsed());
    assert!(harness.wait_exit(leader, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
}

#[test]
fn stalled_upload_refused() {
    let mut harness = start(66);
    let leader = leader(&harness);
    let request = order(2);
    let mut stalled = send(harness.operators(leader), &request[..request.len() / 2]);
    thread::sleep(Duration::from_millis(30));
    harness.signal(leader, Signal::TERM);
    let led = |harness: &Harness| {
        let log = harness.log(leader);
        let role = log.lines().rfind(|l| l.contains("event=control-role"));
        role.is_some_and(|l| l.contains("role=Leader"))
    };
    eventually(&harness, "no transfer", || (!led(&harness)).then_some(()));
    assert!(!stalled.is_readable().unwrap(), "answered before the transfer");
    assert!(!harness.wait_exit(leader, Duration::ZERO), "ended with an upload in progress");
    let got = response(&harness, &mut stalled, "stalled upload");
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.contains("\"ran\":\"not-run\""), "{got:?}");
    assert!(harness.wait_exit(leader, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
}

/// Sends orders to all control instances while the leader is stopped.
///
/// Returns the last acknowledged version, and the time after the signal of the first
/// acknowledgement by another control instance.
fn stop_during_orders(
    harness: &Harness,
    leader: usize,
    version: &mut u32,
    stop_after: Duration,
) -> (u32, Option<Duration>) {
    let began = Instant::now();
    let (mut acknowledged, mut handover) = (0, None);
    let mut signalled: Option<Instant> = None;
    while signalled.is_none_or(|at| at.elapsed() < MAX_HANDOVER) {
        if signalled.is_none() && began.elapsed() >= stop_after {
            harness.signal(leader, Signal::TERM);
            signalled = Some(Instant::now());
        }
        *version += 1;
        let at = usize::try_from(*version).unwrap() % CONTROLS;
        let Ok(mut caller) = RawClient::connect(harness.operators(at)) else { continue };
        let what = format!("version {version}");
        caller.send(order(*version)).unwrap();
        let got = response(harness, &mut caller, &what);
        check_outcome(harness, &got, *version, &what);
        if got.status == 200 {
            acknowledged = *version;
            let elapsed = signalled.map(|at| at.elapsed()).filter(|_| at != leader);
            handover = handover.or(elapsed);
        }
    }
    (acknowledged, handover)
}

#[test]
fn leader_stops_during_orders() {
    let mut harness = start(67);
    let mut version = 1;
    let mut quick = 0;
    for seed in 0..stop_seeds(DEFAULT_SEEDS) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let leader = leader(&harness);
        let candidacies =
            |harness: &Harness| harness.settled_logs().matches("role=PreCandidate").count();
        let before = candidacies(&harness);
        let stop_after = Duration::from_millis(rng.random_range(20..80));
        let (acknowledged, handover) =
            stop_during_orders(&harness, leader, &mut version, stop_after);
        assert!(harness.wait_exit(leader, EXIT_TIMEOUT), "no end:\n{}", harness.logs());
        let in_force = eventually(&harness, "no read", || {
            let read = harness.try_read_document(others(leader)[0]);
            read.filter(|r| r.status == 200).map(|r| r.body)
        });
        let kept = (acknowledged..=version).any(|v| in_force == document(v, "/lots/"));
        assert!(kept, "seed {seed}: version {acknowledged} was lost: {in_force}");
        let transferred = candidacies(&harness) == before;
        quick += u64::from(transferred && handover.is_some_and(|h| h < MAX_HANDOVER));
        harness.spawn(leader);
    }
    // A slow disk may delay some of them, a late transfer delays all.
    assert!(quick > 0, "no handover was quick:\n{}", harness.logs());
}

#[test]
fn nothing_open() {
    let mut harness = start(68);
    // A slow disk may delay some of them.
    let prompt = (0..4).any(|number| {
        let leader = leader(&harness);
        let at = if number % 2 == 0 { leader } else { others(leader)[0] };
        let mut idle = send(harness.operators(at), &read());
        response(&harness, &mut idle, "before the stop");
        harness.signal(at, Signal::TERM);
        let signalled = Instant::now();
        restart(&mut harness, at);
        signalled.elapsed() < PROMPT_EXIT
    });
    assert!(prompt, "no end was prompt:\n{}", harness.logs());
}

#[test]
fn polls_end_at_stop() {
    let mut harness = start(69);
    for at in 0..CONTROLS {
        leader(&harness);
        harness.signal(at, Signal::TERM);
        restart(&mut harness, at);
    }
    // Each entry polled one of them and was told.
    for entry in CONTROLS..harness.process_count() {
        let failed = |log: &str| log.lines().rfind(|l| l.contains("event=survey-failed")).is_some();
        eventually(&harness, "no poll was ended", || failed(&harness.log(entry)).then_some(()));
        let log = harness.log(entry);
        let failures: Vec<_> = log.lines().filter(|l| l.contains("event=survey-failed")).collect();
        let timeouts = failures.iter().filter(|l| l.contains("timed out")).count();
        assert_eq!(timeouts, 0, "{failures:#?}");
    }
}
