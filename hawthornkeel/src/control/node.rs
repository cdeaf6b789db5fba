//! Control role of an instance: drives its replica of the log, and applies committed entries.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use futures_channel::oneshot;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::HandoverEnd;
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
use hawthornkeel_core::replica::VoteHandover;
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

/// Options of a control node.
pub struct ControlOptions {
    /// Identity of the data folder and name of the instance.
    pub node: Node,
    /// Settings of the replica.
    pub settings: ReplicaSettings,
    /// Limits of batches.
    pub batch: BatchLimits,
    /// Random number generator for election timeouts.
    pub rng: ChaCha8Rng,
    /// State recovered from the data folder.
    pub persisted: PersistedState,
}

/// Control role of an instance; clones share the state.
#[derive(Clone)]
pub struct ControlNode {
    pub(super) inner: Rc<Inner>,
}

/// Shared state of a control node.
pub(super) struct Inner {
    pub(super) endpoint: Endpoint,
    /// Storage of the log, until the role ends.
    pub(super) storage: RefCell<Option<Box<dyn LogStorage>>>,
    pub(super) replica: RefCell<Replica>,
    pub(super) state: RefCell<State>,
    /// Index of the last applied entry.
    pub(super) applied: Cell<LogIndex>,
    pub(super) proposals: RefCell<ProposalQueue>,
    /// Read barriers in progress, with the channels for their results.
    pub(super) reads: RefCell<IndexMap<ReadId, oneshot::Sender<bool>>>,
    pub(super) next_id: Cell<u64>,
    /// Whether a task that proposes queued commands is scheduled.
    pub(super) flush_scheduled: Cell<bool>,
    /// Time at which the timer task wakes up.
    pub(super) timer_deadline: Cell<Instant>,
    pub(super) timer_changed: EventCount,
    pub(super) published: EventCount,
    /// Changes of the replica's role, term, leader and members.
    pub(super) status_changed: EventCount,
    pub(super) failure: RefCell<Option<ControlFailure>>,
    pub(super) ended: EventCount,
}

