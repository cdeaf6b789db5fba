//! Handles operators' requests in the API of the platform.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel_config::content_hash;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::state::centres::operation_after;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreOutcome;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Replace;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_platform::document;
use hawthornkeel_platform::operators;
use hawthornkeel_platform::operators::OperatorRequest;
use hawthornkeel_platform::operators::OperatorRequestError;
use http::StatusCode;

use crate::control::client::ControlClient;
use crate::control::client::ProposeError;
use crate::control::directory::ControlDirectory;
use crate::control::fan_out::call_all;
use crate::control::follow::StateFollower;
use crate::forward::rollout_requests::RolloutRequests;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Handler;
use crate::http::signal::Signal;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::Follow;
use crate::peer::frame::Followed;

/// Timeout for an order to be committed; the operator retries at another instance soon after.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Timeout for a leader to confirm the published state.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a leader is asked again for the last order about a data centre.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time within which the close of a connection arrives behind its last request.
///
/// An order that lay unread while this instance stood still is read together with the close of the
/// operator who gave up waiting for it.
pub(super) const CLOSE_DELAY: Duration = Duration::from_millis(50);
/// Retry delay for an order that was not committed.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum size of a document.
const MAX_DOCUMENT_BYTES: usize = 4 << 20;

/// Handler of operators' requests.
pub struct OperatorHandler {
    /// Endpoint of this instance.
    pub endpoint: Endpoint,
    /// Source of the published state in force.
    pub follower: StateFollower,
    /// Client that proposes commands to the control instances.
    pub client: ControlClient,
    /// Known control instances.
    pub directory: ControlDirectory,
    /// Requests about rollouts.
    pub rollouts: RolloutRequests,
}

impl Handler for OperatorHandler {
    async fn handle(&self, request: Request) -> Response {
        let Head { method, path, .. } = &request.head;
        let caller_left = &request.disconnected;
        let response = match operators::parse_request(method.as_str(), path) {
            Ok(OperatorRequest::ReplaceDocument) => self.replace_document(&request.body).await,
            Ok(OperatorRequest::ReadDocument) => self.read_document().await,
            Ok(OperatorRequest::SetCentreState(centre, state)) => {
                self.order_centre(centre, state, caller_left).await
            }
            Ok(OperatorRequest::BeginRollout) => {
                self.rollouts.begin(&request.body, caller_left).await
            }
            Ok(OperatorRequest::ReadRollout(pool)) => self.rollouts.read(pool).await,
            Err(OperatorRequestError::UnknownPath) => {
                Problem::not_run(Code::NotFound).into_response()
            }
            Err(OperatorRequestError::WrongMethod) => {
                Problem::not_run(Code::MethodNotAllowed).into_response()
            }
        };
        tracing::info!(event = "order-answered", %method, path, status = response.status.as_u16());
        response
    }

    fn max_body(&self, _head: &Head) -> Option<usize> {
        Some(MAX_DOCUMENT_BYTES)
    }
}

impl OperatorHandler {
    async fn replace_document(&self, body: &Bytes) -> Response {
        let table = match document::decode(body) {
            Ok(table) => table,
            Err(invalid) => {
                tracing::info!(event = "document-refused", reason = %invalid);
                let problem = Problem::not_run(Code::BadRequest).with_detail(invalid.to_string());
                return problem.into_response();
            }
        };
        let Ok(text) = std::str::from_utf8(body) else {
            return Problem::not_run(Code::BadRequest).into_response();
        };
        let (version, text) = (table.version, Arc::from(text));
        let replace = Replace { version, hash: Arc::from(content_hash(&text)), text };
        match self.client.propose(Command::Replace(replace), ORDER_TIMEOUT).await {
            Ok(Outcome::Replace(in_force)) => {
                tracing::info!(event = "document-taken", %version, %in_force);
                accepted()
            }
            Ok(_) => not_acknowledged(RunStatus::Unknown, "unexpected outcome"),
            Err(error) => not_acknowledged(run_status(error), &error.to_string()),
        }
    }

