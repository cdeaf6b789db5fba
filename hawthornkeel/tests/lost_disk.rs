//! Loss of disks and restart of all control instances.

mod fleet;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;

#[test]
fn second_disk_loss_is_tolerated() {
    let mut fleet = Fleet::start(3, 1);
    let first = fleet.call(0, "release", "lot-1", "{\"lot\":1}").unwrap();
    assert_eq!(first.status, 200, "{first:?}\n{}", fleet.log(0));
    for lost in [0, 1] {
        let name = format!("entry-{lost}");
        let old = fleet.voter_id(2, &name);
        assert!(old.is_some(), "{}", fleet.status(2));
        fleet.kill(lost);
        fleet.wipe(lost);
        fleet.spawn(lost);
        fleet.wait_ready(lost);
        let repaired = eventually(TEST_TIMEOUT, || {
            let new = fleet.voter_id(2, &name);
            new.is_some() && new != old
        });
        assert!(repaired, "{name} did not become a voter again:\n{}", fleet.log(2));
    }
    let again = fleet.call(1, "release", "lot-1", "{\"lot\":1}").unwrap();
    assert_eq!(again.status, 200, "{again:?}\n{}", fleet.log(1));
    assert_eq!(fleet.runs("registry", "lot-1"), 1);
    assert!(fleet.status(2).contains("\"version\":1"), "{}", fleet.status(2));
}

#[test]
fn full_restart_keeps_acknowledged_calls() {
    let mut fleet = Fleet::start(3, 1);
    let first = fleet.call(0, "release", "lot-1", "{\"lot\":1}").unwrap();
    assert_eq!(first.status, 200, "{first:?}\n{}", fleet.log(0));
    for at in 0..3 {
        fleet.kill(at);
    }
    for at in 0..3 {
        fleet.spawn(at);
    }
    for at in 0..3 {
        fleet.wait_ready(at);
    }
    let again = fleet.call(2, "release", "lot-1", "{\"lot\":1}").unwrap();
    assert_eq!(again.status, 200, "{again:?}\n{}", fleet.log(2));
    assert_eq!(fleet.runs("registry", "lot-1"), 1);
}
