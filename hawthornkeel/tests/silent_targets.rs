//! Established connections to targets that silently stop working while new ones succeed, with real
//! processes.
//!
//! Guards against blaming the target for a lost connection, against calls that wait for one for
//! much longer than the target usually takes, and against non-idempotent calls that run twice after
//! one.

mod fleet;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;

/// The only data centre.
const CENTRE: &str = "dc-0";
/// Targets of the data centre.
const TARGETS: [&str; 3] = ["readers-dc-0", "writers-dc-0", "registry-dc-0"];
/// Deadline of the pipelines.
const DEADLINE: Duration = Duration::from_secs(8);
/// Shortest time after which any call gives up a connection without progress.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Usual time of calls in milliseconds, so long that waits for a core don't make a target slow.
const STEADY_MS: u64 = 100;

fn start() -> Fleet {
    start_with("{}")
}

/// Starts a fleet whose targets behave as configured.
fn start_with(behaviour: &str) -> Fleet {
    let mut fleet = Fleet::prepare_with_network(3, 1);
    for target in &fleet.targets {
        target.thread.configure(behaviour).unwrap();
    }
    fleet.start_all();
    fleet.warm_up();
    fleet
}

#[test]
fn silent_connections_are_replaced() {
    let fleet = start();
    for target in TARGETS {
        fleet.network().target_relay(CENTRE, target).blackhole_connections();
    }
    for at in [0, 1, 2, 0, 1, 2] {
        let sent_at = Instant::now();
        let answer = fleet.call(at, "warm", "", "{\"text\":\"lot\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(at));
        assert!(sent_at.elapsed() < DEADLINE, "{:?}", sent_at.elapsed());
    }
    // The connections were at fault: no call to a target failed, and no target was probed.
    for log in (0..3).map(|at| fleet.log(at)) {
        assert!(!log.contains("outcome=silent") && !log.contains("reason=probe"), "{log}");
    }
}

/// Time lost on a silent connection counted as its target's: the next call waited for a grant.
#[test]
fn lost_time_blames_no_target() {
    let fleet = start_with(&format!("{{\"floor_ms\":{STEADY_MS}}}"));
    let known = fleet.settled_log(0).len();
    for target in TARGETS {
        fleet.network().target_relay(CENTRE, target).blackhole_connections();
    }
    for _ in 0..3 {
        let answer = fleet.call(0, "warm", "", "{\"text\":\"lot\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(0));
    }
    let log = fleet.log(0).split_off(known);
    let mut routes = log.lines().filter(|l| l.contains("event=route "));
    let is_blamed = |l: &str| l.contains("reason=cold_grant") || l.contains("reason=probe");
    assert!(!routes.any(is_blamed), "{log}");
}

/// A call to a target that answers in milliseconds waited 4.8 s for a silent connection.
#[test]
fn silence_is_noticed_early() {
    let fleet = start_with(&format!("{{\"floor_ms\":{STEADY_MS}}}"));
    fleet.network().target_relay(CENTRE, TARGETS[0]).blackhole_connections();
    let sent_at = Instant::now();
    let answer = fleet.call(0, "warm", "", "{\"text\":\"lot\"}").unwrap();
    assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(0));
    assert!(sent_at.elapsed() < PROGRESS_TIMEOUT, "{:?}\n{}", sent_at.elapsed(), fleet.log(0));
}

#[test]
fn silent_call_has_unknown_outcome() {
    let fleet = start();
    let registry = fleet.pool("registry").next().unwrap();
    registry.thread.configure("{\"floor_ms\":1000}").unwrap();
    let address = fleet.instances[0].listen;
    let caller = thread::spawn(move || fleet::call_at(address, "release", "lot-1", "{\"lot\":1}"));
    assert!(eventually(TEST_TIMEOUT, || fleet.runs("registry", "lot-1") == 1));
    fleet.network().target_relay(CENTRE, TARGETS[2]).blackhole_connections();
    // Idle connections of another entry are silent too, and its signature must use none of them.
    let other = fleet.call(1, "release", "lot-2", "{\"lot\":2}").unwrap();
    assert_eq!(other.status, 200, "{other:?}\n{}", fleet.log(1));
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(answer.field("ran"), "unknown", "{answer:?}");
    // Resends to any instance get the same outcome and don't run the call again.
    for at in 0..3 {
        let is_unknown = || {
            let answer = fleet.call(at, "release", "lot-1", "{\"lot\":1}").unwrap();
            answer.field("code") == "outcome-unknown" && answer.field("ran") == "unknown"
        };
        assert!(eventually(TEST_TIMEOUT, is_unknown), "{}", fleet.log(at));
    }
    assert_eq!(fleet.runs("registry", "lot-1"), 1);
}

#[test]
fn unsent_call_runs_once() {
    let fleet = start();
    let link = fleet.network().target_relay(CENTRE, TARGETS[2]);
    link.set_blocked(true).unwrap();
    let answer = fleet.call(0, "release", "lot-3", "{\"lot\":3}").unwrap();
    assert!(answer.status != 200 && answer.field("ran") != "done", "{answer:?}");
    assert_eq!(fleet.runs("registry", "lot-3"), 0);
    link.set_blocked(false).unwrap();
    let is_answered = || fleet.call(0, "release", "lot-3", "{\"lot\":3}").unwrap().status == 200;
    assert!(eventually(TEST_TIMEOUT, is_answered), "{}", fleet.log(0));
    assert_eq!(fleet.runs("registry", "lot-3"), 1);
}
