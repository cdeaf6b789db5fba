//! Operators and entries that go on until they are told an outcome.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::control::admin::SubmitRequest;
use hawthornkeel::control::admin::SubmitResponse;
use hawthornkeel::control::start::ControlPlane;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::InstanceStatus;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::MemberKind;

use crate::support::cluster::Cluster;

/// Time for one call of a test.
const CALL: Duration = Duration::from_secs(1);

/// Returns a submission.
pub fn request(operation: u64, expected: u64, text: &str) -> SubmitRequest {
    SubmitRequest {
        operator: "ops".into(),
        operation: OperationNumber(operation),
        expected: Version(expected),
        text: text.into(),
    }
}

/// Returns the response to an accepted submission.
pub fn accepted(version: u64) -> SubmitResponse {
    SubmitResponse::Accepted { version: Version(version) }
}

/// Submits like an operator who sends the same again until told an outcome.
pub async fn submit(parts: &ControlPlane, request: SubmitRequest) -> SubmitResponse {
    let mut response = None;
    wait_for("an outcome", async || {
        response = match parts.admin.submit(request.clone()).await {
            SubmitResponse::NotAccepted | SubmitResponse::Unknown => None,
            response => Some(response),
        };
        response.is_some()
    })
    .await;
    response.unwrap()
}

/// Waits until an asynchronous `condition` holds.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < super::PATIENCE, "gave up waiting for {what}");
        monoio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the status of an instance, or `None` if it does not answer.
pub async fn status(parts: &ControlPlane, name: &str) -> Option<InstanceStatus> {
    let name = InstanceName::new(name);
    match parts.admin.endpoint.call(&name, &Frame::Status, CALL).await {
        Ok(Frame::StatusReply(status)) => Some(status),
        _ => None,
    }
}

/// Waits until one of the instances leads with its lease, and returns its name.
pub async fn leader(parts: &ControlPlane) -> InstanceName {
    let mut leader = None;
    wait_for("a leader", async || {
        for peer in parts.admin.endpoint.peers().filter(|p| p.control) {
            let status = status(parts, peer.name.as_str()).await;
            if status.and_then(|s| s.control).is_some_and(|c| c.leadership.is_leader) {
                leader = Some(peer.name.clone());
            }
        }
        leader.is_some()
    })
    .await;
    leader.unwrap()
}

/// Returns the identities of the voters as the instance `at` knows them.
pub async fn voters(parts: &ControlPlane, at: &str) -> Vec<(String, u64)> {
    let Some(control) = status(parts, at).await.and_then(|s| s.control) else { return Vec::new() };
    let voters = control.members.0.into_iter().filter(|m| m.kind == MemberKind::Voter);
    voters.map(|m| (m.node.name.as_str().to_owned(), m.node.id.0)).collect()
}

/// Replaces the disk of `lost` and waits until `at` counts the replacement among three voters.
pub async fn replace_disk(cluster: &mut Cluster, parts: &ControlPlane, lost: &str, at: &str) {
    let before = voters(parts, at).await;
    cluster.kill(lost);
    cluster.wipe(lost);
    cluster.start(lost);
    wait_for("the replacement as voter", async || {
        let now = voters(parts, at).await;
        now.len() == 3 && now.iter().filter(|v| !before.contains(v)).count() == 1
    })
    .await;
}
