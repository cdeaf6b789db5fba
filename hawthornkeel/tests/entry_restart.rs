//! Entries that come back while the others serve.

mod fleet;

use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;

/// Time within which the first token is due.
const FIRST_TOKEN: Duration = Duration::from_millis(1_300);

#[test]
fn first_caller_of_a_returned_entry_need_not_wait() {
    let mut fleet = Fleet::start_warm(6, 3);
    for at in [0, 3] {
        fleet.kill(at);
        fleet.spawn(at);
    }
    for at in [0, 3] {
        fleet.wait_ready(at);
        let called = Instant::now();
        let answer = fleet.call(at, "draft", "", "{\"text\":\"lot\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(at));
        let taken = called.elapsed();
        assert!(taken < FIRST_TOKEN, "{taken:?}\n{}", fleet.log(at));
    }
}
