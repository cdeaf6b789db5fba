//! Control instances over real UDP: leaders come and go.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::admin::CentreRequest;
use hawthornkeel::control::admin::CentreResponse;
use hawthornkeel::control::admin::SubmitRequest;
use hawthornkeel::control::admin::SubmitResponse;
use hawthornkeel::control::client::ControlError;
use hawthornkeel::control::start::Parts;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::Lead;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::InstanceName;
use support::cluster::Cluster;
use support::cluster::Spec;
use support::run;
use support::until;

const CONTROLS: [&str; 3] = ["c1", "c2", "c3"];

fn three() -> Cluster {
    let spec = |name| Spec { name, centre: "east", control: true };
    let mut cluster = Cluster::new(CONTROLS.into_iter().map(spec).collect());
    cluster.start_all();
    cluster
}

fn request(operation: u64, expected: u64, text: &str) -> SubmitRequest {
    SubmitRequest {
        operator: "ops".into(),
        operation: OperationNumber(operation),
        expected: Version(expected),
        text: text.into(),
    }
}

/// Submits like an operator who sends the same again until told an outcome.
async fn submit(parts: &Parts, request: SubmitRequest) -> SubmitResponse {
    let start = Instant::now();
    loop {
        match parts.admin.submit(request.clone()).await {
            SubmitResponse::NotAccepted | SubmitResponse::Unknown => {
                assert!(start.elapsed() < support::PATIENCE, "no outcome in time");
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
            response => return response,
        }
    }
}

/// Waits for a leader and returns its name.
async fn leader(parts: &Parts) -> InstanceName {
    let start = Instant::now();
    loop {
        for name in CONTROLS {
            let name = InstanceName::new(name);
            let call = parts.admin.endpoint.call(&name, &Frame::Lead, Duration::from_secs(1));
            if let Ok(Frame::LeadReply(Lead { own: true, .. })) = call.await {
                return name;
            }
        }
        assert!(start.elapsed() < support::PATIENCE, "no leader in time");
    }
}

#[test]
fn leader_killed() {
    let mut cluster = three();
    run(async {
        let parts = cluster.join("a", "east");
        let accepted = |version| SubmitResponse::Accepted { version: Version(version) };
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
        assert_eq!(refused, Err(ControlError::NoQuorum));
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
