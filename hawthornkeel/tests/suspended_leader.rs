//! A leader process that is suspended and resumed.

mod fleet;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;
use rustix::process::Signal;

#[test]
fn suspended_leader_serves_no_stale_state() {
    let fleet = Fleet::start(5, 2);
    let suspended = fleet.leader();
    fleet.signal(suspended, Signal::STOP);
    let other = (suspended + 1) % 3;
    let accepted = eventually(TEST_TIMEOUT, || {
        let reply = fleet.try_submit(other, "op", 2, 1, fleet::DOCUMENT);
        reply.is_some_and(|a| a.body.contains("\"accepted\""))
    });
    assert!(accepted, "{}", fleet.log(other));
    let leader = fleet.known_leader(other);
    assert_ne!(leader, suspended);
    fleet.signal(suspended, Signal::CONT);
    let caught_up = eventually(TEST_TIMEOUT, || fleet.version_at(suspended) == Some(2));
    assert!(caught_up, "{}", fleet.log(suspended));
    let stale = fleet.try_submit(suspended, "late", 7, 1, fleet::DOCUMENT).unwrap();
    assert!(stale.body.contains("conflict"), "{stale:?}");
    assert_eq!(
        fleet.known_leader(other),
        leader,
        "the leader changed after the resume:\n{}",
        fleet.log(other)
    );
}
