//! Crashes of instances while they serve requests that aren't idempotent.
//!
//! Guards against stages that run twice and against wrong outcomes reported to callers.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;

/// Duration of a slow signature, in milliseconds.
const SLOW_MS: u64 = 3_000;

fn slow_registry(fleet: &Fleet) {
    for target in fleet.pool("registry") {
        target.thread.configure(&format!("{{\"floor_ms\":{SLOW_MS}}}")).unwrap();
    }
}

#[test]
fn killed_entry_leaves_unknown_outcome() {
    let mut fleet = Fleet::start(5, 2);
    slow_registry(&fleet);
    let address = fleet.instances[4].listen;
    let caller = thread::spawn(move || fleet::call_at(address, "release", "lot-1", "{\"lot\":1}"));
    let dispatched = eventually(TEST_TIMEOUT, || fleet.runs("registry", "lot-1") == 1);
    assert!(dispatched, "{}", fleet.log(4));
    fleet.kill(4);
    assert!(caller.join().unwrap().is_none(), "the killed entry can't have answered");
    // Once the claim has expired, the resend is told that the outcome is unknown.
    let resend = || fleet.call(0, "release", "lot-1", "{\"lot\":1}").unwrap();
    let mut answer = resend();
    let is_unknown = eventually(TEST_TIMEOUT, || {
        answer = resend();
        answer.field("code") == "outcome-unknown"
    });
    assert!(is_unknown, "{answer:?}\n{}", fleet.log(0));
    assert_eq!(answer.field("ran"), "unknown");
    assert_eq!(fleet.runs("registry", "lot-1"), 1);
}

#[test]
fn concurrent_resends_run_once() {
    let fleet = Fleet::start(5, 2);
    let addresses: Vec<_> = fleet.instances.iter().map(|i| i.listen).collect();
    let callers: Vec<_> = addresses
        .into_iter()
        .map(|a| thread::spawn(move || fleet::call_at(a, "release", "lot-2", "{\"lot\":2}")))
        .collect();
    for caller in callers {
        let answer = caller.join().unwrap().unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(fleet.runs("registry", "lot-2"), 1);
}

#[test]
fn killed_leader_causes_no_duplicates() {
    let mut fleet = Fleet::start(5, 2);
    let addresses = [fleet.instances[3].listen, fleet.instances[4].listen];
    let callers: Vec<_> = (0..40)
        .map(|n| {
            let address = addresses[n % 2];
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(50 * n as u64));
                let body = format!("{{\"lot\":{n}}}");
                fleet::call_at(address, "release", &format!("load-{n}"), &body)
            })
        })
        .collect();
    let leader = fleet.leader();
    fleet.kill(leader);
    for (n, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().unwrap().unwrap();
        let runs = fleet.runs("registry", &format!("load-{n}"));
        assert!(runs <= 1, "{n} ran {runs} times");
        match answer.status {
            200 => assert_eq!(runs, 1, "{n}: {answer:?}"),
            _ if answer.field("ran") == "not-run" => assert_eq!(runs, 0, "{n}: {answer:?}"),
            _ => {}
        }
    }
    let after = fleet.call(3, "release", "after", "{}").unwrap();
    assert_eq!(after.status, 200, "{after:?}\n{}", fleet.log(3));
}

#[test]
fn minority_refuses_only_claims() {
    let mut fleet = Fleet::start(5, 2);
    fleet.kill(0);
    fleet.kill(1);
    let refused = eventually(TEST_TIMEOUT, || {
        let answer = fleet.call(3, "release", "lot-3", "{\"lot\":3}").unwrap();
        answer.field("code") == "no-quorum" && answer.field("ran") == "not-run"
    });
    assert!(refused, "{}", fleet.log(3));
    assert_eq!(fleet.runs("registry", "lot-3"), 0);
    let draft = fleet.call(3, "draft", "", "{\"text\":\"lot\"}").unwrap();
    assert_eq!(draft.status, 200, "{draft:?}");
}
