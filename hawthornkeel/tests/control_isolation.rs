//! Control instances cut off from the others for long.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::admin::CentreRequest;
use hawthornkeel::control::admin::CentreResponse;
use hawthornkeel::control::admin::SubmitResponse;
use hawthornkeel::control::client::ProposeError;
use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::peer::frame::ControlStatus;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::state::command::Command;
use support::cluster::Cluster;
use support::cluster::Spec;
use support::operator::accepted;
use support::operator::leader;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;
use support::run;

/// Longest time from acceptance, or from the end of a cut, until a version is in force.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Longest time until a data centre taken out gets no new work.
const TAKEN_OUT: Duration = Duration::from_secs(5);

fn three() -> Cluster {
    let spec = |(name, centre)| Spec { name, centre, control: true };
    let places = [("c1", "east"), ("c2", "west"), ("c3", "south")];
    let mut cluster = Cluster::with_relays(places.into_iter().map(spec).collect());
    cluster.start_all();
    cluster
}

fn order(operation: u64) -> CentreRequest {
    CentreRequest {
        operator: "ops".into(),
        operation: OperationNumber(operation),
        centre: "east".into(),
    }
}

async fn control(parts: &ControlPlane, name: &str) -> Option<ControlStatus> {
    status(parts, name).await.and_then(|s| s.control)
}

/// Returns the name of a control instance other than `name`.
fn other(name: &str) -> &'static str {
    if name == "c1" { "c2" } else { "c1" }
}

#[test]
fn leader_isolated() {
    let cluster = three();
    run(async {
        // `a` stays with the majority and `b` is cut off together with the leader.
        let (a, b) = (cluster.join("a", "west"), cluster.join("b", "east"));
        assert_eq!(submit(&a, request(1, 0, "one")).await, accepted(1));
        let old = leader(&a).await.as_str().to_owned();
        wait_for("b", async || b.watch.index().is_some()).await;
        cluster.set_cut(&[&old, "b"], true);

        // The leader loses its lease by itself, acknowledges nothing, and then refuses at once.
        wait_for("the lease to end", async || {
            control(&b, &old).await.is_some_and(|c| !c.leadership.is_leader)
        })
        .await;
        wait_for("a refusal", async || {
            let response = b.admin.submit(request(2, 1, "lost")).await;
            assert!(!matches!(response, SubmitResponse::Accepted { .. }));
            response == SubmitResponse::NotAccepted
        })
        .await;
        let start = Instant::now();
        let fence = Command::Fence("t".into());
        let refused = b.client.propose(fence, Duration::from_secs(5)).await;
        assert_eq!(refused, Err(ProposeError::NoQuorum));
        assert!(start.elapsed() < Duration::from_millis(50), "{:?}", start.elapsed());

        // Meanwhile the majority goes on.
        for number in 10..310 {
            let expected = number - 9;
            let response = submit(&a, request(number, expected, "text")).await;
            assert_eq!(response, accepted(expected + 1));
        }
        let before = control(&a, other(&old)).await.unwrap();
        cluster.set_cut(&[&old, "b"], false);

        let start = Instant::now();
        let mut served = Version(1);
        wait_for("the isolated instance to catch up", async || {
            let now = status(&b, &old).await.map_or(served, |s| s.version);
            assert!(now >= served, "{now} after {served}");
            served = now;
            served == Version(301)
        })
        .await;
        assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());
        // It neither disturbed the term nor took part under an old one.
        let after = control(&a, other(&old)).await.unwrap();
        assert_eq!(
            (after.term, &after.leadership.leader),
            (before.term, &before.leadership.leader)
        );
        assert_eq!(submit(&b, request(500, 301, "last")).await, accepted(302));
    });
}

#[test]
fn centre_taken_out_apart() {
    let cluster = three();
    run(async {
        let (a, b) = (cluster.join("a", "west"), cluster.join("b", "east"));
        assert_eq!(submit(&a, request(1, 0, "one")).await, accepted(1));
        wait_for("b", async || b.watch.index().is_some()).await;
        let out = vec!["east".into()];
        cluster.set_cut(&["c1", "b"], true);

        // The order reaches only the side that is cut off: it holds there at once.
        let start = Instant::now();
        assert_eq!(b.admin.take_out(order(11)).await, CentreResponse::Held);
        wait_for("c1", async || status(&b, "c1").await.is_some_and(|s| s.taken_out == out)).await;
        assert!(start.elapsed() < TAKEN_OUT, "{:?}", start.elapsed());
        assert_eq!(b.admin.take_out(order(11)).await, CentreResponse::Held);
        assert!(matches!(b.admin.bring_back(order(12)).await, CentreResponse::NotAccepted));
        assert_eq!(b.watch.taken_out(), out);

        // A return logged by the others does not undo it: it is not later than the order.
        assert!(matches!(a.admin.bring_back(order(13)).await, CentreResponse::Logged(_)));
        let holding = Rc::new(Cell::new(true));
        for parts in [&a, &b] {
            let (watch, holding) = (parts.watch.clone(), holding.clone());
            monoio::spawn(async move {
                while holding.get() {
                    let seen = watch.changes().count();
                    let undone = !watch.unlogged().is_empty() && watch.taken_out().is_empty();
                    assert!(!undone, "undone by the earlier return");
                    watch.changes().wait_after(seen).await;
                }
            });
        }
        cluster.set_cut(&["c1", "b"], false);
        wait_for("the order everywhere", async || {
            let mut everywhere = b.watch.taken_out() == out && a.watch.taken_out() == out;
            for name in ["c1", "c2", "c3"] {
                everywhere &= status(&a, name).await.is_some_and(|s| s.taken_out == out);
            }
            everywhere && a.watch.unlogged().is_empty() && b.watch.unlogged().is_empty()
        })
        .await;

        holding.set(false);
        // A later return does, and late copies of the order don't take it out again.
        let CentreResponse::Logged(record) = a.admin.bring_back(order(14)).await else {
            panic!("not logged")
        };
        wait_for("the return everywhere", async || {
            let mut everywhere = b.watch.taken_out().is_empty();
            for name in ["c1", "c2", "c3"] {
                let status = status(&a, name).await;
                everywhere &= status.is_some_and(|s| s.taken_out.is_empty());
            }
            everywhere
        })
        .await;
        let again = a.admin.take_out(order(11)).await;
        assert!(matches!(again, CentreResponse::Logged(first) if first.index < record.index));
        assert!(a.watch.taken_out().is_empty());
    });
}
