//! A document that removes a pool under a request that was admitted before.

mod fleet;

use std::thread;

use fleet::DOCUMENT;
use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::thread::eventually;

/// Longest call to a cold target, in milliseconds: longer than any deadline.
const GRANT_MS: u64 = 9_000;

/// Returns [`DOCUMENT`] without the pool `writers` and what uses it.
fn without_writers() -> String {
    let mut text = String::from("name = \"fleet\"\n[[workspace]]\nname = \"makers\"\n");
    for pool in ["readers", "registry"] {
        text += &format!("[[pool]]\nname = \"{pool}\"\nkind = \"service\"\nwarm_after = 4\n");
    }
    let (_, release) = DOCUMENT.split_once("[[pipeline]]\nname = \"release\"").unwrap();
    text + "[[pipeline]]\nname = \"release\"" + release
}

#[test]
fn admitted_request_is_served_by_the_pool_that_a_new_document_removes() {
    let mut fleet = Fleet::prepare_with_grant(4, 2, GRANT_MS);
    fleet.start_all();
    fleet.warm_up();
    for target in fleet.pool("readers") {
        target.thread.configure("{\"floor_ms\":4000}").unwrap();
    }
    let address = fleet.instances[3].listen;
    let caller = thread::spawn(move || fleet::call_at(address, "draft", "", "{\"lot\":1}"));
    let runs = || fleet.pool("readers").any(|t| t.thread.report().unwrap().running > 0);
    assert!(eventually(TEST_TIMEOUT, runs), "first stage not called:\n{}", fleet.log(3));
    fleet.submit(0, 2, 1, &without_writers());
    assert!(eventually(TEST_TIMEOUT, || fleet.version_at(3) == Some(2)), "{}", fleet.log(3));
    assert!(!caller.is_finished(), "the first stage was not held until the document was in force");
    let answer = caller.join().unwrap().unwrap();
    assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(3));
    let gone = fleet.call(3, "draft", "", "{}").unwrap();
    assert_eq!(gone.status, 404, "{gone:?}");
}
