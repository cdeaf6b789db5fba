//! Long network partitions that isolate a control instance.

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
use support::cluster::InstanceSpec;
use support::operator::accepted;
use support::operator::leader;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::wait_for;
use support::run;

/// Maximum time from acceptance, or from the end of a partition, until a version is in force.
const MAX_PROPAGATION: Duration = Duration::from_secs(7);
/// Maximum time until a data centre that is taken out gets no new work.
const MAX_TAKE_OUT: Duration = Duration::from_secs(5);

fn three_centres() -> Cluster {
    let spec = |(name, centre)| InstanceSpec { name, centre, control: true };
    let controls = [("c1", "east"), ("c2", "west"), ("c3", "south")];
    let mut cluster = Cluster::with_relays(controls.into_iter().map(spec).collect());
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

async fn control_status(plane: &ControlPlane, name: &str) -> Option<ControlStatus> {
    status(plane, name).await.and_then(|s| s.control)
}

/// Returns the name of a control instance other than `name`.
fn other(name: &str) -> &'static str {
    if name == "c1" { "c2" } else { "c1" }
}

#[test]
fn isolated_leader_catches_up() {
    let cluster = three_centres();
    run(async {
        // `a` stays with the majority, and `b` is isolated together with the leader.
        let (a, b) = (cluster.start_local("a", "west"), cluster.start_local("b", "east"));
        assert_eq!(submit(&a, request(1, 0, "one")).await, accepted(1));
        let old_leader = leader(&a).await.as_str().to_owned();
        wait_for("b", async || b.watch.index().is_some()).await;
        cluster.set_partitioned(&[&old_leader, "b"], true);

        // The isolated leader's lease expires; it acknowledges nothing, and then fails fast.
        wait_for("the lease to expire", async || {
            control_status(&b, &old_leader).await.is_some_and(|c| !c.leadership.is_leader)
        })
        .await;
        wait_for("a rejection", async || {
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

        // The majority stays available meanwhile.
        for number in 10..310 {
            let expected = number - 9;
            let response = submit(&a, request(number, expected, "text")).await;
            assert_eq!(response, accepted(expected + 1));
        }
        let before = control_status(&a, other(&old_leader)).await.unwrap();
        cluster.set_partitioned(&[&old_leader, "b"], false);

        let start = Instant::now();
        let mut served = Version(1);
        wait_for("the isolated instance to catch up", async || {
            let now = status(&b, &old_leader).await.map_or(served, |s| s.version);
            assert!(now >= served, "{now} after {served}");
            served = now;
            served == Version(301)
        })
        .await;
        assert!(start.elapsed() < MAX_PROPAGATION, "{:?}", start.elapsed());
        // Its return neither causes an election nor changes the leader.
        let after = control_status(&a, other(&old_leader)).await.unwrap();
        assert_eq!(
            (after.term, &after.leadership.leader),
            (before.term, &before.leadership.leader)
        );
        assert_eq!(submit(&b, request(500, 301, "last")).await, accepted(302));
    });
}

#[test]
fn take_out_during_partition() {
    let cluster = three_centres();
    run(async {
        let (a, b) = (cluster.start_local("a", "west"), cluster.start_local("b", "east"));
        assert_eq!(submit(&a, request(1, 0, "one")).await, accepted(1));
        wait_for("b", async || b.watch.index().is_some()).await;
        let out = vec!["east".into()];
        cluster.set_partitioned(&["c1", "b"], true);

        // The order reaches only the isolated side, where it takes effect at once.
        let start = Instant::now();
        assert_eq!(b.admin.take_out(order(11)).await, CentreResponse::Held);
        wait_for("c1", async || status(&b, "c1").await.is_some_and(|s| s.taken_out == out)).await;
        assert!(start.elapsed() < MAX_TAKE_OUT, "{:?}", start.elapsed());
        assert_eq!(b.admin.take_out(order(11)).await, CentreResponse::Held);
        assert!(matches!(b.admin.bring_back(order(12)).await, CentreResponse::NotAccepted));
        assert_eq!(b.watch.taken_out(), out);

        // A return committed by the majority doesn't undo the take-out, which is logged after it.
        assert!(matches!(a.admin.bring_back(order(13)).await, CentreResponse::Logged(_)));
        let monitoring = Rc::new(Cell::new(true));
        for plane in [&a, &b] {
            let (watch, monitoring) = (plane.watch.clone(), monitoring.clone());
            monoio::spawn(async move {
                while monitoring.get() {
                    let seen = watch.changes().count();
                    let undone = !watch.unlogged().is_empty() && watch.taken_out().is_empty();
                    assert!(!undone, "undone by the earlier return");
                    watch.changes().wait_after(seen).await;
                }
            });
        }
        cluster.set_partitioned(&["c1", "b"], false);
        wait_for("the order everywhere", async || {
            let mut everywhere = b.watch.taken_out() == out && a.watch.taken_out() == out;
            for name in ["c1", "c2", "c3"] {
                everywhere &= status(&a, name).await.is_some_and(|s| s.taken_out == out);
            }
            everywhere && a.watch.unlogged().is_empty() && b.watch.unlogged().is_empty()
        })
        .await;

        monitoring.set(false);
        // A later return undoes it, and late copies of the order have no effect.
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
