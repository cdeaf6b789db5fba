//! Store of claims: the control instances, or the memory of this process in a trial.

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

/// Timeout of the proposal of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a request waits for its settlement to be recorded before it continues.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between attempts to record a settlement in the background.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of attempts to record a settlement in the background.
const SETTLE_ATTEMPTS: u32 = 20;

/// Replicated state that decides claims.
#[derive(Clone)]
pub enum ClaimStore {
    /// State in the memory of this process, without a disk, for trials.
    Local(Rc<LocalState>),
    /// The control instances.
    Control(ControlClient),
}

/// State machine of a trial: a single replica in memory.
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
    /// Returns whether claims can be decided, as far as known.
    pub fn is_reachable(&self) -> bool {
        match self {
            Self::Local(_) => true,
            Self::Control(client) => !client.is_refusing(),
        }
    }

    /// Proposes `claim` and returns its outcome.
    pub async fn claim(&self, claim: Claim) -> Input {
        match self.propose(Command::Claim(claim), CLAIM_TIMEOUT).await {
            Ok(Outcome::Claim(outcome)) => Input::Claimed(outcome),
            Err(error) if error.not_proposed() => Input::NotClaimed(ClaimFailure::NotProposed),
            Ok(_) | Err(_) => Input::NotClaimed(ClaimFailure::Undecided),
        }
    }

    /// Records `settle`; if that fails or times out, retries in the background.
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
        monoio::spawn(async move { store.retry_settle(settle).await });
    }

    async fn retry_settle(&self, settle: Settle) {
        for _ in 0..SETTLE_ATTEMPTS {
            let command = Command::Settle(settle.clone());
            if self.propose(command, CLAIM_TIMEOUT).await.is_ok() {
                return;
            }
            monoio::time::sleep(SETTLE_RETRY_INTERVAL).await;
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
