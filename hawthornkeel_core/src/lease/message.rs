//! Messages of the lease and of grants for calls to cold targets.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::TargetName;

/// One run of an instance: a restarted instance is another member.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the instance.
    pub name: InstanceName,
    /// Number drawn at random at each start.
    pub boot: u64,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.boot)
    }
}

/// Message between a holder, or one that wants to be, and the voters of its data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum VoteMessage {
    /// Asks a voter for its vote, or to renew it.
    Ask {
        /// Member that asks.
        holder: MemberId,
        /// Number of the asking round; rises with each.
        round: u64,
    },
    /// Answers `Ask`.
    Reply {
        /// Member that asked.
        holder: MemberId,
        /// Name of the voter.
        voter: InstanceName,
        /// Round of the ask.
        round: u64,
        /// Whether the vote is given for one lease period.
        given: bool,
    },
    /// Gives the vote back, on a planned stop or after a round that won too few votes.
    Resign {
        /// Member that resigns.
        holder: MemberId,
        /// Last round whose vote is given back.
        round: u64,
    },
}

/// Identity of a grant: unique over issuers and entries.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct GrantId {
    /// Member that issued the grant.
    pub issuer: MemberId,
    /// Number at the issuer.
    pub number: u64,
}

/// What became of a call that was made under a grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum GrantOutcome {
    /// No call was made.
    Unused,
    /// The target answered in full.
    Answered {
        /// Incarnation that the answer named.
        incarnation: Option<Incarnation>,
        /// Times that the entry has seen connections to the target break.
        losses: u32,
    },
    /// The call failed and no longer runs at the target.
    Failed,
    /// The call may still run at the target: the slot stays taken until the grant expires.
    Unknown,
}

/// Why a target is suspected to have turned cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SuspectReason {
    /// A connection broke: an answer of the same incarnation clears the doubt.
    Restart,
    /// The target turned slow or failed: it has to prove itself again.
    Overload,
}

/// Message between an entry and the issuer of a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum GrantMessage {
    /// Tells entries who issues grants; sent at each renewal of the lease.
    Announce {
        /// Data centre of the targets.
        centre: CentreName,
        /// Member that holds the lease.
        issuer: MemberId,
        /// Number of times that the member has won the lease.
        term: u64,
    },
    /// Asks for one call to a target.
    Request {
        /// Entry that asks.
        entry: MemberId,
        /// Number at the entry; rises with each request.
        number: u64,
        /// Target to be called.
        target: TargetName,
        /// Pool of the target.
        pool: PoolName,
    },
    /// Allows one call.
    Granted {
        /// Number of the request.
        number: u64,
        /// Identity to release the grant with.
        grant: GrantId,
        /// Target to be called.
        target: TargetName,
        /// Time from the sending of the request until the call must have ended.
        lasts: Duration,
    },
    /// Gives a grant back.
    Release {
        /// Identity of the grant.
        grant: GrantId,
        /// Entry that held it.
        entry: MemberId,
        /// Target that was called.
        target: TargetName,
        /// What became of the call.
        outcome: GrantOutcome,
    },
    /// Answers the release of an answered call to a target that counts as warm.
    Warm {
        /// Identity of the released grant.
        grant: GrantId,
        /// Target that is warm.
        target: TargetName,
        /// Incarnation that is warm.
        incarnation: Option<Incarnation>,
    },
    /// Tells the issuer, and the issuer the entries, that a target may have turned cold.
    Suspect {
        /// Target that may be cold.
        target: TargetName,
        /// Incarnation that was known before.
        incarnation: Option<Incarnation>,
        /// Why it is suspected.
        doubt: SuspectReason,
    },
    /// Tells a new issuer that an incarnation of a target is warm.
    Vouch {
        /// Target that is warm.
        target: TargetName,
        /// Incarnation that is warm.
        incarnation: Incarnation,
    },
}
