//! Store of claims: the control instances, or the memory of this process in a trial.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
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
use crate::http::signal::Signal;

/// Timeout of the proposal of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a request waits for its settlement to be recorded before it continues.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between attempts to record a settlement in the background.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of attempts to record a settlement in the background.
const SETTLE_ATTEMPTS: u32 = 20;

/// Store of claims; clones share its state.
#[derive(Clone)]
pub struct ClaimStore {
    backend: ClaimBackend,
    /// Number of settlements that are not recorded yet.
    unsettled: Rc<Cell<usize>>,
}

/// Replicated state that decides claims.
#[derive(Clone)]
pub enum ClaimBackend {
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

/// Settlement that is being recorded, counted until dropped.
struct PendingSettlement {
    unsettled: Rc<Cell<usize>>,
}

impl PendingSettlement {
    fn new(unsettled: &Rc<Cell<usize>>) -> Self {
        unsettled.set(unsettled.get().saturating_add(1));
        Self { unsettled: Rc::clone(unsettled) }
    }
}

impl Drop for PendingSettlement {
    fn drop(&mut self) {
        self.unsettled.set(self.unsettled.get().saturating_sub(1));
    }
}

impl ClaimStore {
    /// Creates a store of claims that `backend` decides.
    pub fn new(backend: ClaimBackend) -> Self {
        Self { backend, unsettled: Rc::default() }
    }

    /// Returns the number of settlements that are not recorded yet.
    pub fn unsettled(&self) -> usize {
        self.unsettled.get()
    }

    /// Returns whether claims can be decided, as far as known.
    pub fn is_reachable(&self) -> bool {
        match &self.backend {
            ClaimBackend::Local(_) => true,
            ClaimBackend::Control(client) => !client.is_refusing(),
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

    /// Records `settle` and returns a wait for it of at most [`SETTLE_TIMEOUT`].
    ///
    /// The settlement is recorded even if the wait ends before or is dropped.
    pub fn settle(&self, settle: Settle) -> impl Future<Output = Input> + use<> {
        let recorded = self.start_settle(settle);
        async move {
            let _ = monoio::time::timeout(SETTLE_TIMEOUT, recorded.wait()).await;
            Input::Settled
        }
    }

    /// Records `settle` in the background.
    pub fn settle_in_background(&self, settle: Settle) {
        self.start_settle(settle);
    }

    /// Starts to record `settle` and returns a signal that is set once no attempt follows.
    fn start_settle(&self, settle: Settle) -> Signal {
        let (store, ended) = (self.clone(), Signal::new());
        let signal = ended.clone();
        let pending = PendingSettlement::new(&self.unsettled);
        monoio::spawn(async move {
            store.retry_settle(settle).await;
            drop(pending);
            signal.set();
        });
        ended
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
        match &self.backend {
            ClaimBackend::Local(state) => Ok(state.apply(command)),
            ClaimBackend::Control(client) => client.propose(command, timeout).await,
        }
    }
}
