//! Orders to targets, each with a fencing number.

use std::net::SocketAddr;

use hawthornkeel_core::ids::FencingNumber;
use hawthornkeel_core::names::ModelName;
use serde::Deserialize;
use serde::Serialize;

use crate::target::call::Call;
use crate::target::client::Client;
use crate::target::error::CallError;

/// Path that takes orders.
pub const PATH: &str = "/orders";

/// Status of a target that refuses an old fencing number.
const OLD: u16 = 409;

/// What a target is ordered to do.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
pub enum Order {
    /// Load a model.
    LoadModel {
        /// Model.
        model: ModelName,
        /// Version of it, where one is asked for.
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
        /// Role, as `prefill` or `decode`.
        role: String,
    },
}

/// Order with its fencing number, as sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Number that rises with each order.
    pub fencing: FencingNumber,
    /// Order.
    #[serde(flatten)]
    pub order: Order,
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The target took the order.
    Accepted,
    /// The target has taken an order with a higher number.
    RefusedOld,
    /// The order failed, and may have been taken unless the error says otherwise.
    Failed(CallError),
}

impl Client {
    /// Orders the target at `address`, with the identity and times of `call`.
    ///
    /// The order is sent once, on a fresh connection.
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
            Err(CallError::Status(OLD)) => OrderResult::RefusedOld,
            Err(error) => OrderResult::Failed(error),
        }
    }
}
