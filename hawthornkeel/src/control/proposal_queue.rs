//! Queue of commands to propose, which are batched into log entries.

use std::collections::VecDeque;

use futures_channel::oneshot::Sender;
use hawthornkeel_core::replica::ProposalId;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Settlement;
use hawthornkeel_core::state::command::TimestampedCommand;
use hawthornkeel_core::time::WallTime;
use indexmap::IndexMap;

use crate::peer::frame::Proposed;

/// Approximate size of a command without its text or answer, in bytes.
const COMMAND_BYTES: usize = 128;

/// Limits of command batches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of commands in one log entry.
    pub max_commands: usize,
    /// Size of a log entry at which no more commands are added, in bytes.
    pub target_bytes: usize,
    /// Maximum number of entries in flight; commands that arrive meanwhile share the next one.
    pub max_entries: usize,
    /// Maximum number of queued commands; further ones are rejected.
    pub max_queued: usize,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self { max_commands: 1_024, target_bytes: 256 * 1024, max_entries: 2, max_queued: 16_384 }
    }
}

impl BatchLimits {
    /// Returns limits that disable batching: each command gets its own log entry.
    pub fn single() -> Self {
        Self { max_commands: 1, max_entries: usize::MAX, ..Self::default() }
    }
}

/// Channel for the outcome of a command.
pub type OutcomeSender = Sender<Proposed>;

/// Queued and proposed commands.
#[derive(Default)]
pub struct ProposalQueue {
    limits: BatchLimits,
    queued: VecDeque<(Command, OutcomeSender)>,
    proposed: IndexMap<ProposalId, Vec<OutcomeSender>>,
}

impl ProposalQueue {
    /// Creates an empty queue with `limits`.
    pub fn new(limits: BatchLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Queues a command; returns `sender` if the queue is full.
    pub fn push(&mut self, command: Command, sender: OutcomeSender) -> Option<OutcomeSender> {
        if self.queued.len() >= self.limits.max_queued {
            return Some(sender);
        }
        self.queued.push_back((command, sender));
        None
    }

    /// Removes the commands of the next entry from the queue, to be proposed under `id`.
    ///
    /// Returns `None` if the queue is empty or too many entries are in flight.
    pub fn next_batch(
        &mut self,
        id: ProposalId,
        timestamp: WallTime,
    ) -> Option<Vec<TimestampedCommand>> {
        if self.queued.is_empty() || self.proposed.len() >= self.limits.max_entries {
            return None;
        }
        let (mut batch, mut senders, mut bytes) = (Vec::new(), Vec::new(), 0);
        while batch.len() < self.limits.max_commands && bytes < self.limits.target_bytes {
            let Some((command, sender)) = self.queued.pop_front() else { break };
            bytes += approximate_size(&command);
            batch.push(TimestampedCommand { timestamp, command });
            senders.push(sender);
        }
        self.proposed.insert(id, senders);
        Some(batch)
    }

    /// Sends the outcomes of an applied entry, in the order of its commands.
    pub fn complete(&mut self, id: ProposalId, outcomes: Vec<Outcome>) {
        let senders = self.proposed.swap_remove(&id).unwrap_or_default();
        for (sender, outcome) in senders.into_iter().zip(outcomes) {
            // A caller that gave up resends the command and gets the same outcome.
            let _ = sender.send(Proposed::Outcome(outcome));
        }
    }

    /// Sends `reply` to the callers of an entry that ended without outcomes.
    pub fn fail(&mut self, id: ProposalId, reply: &Proposed) {
        for sender in self.proposed.swap_remove(&id).unwrap_or_default() {
            let _ = sender.send(reply.clone());
        }
    }

    /// Fails every command; those already proposed may still be committed.
    pub fn fail_all(&mut self) {
        self.reject_queued(&Proposed::NotProposed { leader: None });
        for (_, senders) in self.proposed.drain(..) {
            for sender in senders {
                let _ = sender.send(Proposed::Unknown);
            }
        }
    }

    /// Sends `reply` to the callers of all commands that haven't been proposed.
    pub fn reject_queued(&mut self, reply: &Proposed) {
        for (_, sender) in self.queued.drain(..) {
            let _ = sender.send(reply.clone());
        }
    }
}

/// Returns the approximate size of a command in the log, in bytes.
fn approximate_size(command: &Command) -> usize {
    let text = match command {
        Command::Submit(submit) => submit.text.len(),
        Command::Replace(replace) => replace.text.len(),
        Command::Settle(settle) => match &settle.settlement {
            Settlement::Done(answer) => answer.len(),
            Settlement::Released | Settlement::Unknown => 0,
        },
        Command::Claim(_) | Command::Centre(_) | Command::Fence(_) | Command::Rollout(_) => 0,
    };
    COMMAND_BYTES + text
}
