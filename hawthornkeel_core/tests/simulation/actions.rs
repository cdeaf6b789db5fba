//! Execution of the actions of the replicas.

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::replica::Action;
use hawthornkeel_core::replica::Body;
use hawthornkeel_core::replica::Message;
use hawthornkeel_core::replica::Role;
use hawthornkeel_core::replica::message::AppendReply;
use rand::Rng;

use crate::simulation::Cluster;
use crate::simulation::Defect;
use crate::simulation::Event;

impl Cluster {
    pub(super) fn perform(&mut self, i: usize, action: Action) {
        let id = self.machines[i].disk.id;
        match action {
            Action::Save { seq, save } => {
                let run = self.machines[i].run;
                let slow = self.rng.random_bool(self.fault_rates.slow_sync);
                let longest = if slow { 300_000 } else { self.machines[i].max_sync_us };
                let delay = self.rng.random_range(100..longest);
                let delay = self.machines[i].disk.write(seq, save, self.now, delay);
                self.schedule(delay, Event::Written(i, run, seq));
                let early = self.defect == Defect::EarlySync;
                self.schedule(if early { 0 } else { delay }, Event::Synced(i, run, seq));
            }
            Action::Send { to, message } => self.send(i, &to, message),
            Action::Apply(applied) => {
                for item in applied {
                    self.checker.record_applied(id, self.machines[i].applied, &item.entry);
                    self.machines[i].applied = item.entry.index;
                    if let Some(proposal) = item.proposal {
                        self.checker.record_accepted(proposal.0, item.entry.index);
                    }
                }
                self.check_current();
            }
            Action::Restore(snapshot) => self.machines[i].applied = snapshot.index,
            Action::TakeSnapshot => {
                let (run, index) = (self.machines[i].run, self.machines[i].applied);
                self.schedule(0, Event::Snapshot(i, run, index));
            }
            Action::ProposalRejected { id, .. } => {
                self.checker.rejected.insert(id.0);
            }
            Action::OutcomeUnknown { id } => {
                self.checker.unknown.insert(id.0);
            }
            Action::ReadReady { id } => self.complete_read(i, id),
            Action::ReadRejected { id, .. } => {
                self.machines[i].reads.remove(&id);
            }
            Action::StatusChanged(status) if status.role == Role::Leader => {
                self.checker.record_leader(status.term, id);
                if let Some(old) = self.stale_lease() {
                    self.checker
                        .record_fault(format!("{id} leads while the lease of {old} is valid"));
                }
                self.check_current();
            }
            Action::StatusChanged(_) => {}
        }
    }

    fn send(&mut self, i: usize, to: &InstanceName, message: Message) {
        let needs_disk = match &message.body {
            Body::VoteReply(reply) => reply.granted,
            Body::AppendReply(reply) => matches!(reply, AppendReply::Stored(_)),
            _ => false,
        };
        if needs_disk {
            self.checker.check_identity(message.from.id);
        }
        let Some(j) = self.machines.iter().position(|m| m.name == *to) else { return };
        if matches!(message.body, Body::Append(_) | Body::SnapshotChunk(_)) {
            self.machines[j].received += 1;
        }
        let blocked = self.machines[i].isolated || self.blocked_links.contains(&(i, j));
        if blocked || self.rng.random_bool(self.fault_rates.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.fault_rates.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_bool(self.fault_rates.delay);
            let delay = self.rng.random_range(200..if late { 300_000 } else { 2_000 });
            self.schedule(delay, Event::Deliver(j, message.clone()));
        }
    }

    /// Checks that a state that counts as current includes all entries visible to clients.
    fn check_current(&mut self) {
        for i in 0..self.machines.len() {
            let (machine, known) = (&self.machines[i], self.checker.known);
            let is_current = machine.replica.as_ref().is_some_and(|r| r.is_current(self.clock(i)));
            if is_current && machine.applied < known {
                let fault =
                    format!("the state of {} counts as current without {known}", machine.name);
                self.checker.record_fault(fault);
            }
        }
    }

    /// Returns a machine whose lease is valid although another one leads a later term.
    fn stale_lease(&self) -> Option<usize> {
        let leads = |i: &usize| {
            let status = self.machines[*i].replica.as_ref()?.status();
            (status.role == Role::Leader).then_some(status.term)
        };
        let latest = (0..self.machines.len()).filter_map(|i| leads(&i)).max()?;
        (0..self.machines.len()).find(|i| {
            let replica = self.machines[*i].replica.as_ref();
            leads(i) < Some(latest) && replica.is_some_and(|r| r.has_lease(self.clock(*i)))
        })
    }
}
