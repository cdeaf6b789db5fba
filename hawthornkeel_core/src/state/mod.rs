//! Replicated state machine: claims, the environment document, data centres, fencing numbers and
//! rollouts.
//!
//! Replicas that apply the same commands in log order reach the same state: time is taken only from
//! the commands' timestamps, and there is no randomness.

pub mod centres;
pub mod claims;
pub mod clock;
pub mod command;
pub mod documents;
pub mod fencing;
pub mod history;
pub mod published;
pub mod take_out;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::LogIndex;
use crate::rollout::record::Rollouts;
use crate::state::centres::Centres;
use crate::state::claims::Claims;
use crate::state::clock::Clock;
use crate::state::command::Command;
use crate::state::command::Outcome;
use crate::state::command::TimestampedCommand;
use crate::state::documents::Documents;
use crate::state::fencing::FencingCounter;
use crate::state::published::PublishedState;
use crate::time::WallTime;

/// Replicated state machine.
///
/// Its serialised form is the body of a snapshot. Replicas that applied the same commands serialise
/// to the same bytes, even if one of them was restored from a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct State {
    clock: Clock,
    claims: Claims,
    documents: Documents,
    centres: Centres,
    #[serde(rename = "fences")]
    fencing: FencingCounter,
    #[serde(rename = "published")]
    published_index: LogIndex,
    /// Encoded beside the other fields once there has been a rollout; see [`State::with_rollouts`].
    #[serde(skip)]
    rollouts: Rollouts,
}

impl State {
    /// Adds the rollouts of a snapshot to the rest of its state.
    pub fn with_rollouts(self, rollouts: Rollouts) -> Self {
        Self { rollouts, ..self }
    }

    /// Applies the command at log position `index` and returns its outcome.
    ///
    /// The commands of a batch are applied in order, all with the position of the batch.
    pub fn apply(&mut self, index: LogIndex, command: &TimestampedCommand) -> Outcome {
        let now = self.clock.advance(command.timestamp);
        self.claims.expire(now);
        match &command.command {
            Command::Claim(claim) => Outcome::Claim(self.claims.claim(now, claim)),
            Command::Settle(settle) => Outcome::Settle(self.claims.settle(now, settle)),
            Command::Submit(submit) => {
                let before = self.documents.version();
                let outcome = self.documents.submit(submit);
                if self.documents.version() > before {
                    self.published_index = index;
                }
                Outcome::Submit(outcome)
            }
            Command::Replace(replace) => {
                if self.documents.replace(replace) {
                    self.published_index = index;
                }
                Outcome::Replace(self.documents.version())
            }
            Command::Centre(order) => {
                let (outcome, changed) = self.centres.apply(index, order);
                if changed {
                    self.published_index = index;
                }
                Outcome::Centre(outcome)
            }
            Command::Fence(_) => Outcome::Fence(self.fencing.next_number()),
            Command::Rollout(command) => {
                let (outcome, changed) = self.rollouts.apply(index, now, command);
                if changed {
                    self.published_index = index;
                }
                Outcome::Rollout(outcome)
            }
        }
    }

    /// Returns the part of the state that is distributed to every instance.
    ///
    /// Its index refers to a log position, so it must be read only after the whole batch at that
    /// position has been applied, never between two commands of a batch.
    pub fn published(&self) -> PublishedState {
        PublishedState {
            index: self.published_index,
            version: self.documents.version(),
            text: self.documents.text(),
            hash: self.documents.hash(),
            centres: self.centres.records().clone(),
        }
    }

    /// Returns the time since `earlier`, a time of the replicated state, as the wall clock tells it.
    pub fn elapsed_since(&self, earlier: WallTime, wall: WallTime) -> Duration {
        self.clock.elapsed_since(earlier, wall)
    }

    /// Returns the rollouts.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }
}