impl ControlNode {
    /// Starts the replica and serves its frames on `endpoint`.
    ///
    /// # Errors
    ///
    /// Returns an error if the persisted log has a gap.
    pub fn start(
        options: ControlOptions,
        endpoint: Endpoint,
        storage: Box<dyn LogStorage>,
    ) -> Result<Self, ControlFailure> {
        let ControlOptions { node, settings, batch, rng, persisted } = options;
        let replica = Replica::recover(node, settings, rng, boot_now(), persisted)?;
        let control = Self {
            inner: Rc::new(Inner {
                endpoint,
                storage: RefCell::new(Some(storage)),
                replica: RefCell::new(replica),
                state: RefCell::default(),
                applied: Cell::default(),
                proposals: RefCell::new(ProposalQueue::new(batch)),
                reads: RefCell::default(),
                next_id: Cell::new(0),
                flush_scheduled: Cell::new(false),
                timer_deadline: Cell::new(Instant::ZERO),
                timer_changed: EventCount::default(),
                published: EventCount::default(),
                status_changed: EventCount::default(),
                failure: RefCell::default(),
                ended: EventCount::default(),
            }),
        };
        control.serve();
        control.handle(Input::Tick);
        monoio::spawn(control.clone().run_timer());
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

    /// Handles a replica message, whose sender must be the authenticated peer.
    fn receive(&self, from: &InstanceName, message: Message) {
        if message.from.name != *from {
            tracing::warn!(event = "replica-refused", peer = %from, claimed = %message.from.name);
            return;
        }
        self.handle(Input::Message(message));
    }

    /// Proposes `command` and waits for its outcome.
    pub async fn propose(&self, command: Command) -> Proposed {
        if !self.is_leader() {
            return self.not_proposed();
        }
        let (sender, outcome) = oneshot::channel();
        let rejected = self.inner.proposals.borrow_mut().push(command, sender).is_some();
        if rejected {
            return Proposed::NotProposed { leader: None };
        }
        self.schedule_flush();
        outcome.await.unwrap_or(Proposed::Unknown)
    }

    /// Waits until the state of this instance includes all changes acknowledged before the call.
    ///
    /// Returns whether that was confirmed, which only a leader with a valid lease can do.
    pub async fn read_barrier(&self) -> bool {
        let id = ReadId(self.next_id());
        let (sender, result) = oneshot::channel();
        self.inner.reads.borrow_mut().insert(id, sender);
        self.handle(Input::Read(id));
        result.await.unwrap_or(false)
    }

    /// Returns the leader known to this instance.
    pub fn lead(&self) -> Leadership {
        let replica = self.inner.replica.borrow();
        let leader = replica.status().leader.as_ref().map(|n| n.name.clone());
        Leadership { is_leader: !self.has_ended() && replica.has_lease(boot_now()), leader }
    }

    /// Returns whether the state applied at this instance is certain to include all changes
    /// acknowledged until `now`, which is the current time of the boot clock.
    pub fn is_current(&self, now: Instant) -> bool {
        !self.has_ended() && self.inner.replica.borrow().is_current(now)
    }

    /// Returns the status of this instance's replica.
    pub fn status(&self) -> ControlStatus {
        let lead = self.lead();
        let replica = self.inner.replica.borrow();
        let Status { term, commit, members, .. } = replica.status().clone();
        ControlStatus { leadership: lead, term, commit, members }
    }

    /// Returns the published part of the state applied at this instance.
    pub fn published(&self) -> PublishedState {
        self.inner.state.borrow().published()
    }

    /// Returns the signal for changes of the published part.
    pub fn changes(&self) -> &EventCount {
        &self.inner.published
    }

    /// Returns the signal for changes of the role, the term, the leader and the members.
    pub fn status_changes(&self) -> &EventCount {
        &self.inner.status_changed
    }

    /// Lets the replica handle expired timers.
    pub fn tick(&self) {
        self.handle(Input::Tick);
    }

    /// Notifies the replica that a save and all saves before it are durable.
    pub fn synced(&self, seq: SaveSeq) {
        self.handle(Input::Synced { seq });
    }

    /// Ends the control role: nothing is acknowledged or sent afterwards.
    ///
    /// The first failure is kept.
    pub fn fail(&self, failure: ControlFailure) {
        let mut recorded = self.inner.failure.borrow_mut();
        if recorded.is_none() {
            match &failure {
                ControlFailure::Stopped => tracing::info!(event = "control-stopped"),
                error => tracing::error!(event = "control-failed", %error),
            }
            *recorded = Some(failure);
        }
        drop(recorded);
        self.inner.proposals.borrow_mut().fail_all();
        self.inner.reads.borrow_mut().clear();
        self.inner.ended.notify();
    }

    /// Transfers leadership to another voter before a planned stop; has no effect on non-leaders.
    ///
    /// The only voter goes on leading, as a transfer would refuse proposals for nothing.
    pub fn transfer_leadership(&self) {
        if self.has_successors() {
            self.handle(Input::TransferLeadership);
        }
    }

    /// Returns whether there are other voters, to which leadership can be transferred.
    pub fn has_successors(&self) -> bool {
        let replica = self.inner.replica.borrow();
        replica.status().members.voters().count() > 1
    }

    /// Asks, before a planned stop, for the vote of this instance to be given to a learner.
    ///
    /// The replica takes part as before until a learner has the vote.
    pub fn withdraw(&self) {
        self.handle(Input::Withdraw);
    }

    /// Begins to wait until a learner has the vote, for `limit` under one leader and until `end` in
    /// any case.
    pub fn begin_handover(&self, limit: Duration, end: Instant) -> VoteHandover {
        VoteHandover::begin(&self.inner.replica.borrow(), limit, end)
    }

    /// Returns why that wait ends now, if it does.
    pub fn handover_ended(&self, handover: &mut VoteHandover) -> Option<HandoverEnd> {
        handover.ended(boot_now(), &self.inner.replica.borrow())
    }

    /// Stops the control role as planned, after queued saves have been written.
    pub fn stop(&self) {
        self.fail(ControlFailure::Stopped);
        self.inner.storage.borrow_mut().take();
    }

    /// Returns whether the control role has failed or was stopped.
    pub fn has_ended(&self) -> bool {
        self.inner.failure.borrow().is_some()
    }

    /// Waits until the control role has ended; the process must exit then.
    pub fn failed(&self) -> impl Future<Output = ControlFailure> + use<> {
        let inner = self.inner.clone();
        async move {
            loop {
                let seen = inner.ended.count();
                if let Some(failure) = inner.failure.borrow().clone() {
                    return failure;
                }
                inner.ended.wait_after(seen).await;
            }
        }
    }

    /// Returns whether this instance leads, by its own knowledge.
    pub fn is_leader(&self) -> bool {
        !self.has_ended() && self.inner.replica.borrow().status().role == Role::Leader
    }

    fn not_proposed(&self) -> Proposed {
        let replica = self.inner.replica.borrow();
        let leader = replica.status().leader.as_ref().map(|n| n.name.clone());
        let own = self.inner.endpoint.name();
        Proposed::NotProposed { leader: leader.filter(|l| l != own) }
    }

    fn next_id(&self) -> u64 {
        let id = self.inner.next_id.get();
        self.inner.next_id.set(id.wrapping_add(1));
        id
    }

    /// Schedules a flush after the other ready tasks have run, so that their commands are batched.
    pub(super) fn schedule_flush(&self) {
        if self.inner.flush_scheduled.replace(true) {
            return;
        }
        let control = self.clone();
        monoio::spawn(async move {
            yield_now().await;
            control.inner.flush_scheduled.set(false);
            control.flush();
        });
    }

    fn flush(&self) {
        if !self.is_leader() {
            let reply = self.not_proposed();
            self.inner.proposals.borrow_mut().reject_queued(&reply);
            return;
        }
        loop {
            let id = ProposalId(self.next_id());
            let batch = self.inner.proposals.borrow_mut().next_batch(id, wall_now());
            let Some(batch) = batch else { return };
            match codec::encode_commands(&batch) {
                Ok(data) => self.handle(Input::Propose(vec![Proposal { id, data }])),
                Err(error) => {
                    tracing::error!(event = "batch-refused", %error);
                    let reply = Proposed::NotProposed { leader: None };
                    self.inner.proposals.borrow_mut().fail(id, &reply);
                }
            }
        }
    }

    /// Passes `input` to the replica and executes the resulting actions.
    fn handle(&self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            if self.has_ended() {
                return;
            }
            let actions = self.inner.replica.borrow_mut().handle(boot_now(), input);
            for action in actions {
                if let Err(failure) = self.execute(action, &mut inputs) {
                    self.fail(failure);
                    return;
                }
            }
        }
        let deadline = self.inner.replica.borrow().next_tick();
        if deadline < self.inner.timer_deadline.get() {
            self.inner.timer_changed.notify();
        }
    }

    /// Ticks the replica whenever a timer expires.
    async fn run_timer(self) {
        loop {
            if self.has_ended() {
                return;
            }
            let seen = self.inner.timer_changed.count();
            let deadline = self.inner.replica.borrow().next_tick();
            let wait = deadline.since(boot_now());
            if wait.is_zero() {
                self.handle(Input::Tick);
                yield_now().await;
                continue;
            }
            self.inner.timer_deadline.set(deadline);
            monoio::select! {
                () = monoio::time::sleep(wait) => {}
                () = self.inner.timer_changed.wait_after(seen) => {}
            }
        }
    }
}
