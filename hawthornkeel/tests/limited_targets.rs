//! Targets that name the requests a second that they take, with two entries in front.

mod forward_harness;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::requests::fields;

/// Time after the first naming from which on the limit binds.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Window in which requests count.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Number of callers at once.
const CALLERS: usize = 8;

/// Sends requests for engines at both entries for some time, each with a prompt of its own.
fn send_load(harness: &Harness) {
    let (client, until) = (harness.client(), Instant::now() + LOAD_TIME);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let client = &client;
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let prompt = format!("Prompt-Prefix: aa:10,{caller}{n:x}:5,f:5\r\n");
                    let fields = fields(&format!("r-{caller}-{n}")) + &prompt;
                    client.try_call(caller % 2, "GET", "/talk/1", &fields);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
    });
}

/// Returns the most requests that a target received in one window after the limit binds.
fn most_in_window(harness: &Harness, target: &str) -> usize {
    let mut received: Vec<Instant> = harness
        .requests("GET /talk/")
        .iter()
        .filter(|r| r.target == target)
        .map(|r| r.received)
        .collect();
    received.sort();
    let binds = received[0] + CONTACT_WINDOW;
    received.retain(|r| *r >= binds);
    let within = |from: Instant| {
        received.iter().filter(|r| **r >= from && **r < from + LIMIT_WINDOW).count()
    };
    received.iter().map(|from| within(*from)).max().unwrap_or(0)
}

// Nothing read the limit, so a target got as many requests as before.
#[rstest]
#[case(185, "1", 11)]
#[case(186, "1.8", 15)]
fn named_limit_holds_for_all_entries(
    #[case] net: u8,
    #[case] limit: &'static str,
    #[case] allowed: usize,
) {
    let harness = Harness::start(net);
    harness.serve_routes();
    harness.set_target("i-plain", |t| t.engine.limit = Some(limit));
    send_load(&harness);
    let most = most_in_window(&harness, "i-plain");
    assert!(most <= allowed, "{most} requests in 4 s, {allowed} allowed\n{}", harness.logs());
    // The limit is used, and the other target takes the rest.
    assert!(most >= 2, "{most} requests in 4 s");
    assert!(most_in_window(&harness, "i-other") >= 40);
}
