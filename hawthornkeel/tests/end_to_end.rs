//! A request from one end to the other, through separate processes.

mod fleet;

use fleet::Fleet;

#[test]
fn request_is_answered_through_every_stage() {
    let fleet = Fleet::start(4, 2);
    for at in 0..4 {
        let answer = fleet.call(at, "draft", "", "{\"text\":\"lot 7\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(at));
    }
}

#[test]
fn resend_at_another_instance_replays_the_answer() {
    let fleet = Fleet::start(4, 2);
    let first = fleet.call(0, "release", "lot-7", "{\"lot\":7}").unwrap();
    assert_eq!(first.status, 200, "{first:?}\n{}", fleet.log(0));
    for at in 0..4 {
        let again = fleet.call(at, "release", "lot-7", "{\"lot\":7}").unwrap();
        assert_eq!(again.status, 200, "{again:?}\n{}", fleet.log(at));
    }
    assert_eq!(fleet.runs("registry", "lot-7"), 1);
}
