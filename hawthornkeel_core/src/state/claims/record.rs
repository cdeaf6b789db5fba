//! Compact record of a claim; control instances keep one for each claimed key in memory.

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

/// Size of a key's digest, in bytes.
const DIGEST_BYTES: usize = 16;

/// Truncated SHA-256 that identifies a key.
///
/// Callers choose their keys, so the digest must be collision-resistant.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub(super) struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub(super) fn of(key: &ClaimKey) -> Self {
        let workspace = key.workspace.as_str();
        let mut hasher = Sha256::new();
        // The length prefix keeps different pairs of workspace and key from being hashed as equal
        // bytes.
        hasher.update(workspace.len().to_le_bytes());
        hasher.update(workspace);
        hasher.update(key.stage.0.to_le_bytes());
        hasher.update(key.key.as_bytes());
        let mut digest = [0; DIGEST_BYTES];
        for (to, from) in digest.iter_mut().zip(hasher.finalize()) {
            *to = from;
        }
        Self(digest)
    }
}

/// Record of the last claim on a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Record {
    /// Digest of the request body.
    pub(super) digest: u64,
    /// Time of the last claim.
    #[serde(rename = "claimed")]
    pub(super) claimed_at: WallTime,
    /// State of the claim.
    pub(super) phase: Phase,
    /// Request of the claimant; stored as bytes to avoid the alignment of `u128`.
    request: [u8; 16],
    /// Attempt number of the claimant.
    attempt: AttemptNumber,
}

/// State of a claim.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Phase {
    /// Held by its claimant.
    Claimed {
        /// Time from which the outcome counts as unknown.
        #[serde(rename = "lapse")]
        settle_deadline: WallTime,
        /// Instance of the claimant.
        instance: InstanceName,
    },
    /// The stage did not run and will not.
    Released,
    /// The stage ran and its answer is stored.
    Done {
        /// Sequence number of the answer, in the order of recording.
        number: u64,
        /// Copy of the answer, so that no larger shared buffer is kept alive by it.
        answer: Box<[u8]>,
    },
    /// The stage ran and its answer is not stored.
    Dropped,
    /// The stage may have run.
    Unknown,
}

impl Record {
    /// Creates the record of a claim granted at `now`.
    pub(super) fn claimed(now: WallTime, claim: &Claim) -> Self {
        let settle = Duration::from_millis(claim.settle_ms).min(CLAIM_WINDOW);
        let instance = claim.claimant.instance.clone();
        let phase = Phase::Claimed { settle_deadline: saturating_add(now, settle), instance };
        Self { digest: claim.digest, ..Self::new(now, &claim.claimant, phase) }
    }

    /// Creates the record of a release that arrived before its claim.
    pub(super) fn released(now: WallTime, claimant: &Claimant) -> Self {
        Self::new(now, claimant, Phase::Released)
    }

    fn new(claimed_at: WallTime, claimant: &Claimant, phase: Phase) -> Self {
        let request = claimant.request.0.to_le_bytes();
        Self { digest: 0, claimed_at, phase, request, attempt: claimant.attempt }
    }

    /// Returns whether the claim belongs to `claimant`.
    ///
    /// The instance is stored and compared only while the claim can still be granted again.
    pub(super) fn is_owned_by(&self, claimant: &Claimant) -> bool {
        let same_instance = match &self.phase {
            Phase::Claimed { instance, .. } => *instance == claimant.instance,
            Phase::Released | Phase::Done { .. } | Phase::Dropped | Phase::Unknown => true,
        };
        same_instance
            && self.request == claimant.request.0.to_le_bytes()
            && self.attempt == claimant.attempt
    }

    /// Returns the claimant, which is at `instance`.
    pub(super) fn claimant(&self, instance: &InstanceName) -> Claimant {
        Claimant {
            instance: instance.clone(),
            request: RequestId(u128::from_le_bytes(self.request)),
            attempt: self.attempt,
        }
    }

    /// Returns the sequence number of the answer, if it is stored.
    pub(super) fn answer_number(&self) -> Option<u64> {
        match &self.phase {
            Phase::Done { number, .. } => Some(*number),
            _ => None,
        }
    }

    /// Returns the size of the stored answer, in bytes.
    pub(super) fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Done { answer, .. } => answer.len(),
            _ => 0,
        }
    }
}