    /// Gives an order about a data centre, which carries no number of its operator.
    ///
    /// It is to follow the last order that is confirmed after its arrival, so that it changes nothing
    /// if another is committed before it. A caller who has left has given up on this copy and may
    /// have had another one acknowledged since.
    async fn order_centre(
        &self,
        centre: CentreName,
        state: CentreState,
        caller_left: &Signal,
    ) -> Response {
        let deadline = Instant::now() + ORDER_TIMEOUT;
        loop {
            let (last, ()) =
                monoio::join!(self.last_order(&centre, deadline), monoio::time::sleep(CLOSE_DELAY));
            if caller_left.is_set() {
                tracing::info!(event = "centre-order-abandoned", %centre, ?state);
                return not_acknowledged(RunStatus::NotRun, "the caller has left");
            }
            let Some(last) = last else {
                return not_acknowledged(RunStatus::NotRun, "no leader confirms the last order");
            };
            let order = CentreOrder {
                operator: OperatorName::default(),
                operation: operation_after(&centre, last),
                centre: centre.clone(),
                state,
            };
            let operation = order.operation;
            tracing::info!(event = "centre-order", %centre, ?state, %operation, %last);
            let timeout = deadline.saturating_duration_since(Instant::now());
            match self.client.propose(Command::Centre(order), timeout).await {
                Ok(Outcome::Centre(CentreOutcome::Recorded(_))) => return accepted(),
                // Another order was committed meanwhile; this one follows it.
                Ok(Outcome::Centre(CentreOutcome::Conflict(other))) => {
                    let index = other.index;
                    tracing::info!(event = "centre-order-overtaken", %centre, ?state, %index);
                }
                Ok(_) => return not_acknowledged(RunStatus::Unknown, "unexpected outcome"),
                Err(error) => return not_acknowledged(run_status(error), &error.to_string()),
            }
        }
    }

    /// Returns the log position of the last order about a data centre, zero if there is none, or
    /// `None` if no leader confirms it before the deadline.
    async fn last_order(&self, centre: &CentreName, deadline: Instant) -> Option<LogIndex> {
        while Instant::now() < deadline {
            if let Some(published) = self.latest_state().await {
                return Some(published.centres.get(centre).map(|r| r.index).unwrap_or_default());
            }
            monoio::time::sleep(READ_RETRY_DELAY).await;
        }
        None
    }

    /// Returns the document that a leader confirms to be the latest.
    async fn read_document(&self) -> Response {
        let text = self.latest_state().await.map(|published| published.text);
        match text.filter(|t| !t.is_empty()) {
            Some(text) => Response::json(Bytes::copy_from_slice(text.as_bytes())),
            None => not_acknowledged(RunStatus::NotRun, "no leader confirms what is in force"),
        }
    }

    /// Returns a state that a leader confirms to include all acknowledged changes.
    async fn latest_state(&self) -> Option<PublishedState> {
        let confirmed =
            monoio::time::timeout(READ_TIMEOUT, self.follower.linearizable_state()).await;
        match confirmed {
            Ok(Some(published)) => Some(published),
            _ => self.read_from_leader().await,
        }
    }

    async fn read_from_leader(&self) -> Option<PublishedState> {
        let frame = Frame::Follow(Follow::Latest);
        let is_latest =
            |f: &Frame| matches!(f, Frame::Followed(Followed { published: Some(_), .. }));
        let controls = self.directory.peers();
        let replies = call_all(&self.endpoint, &controls, &frame, READ_TIMEOUT, is_latest).await;
        replies.into_iter().find_map(|(_, frame)| match frame {
            Frame::Followed(followed) => followed.published,
            _ => None,
        })
    }
}

pub(super) fn accepted() -> Response {
    Response::full(StatusCode::OK, "application/json", "{}")
}

/// Returns whether an order without an outcome may be committed nevertheless.
fn run_status(error: ProposeError) -> RunStatus {
    match error {
        ProposeError::NoQuorum => RunStatus::NotRun,
        ProposeError::Unknown => RunStatus::Unknown,
    }
}

/// Responds that nothing is acknowledged; the operator may retry at any instance.
pub(super) fn not_acknowledged(ran: RunStatus, detail: &str) -> Response {
    let problem = Problem::new(Code::NoQuorum, ran).with_retry_after(RETRY_AFTER);
    problem.with_detail(detail).into_response()
}
