//! Starting states and conditions that tests wait for.

use hawthornkeel_core::replica::Status;

use crate::simulation::Cluster;
use crate::simulation::Defect;
use crate::simulation::Machine;

/// Starts `size` machines and waits for a leader that has committed an entry.
pub fn healthy_cluster(seed: u64, size: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, size, Defect::None);
    assert!(
        cluster
            .run_until(5_000, |c| c.checker.members.0.len() == size && c.ready_leader().is_some())
    );
    cluster
}

impl Cluster {
    /// Returns whether the group tolerates the loss of one more disk, with any of the memberships
    /// that a replica or disk has.
    pub fn tolerates_loss(&self) -> bool {
        let running = self.machines.iter().filter_map(|m| m.replica.as_ref());
        let mut views: Vec<_> = running.map(|r| r.status().members.clone()).collect();
        views.extend(self.machines.iter().flat_map(|m| m.disk.members()));
        views.push(self.checker.members.clone());
        views.retain(|v| !v.0.is_empty());
        !views.is_empty() && views.iter().all(|v| self.checker.tolerates_loss(v))
    }

    /// Returns the leader if it has committed an entry of its term and its lease is valid.
    pub fn ready_leader(&self) -> Option<usize> {
        let leader = self.leader()?;
        let replica = self.machines[leader].replica.as_ref()?;
        let committed = self.checker.committed.get(&replica.status().commit)?.term;
        let ready = committed == replica.status().term && replica.has_lease(self.clock(leader));
        ready.then_some(leader)
    }

    /// Returns the status of a running replica.
    pub fn status(&self, i: usize) -> Status {
        self.machines[i].replica.as_ref().unwrap().status().clone()
    }

    /// Proposes commands to the leader until one is accepted, and returns whether one was in time.
    pub fn commits_within(&mut self, command: u64, millis: u64) -> bool {
        let end = self.now + millis * 1000;
        let mut command = command;
        while self.now < end && self.checker.fault.is_none() {
            if let Some(leader) = self.leader() {
                self.propose(leader, command);
                if self.run_until(50, |c| c.checker.accepted.contains_key(&command)) {
                    return true;
                }
                // Numbers are not reused, as the earlier command may still be accepted.
                command += 1;
            } else {
                self.run(10);
            }
        }
        false
    }

    /// Waits until all machines are voters and have applied all entries visible to clients.
    pub fn recovers(&mut self, millis: u64) -> bool {
        let size = self.machines.len();
        self.run_until(millis, |c| {
            let current = |m: &Machine| m.applied >= c.checker.known;
            c.checker.has_full_membership(size, size) && c.machines.iter().all(current)
        })
    }
}
