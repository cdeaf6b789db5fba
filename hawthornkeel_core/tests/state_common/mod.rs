//! Test driver and command builders for tests of the replicated state.
#![allow(dead_code)]

use std::sync::Arc;

use bytes::Bytes;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::ClaimKey;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::state::command::Claimant;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Settle;
use hawthornkeel_core::state::command::SettleOutcome;
use hawthornkeel_core::state::command::Settlement;
use hawthornkeel_core::state::command::TimestampedCommand;
use hawthornkeel_core::time::WallTime;

/// Settle time of a claim, in milliseconds.
pub const SETTLE_MS: u64 = 1_000;

/// Replicated state with a clock that tests set and a log index that increases with each command.
#[derive(Default)]
pub struct Driver {
    pub state: State,
    pub now: u64,
    pub index: u64,
}

impl Driver {
    pub fn apply(&mut self, command: Command) -> Outcome {
        self.index += 1;
        let command = TimestampedCommand { timestamp: WallTime::from_millis(self.now), command };
        self.state.apply(LogIndex(self.index), &command)
    }

    pub fn claim(&mut self, key: &str, digest: u64, claimant: &Claimant) -> ClaimOutcome {
        match self.apply(claim(key, digest, claimant)) {
            Outcome::Claim(outcome) => outcome,
            other => panic!("unexpected outcome of a claim: {other:?}"),
        }
    }

    pub fn settle(&mut self, key: &str, by: &Claimant, settlement: Settlement) -> SettleOutcome {
        match self.apply(settle(key, by, settlement)) {
            Outcome::Settle(outcome) => outcome,
            other => panic!("unexpected outcome of a settlement: {other:?}"),
        }
    }

    pub fn restore(&mut self) {
        let bytes = snapshot(&self.state);
        self.state = postcard::from_bytes(&bytes).expect("a snapshot decodes");
    }
}

pub fn snapshot(state: &State) -> Vec<u8> {
    postcard::to_stdvec(state).expect("a state encodes")
}

pub fn claim_key(key: &str) -> ClaimKey {
    ClaimKey {
        workspace: WorkspaceName::new("kumamoto"),
        key: Arc::from(key),
        stage: StageIndex(4),
    }
}

pub fn claimant(request: u128, attempt: u16) -> Claimant {
    Claimant {
        instance: InstanceName::new("entry-1"),
        request: RequestId(request),
        attempt: AttemptNumber(attempt),
    }
}

pub fn claim(key: &str, digest: u64, by: &Claimant) -> Command {
    let key = claim_key(key);
    Command::Claim(Claim { key, digest, claimant: by.clone(), settle_ms: SETTLE_MS })
}

pub fn settle(key: &str, by: &Claimant, settlement: Settlement) -> Command {
    Command::Settle(Settle { key: claim_key(key), claimant: by.clone(), settlement })
}

pub fn done(answer: &'static str) -> Settlement {
    Settlement::Done(Bytes::from_static(answer.as_bytes()))
}
