//! Messages between entries, load reports of targets and the platform's target list.

use std::time::Duration;

use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::VoteMessage;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::TargetInfo;

use crate::entry::Policy;
use crate::entry::voters;
use crate::simulation::Event;
use crate::simulation::Simulation;
use crate::topology::CENTRES;
use crate::topology::centre;

/// Time until a load report reaches an entry.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Interval at which entries read the list of targets.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

impl Simulation {
    /// Sends a message between entries; it is lost if they can't reach each other.
    pub fn send(&mut self, from: usize, to: usize, event: Event) {
        let (a, b) = (&self.entries[from].centre, &self.entries[to].centre);
        if self.can_reach(a, b) {
            self.schedule_at(self.now + self.one_way_delay(a, b), event);
        }
    }

    /// Runs an entry's periodic work.
    pub fn tick(&mut self, entry: usize) {
        self.dispatch_queued(entry);
        let now = self.now;
        if !self.entries[entry].alive {
            return;
        }
        let Policy::Router(policy) = &mut self.entries[entry].policy else {
            return;
        };
        let vote_request = policy.holder.tick(now);
        let outputs = policy.issuer.tick(now, &policy.holder);
        let announcement =
            vote_request.as_ref().and_then(|_| policy.issuer.announce(now, &policy.holder));
        if let Some(message) = vote_request {
            let own = entry % CENTRES;
            for to in voters(own) {
                let (centre, message) = (centre(own), message.clone());
                self.stats.lease_messages += 1;
                self.send(entry, to, Event::Vote { from: entry, to, centre, message });
            }
        }
        self.send_issuer_messages(entry, outputs);
        if let Some(message) = announcement {
            for to in 0..self.entries.len() {
                let message = message.clone();
                self.stats.lease_messages += 1;
                self.send(entry, to, Event::ToEntry { to, message });
            }
        }
    }

    /// Sends an issuer's messages to the entries they are addressed to.
    fn send_issuer_messages(
        &mut self,
        from: usize,
        outputs: Vec<hawthornkeel_core::lease::IssuerOutput>,
    ) {
        for out in outputs {
            let to = self.entries.iter().position(|e| e.id == out.to);
            if let Some(to) = to {
                self.stats.grant_messages += 1;
                self.send(from, to, Event::ToEntry { to, message: out.message });
            }
        }
    }

    /// Updates an entry with the platform's list of targets and schedules the next poll.
    pub fn poll_targets(&mut self, entry: usize) {
        let targets: Vec<TargetInfo> = self.targets.iter().map(|t| t.info.clone()).collect();
        if let Policy::Router(policy) = &mut self.entries[entry].policy {
            policy.router.update_targets(self.now, &targets);
        }
        self.schedule_at(self.now + POLL_INTERVAL, Event::PollTargets { entry });
    }

    /// Handles a lease message at the holder or a voter.
    pub fn handle_vote(
        &mut self,
        from: usize,
        to: usize,
        centre: CentreName,
        message: VoteMessage,
    ) {
        let now = self.now;
        let entry = &mut self.entries[to];
        let (true, Policy::Router(policy)) = (entry.alive, &mut entry.policy) else {
            return;
        };
        if let VoteMessage::Reply { .. } = message {
            policy.holder.handle(now, &message);
            return;
        }
        let voter = policy.voters.iter_mut().find(|(c, _)| *c == centre);
        if let Some(reply) = voter.and_then(|(_, v)| v.handle(now, &message)) {
            self.stats.lease_messages += 1;
            self.send(to, from, Event::Vote { from: to, to: from, centre, message: reply });
        }
    }

    /// Handles an entry's message at an issuer.
    pub fn handle_at_issuer(&mut self, from: usize, to: usize, message: GrantMessage) {
        let sender = self.entries[from].id.clone();
        let entry = &mut self.entries[to];
        if let (true, Policy::Router(policy)) = (entry.alive, &mut entry.policy) {
            let outputs = policy.issuer.handle(self.now, &policy.holder, &sender, &message);
            self.send_issuer_messages(to, outputs);
        }
    }

    /// Handles an issuer's message at an entry.
    pub fn handle_at_entry(&mut self, to: usize, message: GrantMessage) {
        let entry = &mut self.entries[to];
        if let (true, Policy::Router(policy)) = (entry.alive, &mut entry.policy) {
            policy.router.handle_message(self.now, &message);
            self.dispatch_queued(to);
        }
    }

    /// Sends a target's load report to all entries that it can reach.
    pub fn send_load_report(&mut self, target: usize) {
        let t = &self.targets[target];
        let (running, incarnation) = (t.running, Some(t.incarnation));
        let report = LoadReport { incarnation, running, ..LoadReport::default() };
        let up = self.now >= t.down_until;
        for entry in 0..self.entries.len() {
            if up && self.can_reach(&self.entries[entry].centre, &self.targets[target].info.centre)
            {
                self.schedule_at(
                    self.now + REPORT_DELAY,
                    Event::ReportReceived { entry, target, report },
                );
            }
        }
        self.schedule_at(self.now + REPORT_INTERVAL, Event::SendReport { target });
    }

    /// Handles a load report at an entry.
    pub fn receive_load_report(&mut self, entry: usize, target: usize, report: LoadReport) {
        let name = self.targets[target].info.name.clone();
        if let Policy::Router(policy) = &mut self.entries[entry].policy {
            policy.router.report_load(self.now, &name, report);
        }
    }

    /// Handles the loss of an entry's connections to a target.
    pub fn handle_connection_loss(&mut self, entry: usize, target: usize) {
        let name = self.targets[target].info.name.clone();
        self.entries[entry].connections.swap_remove(&target);
        if let Policy::Router(policy) = &mut self.entries[entry].policy {
            policy.router.connection_lost(self.now, &name);
        }
    }
}
