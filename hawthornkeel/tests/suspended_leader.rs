//! A leader that is stopped for a while and goes on.

mod fleet;

use fleet::Fleet;
use fleet::PATIENCE;
use hawthornkeel_fakes::thread::eventually;
use rustix::process::Signal;

#[test]
fn frozen_leader_neither_disturbs_nor_serves_old_state() {
    let fleet = Fleet::start(5, 2);
    let frozen = fleet.leader();
    fleet.signal(frozen, Signal::STOP);
    let other = (frozen + 1) % 3;
    let accepted = eventually(PATIENCE, || {
        let answer = fleet.try_submit(other, "op", 2, 1, fleet::DOCUMENT);
        answer.is_some_and(|a| a.body.contains("\"accepted\""))
    });
    assert!(accepted, "{}", fleet.log(other));
    let leader = fleet.leader_of(other);
    assert_ne!(leader, frozen);
    fleet.signal(frozen, Signal::CONT);
    let caught_up = eventually(PATIENCE, || fleet.version_at(frozen) == Some(2));
    assert!(caught_up, "{}", fleet.log(frozen));
    let stale = fleet.try_submit(frozen, "late", 7, 1, fleet::DOCUMENT).unwrap();
    assert!(stale.body.contains("conflict"), "{stale:?}");
    assert_eq!(fleet.leader_of(other), leader, "the term was disturbed:\n{}", fleet.log(other));
}
