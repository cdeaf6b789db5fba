//! Dissemination of orders to take data centres out, until they are committed to the log.

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

/// Maximum number of peers that receive an order in one round.
const FAN_OUT: usize = 16;
/// Minimum interval between rounds while an order is not committed.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between attempts to commit orders before the process ends.
const FINAL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout for an order to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Disseminates orders to take data centres out; clones share the state.
#[derive(Clone)]
pub struct Gossip {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    watch: Watch,
    client: ControlClient,
    /// Whether the task that resends orders runs.
    resending: Cell<bool>,
}

impl Gossip {
    /// Starts to receive and forward orders.
    pub fn start(endpoint: &Endpoint, watch: &Watch, client: &ControlClient) -> Self {
        let gossip = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                watch: watch.clone(),
                client: client.clone(),
                resending: Cell::new(false),
            }),
        };
        let receiver = gossip.clone();
        endpoint.on_frame(FrameKind::TakeOuts, move |from, frame| {
            if let Frame::TakeOuts(take_outs) = frame {
                receiver.receive(from, &take_outs);
            }
        });
        monoio::spawn(gossip.clone().watch_take_outs());
        gossip
    }

    /// Applies a take-out order of an operator, and disseminates it.
    pub fn take_out(&self, order: &CentreOrder) -> MergeOutcome {
        let take_out = TakeOut { order: order.clone(), log_index: None };
        let merged = self.inner.watch.merge_take_out(&take_out);
        if merged == MergeOutcome::New {
            self.disseminate(&[take_out], None);
            self.resend();
        }
        merged
    }

    /// Commits `order` to the log, and records its position.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ControlClient::propose`].
    pub async fn commit(&self, order: &CentreOrder) -> Result<CentreOutcome, ProposeError> {
        let command = Command::Centre(order.clone());
        let outcome = match self.inner.client.propose(command, COMMIT_TIMEOUT).await? {
            Outcome::Centre(outcome) => outcome,
            _ => return Err(ProposeError::Unknown),
        };
        let log_index = match &outcome {
            CentreOutcome::Recorded(record) => record.index,
            // The operation number was used before. The data centre stays out until a later order.
            CentreOutcome::Conflict(_) => self.next_index(),
        };
        self.inner.watch.mark_logged(order, log_index);
        if let Some(take_out) = self.inner.watch.take_out(order) {
            self.disseminate(&[take_out], None);
        }
        Ok(outcome)
    }

    /// Commits orders until all that are known are in the log.
    pub async fn commit_all(&self) {
        loop {
            let take_outs = self.inner.watch.unlogged();
            if take_outs.is_empty() {
                return;
            }
            for take_out in take_outs {
                let _ = self.commit(&take_out.order).await;
            }
            monoio::time::sleep(FINAL_INTERVAL).await;
        }
    }

    /// Returns the number of known orders that are not in the log.
    pub fn uncommitted(&self) -> usize {
        self.inner.watch.unlogged().len()
    }

    fn next_index(&self) -> LogIndex {
        let index = self.inner.watch.index().unwrap_or_default();
        LogIndex(index.0.saturating_add(1))
    }

    fn receive(&self, from: &InstanceName, take_outs: &[TakeOut]) {
        for take_out in take_outs {
            match self.inner.watch.merge_take_out(take_out) {
                MergeOutcome::New => {
                    self.disseminate(std::slice::from_ref(take_out), Some(from));
                    self.resend();
                }
                MergeOutcome::Outdated => self.send_current(from, &take_out.order),
                MergeOutcome::Full => tracing::error!(event = "take-out-dropped", peer = %from),
                MergeOutcome::Known | MergeOutcome::Ignored => {}
            }
        }
    }

    /// Sends a peer the current knowledge about an order.
    fn send_current(&self, to: &InstanceName, order: &CentreOrder) {
        if let Some(take_out) = self.inner.watch.take_out(order) {
            self.send(to, &[take_out]);
        }
    }

    /// Sends orders to randomly chosen peers other than `except`.
    fn disseminate(&self, take_outs: &[TakeOut], except: Option<&InstanceName>) {
        let peers: Vec<_> = self.inner.endpoint.peers().map(|p| &p.name).collect();
        let chosen: Vec<_> = peers.choose_multiple(&mut rand::rng(), FAN_OUT).collect();
        for peer in chosen {
            if Some(*peer) != except {
                self.send(peer, take_outs);
            }
        }
    }

    fn send(&self, to: &InstanceName, take_outs: &[TakeOut]) {
        if let Err(error) = self.inner.endpoint.send(to, &Frame::TakeOuts(take_outs.to_vec())) {
            tracing::warn!(event = "take-out-unsent", peer = %to, %error);
        }
    }

    /// Resends orders that arrived with the published state, too.
    async fn watch_take_outs(self) {
        let changes = self.inner.watch.changes();
        loop {
            let seen = changes.count();
            if !self.inner.watch.unlogged().is_empty() {
                self.resend();
            }
            changes.wait_after(seen).await;
        }
    }

    /// Resends orders and proposes them until all of them are committed.
    fn resend(&self) {
        if self.inner.resending.replace(true) {
            return;
        }
        let gossip = self.clone();
        monoio::spawn(async move {
            loop {
                // Random delay, so that instances don't all propose the same order at once.
                monoio::time::sleep(ROUND_INTERVAL.mul_f64(1.0 + rand::random::<f64>())).await;
                let take_outs = gossip.inner.watch.unlogged();
                if take_outs.is_empty() {
                    gossip.inner.resending.set(false);
                    return;
                }
                gossip.disseminate(&take_outs, None);
                for take_out in take_outs {
                    if let Err(error) = gossip.commit(&take_out.order).await {
                        let operation = take_out.order.operation;
                        tracing::debug!(event = "take-out-unlogged", %operation, %error);
                    }
                }
            }
        });
    }
}
