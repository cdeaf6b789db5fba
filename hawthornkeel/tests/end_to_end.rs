//! Requests through all stages of a fleet of separate processes.

mod fleet;

use fleet::Fleet;

#[test]
fn request_passes_every_stage() {
    let fleet = Fleet::start(4, 2);
    for at in 0..4 {
        let answer = fleet.call(at, "draft", "", "{\"text\":\"lot 7\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(at));
    }
}

#[test]
fn resend_replays_answer() {
    let fleet = Fleet::start(4, 2);
    let first = fleet.call(0, "release", "lot-7", "{\"lot\":7}").unwrap();
    assert_eq!(first.status, 200, "{first:?}\n{}", fleet.log(0));
    for at in 0..4 {
        let resend = fleet.call(at, "release", "lot-7", "{\"lot\":7}").unwrap();
        assert_eq!(resend.status, 200, "{resend:?}\n{}", fleet.log(at));
    }
    assert_eq!(fleet.runs("registry", "lot-7"), 1);
}
