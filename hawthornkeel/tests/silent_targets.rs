//! Connections to targets that go silent for good while new ones work, between real processes.

mod fleet;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;

/// Data centre of the test.
const CENTRE: &str = "dc-0";
/// Targets of the test.
const TARGETS: [&str; 3] = ["readers-dc-0", "writers-dc-0", "registry-dc-0"];
/// Deadline of the test's pipelines.
const DEADLINE: Duration = Duration::from_secs(8);

fn start() -> Fleet {
    let mut fleet = Fleet::prepare_with_network(3, 1);
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
        let asked = Instant::now();
        let answer = fleet.call(at, "warm", "", "{\"text\":\"lot\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(at));
        assert!(asked.elapsed() < DEADLINE, "{:?}", asked.elapsed());
    }
    // The connections bore the blame: no call to a target failed, and none had to be tried out.
    for log in (0..3).map(|at| fleet.log(at)) {
        assert!(!log.contains("outcome=silent") && !log.contains("reason=probe"), "{log}");
    }
}

#[test]
fn signature_gone_silent_is_unknown() {
    let fleet = start();
    let registry = fleet.pool("registry").next().unwrap();
    registry.thread.configure("{\"floor_ms\":1000}").unwrap();
    let address = fleet.instances[0].listen;
    let caller = thread::spawn(move || fleet::call_at(address, "release", "lot-1", "{\"lot\":1}"));
    assert!(eventually(TEST_TIMEOUT, || fleet.runs("registry", "lot-1") == 1));
    fleet.network().target_relay(CENTRE, TARGETS[2]).blackhole_connections();
    // Another entry's idle connections are silent as well; its signature takes none of them.
    let other = fleet.call(1, "release", "lot-2", "{\"lot\":2}").unwrap();
    assert_eq!(other.status, 200, "{other:?}\n{}", fleet.log(1));
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(answer.field("ran"), "unknown", "{answer:?}");
    // Resends are told the same, wherever they come to, and don't run it again.
    for at in 0..3 {
        let told = || {
            let again = fleet.call(at, "release", "lot-1", "{\"lot\":1}").unwrap();
            again.field("code") == "outcome-unknown" && again.field("ran") == "unknown"
        };
        assert!(eventually(TEST_TIMEOUT, told), "{}", fleet.log(at));
    }
    assert_eq!(fleet.runs("registry", "lot-1"), 1);
}

#[test]
fn signature_that_found_no_connection_runs_once_later() {
    let fleet = start();
    let way = fleet.network().target_relay(CENTRE, TARGETS[2]);
    way.set_blocked(true).unwrap();
    let answer = fleet.call(0, "release", "lot-3", "{\"lot\":3}").unwrap();
    assert!(answer.status != 200 && answer.field("ran") != "done", "{answer:?}");
    assert_eq!(fleet.runs("registry", "lot-3"), 0);
    way.set_blocked(false).unwrap();
    let again = || fleet.call(0, "release", "lot-3", "{\"lot\":3}").unwrap().status == 200;
    assert!(eventually(TEST_TIMEOUT, again), "{}", fleet.log(0));
    assert_eq!(fleet.runs("registry", "lot-3"), 1);
}
