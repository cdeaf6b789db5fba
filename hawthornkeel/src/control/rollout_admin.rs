//! Admin requests of operators about rollouts.

use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::SoftwareVersion;
use hawthornkeel_core::rollout::order::OrderError;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::control::client::ProposeError;
use crate::control::rollout_client::RolloutClient;
use crate::peer::rollout_frame::OperatorCall;
use crate::peer::rollout_frame::OperatorReply;

/// Timeout for an order to be committed, or for a leader to confirm the rollouts.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Order that begins a rollout.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutRequest {
    /// Pool.
    pub pool: PoolName,
    /// Version that is to get all of the traffic.
    pub version: SoftwareVersion,
    /// Time by which the rollout must have ended, in milliseconds.
    pub duration_ms: u64,
}

/// Order that rolls the running rollout of a pool back.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RollBackRequest {
    /// Pool.
    pub pool: PoolName,
}

/// Response to an order about a rollout.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum RolloutResponse {
    /// The rollout is committed to the log as returned.
    Recorded(RolloutRecord),
    /// Another rollout of the pool is running.
    Busy(RolloutRecord),
    /// The rollout was completed, and can't be rolled back.
    Completed(RolloutRecord),
    /// The document in force has no such pool, or the pool has had no rollout.
    UnknownPool,
    /// The pool runs stages, to which rollouts don't apply.
    StagePool,
    /// These members of the control group have not shown that they read rollouts.
    Unavailable {
        /// Members.
        members: Vec<InstanceName>,
    },
    /// No quorum was reachable: nothing has changed.
    NotAccepted,
    /// The outcome is unknown; resending the same order returns it.
    Unknown,
}

/// Last rollout of each pool.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutList {
    /// Rollouts.
    pub rollouts: Vec<RolloutStatus>,
}

/// Rollout, as operators see it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Record.
    pub record: RolloutRecord,
    /// What its judgement has counted, as far as the leader knows.
    pub counted: Option<String>,
}

/// Handles admin requests about rollouts; clones share the state.
#[derive(Clone)]
pub struct RolloutAdmin {
    client: RolloutClient,
}

impl RolloutAdmin {
    /// Creates the handler.
    pub fn new(client: RolloutClient) -> Self {
        Self { client }
    }

    /// Begins a rollout.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the order is out of its bounds.
    pub async fn begin(&self, request: RolloutRequest) -> Result<RolloutResponse, OrderError> {
        let RolloutRequest { pool, version, duration_ms } = request;
        let order = RolloutOrder::new(pool, version, Duration::from_millis(duration_ms))?;
        let call = OperatorCall::Begin(order);
        Ok(response(self.client.call(&call, COMMIT_TIMEOUT).await))
    }

    /// Rolls the running rollout of a pool back.
    pub async fn roll_back(&self, request: RollBackRequest) -> RolloutResponse {
        let call = OperatorCall::RollBack { pool: request.pool, id: None };
        match response(self.client.call(&call, COMMIT_TIMEOUT).await) {
            RolloutResponse::Recorded(record) if record.phase == RolloutPhase::Completed => {
                RolloutResponse::Completed(record)
            }
            other => other,
        }
    }

    /// Returns the last rollout of each pool, or `None` if no leader confirms them.
    pub async fn list(&self) -> Option<RolloutList> {
        match self.client.call(&OperatorCall::List, COMMIT_TIMEOUT).await {
            Ok(OperatorReply::Records(records)) => {
                let status = |(record, counted)| RolloutStatus { record, counted };
                Some(RolloutList { rollouts: records.into_iter().map(status).collect() })
            }
            _ => None,
        }
    }
}

fn response(reply: Result<OperatorReply, ProposeError>) -> RolloutResponse {
    match reply {
        Ok(OperatorReply::Recorded(record)) => RolloutResponse::Recorded(record),
        Ok(OperatorReply::Busy(record)) => RolloutResponse::Busy(record),
        Ok(OperatorReply::UnknownPool) => RolloutResponse::UnknownPool,
        Ok(OperatorReply::StagePool) => RolloutResponse::StagePool,
        Ok(OperatorReply::NotAvailable(members)) => RolloutResponse::Unavailable { members },
        Ok(OperatorReply::NotProposed) | Err(ProposeError::NoQuorum) => {
            RolloutResponse::NotAccepted
        }
        Ok(OperatorReply::Unknown | OperatorReply::Records(_)) | Err(ProposeError::Unknown) => {
            RolloutResponse::Unknown
        }
    }
}
