//! Targets that write an earlier refusal once more on a kept connection.

mod forward_harness;

use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::repeating::RepeatingTarget;
use crate::forward_harness::requests::fields;

// The refusal of an earlier request must not be taken for that of one that the target runs.
#[rstest]
#[case(208, true)]
#[case(209, false)]
fn repeated_refusal_says_nothing_of_next_request(#[case] net: u8, #[case] named: bool) {
    let mut harness = Harness::start(net);
    harness.serve_routes();
    harness.leave_one_entry();
    let targets = [0, 1].map(|at| RepeatingTarget::start(harness.fakes(), at, named));
    // The list is read every 100 ms.
    thread::sleep(Duration::from_millis(600));
    let runs = |id: &str| {
        let all = targets.iter().flat_map(RepeatingTarget::runs);
        all.filter(|r| r == id).count()
    };
    let mut reached = 0;
    for round in 0..6 {
        // Its connection is kept.
        let first = harness.call("GET", "/lots/1", &fields(&format!("first-{round}")), "");
        let id = format!("sign-{round}");
        let signed = harness.call("POST", "/sign/1", &fields(&id), "");
        let ran = runs(&id);
        assert!(ran <= 1, "{id} ran {ran} times\n{}", harness.logs());
        let promised = [429, 503, 408, 421].contains(&signed.status);
        assert!(ran == 0 || !promised, "{signed:?} after {first:?}\n{}", harness.logs());
        reached += usize::from(signed.status == 502);
    }
    // The outcome of those that met the refusal is not known.
    assert!(reached > 0, "no request met the refusal\n{}", harness.logs());
}
