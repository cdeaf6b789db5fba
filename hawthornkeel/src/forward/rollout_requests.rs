//! Requests about rollouts in the API of the platform's operators.

use std::cell::RefCell;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_platform::rollouts;

use crate::control::client::ProposeError;
use crate::control::rollout_client::RolloutClient;
use crate::forward::operators::CLOSE_DELAY;
use crate::forward::operators::accepted;
use crate::forward::operators::not_acknowledged;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::signal::Signal;
use crate::peer::rollout_frame::OperatorCall;
use crate::peer::rollout_frame::OperatorReply;

/// Timeout of an order or a question.
///
/// Below the second after which an operator turns to another instance: an order that is still handled
/// when its operator comes back to this one would be refused as a duplicate.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Handler of requests about rollouts.
pub struct RolloutRequests {
    client: RolloutClient,
    /// Orders that are being handled.
    open: RefCell<Vec<RolloutOrder>>,
}

impl RolloutRequests {
    /// Creates the handler.
    pub fn new(client: RolloutClient) -> Self {
        Self { client, open: RefCell::default() }
    }

    /// Begins the rollout in `body`.
    pub async fn begin(&self, body: &[u8], caller_left: &Signal) -> Response {
        let order = match rollouts::decode_order(body) {
            Ok(order) => order,
            Err(invalid) => {
                tracing::info!(event = "rollout-refused", reason = %invalid);
                return bad_request(&invalid.to_string());
            }
        };
        let Some(_open) = OpenOrder::begin(self, &order) else {
            return conflict("the same order is being handled");
        };
        monoio::select! {
            response = self.order(&order) => response,
            // The order may be on its way to the log, but its copies must not be refused.
            () = caller_left.wait() => {
                let (pool, version) = (&order.pool, &order.version);
                tracing::info!(event = "rollout-abandoned", %pool, %version);
                not_acknowledged(RunStatus::Unknown, "the caller has left")
            }
        }
    }

    async fn order(&self, order: &RolloutOrder) -> Response {
        // A caller who has left has given up on this copy and may have had another one acknowledged,
        // and given other orders since.
        monoio::time::sleep(CLOSE_DELAY).await;
        let call = OperatorCall::Begin(order.clone());
        match self.client.call(&call, CALL_TIMEOUT.saturating_sub(CLOSE_DELAY)).await {
            Ok(OperatorReply::Recorded(_)) => accepted(),
            Ok(OperatorReply::Busy(_)) => conflict("another rollout of the pool is running"),
            Ok(OperatorReply::UnknownPool) => bad_request("the document has no such pool"),
            Ok(OperatorReply::StagePool) => bad_request("the pool runs stages"),
            Ok(OperatorReply::NotAvailable(members)) => {
                let names: Vec<_> = members.iter().map(InstanceName::as_str).collect();
                let detail = format!("members that don't read rollouts: {}", names.join(", "));
                not_acknowledged(RunStatus::NotRun, &detail)
            }
            Ok(_) => not_acknowledged(RunStatus::Unknown, "unexpected reply"),
            Err(error) => call_failed(error),
        }
    }

    /// Returns the state of the last rollout of a pool, as a leader confirms it.
    pub async fn read(&self, pool: PoolName) -> Response {
        match self.client.call(&OperatorCall::Read(pool), CALL_TIMEOUT).await {
            Ok(OperatorReply::Recorded(record)) => match rollouts::encode_state(&record) {
                Ok(body) => Response::json(body),
                Err(_) => Problem::not_run(Code::Internal).into_response(),
            },
            Ok(OperatorReply::UnknownPool) => Problem::not_run(Code::NotFound).into_response(),
            Ok(_) | Err(_) => {
                not_acknowledged(RunStatus::NotRun, "no leader confirms the state of the rollout")
            }
        }
    }
}

/// Order that is being handled, until this is dropped.
struct OpenOrder<'a> {
    requests: &'a RolloutRequests,
    order: RolloutOrder,
}

impl<'a> OpenOrder<'a> {
    /// Returns `None` if the same order is being handled.
    fn begin(requests: &'a RolloutRequests, order: &RolloutOrder) -> Option<Self> {
        let mut open = requests.open.borrow_mut();
        if open.contains(order) {
            return None;
        }
        open.push(order.clone());
        Some(Self { requests, order: order.clone() })
    }
}

impl Drop for OpenOrder<'_> {
    fn drop(&mut self) {
        self.requests.open.borrow_mut().retain(|order| *order != self.order);
    }
}

fn bad_request(detail: &str) -> Response {
    Problem::not_run(Code::BadRequest).with_detail(detail).into_response()
}

fn conflict(detail: &str) -> Response {
    Problem::not_run(Code::Conflict).with_detail(detail).into_response()
}

fn call_failed(error: ProposeError) -> Response {
    let ran = match error {
        ProposeError::NoQuorum => RunStatus::NotRun,
        ProposeError::Unknown => RunStatus::Unknown,
    };
    not_acknowledged(ran, &error.to_string())
}
