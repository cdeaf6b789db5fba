//! Orders to targets, sent by the leader with fencing numbers from the log.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::document::Fencing;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::FencingNumber;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::orders::OrderError;
use hawthornkeel_core::orders::OrderGate;
use hawthornkeel_core::orders::OrderSettings;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::boot_now;
use crate::control::node::ControlNode;
use crate::peer::frame::Proposed;
use crate::target::call::Call;
use crate::target::client::Client;
use crate::target::order::FencedOrder;
use crate::target::order::Order;
use crate::target::order::OrderResult;

/// Interval at which leadership of this instance is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Order of an operator to a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Target that receives the order.
    pub target: TargetName,
    /// Order.
    #[serde(flatten)]
    pub order: Order,
}

/// Response to an order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum OrderResponse {
    /// The target accepted the order.
    Accepted {
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
    /// The target has already accepted an order with a higher fencing number.
    RefusedOld,
    /// The order may or may not have been accepted.
    Unknown,
    /// Nothing was sent because this instance isn't the leader.
    NotLeader {
        /// Leader, if known.
        leader: Option<InstanceName>,
    },
    /// Nothing was sent; the order can be resent after this time.
    Wait {
        /// Time to wait, in milliseconds.
        millis: u64,
    },
}

/// Target of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderTarget {
    /// Name of the target.
    pub name: TargetName,
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the target checks fencing numbers.
    pub fencing: Fencing,
}

/// Sends orders while this instance leads; clones share the state.
#[derive(Clone)]
pub struct OrderSender {
    control: ControlNode,
    client: Client,
    settings: OrderSettings,
    gate: Rc<RefCell<OrderGate>>,
}

impl OrderSender {
    /// Starts to monitor whether `control` leads.
    pub fn start(control: ControlNode, client: Client, settings: OrderSettings) -> Self {
        let gate = Rc::new(RefCell::new(OrderGate::new(settings)));
        let orders = Self { control, client, settings, gate };
        monoio::spawn(orders.clone().monitor_leadership());
        orders
    }

    async fn monitor_leadership(self) {
        loop {
            let term = self.leader_term();
            self.gate.borrow_mut().observe(boot_now(), term);
            monoio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Sends an order to a target, and returns the result.
    ///
    /// Nothing is sent if this instance isn't the leader or the order has to wait.
    pub async fn order(&self, target: &OrderTarget, order: Order) -> OrderResponse {
        let permission = {
            let term = self.leader_term();
            self.gate.borrow_mut().begin(boot_now(), term, &target.name, target.fencing)
        };
        if let Err(error) = permission {
            return self.rejected(error);
        }
        let response = self.send(target, order).await;
        self.gate.borrow_mut().finish(&target.name);
        tracing::info!(event = "target-ordered", target_name = %target.name, ?response);
        response
    }

    async fn send(&self, target: &OrderTarget, order: Order) -> OrderResponse {
        let command = Command::Fence(target.name.clone());
        let Proposed::Outcome(Outcome::Fence(fencing)) = self.control.propose(command).await else {
            return self.not_leader();
        };
        // The lease may have expired while the fencing number was allocated.
        if self.leader_term().is_none() {
            return self.not_leader();
        }
        let call = Call {
            id: CallId { request: RequestId(rand::random()), ..CallId::default() },
            idempotent: false,
            timeout: self.settings.timeout,
            progress_timeout: self.settings.timeout,
            ..Call::default()
        };
        let order = FencedOrder { fencing, order };
        match self.client.order(target.address, &call, &order).await {
            OrderResult::Accepted => OrderResponse::Accepted { fencing },
            OrderResult::RefusedOld => OrderResponse::RefusedOld,
            OrderResult::Failed(_) => OrderResponse::Unknown,
        }
    }

    fn leader_term(&self) -> Option<Term> {
        self.control.lead().is_leader.then(|| self.control.status().term)
    }

    fn rejected(&self, error: OrderError) -> OrderResponse {
        match error {
            OrderError::NotLeader => self.not_leader(),
            OrderError::NotBefore(time) => wait_response(time.since(boot_now())),
            OrderError::Busy => wait_response(self.settings.timeout),
        }
    }

    fn not_leader(&self) -> OrderResponse {
        OrderResponse::NotLeader { leader: self.control.lead().leader }
    }
}

fn wait_response(time: Duration) -> OrderResponse {
    OrderResponse::Wait { millis: u64::try_from(time.as_millis()).unwrap_or(u64::MAX) }
}
