//! Control instance: carries out what the replica of the log decides, and applies the log.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

use futures_channel::oneshot;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Proposal;
use hawthornkeel_core::replica::ProposalId;
use hawthornkeel_core::replica::ReadId;
use hawthornkeel_core::replica::Replica;
use hawthornkeel_core::replica::ReplicaSettings;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::SaveSeq;
use hawthornkeel_core::replica::Status;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::published::PublishedState;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use rand_chacha::ChaCha8Rng;

use crate::clock::boot_now;
use crate::clock::wall_now;
use crate::control::codec;
use crate::control::error::ControlFailure;
use crate::control::proposal_queue::BatchLimits;
use crate::control::proposal_queue::ProposalQueue;
use crate::control::storage::LogStorage;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::ControlStatus;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Leadership;
use crate::peer::frame::Proposed;
use crate::peer::wakeup::EventCount;
use crate::peer::wakeup::yield_now;

/// What a control instance is started with.
pub struct ControlOptions {
    /// Identity of the data folder and name of the instance.
    pub node: Node,
    /// Settings of the log.
    pub settings: ReplicaSettings,
    /// Bounds of batches.
    pub batch: BatchLimits,
    /// Randomness of elections.
    pub rng: ChaCha8Rng,
    /// What the disk holds.
    pub stored: PersistedState,
}

/// Control instance; clones share it.
#[derive(Clone)]
pub struct ControlNode {
    pub(super) inner: Rc<Inner>,
}

/// State of a control instance.
pub(super) struct Inner {
    pub(super) endpoint: Endpoint,
    /// Disk, until the role ends.
    pub(super) saver: RefCell<Option<Box<dyn LogStorage>>>,
    pub(super) replica: RefCell<Replica>,
    pub(super) state: RefCell<State>,
    /// Last entry that the state includes.
    pub(super) applied: Cell<LogIndex>,
    pub(super) pending: RefCell<ProposalQueue>,
    /// Reads that wait for the lease, with where the answer goes.
    pub(super) reads: RefCell<IndexMap<ReadId, oneshot::Sender<bool>>>,
    pub(super) next: Cell<u64>,
    /// Whether a task is about to propose what waits.
    pub(super) flushing: Cell<bool>,
    /// When the timer task wakes up.
    pub(super) armed: Cell<Instant>,
    pub(super) rearmed: EventCount,
    pub(super) published: EventCount,
    pub(super) failure: RefCell<Option<ControlFailure>>,
    pub(super) failed: EventCount,
}

impl ControlNode {
    /// Starts the replica and serves its frames on `endpoint`.
    ///
    /// # Errors
    ///
    /// Fails where the log on the disk has a gap.
    pub fn start(
        options: ControlOptions,
        endpoint: Endpoint,
        saver: Box<dyn LogStorage>,
    ) -> Result<Self, ControlFailure> {
        let ControlOptions { node, settings, batch, rng, stored } = options;
        let replica = Replica::recover(node, settings, rng, boot_now(), stored)?;
        let control = Self {
            inner: Rc::new(Inner {
                endpoint,
                saver: RefCell::new(Some(saver)),
                replica: RefCell::new(replica),
                state: RefCell::default(),
                applied: Cell::default(),
                pending: RefCell::new(ProposalQueue::new(batch)),
                reads: RefCell::default(),
                next: Cell::new(0),
                flushing: Cell::new(false),
                armed: Cell::new(Instant::ZERO),
                rearmed: EventCount::default(),
                published: EventCount::default(),
                failure: RefCell::default(),
                failed: EventCount::default(),
            }),
        };
        control.serve();
        control.input(Input::Tick);
        monoio::spawn(control.clone().keep_time());
        Ok(control)
    }

    fn serve(&self) {
        let endpoint = &self.inner.endpoint;
        let control = self.clone();
        endpoint.on_frame(FrameKind::Replica, move |from, frame| {
            if let Frame::Replica(message) = frame {
                control.receive(from, message);
            }
        });
        let control = self.clone();
        endpoint.on_call(FrameKind::Propose, move |_, frame| {
            let control = control.clone();
            async move {
                match frame {
                    Frame::Propose(command) => Frame::Proposed(control.propose(command).await),
                    other => other,
                }
            }
        });
        let control = self.clone();
        endpoint.on_call(FrameKind::Lead, move |_, _| {
            let lead = control.lead();
            async move { Frame::LeadReply(lead) }
        });
    }

    /// Takes in a message of the log, whose sender must be the authenticated peer.
    fn receive(&self, from: &InstanceName, message: Message) {
        if message.from.name != *from {
            tracing::warn!(event = "replica-refused", peer = %from, claimed = %message.from.name);
            return;
        }
        self.input(Input::Message(message));
    }

    /// Proposes `command` and waits until its outcome is decided.
    pub async fn propose(&self, command: Command) -> Proposed {
        if !self.leads() {
            return self.not_proposed();
        }
        let (waiter, outcome) = oneshot::channel();
        let refused = self.inner.pending.borrow_mut().push(command, waiter).is_some();
        if refused {
            return Proposed::NotProposed { leader: None };
        }
        self.schedule_flush();
        outcome.await.unwrap_or(Proposed::Unknown)
    }

    /// Waits until this instance's state is known to hold everything acknowledged so far.
    ///
    /// Returns whether that could be confirmed; only a leader with its lease can.
    pub async fn read_barrier(&self) -> bool {
        let id = ReadId(self.next_number());
        let (sender, ready) = oneshot::channel();
        self.inner.reads.borrow_mut().insert(id, sender);
        self.input(Input::Read(id));
        ready.await.unwrap_or(false)
    }

