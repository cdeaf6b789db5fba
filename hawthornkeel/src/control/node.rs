//! Control instance: carries out what the replica of the log decides, and applies the log.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::rc::Rc;

use futures_channel::oneshot;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Action;
use hawthornkeel_core::replica::Applied;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::replica::Node;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::Proposal;
use hawthornkeel_core::replica::ProposalId;
use hawthornkeel_core::replica::ReadId;
use hawthornkeel_core::replica::Refusal;
use hawthornkeel_core::replica::Replica;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::Settings;
use hawthornkeel_core::replica::Snapshot;
use hawthornkeel_core::replica::Status;
use hawthornkeel_core::replica::Stored;
use hawthornkeel_core::replica::Ticket;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::published::Published;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use rand_chacha::ChaCha8Rng;

use crate::clock::wall_now;
use crate::control::batch;
use crate::control::clock::boot_now;
use crate::control::error::CodecError;
use crate::control::error::ControlFailure;
use crate::control::pending::BatchLimits;
use crate::control::pending::Pending;
use crate::control::saver::Saver;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::ControlStatus;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Lead;
use crate::peer::frame::Proposed;
use crate::peer::signal::Signal;
use crate::peer::signal::yield_now;

/// What a control instance is started with.
pub struct ControlOptions {
    /// Identity of the data folder and name of the instance.
    pub node: Node,
    /// Settings of the log.
    pub settings: Settings,
    /// Bounds of batches.
    pub batch: BatchLimits,
    /// Randomness of elections.
    pub rng: ChaCha8Rng,
    /// What the disk holds.
    pub stored: Stored,
}

/// Control instance; clones share it.
#[derive(Clone)]
pub struct Control {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    /// Disk, until the role ends.
    saver: RefCell<Option<Box<dyn Saver>>>,
    replica: RefCell<Replica>,
    state: RefCell<State>,
    /// Last entry that the state includes.
    applied: Cell<LogIndex>,
    pending: RefCell<Pending>,
    /// Reads that wait for the lease, with where the answer goes.
    reads: RefCell<IndexMap<ReadId, oneshot::Sender<bool>>>,
    next: Cell<u64>,
    /// Whether a task is about to propose what waits.
    flushing: Cell<bool>,
    /// When the timer task wakes up.
    armed: Cell<Instant>,
    rearmed: Signal,
    published: Signal,
    failure: RefCell<Option<ControlFailure>>,
    failed: Signal,
}

