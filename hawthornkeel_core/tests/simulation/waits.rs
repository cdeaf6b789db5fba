//! Conditions that tests wait for.

use hawthornkeel_core::replica::Status;

use crate::simulation::Cluster;
use crate::simulation::Machine;
use crate::simulation::Variant;

/// Starts three machines and waits for a leader that has committed.
pub fn calm(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size, Variant::Right);
    assert!(cluster.run_until(5_000, |c| c.checker.members.0.len() == size && c.leads().is_some()));
    cluster
}

impl Cluster {
    /// Tells whether the group bears the loss of one more disk, whichever members it comes to have.
    pub fn bears_loss(&self) -> bool {
        let running = self.machines.iter().filter_map(|m| m.replica.as_ref());
        let mut views: Vec<_> = running.map(|r| r.status().members.clone()).collect();
        views.extend(self.machines.iter().flat_map(|m| m.disk.members()));
        views.push(self.checker.members.clone());
        views.retain(|v| !v.0.is_empty());
        !views.is_empty() && views.iter().all(|v| self.checker.bears_loss(v))
    }

    /// Returns the leader if it has committed an entry of its own term and its lease stands.
    pub fn leads(&self) -> Option<usize> {
        let leader = self.leader()?;
        let replica = self.machines[leader].replica.as_ref()?;
        let committed = self.checker.chosen.get(&replica.status().commit)?.term;
        let ready = committed == replica.status().term && replica.has_lease(self.clock(leader));
        ready.then_some(leader)
    }

    /// Returns the status of a running replica.
    pub fn status(&self, i: usize) -> Status {
        self.machines[i].replica.as_ref().unwrap().status().clone()
    }

    /// Hands a command to a machine until one is accepted, and tells whether that was in time.
    pub fn commits(&mut self, command: u64, millis: u64) -> bool {
        let end = self.now + millis * 1000;
        let mut command = command;
        while self.now < end && self.checker.fault.is_none() {
            if let Some(leader) = self.leader() {
                self.propose(leader, command);
                if self.run_until(50, |c| c.checker.accepted.contains_key(&command)) {
                    return true;
                }
                // A number is never used twice: the first may still be accepted.
                command += 1;
            } else {
                self.run(10);
            }
        }
        false
    }

    /// Waits until all machines are voters, and have applied all that was accepted.
    pub fn heals(&mut self, millis: u64) -> bool {
        let size = self.machines.len();
        self.run_until(millis, |c| {
            let current = |m: &Machine| m.applied >= c.checker.known;
            c.checker.is_whole(size) && c.machines.iter().all(current)
        })
    }
}
