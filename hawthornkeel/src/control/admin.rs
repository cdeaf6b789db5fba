//! Admin requests of operators: documents, orders about data centres and status.

use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_config::content_hash;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::state::command::AcceptedSubmission;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreOutcome;
use hawthornkeel_core::state::command::CentreRecord;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Submit;
use hawthornkeel_core::state::command::SubmitOutcome;
use hawthornkeel_core::state::take_out::MergeOutcome;
use serde::Deserialize;
use serde::Serialize;

use crate::control::client::ControlClient;
use crate::control::client::ProposeError;
use crate::control::fan_out::call_all;
use crate::control::follow::StateFollower;
use crate::control::gossip::Gossip;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::InstanceStatus;

/// Timeout for a command to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for an instance to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Submission of an environment document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Operator that submits.
    pub operator: OperatorName,
    /// Operation number, chosen by the operator; makes resends idempotent.
    pub operation: OperationNumber,
    /// Version that the document replaces.
    pub expected: Version,
    /// Text of the document.
    pub text: Arc<str>,
}

/// Response to a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum SubmitResponse {
    /// The document is accepted and committed.
    Accepted {
        /// Version assigned to it.
        version: Version,
    },
    /// Another submission was accepted first.
    Conflict(AcceptedSubmission),
    /// No quorum was reachable: the document is not accepted.
    NotAccepted,
    /// The outcome is unknown; resending the same submission returns it.
    Unknown,
}

/// Order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreRequest {
    /// Operator that sends the order.
    pub operator: OperatorName,
    /// Operation number, chosen by the operator; makes resends idempotent.
    pub operation: OperationNumber,
    /// Data centre to take out or bring back.
    pub centre: CentreName,
}

/// Response to an order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CentreResponse {
    /// The order is committed to the log.
    Logged(CentreRecord),
    /// The take-out is in force at the reachable instances, but not committed yet.
    Held,
    /// The operation number was already used, for this order.
    Conflict(CentreRecord),
    /// No quorum was reachable: the data centre is not brought back.
    NotAccepted,
    /// The outcome is unknown; resending the same order returns it.
    Unknown,
    /// Too many orders are uncommitted: the order is rejected.
    Full,
}

/// Status of all instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Status of the instances that replied.
    pub instances: Vec<InstanceStatus>,
    /// Instances that did not reply in time.
    pub silent: Vec<InstanceName>,
}

/// Handles admin requests of operators; clones share the state.
#[derive(Clone)]
pub struct AdminService {
    /// Endpoint of this instance.
    pub endpoint: Endpoint,
    /// Published state at this instance.
    pub follower: StateFollower,
    /// Client of the control instances.
    pub client: ControlClient,
    /// Disseminates take-out orders.
    pub gossip: Gossip,
}

impl AdminService {
    /// Submits an environment document, which the caller has validated.
    pub async fn submit(&self, request: SubmitRequest) -> SubmitResponse {
        let SubmitRequest { operator, operation, expected, text } = request;
        let hash = Arc::from(content_hash(&text));
        let submit = Submit { operator, operation, expected, text, hash };
        tracing::info!(event = "submit", operator = %submit.operator, %operation, %expected);
        match self.client.propose(Command::Submit(submit), COMMIT_TIMEOUT).await {
            Ok(Outcome::Submit(SubmitOutcome::Accepted(version))) => {
                SubmitResponse::Accepted { version }
            }
            Ok(Outcome::Submit(SubmitOutcome::Conflict(winner))) => {
                SubmitResponse::Conflict(winner)
            }
            Err(ProposeError::NoQuorum) => SubmitResponse::NotAccepted,
            Ok(_) | Err(ProposeError::Unknown) => SubmitResponse::Unknown,
        }
    }

    /// Takes a data centre out at once, with or without a quorum.
    pub async fn take_out(&self, request: CentreRequest) -> CentreResponse {
        let order = centre_order(request, CentreState::TakenOut);
        if self.gossip.take_out(&order) == MergeOutcome::Full {
            return CentreResponse::Full;
        }
        match self.gossip.commit(&order).await {
            Ok(outcome) => centre_response(outcome),
            Err(_) => CentreResponse::Held,
        }
    }

    /// Brings a data centre back, which requires a quorum.
    pub async fn bring_back(&self, request: CentreRequest) -> CentreResponse {
        let order = centre_order(request, CentreState::InService);
        // Commits the known take-out orders first, so that they precede the return in the log.
        for take_out in self.follower.watch().unlogged() {
            if take_out.order.centre == order.centre
                && self.gossip.commit(&take_out.order).await.is_err()
            {
                return CentreResponse::NotAccepted;
            }
        }
        let command = Command::Centre(order);
        match self.client.propose(command, COMMIT_TIMEOUT).await {
            Ok(Outcome::Centre(outcome)) => centre_response(outcome),
            Err(ProposeError::NoQuorum) => CentreResponse::NotAccepted,
            Ok(_) | Err(ProposeError::Unknown) => CentreResponse::Unknown,
        }
    }

    /// Collects the status of all instances.
    pub async fn status(&self) -> StatusResponse {
        let peers: Vec<_> = self.endpoint.peers().map(|p| p.name.clone()).collect();
        let wait_for_all = |_: &Frame| false;
        let replies =
            call_all(&self.endpoint, &peers, &Frame::Status, STATUS_TIMEOUT, wait_for_all).await;
        let mut instances = vec![self.follower.status()];
        instances.extend(replies.into_iter().filter_map(|(_, frame)| match frame {
            Frame::StatusReply(status) => Some(status),
            _ => None,
        }));
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let replied = |name: &InstanceName| instances.iter().any(|i| i.name == *name);
        let silent = peers.into_iter().filter(|p| !replied(p)).collect();
        StatusResponse { instances, silent }
    }
}

fn centre_order(request: CentreRequest, state: CentreState) -> CentreOrder {
    let CentreRequest { operator, operation, centre } = request;
    tracing::info!(event = "centre-order", %operator, %operation, %centre, ?state);
    CentreOrder { operator, operation, centre, state }
}

fn centre_response(outcome: CentreOutcome) -> CentreResponse {
    match outcome {
        CentreOutcome::Recorded(record) => CentreResponse::Logged(record),
        CentreOutcome::Conflict(record) => CentreResponse::Conflict(record),
    }
}