impl Control {
    /// Starts the replica and serves its frames on `endpoint`.
    ///
    /// # Errors
    ///
    /// Fails where the log on the disk has a gap.
    pub fn start(
        options: ControlOptions,
        endpoint: Endpoint,
        saver: Box<dyn Saver>,
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
                pending: RefCell::new(Pending::new(batch)),
                reads: RefCell::default(),
                next: Cell::new(0),
                flushing: Cell::new(false),
                armed: Cell::new(Instant::ZERO),
                rearmed: Signal::default(),
                published: Signal::default(),
                failure: RefCell::default(),
                failed: Signal::default(),
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
    pub async fn confirm(&self) -> bool {
        let id = ReadId(self.next_number());
        let (sender, ready) = oneshot::channel();
        self.inner.reads.borrow_mut().insert(id, sender);
        self.input(Input::Read(id));
        ready.await.unwrap_or(false)
    }

    /// Returns who leads, as known here.
    pub fn lead(&self) -> Lead {
        let replica = self.inner.replica.borrow();
        let leader = replica.status().leader.as_ref().map(|n| n.name.clone());
        Lead { own: !self.has_ended() && replica.has_lease(boot_now()), leader }
    }

    /// Returns the part that this instance plays in the log.
    pub fn status(&self) -> ControlStatus {
        let lead = self.lead();
        let replica = self.inner.replica.borrow();
        let Status { term, commit, members, .. } = replica.status().clone();
        ControlStatus { lead, term, commit, members }
    }

    /// Returns the published part of the state as applied here.
    pub fn published(&self) -> Published {
        self.inner.state.borrow().published()
    }

    /// Returns the number of changes of the published part, to wait on.
    pub fn changes(&self) -> &Signal {
        &self.inner.published
    }

    /// Notes that a save and all before it are on disk.
    pub fn synced(&self, ticket: Ticket) {
        self.input(Input::Synced { ticket });
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
                inner.failed.after(seen).await;
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
    fn schedule_flush(&self) {
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
            match batch::encode(&batch) {
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
        let deadline = self.inner.replica.borrow().deadline();
        if deadline < self.inner.armed.get() {
            self.inner.rearmed.notify();
        }
    }

    fn carry_out(
        &self,
        action: Action,
        inputs: &mut VecDeque<Input>,
    ) -> Result<(), ControlFailure> {
        match action {
            Action::Save { ticket, save } => self.save(ticket, save),
            Action::Send { to, message } => self.send(&to, message),
            Action::Apply(entries) => self.apply(entries)?,
            Action::Restore(snapshot) => self.restore(&snapshot)?,
            Action::TakeSnapshot => inputs.push_back(self.take_snapshot()?),
            Action::Refused { id, reason } => self.refused(id, reason),
            Action::Lost { id } => self.ended(id, &Proposed::Unknown),
            Action::ReadReady { id } => self.answer_read(id, true),
            Action::ReadRefused { id, .. } => self.answer_read(id, false),
            Action::Changed(status) => self.changed(&status),
        }
        Ok(())
    }

    fn save(&self, ticket: Ticket, save: Save) {
        if let Some(saver) = &*self.inner.saver.borrow() {
            saver.save(ticket, save);
        }
    }

    fn send(&self, to: &InstanceName, message: Message) {
        if let Err(error) = self.inner.endpoint.send(to, &Frame::Replica(message)) {
            tracing::warn!(event = "replica-unsent", peer = %to, %error);
        }
    }

    fn apply(&self, entries: Vec<Applied>) -> Result<(), ControlFailure> {
        let before = self.inner.state.borrow().published().index;
        for Applied { entry, proposal } in entries {
            self.inner.applied.set(entry.index);
            let Payload::Command(data) = &entry.payload else { continue };
            let failure = |e| ControlFailure::Entry(entry.index, e);
            let commands = batch::decode(data).map_err(failure)?;
            let mut state = self.inner.state.borrow_mut();
            let outcomes = commands.iter().map(|c| state.apply(entry.index, c)).collect();
            drop(state);
            if let Some(id) = proposal {
                self.inner.pending.borrow_mut().applied(id, outcomes);
                self.schedule_flush();
            }
        }
        if self.inner.state.borrow().published().index > before {
            self.inner.published.notify();
        }
        Ok(())
    }

    fn restore(&self, snapshot: &Snapshot) -> Result<(), ControlFailure> {
        let failure = |e| ControlFailure::Snapshot(snapshot.index, e);
        let state = batch::decode_state(&snapshot.data).map_err(failure)?;
        *self.inner.state.borrow_mut() = state;
        self.inner.applied.set(snapshot.index);
        tracing::info!(event = "snapshot-restored", index = %snapshot.index);
        self.inner.published.notify();
        Ok(())
    }

    fn take_snapshot(&self) -> Result<Input, ControlFailure> {
        let index = self.inner.applied.get();
        let failure = |e: CodecError| ControlFailure::Snapshot(index, e);
        let data = batch::encode_state(&self.inner.state.borrow()).map_err(failure)?;
        tracing::info!(event = "snapshot-taken", %index, bytes = data.len());
        Ok(Input::Snapshot { index, data })
    }

    fn refused(&self, id: ProposalId, reason: Refusal) {
        let leader = match reason {
            Refusal::NotLeader(leader) => leader.map(|n| n.name),
            Refusal::Busy | Refusal::NoLease | Refusal::Unchangeable => None,
        };
        self.ended(id, &Proposed::NotProposed { leader });
    }

    fn ended(&self, id: ProposalId, answer: &Proposed) {
        self.inner.pending.borrow_mut().ended(id, answer);
        self.schedule_flush();
    }

    fn answer_read(&self, id: ReadId, ready: bool) {
        if let Some(reader) = self.inner.reads.borrow_mut().swap_remove(&id) {
            let _ = reader.send(ready);
        }
    }

    fn changed(&self, status: &Status) {
        let leader = status.leader.as_ref().map_or("", |n| n.name.as_str());
        let (role, term) = (status.role, status.term);
        let voters = status.members.voters().map(|n| n.name.as_str()).collect::<Vec<_>>().join(",");
        tracing::info!(event = "control-role", ?role, %term, leader, voters);
        if status.role != Role::Leader {
            let answer = Proposed::NotProposed { leader: status.leader.clone().map(|n| n.name) };
            self.inner.pending.borrow_mut().refuse_waiting(&answer);
        }
    }

    /// Wakes the replica up whenever it is due.
    async fn keep_time(self) {
        loop {
            if self.has_ended() {
                return;
            }
            let seen = self.inner.rearmed.count();
            let deadline = self.inner.replica.borrow().deadline();
            let wait = deadline.since(boot_now());
            if wait.is_zero() {
                self.input(Input::Tick);
                yield_now().await;
                continue;
            }
            self.inner.armed.set(deadline);
            monoio::select! {
                () = monoio::time::sleep(wait) => {}
                () = self.inner.rearmed.after(seen) => {}
            }
        }
    }
}
