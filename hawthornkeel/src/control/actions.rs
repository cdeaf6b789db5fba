//! Carries out the actions of the replica.

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

impl ControlNode {
    /// Carries out one action; inputs that follow from it are added to `inputs`.
    pub(super) fn carry_out(
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
            Action::ProposalRejected { id, reason } => self.refused(id, reason),
            Action::OutcomeUnknown { id } => self.ended(id, &Proposed::Unknown),
            Action::ReadReady { id } => self.answer_read(id, true),
            Action::ReadRejected { id, .. } => self.answer_read(id, false),
            Action::StatusChanged(status) => self.changed(&status),
        }
        Ok(())
    }

    fn save(&self, seq: SaveSeq, save: Save) {
        if let Some(saver) = &*self.inner.saver.borrow() {
            saver.save(seq, save);
        }
    }

    fn send(&self, to: &InstanceName, message: Message) {
        if let Err(error) = self.inner.endpoint.send(to, &Frame::Replica(message)) {
            tracing::warn!(event = "replica-unsent", peer = %to, %error);
        }
    }

    fn apply(&self, entries: Vec<CommittedEntry>) -> Result<(), ControlFailure> {
        let before = self.inner.state.borrow().published().index;
        for CommittedEntry { entry, proposal } in entries {
            self.inner.applied.set(entry.index);
            let Payload::Command(data) = &entry.payload else { continue };
            let failure = |e| ControlFailure::Entry(entry.index, e);
            let commands = codec::decode(data).map_err(failure)?;
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
        let state = codec::decode_state(&snapshot.data).map_err(failure)?;
        *self.inner.state.borrow_mut() = state;
        self.inner.applied.set(snapshot.index);
        tracing::info!(event = "snapshot-restored", index = %snapshot.index);
        self.inner.published.notify();
        Ok(())
    }

    fn take_snapshot(&self) -> Result<Input, ControlFailure> {
        let index = self.inner.applied.get();
        let failure = |e: CodecError| ControlFailure::Snapshot(index, e);
        let data = codec::encode_state(&self.inner.state.borrow()).map_err(failure)?;
        tracing::info!(event = "snapshot-taken", %index, bytes = data.len());
        Ok(Input::Snapshot { index, data })
    }

    fn refused(&self, id: ProposalId, reason: RejectReason) {
        let leader = match reason {
            RejectReason::NotLeader(leader) => leader.map(|n| n.name),
            RejectReason::Busy | RejectReason::NoLease | RejectReason::ChangeNotAllowed => None,
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
}
