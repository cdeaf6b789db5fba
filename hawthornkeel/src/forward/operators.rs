//! Operators' requests in the platform's own form.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_config::content_hash;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Replace;
use hawthornkeel_platform::document;
use hawthornkeel_platform::operators;
use hawthornkeel_platform::operators::OperatorRequest;
use hawthornkeel_platform::operators::OperatorRequestError;
use http::StatusCode;

use crate::control::client::ControlClient;
use crate::control::directory::Directory;
use crate::control::follow::Follower;
use crate::control::gather::ask_all;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Handler;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::Follow;
use crate::peer::frame::Followed;

/// Time for an order to be decided: the caller asks another instance soon after.
const ORDER_TIME: Duration = Duration::from_millis(1_800);
/// Time for a leader to confirm what is in force.
const READ_TIME: Duration = Duration::from_millis(700);
/// Time after which an order that was not taken may be sent again.
const RETRY: Duration = Duration::from_millis(200);
/// Document, in bytes at most.
const MAX_DOCUMENT: usize = 4 << 20;

/// Answers operators' requests.
pub struct OperatorHandler {
    /// Endpoint of this instance.
    pub endpoint: Endpoint,
    /// State in force at this instance.
    pub follower: Follower,
    /// Way to the control instances.
    pub client: ControlClient,
    /// Control instances that are known.
    pub directory: Directory,
}

impl Handler for OperatorHandler {
    async fn handle(&self, request: Request) -> Response {
        let Head { method, path, .. } = &request.head;
        let response = match operators::parse_request(method.as_str(), path) {
            Ok(OperatorRequest::ReplaceDocument) => self.replace(&request.body).await,
            Ok(OperatorRequest::ReadDocument) => self.read().await,
            Ok(OperatorRequest::SetCentreState(centre, state)) => self.centre(centre, state).await,
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
        Some(MAX_DOCUMENT)
    }
}

impl OperatorHandler {
    async fn replace(&self, body: &Bytes) -> Response {
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
        match self.client.propose(Command::Replace(replace), ORDER_TIME).await {
            Ok(Outcome::Replace(in_force)) => {
                tracing::info!(event = "document-taken", %version, %in_force);
                accepted()
            }
            Ok(_) => unknown("unexpected outcome"),
            Err(error) => unknown(&error.to_string()),
        }
    }

    async fn centre(&self, centre: CentreName, state: CentreState) -> Response {
        let operation = OperationNumber(rand::random());
        let order = CentreOrder { operator: OperatorName::default(), operation, centre, state };
        tracing::info!(event = "centre-order", centre = %order.centre, ?state, %operation);
        match self.client.propose(Command::Centre(order), ORDER_TIME).await {
            Ok(Outcome::Centre(_)) => accepted(),
            Ok(_) => unknown("unexpected outcome"),
            Err(error) => unknown(&error.to_string()),
        }
    }

    /// Returns the document that a leader confirms to be the newest.
    async fn read(&self) -> Response {
        let own = monoio::time::timeout(READ_TIME, self.follower.confirmed()).await;
        let text = match own {
            Ok(Some(published)) => Some(published.text),
            _ => self.ask_leader().await,
        };
        match text.filter(|t| !t.is_empty()) {
            Some(text) => Response::json(Bytes::copy_from_slice(text.as_bytes())),
            None => unknown("no leader confirms what is in force"),
        }
    }

    async fn ask_leader(&self) -> Option<Arc<str>> {
        let frame = Frame::Follow(Follow::Latest);
        let latest = |f: &Frame| matches!(f, Frame::Followed(Followed { published: Some(_), .. }));
        let controls = self.directory.others();
        let answers = ask_all(&self.endpoint, &controls, &frame, READ_TIME, latest).await;
        answers.into_iter().find_map(|(_, frame)| match frame {
            Frame::Followed(followed) => followed.published.map(|p| p.text),
            _ => None,
        })
    }
}

fn accepted() -> Response {
    Response::whole(StatusCode::OK, "application/json", "{}")
}

/// Answers that the order may or may not be taken: it may be sent again, to any instance.
fn unknown(detail: &str) -> Response {
    let problem = Problem::not_run(Code::NoQuorum).with_retry_after(RETRY);
    problem.with_detail(detail).into_response()
}
