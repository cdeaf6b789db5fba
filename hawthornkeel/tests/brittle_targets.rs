//! Targets that end when they reject too many requests for want of room, with two entries in front.

mod forward_harness;

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::forward_harness::Harness;
use crate::forward_harness::requests::fields;

/// Time after the first answer of a brittle target from which on it may end.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Number of callers at once, three times as many as there are slots.
const CALLERS: usize = 24;
/// Rejections a second that the targets bear.
const REJECTIONS: u32 = 3;
/// Targets of the pool.
const TARGETS: [&str; 2] = ["i-plain", "i-other"];

/// Sends requests at both entries for some time; returns how many were answered with 200.
fn send_load(harness: &Harness) -> usize {
    let (client, until) = (harness.client(), Instant::now() + LOAD_TIME);
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (client, served) = (&client, &served);
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let fields = fields(&format!("r-{caller}-{n}"));
                    let path = format!("/lots/wait-100/{caller}-{n}");
                    let response = client.try_call(caller % 2, "GET", &path, &fields);
                    let is_served = response.is_some_and(|r| r.status == 200);
                    served.fetch_add(usize::from(is_served), Ordering::SeqCst);
                    if !is_served {
                        thread::sleep(Duration::from_millis(100));
                    }
                }
            });
        }
    });
    served.load(Ordering::SeqCst)
}

/// Returns the most rejections of a target in one second, from a time on.
fn most_rejections(harness: &Harness, at: usize, from: Instant) -> usize {
    let rejections = harness.fakes().lock().unwrap()[at].slots.rejections.clone();
    let late: Vec<Instant> = rejections.into_iter().filter(|r| *r >= from).collect();
    let second = Duration::from_secs(1);
    let within = |from: Instant| late.iter().filter(|r| **r >= from && **r < from + second).count();
    late.iter().map(|from| within(*from)).max().unwrap_or(0)
}

// Nothing read the field, so a full target rejected as many requests as before, and ended.
#[test]
fn rejections_of_brittle_targets_are_bounded() {
    let harness = Harness::start(204);
    harness.serve_routes();
    for target in TARGETS {
        harness.set_target(target, |t| t.slots.brittle = Some(REJECTIONS));
    }
    let begun = Instant::now();
    let served = send_load(&harness);
    for (at, target) in TARGETS.iter().enumerate() {
        let most = most_rejections(&harness, at, begun + CONTACT_WINDOW);
        let allowed = usize::try_from(REJECTIONS).unwrap();
        assert!(most <= allowed, "{target}: {most} in a second\n{}", harness.logs());
    }
    // Eight slots could serve 640; those that are used go on being used.
    assert!(served >= 250, "{served} served\n{}", harness.logs());
}
