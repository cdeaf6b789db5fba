//! Fenced orders to targets before and after a leader failover.

mod fleet;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use fleet::post;
use hawthornkeel_fakes::thread::eventually;

const ORDER: &str =
    "{\"target\":\"writers-dc-0\",\"order\":\"load-model\",\"model\":\"draft-large\"}";

/// Sends the order to an instance until the target has accepted it.
fn send_order(fleet: &Fleet, at: usize) {
    let mut last = None;
    let accepted = eventually(TEST_TIMEOUT, || {
        last = post(fleet.instances[at].admin, "/admin/order", "", ORDER);
        last.as_ref().is_some_and(|a| a.body.contains("\"accepted\""))
    });
    assert!(accepted, "{last:?}\n{}", fleet.log(at));
}

#[test]
fn fencing_numbers_increase() {
    let mut fleet = Fleet::start(4, 2);
    let first = fleet.leader();
    send_order(&fleet, first);
    let other = (first + 1) % 3;
    let rejected = post(fleet.instances[other].admin, "/admin/order", "", ORDER).unwrap();
    assert!(rejected.body.contains("not-leader"), "{rejected:?}");
    fleet.kill(first);
    let second = fleet.leader();
    send_order(&fleet, second);
    let target = fleet.targets.iter().find(|t| t.listed.name == "writers-dc-0").unwrap();
    let orders = target.thread.report().unwrap().orders;
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert!(orders[0].fencing < orders[1].fencing, "{orders:?}");
}
