//! Requests of operators, as typed requests and responses.

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

/// Time for an order to be decided.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for an instance to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Submission of an environment document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// Who submits.
    pub operator: OperatorName,
    /// Operation number, chosen by the operator.
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
    /// The document is accepted and stored by a quorum.
    Accepted {
        /// Version that it has.
        version: Version,
    },
    /// Another document came first.
    Conflict(AcceptedSubmission),
    /// No quorum could be reached: the document is not accepted.
    NotAccepted,
    /// The outcome is not known: the same submission, sent again, gets it.
    Unknown,
}

/// Order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CentreRequest {
    /// Who orders.
    pub operator: OperatorName,
    /// Operation number, chosen by the operator.
    pub operation: OperationNumber,
    /// Data centre concerned.
    pub centre: CentreName,
}

/// Response to an order about a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum CentreResponse {
    /// The order is in the log.
    Logged(CentreRecord),
    /// The order to take out holds at the instances that can be reached, and is not logged so far.
    Held,
    /// The operation number was used before, for this order.
    Conflict(CentreRecord),
    /// No quorum could be reached: the order to bring back is not taken.
    NotAccepted,
    /// The outcome is not known: the same order, sent again, gets it.
    Unknown,
    /// Too many orders are not logged: the order is not taken.
    Full,
}

/// Status of all instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Instances that answered.
    pub instances: Vec<InstanceStatus>,
    /// Instances that did not.
    pub silent: Vec<InstanceName>,
}

/// Handlers of operators' requests; clones share them.
#[derive(Clone)]
pub struct AdminService {
    /// Endpoint of this instance.
    pub endpoint: Endpoint,
    /// State in force at this instance.
    pub follower: StateFollower,
    /// Way to the control instances.
    pub client: ControlClient,
    /// Spreads orders to take data centres out.
    pub gossip: Gossip,
}

impl AdminService {
    /// Submits an environment document, which the caller has checked.
    pub async fn submit(&self, request: SubmitRequest) -> SubmitResponse {
        let SubmitRequest { operator, operation, expected, text } = request;
        let hash = Arc::from(content_hash(&text));
        let submit = Submit { operator, operation, expected, text, hash };
        tracing::info!(event = "submit", operator = %submit.operator, %operation, %expected);
        match self.client.propose(Command::Submit(submit), ORDER_TIMEOUT).await {
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

    /// Takes a data centre out, at once and whether or not the log can be reached.
    pub async fn take_out(&self, request: CentreRequest) -> CentreResponse {
        let order = order(request, CentreState::TakenOut);
        if self.gossip.take_out(&order) == MergeOutcome::Full {
            return CentreResponse::Full;
        }
        match self.gossip.log(&order).await {
            Ok(outcome) => response(outcome),
            Err(_) => CentreResponse::Held,
        }
    }

    /// Brings a data centre back, which needs the log.
    pub async fn bring_back(&self, request: CentreRequest) -> CentreResponse {
        let order = order(request, CentreState::InService);
        // Orders to take it out that are known here must stand in the log before the return.
        for hold in self.follower.watch().unlogged() {
            if hold.order.centre == order.centre && self.gossip.log(&hold.order).await.is_err() {
                return CentreResponse::NotAccepted;
            }
        }
        let command = Command::Centre(order);
        match self.client.propose(command, ORDER_TIMEOUT).await {
            Ok(Outcome::Centre(outcome)) => response(outcome),
            Err(ProposeError::NoQuorum) => CentreResponse::NotAccepted,
            Ok(_) | Err(ProposeError::Unknown) => CentreResponse::Unknown,
        }
    }

    /// Returns what is in force at each instance.
    pub async fn status(&self) -> StatusResponse {
        let peers: Vec<_> = self.endpoint.peers().map(|p| p.name.clone()).collect();
        let never = |_: &Frame| false;
        let answers = call_all(&self.endpoint, &peers, &Frame::Status, STATUS_TIMEOUT, never).await;
        let mut instances = vec![self.follower.status()];
        instances.extend(answers.into_iter().filter_map(|(_, frame)| match frame {
            Frame::StatusReply(status) => Some(status),
            _ => None,
        }));
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let heard = |name: &InstanceName| instances.iter().any(|i| i.name == *name);
        let silent = peers.into_iter().filter(|p| !heard(p)).collect();
        StatusResponse { instances, silent }
    }
}

fn order(request: CentreRequest, state: CentreState) -> CentreOrder {
    let CentreRequest { operator, operation, centre } = request;
    tracing::info!(event = "centre-order", %operator, %operation, %centre, ?state);
    CentreOrder { operator, operation, centre, state }
}

fn response(outcome: CentreOutcome) -> CentreResponse {
    match outcome {
        CentreOutcome::Recorded(record) => CentreResponse::Logged(record),
        CentreOutcome::Conflict(record) => CentreResponse::Conflict(record),
    }
}
