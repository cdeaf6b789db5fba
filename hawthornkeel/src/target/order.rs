//! Orders to targets, which carry fencing numbers.

use std::net::SocketAddr;

use hawthornkeel_core::ids::FencingNumber;
use hawthornkeel_core::names::ModelName;
use serde::Deserialize;
use serde::Serialize;

use crate::target::call::Call;
use crate::target::client::Client;
use crate::target::error::CallError;

/// Path for orders.
pub const PATH: &str = "/orders";

/// Status code with which a target rejects a stale fencing number.
const STALE_STATUS: u16 = 409;

/// Order to a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load a model.
    LoadModel {
        /// Model.
        model: ModelName,
        /// Version of the model, if a specific one is required.
        version: Option<String>,
    },
    /// Load an adapter for a model.
    LoadAdapter {
        /// Model.
        model: ModelName,
        /// Adapter.
        adapter: String,
    },
    /// Change role.
    SetRole {
        /// Role, such as `prefill` or `decode`.
        role: String,
    },
}

/// Order with its fencing number, as it is sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Number that increases with each order.
    pub fencing: FencingNumber,
    /// Order.
    #[serde(flatten)]
    pub order: Order,
}

/// Outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The target accepted the order.
    Accepted,
    /// The target rejected the order: it has accepted one with a higher fencing number.
    RefusedOld,
    /// The call failed; the target may have accepted the order unless the error excludes that.
    Failed(CallError),
}

impl Client {
    /// Sends an order to the target at `address`, with the ID and timeouts of `call`.
    ///
    /// The order is sent at most once, on a fresh connection.
    pub async fn order(
        &self,
        address: SocketAddr,
        call: &Call,
        order: &FencedOrder,
    ) -> OrderResult {
        let Ok(body) = serde_json::to_vec(order) else {
            return OrderResult::Failed(CallError::NotSent("order can't be encoded".to_owned()));
        };
        let path = PATH.to_owned();
        let call = Call { path, body: body.into(), idempotent: false, ..call.clone() };
        match self.call(address, &call).await {
            Ok(_) => OrderResult::Accepted,
            Err(CallError::Status(STALE_STATUS)) => OrderResult::RefusedOld,
            Err(error) => OrderResult::Failed(error),
        }
    }
}
