//! Orders to targets, sent by the leader under fencing numbers from the log.

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

/// Time between two looks at whether this instance leads.
const LOOK: Duration = Duration::from_millis(100);

/// Order of an operator to a target.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Target ordered.
    pub target: TargetName,
    /// What it is to do.
    #[serde(flatten)]
    pub order: Order,
}

/// Response to an order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum OrderResponse {
    /// The target took the order.
    Accepted {
        /// Number that the order carried.
        fencing: FencingNumber,
    },
    /// The target has taken a later order.
    RefusedOld,
    /// The order may have been taken or not.
    Unknown,
    /// Nothing was sent, since this instance does not lead.
    NotLeader {
        /// Instance that leads, where known.
        leader: Option<InstanceName>,
    },
    /// Nothing was sent: to be sent again after this time.
    Wait {
        /// Time to wait, in milliseconds.
        millis: u64,
    },
}

/// Target of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderTarget {
    /// Name.
    pub name: TargetName,
    /// Address.
    pub address: SocketAddr,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
}

/// Sends orders while this instance leads; clones share it.
#[derive(Clone)]
pub struct OrderSender {
    control: ControlNode,
    client: Client,
    settings: OrderSettings,
    gate: Rc<RefCell<OrderGate>>,
}

impl OrderSender {
    /// Starts to watch whether `control` leads.
    pub fn start(control: ControlNode, client: Client, settings: OrderSettings) -> Self {
        let gate = Rc::new(RefCell::new(OrderGate::new(settings)));
        let orders = Self { control, client, settings, gate };
        monoio::spawn(orders.clone().watch());
        orders
    }

    async fn watch(self) {
        loop {
            let leading = self.leading();
            self.gate.borrow_mut().observe(boot_now(), leading);
            monoio::time::sleep(LOOK).await;
        }
    }

    /// Sends an order, or tells why not.
    pub async fn order(&self, target: &OrderTarget, order: Order) -> OrderResponse {
        let begun = {
            let leading = self.leading();
            self.gate.borrow_mut().begin(boot_now(), leading, &target.name, target.fencing)
        };
        if let Err(hold) = begun {
            return self.held(hold);
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
        // The lease may have ended while the number was drawn.
        if self.leading().is_none() {
            return self.not_leader();
        }
        let call = Call {
            id: CallId { request: RequestId(rand::random()), ..CallId::default() },
            idempotent: false,
            timeout: self.settings.timeout,
            progress: self.settings.timeout,
            ..Call::default()
        };
        let order = FencedOrder { fencing, order };
        match self.client.order(target.address, &call, &order).await {
            OrderResult::Accepted => OrderResponse::Accepted { fencing },
            OrderResult::RefusedOld => OrderResponse::RefusedOld,
            OrderResult::Failed(_) => OrderResponse::Unknown,
        }
    }

    fn leading(&self) -> Option<Term> {
        self.control.lead().is_leader.then(|| self.control.status().term)
    }

    fn held(&self, hold: OrderError) -> OrderResponse {
        match hold {
            OrderError::NotLeader => self.not_leader(),
            OrderError::NotBefore(time) => wait(time.since(boot_now())),
            OrderError::Busy => wait(self.settings.timeout),
        }
    }

    fn not_leader(&self) -> OrderResponse {
        OrderResponse::NotLeader { leader: self.control.lead().leader }
    }
}

fn wait(time: Duration) -> OrderResponse {
    OrderResponse::Wait { millis: u64::try_from(time.as_millis()).unwrap_or(u64::MAX) }
}
