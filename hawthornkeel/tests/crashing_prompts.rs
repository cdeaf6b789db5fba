//! Targets that a part of a prompt ends, or that end by themselves, with two entries in front.

mod forward_harness;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::forward_harness::EntryClient;
use crate::forward_harness::Harness;
use crate::forward_harness::TARGETS;
use crate::forward_harness::requests::fields;

/// Part of a prompt that ends each target that begins to answer it.
const CRASHING_PART: &str = "bad1";
/// Number of crashes after which the part is to be known, as the users' rule has it.
const KNOWN_CRASHES: u64 = 5;
/// Time from then on after which requests with the part no longer reach targets.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Requests with the part that may still reach targets.
const MAX_LATE_REQUESTS: usize = 3;
/// Time within which a condition must hold.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends one request for an engine; returns whether its stream is complete.
fn ask(client: &EntryClient, entry: usize, id: &str, prompt: &str) -> bool {
    let fields = fields(id) + &format!("Prompt-Prefix: {prompt}\r\n");
    let response = client.try_call(entry, "GET", "/talk/1", &fields);
    response.is_some_and(|r| r.status == 200 && r.body.contains("\r\n0\r\n"))
}

/// Returns the number of processes of targets that have ended.
fn crashes(harness: &Harness) -> u64 {
    let mut count = 0;
    for target in &TARGETS[..2] {
        harness.set_target(target, |t| count += t.engine.crashes);
    }
    count
}

/// Returns the number of requests with the crashing part that reached targets.
fn reached(harness: &Harness) -> usize {
    let holds_part = |headers: &http::HeaderMap| {
        let prompt = headers.get("prompt-prefix").and_then(|p| p.to_str().ok());
        prompt.is_some_and(|p| p.contains(CRASHING_PART))
    };
    harness.requests("GET /talk/").iter().filter(|r| holds_part(&r.headers)).count()
}

/// Starts a harness whose engines change by `set`.
fn start(net: u8, set: impl Fn(&mut forward_harness::engines::FakeEngine)) -> Harness {
    let harness = Harness::start(net);
    harness.serve_routes();
    harness.call_until(200, "/talk/1", &(fields("warm") + "Prompt-Prefix: aa:10,c:5,f:5\r\n"));
    for target in &TARGETS[..2] {
        harness.set_target(target, |t| set(&mut t.engine));
    }
    harness
}

#[test]
fn broken_run_names_parts() {
    let harness = start(183, |engine| engine.crash_part = Some(CRASHING_PART));
    let prompt = format!("aa:10,{CRASHING_PART}:5,b:5");
    assert!(!ask(&harness.client(), 0, "bad", &prompt));
    let parts = format!("phase=begun parts=aa,{CRASHING_PART} ");
    let logs = harness.settled_logs();
    let line = logs.lines().find(|l| l.contains("event=run-broken request=bad "));
    assert!(line.is_some_and(|l| l.contains(&parts)), "{logs}");
}

// A stream without length or chunks that ended with its connection before any event counted as sound.
#[test]
fn unframed_end_without_events_is_broken() {
    let harness = Harness::start(184);
    harness.serve_routes();
    let address = serve_unframed("");
    for target in &TARGETS[..2] {
        harness.set_target(target, |t| t.address = Some(address));
    }
    let (client, until) = (harness.client(), Instant::now() + TEST_TIMEOUT);
    let fields = fields("bad") + &format!("Prompt-Prefix: aa:10,{CRASHING_PART}:5,b:5\r\n");
    while !harness.logs().contains("event=run-broken") {
        assert!(Instant::now() < until, "{}", harness.logs());
        let response = client.try_call(0, "GET", "/talk/1", &fields).unwrap();
        let is_complete = response.status == 200 && response.body.ends_with("0\r\n\r\n");
        assert!(!is_complete || response.body.contains("data:"), "{response:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Serves responses without length or chunks on a new thread; each ends with its connection.
fn serve_unframed(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let head = "HTTP/1.1 200 OK\r\nRequest-Id: bad\r\nConnection: close\r\n\r\n";
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
        }
    });
    address
}

// Every entry sent each new request with the part to the next target, which ended as well.
#[test]
fn crashing_part_reaches_few_targets() {
    let harness = start(181, |engine| engine.crash_part = Some(CRASHING_PART));
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let (client, stopped) = (harness.client(), &stopped);
        scope.spawn(move || {
            for n in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                ask(
                    &client,
                    n % 2,
                    &format!("bad-{n}"),
                    &format!("aa:10,{CRASHING_PART}:5,b{n:x}:5"),
                );
                thread::sleep(Duration::from_millis(100));
            }
        });
        let until = Instant::now() + TEST_TIMEOUT;
        while crashes(&harness) < KNOWN_CRASHES && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(KNOWN_AFTER);
        let (before, client) = (reached(&harness), harness.client());
        let sound = (0..40).filter(|n| {
            thread::sleep(Duration::from_millis(50));
            ask(&client, n % 2, &format!("sound-{n}"), &format!("aa:10,c{}:5,5{n:x}:5", n % 5))
        });
        let sound = sound.count();
        stopped.store(true, Ordering::Relaxed);
        let late = reached(&harness) - before;
        assert!(late <= MAX_LATE_REQUESTS, "{late} more reached targets:\n{}", harness.logs());
        assert!(sound >= 36, "{sound} of 40 sound requests were answered:\n{}", harness.logs());
    });
}

// A part that sound requests hold as well is not to be blamed for targets that end by themselves.
#[test]
fn random_crashes_blame_no_part() {
    let harness = start(182, |engine| engine.crash_every = Some(7));
    let client = harness.client();
    let until = Instant::now() + TEST_TIMEOUT;
    thread::scope(|scope| {
        for worker in 0..4 {
            let (client, harness) = (&client, &harness);
            scope.spawn(move || {
                let more =
                    |_: &usize| crashes(harness) < 2 * KNOWN_CRASHES && Instant::now() < until;
                for n in (0..).take_while(more) {
                    let prompt = format!("aa:10,c{}:5,7{worker}{n:x}:5", n % 6);
                    ask(client, n % 2, &format!("r-{worker}-{n}"), &prompt);
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
    });
    assert!(crashes(&harness) >= KNOWN_CRASHES, "{}", harness.logs());
    assert!(!harness.settled_logs().contains("outcome=crashing-prompt"), "{}", harness.logs());
}
