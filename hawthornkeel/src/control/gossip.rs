//! Spreads orders to take data centres out, and has them logged.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreOutcome;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::take_out::MergeOutcome;
use hawthornkeel_core::state::take_out::TakeOut;
use rand::seq::IndexedRandom;

use crate::control::client::ControlClient;
use crate::control::client::ProposeError;
use crate::control::watch::Watch;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::FrameKind;

/// Peers that an order is passed on to at once.
const FAN_OUT: usize = 16;
/// Time between repetitions while an order is not logged.
const REPEAT: Duration = Duration::from_secs(1);
/// Time for the log to take an order.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Spreads orders to take data centres out; clones share it.
#[derive(Clone)]
pub struct Gossip {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    watch: Watch,
    client: ControlClient,
    /// Whether the task that repeats orders runs.
    repeating: Cell<bool>,
}

impl Gossip {
    /// Starts to take in and pass on orders.
    pub fn start(endpoint: &Endpoint, watch: &Watch, client: &ControlClient) -> Self {
        let gossip = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                watch: watch.clone(),
                client: client.clone(),
                repeating: Cell::new(false),
            }),
        };
        let heard = gossip.clone();
        endpoint.on_frame(FrameKind::TakeOuts, move |from, frame| {
            if let Frame::TakeOuts(holds) = frame {
                heard.hear(from, &holds);
            }
        });
        monoio::spawn(gossip.clone().watch_holds());
        gossip
    }

    /// Takes an order in from an operator, and passes it on.
    pub fn take_out(&self, order: &CentreOrder) -> MergeOutcome {
        let hold = TakeOut { order: order.clone(), log_index: None };
        let heard = self.inner.watch.merge_take_out(&hold);
        if heard == MergeOutcome::New {
            self.spread(&[hold], None);
            self.repeat();
        }
        heard
    }

    /// Has `order` logged and notes its place.
    ///
    /// # Errors
    ///
    /// Fails like [`ControlClient::propose`].
    pub async fn log(&self, order: &CentreOrder) -> Result<CentreOutcome, ProposeError> {
        let command = Command::Centre(order.clone());
        let outcome = match self.inner.client.propose(command, LOG_TIMEOUT).await? {
            Outcome::Centre(outcome) => outcome,
            _ => return Err(ProposeError::Unknown),
        };
        let floor = match &outcome {
            CentreOutcome::Recorded(record) => record.index,
            // The number was used before. What was taken out stays out until a later order.
            CentreOutcome::Conflict(_) => self.next_index(),
        };
        self.inner.watch.mark_logged(order, floor);
        if let Some(hold) = self.inner.watch.take_out(order) {
            self.spread(&[hold], None);
        }
        Ok(outcome)
    }

    fn next_index(&self) -> LogIndex {
        let index = self.inner.watch.index().unwrap_or_default();
        LogIndex(index.0.saturating_add(1))
    }

    fn hear(&self, from: &InstanceName, holds: &[TakeOut]) {
        for hold in holds {
            match self.inner.watch.merge_take_out(hold) {
                MergeOutcome::New => {
                    self.spread(std::slice::from_ref(hold), Some(from));
                    self.repeat();
                }
                MergeOutcome::Outdated => self.answer(from, &hold.order),
                MergeOutcome::Full => tracing::error!(event = "take-out-dropped", peer = %from),
                MergeOutcome::Known | MergeOutcome::Ignored => {}
            }
        }
    }

    /// Tells a peer what is known of an order.
    fn answer(&self, to: &InstanceName, order: &CentreOrder) {
        if let Some(hold) = self.inner.watch.take_out(order) {
            self.send(to, &[hold]);
        }
    }

    /// Passes orders on to a few peers, all of them where there are few.
    fn spread(&self, holds: &[TakeOut], except: Option<&InstanceName>) {
        let peers: Vec<_> = self.inner.endpoint.peers().map(|p| &p.name).collect();
        let chosen: Vec<_> = peers.choose_multiple(&mut rand::rng(), FAN_OUT).collect();
        for peer in chosen {
            if Some(*peer) != except {
                self.send(peer, holds);
            }
        }
    }

    fn send(&self, to: &InstanceName, holds: &[TakeOut]) {
        if let Err(error) = self.inner.endpoint.send(to, &Frame::TakeOuts(holds.to_vec())) {
            tracing::warn!(event = "take-out-unsent", peer = %to, %error);
        }
    }

    /// Repeats orders that came in with the published state as well.
    async fn watch_holds(self) {
        let changes = self.inner.watch.changes();
        loop {
            let seen = changes.count();
            if !self.inner.watch.unlogged().is_empty() {
                self.repeat();
            }
            changes.wait_after(seen).await;
        }
    }

    /// Repeats orders and tries to have them logged, until all of them are.
    fn repeat(&self) {
        if self.inner.repeating.replace(true) {
            return;
        }
        let gossip = self.clone();
        monoio::spawn(async move {
            loop {
                // Instances that heard the order together don't all propose it together.
                monoio::time::sleep(REPEAT.mul_f64(1.0 + rand::random::<f64>())).await;
                let holds = gossip.inner.watch.unlogged();
                if holds.is_empty() {
                    gossip.inner.repeating.set(false);
                    return;
                }
                gossip.spread(&holds, None);
                for hold in holds {
                    if let Err(error) = gossip.log(&hold.order).await {
                        let operation = hold.order.operation;
                        tracing::debug!(event = "take-out-unlogged", %operation, %error);
                    }
                }
            }
        });
    }
}
