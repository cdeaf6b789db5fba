//! What is known of a key, in few bytes: control instances keep one record for each claim.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::AttemptNumber;
use crate::ids::RequestId;
use crate::names::InstanceName;
use crate::state::claims::CLAIM_WINDOW;
use crate::state::clock::saturating_add;
use crate::state::command::Claim;
use crate::state::command::ClaimKey;
use crate::state::command::Claimant;
use crate::time::WallTime;

/// Length of a key's digest, in bytes.
const DIGEST_LENGTH: usize = 16;

/// Digest that stands for a key: the start of a SHA-256.
///
/// Callers choose their keys, so the digest must withstand a search for two keys with the same one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub(super) struct KeyDigest([u8; DIGEST_LENGTH]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub(super) fn of(key: &ClaimKey) -> Self {
        let workspace = key.workspace.as_str();
        let mut hasher = Sha256::new();
        // The length keeps the workspace apart from the key that follows it.
        hasher.update(workspace.len().to_le_bytes());
        hasher.update(workspace);
        hasher.update(key.stage.0.to_le_bytes());
        hasher.update(key.key.as_bytes());
        let mut digest = [0; DIGEST_LENGTH];
        for (to, from) in digest.iter_mut().zip(hasher.finalize()) {
            *to = from;
        }
        Self(digest)
    }
}

/// What is known of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Record {
    /// Digest of the caller's request.
    pub(super) digest: u64,
    /// When the key was last claimed.
    pub(super) claimed: WallTime,
    /// How far the claim has come.
    pub(super) phase: Phase,
    /// Request of the claimant, in bytes to need no alignment.
    request: [u8; 16],
    /// Attempt of the claimant.
    attempt: AttemptNumber,
}

/// How far a claim has come.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Phase {
    /// Held by its claimant.
    Claimed {
        /// Time from which on it counts as unknown.
        lapse: WallTime,
        /// Instance of the claimant.
        instance: InstanceName,
    },
    /// Did not run and will not.
    Released,
    /// Ran, with its answer kept.
    Done {
        /// Number of the answer, in the order of recording.
        number: u64,
        /// Answer proper; a copy, so that no larger buffer is kept with it.
        answer: Box<[u8]>,
    },
    /// Ran, with its answer not kept.
    Dropped,
    /// May have run.
    Unknown,
}

impl Record {
    /// Creates the record of a claim granted at `now`.
    pub(super) fn claimed(now: WallTime, claim: &Claim) -> Self {
        let settle = Duration::from_millis(claim.settle_ms).min(CLAIM_WINDOW);
        let instance = claim.claimant.instance.clone();
        let phase = Phase::Claimed { lapse: saturating_add(now, settle), instance };
        Self { digest: claim.digest, ..Self::new(now, &claim.claimant, phase) }
    }

    /// Creates the record of a release for which no claim is known.
    pub(super) fn released(now: WallTime, claimant: &Claimant) -> Self {
        Self::new(now, claimant, Phase::Released)
    }

    fn new(claimed: WallTime, claimant: &Claimant, phase: Phase) -> Self {
        let request = claimant.request.0.to_le_bytes();
        Self { digest: 0, claimed, phase, request, attempt: claimant.attempt }
    }

    /// Tells whether the claim is `claimant`'s.
    ///
    /// The instance is kept, and compared, while the claim may still be granted again.
    pub(super) fn is_of(&self, claimant: &Claimant) -> bool {
        let same = match &self.phase {
            Phase::Claimed { instance, .. } => *instance == claimant.instance,
            Phase::Released | Phase::Done { .. } | Phase::Dropped | Phase::Unknown => true,
        };
        same && self.request == claimant.request.0.to_le_bytes() && self.attempt == claimant.attempt
    }

    /// Returns the claimant, at `instance`.
    pub(super) fn claimant(&self, instance: &InstanceName) -> Claimant {
        Claimant {
            instance: instance.clone(),
            request: RequestId(u128::from_le_bytes(self.request)),
            attempt: self.attempt,
        }
    }

    /// Returns the number of the answer, where it is kept.
    pub(super) fn answer_number(&self) -> Option<u64> {
        match &self.phase {
            Phase::Done { number, .. } => Some(*number),
            _ => None,
        }
    }

    /// Returns the length of the answer kept, in bytes.
    pub(super) fn answer_length(&self) -> usize {
        match &self.phase {
            Phase::Done { answer, .. } => answer.len(),
            _ => 0,
        }
    }
}
