//! Restart of entries while the others serve.
//!
//! Guards against an entry that reports ready before it knows an issuer of grants, whose first
//! requests wait for one.

mod fleet;

use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;

/// Maximum time to the first token, within which the complete answer must arrive here.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(1_300);

#[test]
fn restarted_entry_answers_promptly() {
    let mut fleet = Fleet::start_warm(6, 3);
    for at in [0, 3] {
        fleet.kill(at);
        fleet.spawn(at);
    }
    for at in [0, 3] {
        fleet.wait_ready(at);
        let sent_at = Instant::now();
        let answer = fleet.call(at, "draft", "", "{\"text\":\"lot\"}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(at));
        let elapsed = sent_at.elapsed();
        assert!(elapsed < FIRST_TOKEN_TIMEOUT, "{elapsed:?}\n{}", fleet.log(at));
    }
}
