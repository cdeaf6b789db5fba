//! Messages about leases, and about grants for calls to cold targets.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::TargetName;

/// Identity of one run of an instance. A restarted instance is a different member.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the instance.
    pub name: InstanceName,
    /// Random number generated at each start.
    pub boot: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.boot)
    }
}

/// Message between a lease holder or candidate and the voters of its data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum VoteMessage {
    /// Requests the vote of a voter, or its renewal.
    Ask {
        /// Member that requests the vote.
        holder: MemberId,
        /// Number of the round, which increases with each.
        round: u64,
    },
    /// Replies to `Ask`.
    Reply {
        /// Member that requested the vote.
        holder: MemberId,
        /// Name of the voter.
        voter: InstanceName,
        /// Round of the request.
        round: u64,
        /// Whether the vote is granted for one lease duration.
        given: bool,
    },
    /// Releases the vote, on a planned stop or after a round without a quorum.
    Resign {
        /// Member that releases the vote.
        holder: MemberId,
        /// Last round whose vote is released.
        round: u64,
    },
}

/// Identity of a grant, unique across all issuers.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct GrantId {
    /// Member that issued the grant.
    pub issuer: MemberId,
    /// Number of the grant at its issuer.
    pub number: u64,
}

/// Outcome of a call that was made under a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// No call was made.
    Unused,
    /// The target sent a complete answer.
    Answered {
        /// Incarnation that the answer reported.
        incarnation: Option<Incarnation>,
        /// Number of connections to the target that the entry has seen break.
        losses: u32,
    },
    /// The call failed and is no longer running on the target.
    Failed,
    /// The call may still be running on the target. The slot stays occupied until the grant
    /// expires.
    Unknown,
}

/// Reason why a target is suspected to be cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SuspectReason {
    /// A connection broke. An answer of the same incarnation clears the suspicion.
    Restart,
    /// The target became slow or failed. It must warm up again.
    Overload,
}

/// Message between an entry and the issuer of a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum GrantMessage {
    /// Announces the issuer of grants to the entries. Sent at each renewal of the lease.
    Announce {
        /// Data centre of the targets.
        centre: CentreName,
        /// Member that holds the lease.
        issuer: MemberId,
        /// Number of times that the member has won the lease.
        term: u64,
    },
    /// Requests a grant for one call to a target.
    Request {
        /// Entry that requests the grant.
        entry: MemberId,
        /// Number of the request at the entry, which increases with each.
        number: u64,
        /// Target to be called.
        target: TargetName,
        /// Pool of the target.
        pool: PoolName,
    },
    /// Grants one call.
    Granted {
        /// Number of the request.
        number: u64,
        /// Identity of the grant, needed to release it.
        grant: GrantId,
        /// Target to be called.
        target: TargetName,
        /// Time by which the call must have ended, measured from the sending of the request.
        lasts: Duration,
    },
    /// Releases a grant.
    Release {
        /// Identity of the grant.
        grant: GrantId,
        /// Entry that held it.
        entry: MemberId,
        /// Target that was called.
        target: TargetName,
        /// Outcome of the call.
        outcome: GrantOutcome,
    },
    /// Reports that a target is warm, in reply to the release of a grant whose call was answered.
    Warm {
        /// Identity of the released grant.
        grant: GrantId,
        /// Target that is warm.
        target: TargetName,
        /// Incarnation that is warm.
        incarnation: Option<Incarnation>,
    },
    /// Reports that a target may have become cold: from an entry to the issuer, which forwards it
    /// to the other entries.
    Suspect {
        /// Target that is suspected.
        target: TargetName,
        /// Last known incarnation.
        incarnation: Option<Incarnation>,
        /// Reason for the suspicion.
        doubt: SuspectReason,
    },
    /// Reports to a new issuer that an incarnation of a target is warm.
    Vouch {
        /// Target that is warm.
        target: TargetName,
        /// Incarnation that is warm.
        incarnation: Incarnation,
    },
}
