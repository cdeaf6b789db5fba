//! Messages between entries, and what targets and the platform tell them.

use std::time::Duration;

use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::VoteMessage;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::TargetInfo;

use crate::entry::Policy;
use crate::entry::voters;
use crate::sites::CENTRES;
use crate::sites::centre;
use crate::world::Event;
use crate::world::World;

/// Lag of a load report.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Pause between lists of targets and entries.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// Pause between load reports.
const REPORT_PAUSE: Duration = Duration::from_millis(500);

impl World {
    /// Sends a message between entries, unless they can't reach each other.
    pub fn send(&mut self, from: usize, to: usize, event: Event) {
        let (a, b) = (&self.entries[from].centre, &self.entries[to].centre);
        if self.linked(a, b) {
            self.at(self.now + self.delay(a, b), event);
        }
    }

    /// Does an entry's periodic work.
    pub fn tick(&mut self, entry: usize) {
        self.pump(entry);
        let now = self.now;
        if !self.entries[entry].alive {
            return;
        }
        let Policy::Ours(ours) = &mut self.entries[entry].policy else {
            return;
        };
        let ask = ours.holder.tick(now);
        let outputs = ours.issuer.tick(now, &ours.holder);
        let announce = ask.as_ref().and_then(|_| ours.issuer.announce(now, &ours.holder));
        if let Some(message) = ask {
            let own = entry % CENTRES;
            for to in voters(own) {
                let (centre, message) = (centre(own), message.clone());
                self.stats.lease_messages += 1;
                self.send(entry, to, Event::Vote { from: entry, to, centre, message });
            }
        }
        self.send_outputs(entry, outputs);
        if let Some(message) = announce {
            for to in 0..self.entries.len() {
                let message = message.clone();
                self.stats.lease_messages += 1;
                self.send(entry, to, Event::ToEntry { to, message });
            }
        }
    }

    /// Sends an issuer's messages.
    fn send_outputs(&mut self, from: usize, outputs: Vec<hawthornkeel_core::lease::IssuerOutput>) {
        for out in outputs {
            let to = self.entries.iter().position(|e| e.id == out.to);
            if let Some(to) = to {
                self.stats.grant_messages += 1;
                self.send(from, to, Event::ToEntry { to, message: out.message });
            }
        }
    }

    /// Tells an entry the platform's list of targets.
    pub fn list(&mut self, entry: usize) {
        let targets: Vec<TargetInfo> = self.targets.iter().map(|t| t.info.clone()).collect();
        if let Policy::Ours(ours) = &mut self.entries[entry].policy {
            ours.router.update_targets(self.now, &targets);
        }
        self.at(self.now + LIST_PAUSE, Event::List { entry });
    }

    /// Takes a message of the lease.
    pub fn vote(&mut self, from: usize, to: usize, centre: CentreName, message: VoteMessage) {
        let now = self.now;
        let entry = &mut self.entries[to];
        let (true, Policy::Ours(ours)) = (entry.alive, &mut entry.policy) else {
            return;
        };
        if let VoteMessage::Reply { .. } = message {
            ours.holder.handle(now, &message);
            return;
        }
        let voter = ours.voters.iter_mut().find(|(c, _)| *c == centre);
        if let Some(reply) = voter.and_then(|(_, v)| v.handle(now, &message)) {
            self.stats.lease_messages += 1;
            self.send(to, from, Event::Vote { from: to, to: from, centre, message: reply });
        }
    }

    /// Takes an entry's message at the issuer.
    pub fn issuer_hears(&mut self, from: usize, to: usize, message: GrantMessage) {
        let sender = self.entries[from].id.clone();
        let entry = &mut self.entries[to];
        if let (true, Policy::Ours(ours)) = (entry.alive, &mut entry.policy) {
            let outputs = ours.issuer.handle(self.now, &ours.holder, &sender, &message);
            self.send_outputs(to, outputs);
        }
    }

    /// Takes an issuer's message at an entry.
    pub fn entry_hears(&mut self, to: usize, message: GrantMessage) {
        let entry = &mut self.entries[to];
        if let (true, Policy::Ours(ours)) = (entry.alive, &mut entry.policy) {
            ours.router.handle_message(self.now, &message);
            self.pump(to);
        }
    }

    /// Lets a target report its load to all entries.
    pub fn report(&mut self, target: usize) {
        let t = &self.targets[target];
        let (running, incarnation) = (t.running, Some(t.incarnation));
        let report = LoadReport { incarnation, running, ..LoadReport::default() };
        let up = self.now >= t.dead_until;
        for entry in 0..self.entries.len() {
            if up && self.linked(&self.entries[entry].centre, &self.targets[target].info.centre) {
                self.at(self.now + REPORT_LAG, Event::Heard { entry, target, report });
            }
        }
        self.at(self.now + REPORT_PAUSE, Event::Report { target });
    }

    /// Takes a load report at an entry.
    pub fn heard(&mut self, entry: usize, target: usize, report: LoadReport) {
        let name = self.targets[target].info.name.clone();
        if let Policy::Ours(ours) = &mut self.entries[entry].policy {
            ours.router.report_load(self.now, &name, report);
        }
    }

    /// Takes the loss of a target's connections at an entry.
    pub fn lost(&mut self, entry: usize, target: usize) {
        let name = self.targets[target].info.name.clone();
        self.entries[entry].connected.swap_remove(&target);
        if let Policy::Ours(ours) = &mut self.entries[entry].policy {
            ours.router.connection_lost(self.now, &name);
        }
    }
}
