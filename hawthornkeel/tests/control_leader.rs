//! Control instances over real UDP: leaders come and go.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::admin::CentreRequest;
use hawthornkeel::control::admin::CentreResponse;
use hawthornkeel::control::admin::SubmitResponse;
use hawthornkeel::control::client::ProposeError;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use support::cluster::Cluster;
use support::cluster::Spec;
use support::operator::accepted;
use support::operator::leader;
use support::operator::replace_disk;
use support::operator::request;
use support::operator::status;
use support::operator::submit;
use support::operator::voters;
use support::operator::wait_for;
use support::run;
use support::until;

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];

fn three() -> Cluster {
    let spec = |name| Spec { name, centre: "east", control: true };
    let mut cluster = Cluster::new(CONTROLS.into_iter().map(spec).collect());
    cluster.start_all();
    cluster
}

#[test]
fn leader_killed() {
    let mut cluster = three();
    run(async {
        let parts = cluster.join("a", "east");
        assert_eq!(submit(&parts, request(1, 0, "one")).await, accepted(1));
        let old = leader(&parts).await;
        cluster.kill(old.as_str());
        assert_eq!(submit(&parts, request(2, 1, "two")).await, accepted(2));
        assert_ne!(leader(&parts).await, old);
        // A resend after a lost answer gets the first outcome from the new leader.
        assert_eq!(submit(&parts, request(1, 0, "one")).await, accepted(1));
        until("the new version", || parts.watch.current().is_some_and(|p| &*p.text == "two")).await;
    });
}

#[test]
fn quorum_lost() {
    let mut cluster = three();
    run(async {
        let parts = cluster.join("a", "east");
        submit(&parts, request(1, 0, "one")).await;
        until("the version", || parts.watch.current().is_some_and(|p| &*p.text == "one")).await;
        cluster.kill("c1");
        cluster.kill("c2");
        // The first proposals may be under way when the quorum is lost; later ones are refused.
        let start = Instant::now();
        while parts.admin.submit(request(2, 1, "two")).await != SubmitResponse::NotAccepted {
            assert!(start.elapsed() < support::PATIENCE, "never refused");
        }
        let fence = hawthornkeel_core::state::command::Command::Fence("t".into());
        let start = Instant::now();
        let refused = parts.client.propose(fence, Duration::from_secs(5)).await;
        assert_eq!(refused, Err(ProposeError::NoQuorum));
        assert!(start.elapsed() < Duration::from_millis(50), "{:?}", start.elapsed());

        // Taking out needs no quorum; bringing back does.
        let order = |operation| CentreRequest {
            operator: "ops".into(),
            operation: OperationNumber(operation),
            centre: "east".into(),
        };
        assert_eq!(parts.admin.take_out(order(8)).await, CentreResponse::Held);
        assert_eq!(parts.watch.taken_out(), vec!["east".into()]);
        assert_eq!(parts.admin.bring_back(order(9)).await, CentreResponse::NotAccepted);
        assert_eq!(parts.watch.taken_out(), vec!["east".into()]);
        let status = parts.admin.status().await;
        let c3 = status.instances.iter().find(|i| i.name.as_str() == "c3").unwrap();
        assert_eq!(c3.taken_out, vec!["east".into()]);
        assert_eq!(status.silent, vec!["c1".into(), "c2".into()]);
    });
}

#[test]
fn disk_replaced() {
    let mut cluster = three();
    run(async {
        let parts = cluster.join("a", "east");
        for number in 1..=50 {
            assert_eq!(submit(&parts, request(number, number - 1, "old")).await, accepted(number));
        }
        replace_disk(&mut cluster, &parts, "c1", "c2").await;
        // A second loss right after the repair loses nothing.
        cluster.kill("c2");
        assert_eq!(submit(&parts, request(50, 49, "old")).await, accepted(50));
        assert_eq!(submit(&parts, request(51, 50, "new")).await, accepted(51));
    });
}

#[test]
fn all_restarted() {
    let mut cluster = three();
    run(async {
        let parts = cluster.join("a", "east");
        for number in 1..=20 {
            assert_eq!(submit(&parts, request(number, number - 1, "old")).await, accepted(number));
        }
        let before = voters(&parts, "c2").await;
        for name in CONTROLS {
            cluster.kill(name);
        }
        cluster.start_all();
        for name in CONTROLS {
            let mut first = None;
            wait_for("the first state served", async || {
                first = status(&parts, name).await.filter(|s| s.index.is_some());
                first.is_some()
            })
            .await;
            // What it recovers without a leader may be older than what it served.
            assert_eq!(first.unwrap().version, Version(20), "{name}");
        }
        assert_eq!(submit(&parts, request(20, 19, "old")).await, accepted(20));
        assert_eq!(submit(&parts, request(21, 20, "new")).await, accepted(21));
        assert_eq!(voters(&parts, "c2").await, before);
    });
}
