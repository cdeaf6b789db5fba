//! Commands on their way into the log, several to an entry.

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

/// Size of a command without its text or answer, in bytes, roughly.
const COMMAND_BYTES: usize = 128;

/// Bounds of batches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Commands in one log entry, at most.
    pub commands: usize,
    /// Size of one log entry from which on no more commands are added, in bytes.
    pub bytes: usize,
    /// Entries on their way at once, at most: commands that come meanwhile share the next entry.
    pub entries: usize,
    /// Commands that wait, at most; further ones are refused.
    pub waiting: usize,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self { commands: 1_024, bytes: 256 * 1024, entries: 2, waiting: 16_384 }
    }
}

impl BatchLimits {
    /// Returns limits under which each command gets an entry of its own.
    pub fn single() -> Self {
        Self { commands: 1, entries: usize::MAX, ..Self::default() }
    }
}

/// Where the outcome of a command goes.
pub type Waiter = Sender<Proposed>;

/// Commands on their way into the log.
#[derive(Default)]
pub struct ProposalQueue {
    limits: BatchLimits,
    waiting: VecDeque<(Command, Waiter)>,
    proposed: IndexMap<ProposalId, Vec<Waiter>>,
}

impl ProposalQueue {
    /// Creates an empty set under `limits`.
    pub fn new(limits: BatchLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Takes in a command; returns its waiter where too many wait.
    pub fn push(&mut self, command: Command, waiter: Waiter) -> Option<Waiter> {
        if self.waiting.len() >= self.limits.waiting {
            return Some(waiter);
        }
        self.waiting.push_back((command, waiter));
        None
    }

    /// Takes the commands of the next entry out, to be proposed under `id`.
    ///
    /// Returns `None` where none wait or enough entries are on their way.
    pub fn take(&mut self, id: ProposalId, at: WallTime) -> Option<Vec<TimestampedCommand>> {
        if self.waiting.is_empty() || self.proposed.len() >= self.limits.entries {
            return None;
        }
        let (mut batch, mut waiters, mut bytes) = (Vec::new(), Vec::new(), 0);
        while batch.len() < self.limits.commands && bytes < self.limits.bytes {
            let Some((command, waiter)) = self.waiting.pop_front() else { break };
            bytes += size(&command);
            batch.push(TimestampedCommand { timestamp: at, command });
            waiters.push(waiter);
        }
        self.proposed.insert(id, waiters);
        Some(batch)
    }

    /// Hands out the outcomes of an entry, in the order of its commands.
    pub fn applied(&mut self, id: ProposalId, outcomes: Vec<Outcome>) {
        let waiters = self.proposed.swap_remove(&id).unwrap_or_default();
        for (waiter, outcome) in waiters.into_iter().zip(outcomes) {
            // A caller that has gone asks again and then gets the same outcome.
            let _ = waiter.send(Proposed::Outcome(outcome));
        }
    }

    /// Tells the waiters of an entry how it ended without outcomes.
    pub fn ended(&mut self, id: ProposalId, answer: &Proposed) {
        for waiter in self.proposed.swap_remove(&id).unwrap_or_default() {
            let _ = waiter.send(answer.clone());
        }
    }

    /// Ends every command: those that are proposed may come about all the same.
    pub fn end_all(&mut self) {
        self.refuse_waiting(&Proposed::NotProposed { leader: None });
        for (_, waiters) in self.proposed.drain(..) {
            for waiter in waiters {
                let _ = waiter.send(Proposed::Unknown);
            }
        }
    }

    /// Tells the waiters of all commands that are not proposed that they won't be.
    pub fn refuse_waiting(&mut self, answer: &Proposed) {
        for (_, waiter) in self.waiting.drain(..) {
            let _ = waiter.send(answer.clone());
        }
    }
}

/// Returns roughly the bytes that a command takes in the log.
fn size(command: &Command) -> usize {
    let text = match command {
        Command::Submit(submit) => submit.text.len(),
        Command::Replace(replace) => replace.text.len(),
        Command::Settle(settle) => match &settle.settlement {
            Settlement::Done(answer) => answer.len(),
            Settlement::Released | Settlement::Unknown => 0,
        },
        Command::Claim(_) | Command::Centre(_) | Command::Fence(_) => 0,
    };
    COMMAND_BYTES + text
}
