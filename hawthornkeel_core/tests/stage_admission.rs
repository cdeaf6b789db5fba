//! Requests that can't meet their deadline are refused before any stage runs.

mod common;

use std::time::Duration;

use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::routing::Admission;
use hawthornkeel_core::routing::Reason;
use hawthornkeel_core::routing::RequestPlan;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;

use common::at;
use common::document;
use common::target;
use common::warm_router;

/// Creates a router whose pool runs 4 concurrent calls of 100 ms.
fn router() -> Router {
    let document = document(4, &[("large", 1), ("small", 1)]);
    warm_router(&document, &[target("t", "a")], RouterSettings::default())
}

/// Returns the plan of a request that is due in 2 s.
fn plan(number: u128, workspace: &str) -> RequestPlan {
    RequestPlan {
        request: RequestId(number),
        workspace: workspace.into(),
        pools: vec!["p".into()],
        deadline: at(2_000),
        floor: Duration::from_millis(10),
    }
}

/// Admits requests of one workspace until one is refused. Returns the number admitted.
fn flood(router: &mut Router, workspace: &str) -> u128 {
    let admitted = |n: &u128| router.admit(at(0), &plan(*n, workspace)) == Admission::Admitted;
    (0..10_000).take_while(admitted).count() as u128
}

#[test]
fn backlog_is_bounded_by_time() {
    let admitted = flood(&mut router(), "large");
    assert!((40..=80).contains(&admitted), "{admitted} of 76 in 1.9 s");
}

#[test]
fn refusal_carries_a_retry_delay() {
    let mut router = router();
    flood(&mut router, "large");
    let refused = router.admit(at(0), &plan(1 << 40, "large"));
    let Admission::Refused { reason, retry_after } = refused else { panic!("{refused:?}") };
    assert_eq!(reason, Reason::LaterStage);
    assert!(retry_after >= Duration::from_secs(1));
}

#[test]
fn flood_of_one_workspace_leaves_room_for_another() {
    let mut router = router();
    flood(&mut router, "large");
    assert_eq!(router.admit(at(0), &plan(1 << 40, "small")), Admission::Admitted);
}

#[test]
fn finished_requests_free_capacity() {
    let mut router = router();
    let admitted = flood(&mut router, "large");
    (0..admitted / 2).for_each(|n| router.finish_request(at(1), RequestId(n)));
    assert_eq!(router.admit(at(1), &plan(1 << 40, "large")), Admission::Admitted);
}

#[test]
fn deadline_below_the_measured_time_is_refused_but_measured_again() {
    let mut router = router();
    let mut late = plan(1, "large");
    late.deadline = at(50);
    let mut admitted = 0;
    for number in 0..100 {
        late.request = RequestId(number);
        admitted += usize::from(router.admit(at(0), &late) == Admission::Admitted);
    }
    assert_eq!(admitted, 1, "one request measures whether the pool is still slow");
}

/// Admits requests, `large` in 20 of them from one of two equal workspaces, until one is refused.
/// Returns the number admitted.
fn mixed(large: u128) -> u128 {
    let mut router = router();
    let workspace = |n: u128| if n * large % 20 < large { "large" } else { "small" };
    let admitted = |n: &u128| router.admit(at(0), &plan(*n, workspace(*n))) == Admission::Admitted;
    (0..10_000).take_while(admitted).count() as u128
}

#[test]
fn small_excess_over_the_fair_share_costs_little_capacity() {
    let (slight_excess, full_excess) = (mixed(11), mixed(20));
    let reserved = full_capacity() - full_excess;
    let lost = full_capacity() - slight_excess;
    assert!(
        lost * 4 <= reserved,
        "{lost} of the {reserved} requests that a flood of one workspace leaves"
    );
}

/// Returns the number of requests admitted to a workspace that is alone in the document.
///
/// It never exceeds its fair share, so waiting may take the full share of its spare time.
fn full_capacity() -> u128 {
    let document = document(4, &[("large", 1)]);
    let mut router = warm_router(&document, &[target("t", "a")], RouterSettings::default());
    flood(&mut router, "large")
}
