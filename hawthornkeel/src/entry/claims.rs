//! Where claims are decided: the control instances, or this process alone in a trial.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::request::event::ClaimFailure;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Settle;
use hawthornkeel_core::state::command::TimestampedCommand;

use crate::clock::wall_now;
use crate::control::client::ControlClient;
use crate::control::client::ProposeError;

/// Time for a claim to be decided.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a settlement to be recorded before the request goes on without.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between tries to record a settlement.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// Tries to record a settlement that nobody waits for.
const SETTLE_TRIES: u32 = 20;

/// Where claims are decided.
#[derive(Clone)]
pub enum ClaimStore {
    /// This process alone, without a disk: for trials.
    Local(Rc<LocalState>),
    /// The control instances.
    Control(ControlClient),
}

/// Replicated state machine of a trial, with one replica in memory.
#[derive(Default)]
pub struct LocalState {
    state: RefCell<State>,
    index: Cell<u64>,
}

impl LocalState {
    /// Applies `command` and returns its outcome.
    pub fn apply(&self, command: Command) -> Outcome {
        let index = self.index.get().saturating_add(1);
        self.index.set(index);
        let stamped = TimestampedCommand { timestamp: wall_now(), command };
        self.state.borrow_mut().apply(LogIndex(index), &stamped)
    }
}

impl ClaimStore {
    /// Tells whether claims can be decided as far as is known.
    pub fn is_reachable(&self) -> bool {
        match self {
            Self::Local(_) => true,
            Self::Control(client) => !client.is_refusing(),
        }
    }

    /// Has `claim` decided.
    pub async fn claim(&self, claim: Claim) -> Input {
        match self.propose(Command::Claim(claim), CLAIM_TIMEOUT).await {
            Ok(Outcome::Claim(outcome)) => Input::Claimed(outcome),
            Err(error) if error.not_proposed() => Input::NotClaimed(ClaimFailure::NotProposed),
            Ok(_) | Err(_) => Input::NotClaimed(ClaimFailure::Undecided),
        }
    }

    /// Records `settle`, and goes on trying in the background where that takes too long.
    pub async fn settle(&self, settle: Settle) -> Input {
        let command = Command::Settle(settle.clone());
        if self.propose(command, SETTLE_TIMEOUT).await.is_err() {
            self.settle_in_background(settle);
        }
        Input::Settled
    }

    /// Records `settle` in the background.
    pub fn settle_in_background(&self, settle: Settle) {
        let store = self.clone();
        monoio::spawn(async move { store.settle_again(settle).await });
    }

    async fn settle_again(&self, settle: Settle) {
        for _ in 0..SETTLE_TRIES {
            let command = Command::Settle(settle.clone());
            if self.propose(command, CLAIM_TIMEOUT).await.is_ok() {
                return;
            }
            monoio::time::sleep(SETTLE_PAUSE).await;
        }
        let request = format!("{:032x}", settle.claimant.request.0);
        tracing::warn!(event = "settle-given-up", request, stage = settle.key.stage.0);
    }

    async fn propose(&self, command: Command, timeout: Duration) -> Result<Outcome, ProposeError> {
        match self {
            Self::Local(state) => Ok(state.apply(command)),
            Self::Control(client) => client.propose(command, timeout).await,
        }
    }
}