    /// Returns who leads, as known here.
    pub fn lead(&self) -> Leadership {
        let replica = self.inner.replica.borrow();
        let leader = replica.status().leader.as_ref().map(|n| n.name.clone());
        Leadership { is_leader: !self.has_ended() && replica.has_lease(boot_now()), leader }
    }

    /// Returns the part that this instance plays in the log.
    pub fn status(&self) -> ControlStatus {
        let lead = self.lead();
        let replica = self.inner.replica.borrow();
        let Status { term, commit, members, .. } = replica.status().clone();
        ControlStatus { leadership: lead, term, commit, members }
    }

    /// Returns the published part of the state as applied here.
    pub fn published(&self) -> PublishedState {
        self.inner.state.borrow().published()
    }

    /// Returns the number of changes of the published part, to wait on.
    pub fn changes(&self) -> &EventCount {
        &self.inner.published
    }

    /// Has the replica do what has become due.
    pub fn tick(&self) {
        self.input(Input::Tick);
    }

    /// Notes that a save and all before it are on disk.
    pub fn synced(&self, seq: SaveSeq) {
        self.input(Input::Synced { seq });
    }

    /// Ends the control role: nothing more is acknowledged or sent.
    pub fn fail(&self, failure: ControlFailure) {
        let mut first = self.inner.failure.borrow_mut();
        if first.is_none() {
            match &failure {
                ControlFailure::Stopped => tracing::info!(event = "control-stopped"),
                error => tracing::error!(event = "control-failed", %error),
            }
            *first = Some(failure);
        }
        drop(first);
        self.inner.pending.borrow_mut().end_all();
        self.inner.reads.borrow_mut().clear();
        self.inner.failed.notify();
    }

    /// Hands the lead over to another voter, as before a planned stop; nothing happens elsewhere.
    pub fn transfer_leadership(&self) {
        self.input(Input::TransferLeadership);
    }

    /// Ends the control role of a planned stop: what was handed to the disk is written first.
    pub fn stop(&self) {
        self.fail(ControlFailure::Stopped);
        self.inner.saver.borrow_mut().take();
    }

    fn has_ended(&self) -> bool {
        self.inner.failure.borrow().is_some()
    }

    /// Waits until the control role has failed; the process is to end then.
    pub fn failed(&self) -> impl Future<Output = ControlFailure> + use<> {
        let inner = self.inner.clone();
        async move {
            loop {
                let seen = inner.failed.count();
                if let Some(failure) = inner.failure.borrow().clone() {
                    return failure;
                }
                inner.failed.wait_after(seen).await;
            }
        }
    }

    fn leads(&self) -> bool {
        !self.has_ended() && self.inner.replica.borrow().status().role == Role::Leader
    }

    fn not_proposed(&self) -> Proposed {
        let replica = self.inner.replica.borrow();
        let leader = replica.status().leader.as_ref().map(|n| n.name.clone());
        let own = self.inner.endpoint.name();
        Proposed::NotProposed { leader: leader.filter(|l| l != own) }
    }

    fn next_number(&self) -> u64 {
        let number = self.inner.next.get();
        self.inner.next.set(number.wrapping_add(1));
        number
    }

    /// Proposes what waits once the other tasks had their turn, so that their commands join.
    pub(super) fn schedule_flush(&self) {
        if self.inner.flushing.replace(true) {
            return;
        }
        let control = self.clone();
        monoio::spawn(async move {
            yield_now().await;
            control.inner.flushing.set(false);
            control.flush();
        });
    }

    fn flush(&self) {
        if !self.leads() {
            let answer = self.not_proposed();
            self.inner.pending.borrow_mut().refuse_waiting(&answer);
            return;
        }
        loop {
            let id = ProposalId(self.next_number());
            let batch = self.inner.pending.borrow_mut().take(id, wall_now());
            let Some(batch) = batch else { return };
            match codec::encode(&batch) {
                Ok(data) => self.input(Input::Propose(vec![Proposal { id, data }])),
                Err(error) => {
                    tracing::error!(event = "batch-refused", %error);
                    let answer = Proposed::NotProposed { leader: None };
                    self.inner.pending.borrow_mut().ended(id, &answer);
                }
            }
        }
    }

    /// Hands `input` to the replica and carries out what follows.
    fn input(&self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            if self.has_ended() {
                return;
            }
            let actions = self.inner.replica.borrow_mut().handle(boot_now(), input);
            for action in actions {
                if let Err(failure) = self.carry_out(action, &mut inputs) {
                    self.fail(failure);
                    return;
                }
            }
        }
        let deadline = self.inner.replica.borrow().next_tick();
        if deadline < self.inner.armed.get() {
            self.inner.rearmed.notify();
        }
    }

    /// Wakes the replica up whenever it is due.
    async fn keep_time(self) {
        loop {
            if self.has_ended() {
                return;
            }
            let seen = self.inner.rearmed.count();
            let deadline = self.inner.replica.borrow().next_tick();
            let wait = deadline.since(boot_now());
            if wait.is_zero() {
                self.input(Input::Tick);
                yield_now().await;
                continue;
            }
            self.inner.armed.set(deadline);
            monoio::select! {
                () = monoio::time::sleep(wait) => {}
                () = self.inner.rearmed.wait_after(seen) => {}
            }
        }
    }
}
