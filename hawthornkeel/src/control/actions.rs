//! Executes the actions requested by the replica.

use std::collections::VecDeque;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Action;
use hawthornkeel_core::replica::CommittedEntry;
use hawthornkeel_core::replica::Input;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::ProposalId;
use hawthornkeel_core::replica::ReadId;
use hawthornkeel_core::replica::RejectReason;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use hawthornkeel_core::replica::Snapshot;
use hawthornkeel_core::replica::Status;

use crate::control::codec;
use crate::control::error::CodecError;
use crate::control::error::ControlFailure;
use crate::control::node::ControlNode;
use crate::peer::Frame;
use crate::peer::frame::Proposed;
use crate::telemetry;

impl ControlNode {
    /// Executes one action, and appends the inputs that result from it to `inputs`.
    pub(super) fn execute(
        &self,
        action: Action,
        inputs: &mut VecDeque<Input>,
    ) -> Result<(), ControlFailure> {
        match action {
            Action::Save { seq, save } => self.save(seq, save),
            Action::Send { to, message } => self.send(&to, message),
            Action::Apply(entries) => self.apply(entries)?,
            Action::Restore(snapshot) => self.restore(&snapshot)?,
            Action::TakeSnapshot => inputs.push_back(self.take_snapshot()?),
            Action::ProposalRejected { id, reason } => self.reject_proposal(id, reason),
            Action::OutcomeUnknown { id } => self.fail_proposal(id, &Proposed::Unknown),
            Action::ReadReady { id } => self.complete_read(id, true),
            Action::ReadRejected { id, .. } => self.complete_read(id, false),
            Action::StatusChanged(status) => self.update_status(&status),
        }
        Ok(())
    }

    fn save(&self, seq: SaveSeq, save: Save) {
        if let Some(storage) = &*self.inner.storage.borrow() {
            storage.save(seq, save);
        }
    }

    fn send(&self, to: &InstanceName, message: Message) {
        if let Err(error) = self.inner.endpoint.send(to, &Frame::Replica(message)) {
            tracing::warn!(event = "replica-unsent", peer = %to, %error);
        }
    }

    fn apply(&self, entries: Vec<CommittedEntry>) -> Result<(), ControlFailure> {
        let previous = self.inner.state.borrow().published().index;
        for CommittedEntry { entry, proposal } in entries {
            self.inner.applied.set(entry.index);
            let Payload::Command(data) = &entry.payload else { continue };
            let to_failure = |e| ControlFailure::Entry(entry.index, e);
            let commands = codec::decode_commands(data).map_err(to_failure)?;
            let mut state = self.inner.state.borrow_mut();
            let outcomes = commands.iter().map(|c| state.apply(entry.index, c)).collect();
            drop(state);
            if let Some(id) = proposal {
                self.inner.proposals.borrow_mut().complete(id, outcomes);
                self.schedule_flush();
            }
        }
        metrics::gauge!(telemetry::LOG_INDEX).set(self.inner.applied.get().0 as f64);
        if self.inner.state.borrow().published().index > previous {
            self.inner.published.notify();
        }
        Ok(())
    }

    fn restore(&self, snapshot: &Snapshot) -> Result<(), ControlFailure> {
        let to_failure = |e| ControlFailure::Snapshot(snapshot.index, e);
        let state = codec::decode_state(&snapshot.data).map_err(to_failure)?;
        *self.inner.state.borrow_mut() = state;
        self.inner.applied.set(snapshot.index);
        metrics::gauge!(telemetry::LOG_INDEX).set(snapshot.index.0 as f64);
        tracing::info!(event = "snapshot-restored", index = %snapshot.index);
        self.inner.published.notify();
        Ok(())
    }

    fn take_snapshot(&self) -> Result<Input, ControlFailure> {
        let index = self.inner.applied.get();
        let to_failure = |e: CodecError| ControlFailure::Snapshot(index, e);
        let data = codec::encode_state(&self.inner.state.borrow()).map_err(to_failure)?;
        tracing::info!(event = "snapshot-taken", %index, bytes = data.len());
        Ok(Input::Snapshot { index, data })
    }

    fn reject_proposal(&self, id: ProposalId, reason: RejectReason) {
        let leader = match reason {
            RejectReason::NotLeader(leader) => leader.map(|n| n.name),
            RejectReason::Busy | RejectReason::NoLease | RejectReason::ChangeNotAllowed => None,
        };
        self.fail_proposal(id, &Proposed::NotProposed { leader });
    }

    fn fail_proposal(&self, id: ProposalId, reply: &Proposed) {
        self.inner.proposals.borrow_mut().fail(id, reply);
        self.schedule_flush();
    }

    fn complete_read(&self, id: ReadId, ready: bool) {
        if let Some(sender) = self.inner.reads.borrow_mut().swap_remove(&id) {
            let _ = sender.send(ready);
        }
    }

    fn update_status(&self, status: &Status) {
        self.inner.status_changed.notify();
        let leader = status.leader.as_ref().map_or("", |n| n.name.as_str());
        let (role, term) = (status.role, status.term);
        let voters = status.members.voters().map(|n| n.name.as_str()).collect::<Vec<_>>().join(",");
        tracing::info!(event = "control-role", ?role, %term, leader, voters);
        if status.role != Role::Leader {
            let reply = Proposed::NotProposed { leader: status.leader.clone().map(|n| n.name) };
            self.inner.proposals.borrow_mut().reject_queued(&reply);
        }
    }
}
