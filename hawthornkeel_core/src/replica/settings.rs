//! Settings of a replica.

use std::time::Duration;

use crate::names::InstanceName;

/// Which learners are promoted to voters automatically.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VoterPolicy {
    /// Only replicas of the founders.
    #[default]
    Founders,
    /// Replicas of any control instance, for deployments that replace instances with new ones.
    Open {
        /// Maximum number of voters, unless there are more founders.
        ///
        /// Further replicas remain learners and replace lost voters.
        max_voters: usize,
        /// Time without a message from a voter after which a learner that has caught up gets its
        /// vote. The voter becomes a learner.
        replace_after: Duration,
        /// Time without a message from a learner after which it is removed.
        remove_after: Duration,
    },
}

/// Settings of a replica. All replicas of a group should use the same.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSettings {
    /// Instances that bootstrap the group, and whose replicas are promoted to voters automatically.
    pub founders: Vec<InstanceName>,
    /// Whether this replica may take part in bootstrapping a group.
    ///
    /// Must be `false` if its data folder may have been lost: a group may already exist to which
    /// none of the other founders belongs any more.
    pub can_bootstrap: bool,
    /// Which learners are promoted to voters automatically.
    pub voter_policy: VoterPolicy,
    /// Time without contact to a leader after which a replica may vote for another one.
    ///
    /// A follower waits for a random time between one and two times this long before it starts a
    /// pre-vote.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Margin for clock drift by which the leader's lease is shorter than `election_timeout`.
    pub clock_drift: Duration,
    /// Time after which entries or chunks are resent if there is no reply.
    pub resend_timeout: Duration,
    /// Time between hellos of a replica that does not belong to a group.
    pub hello_interval: Duration,
    /// Maximum time that a read waits for the leader's lease.
    pub read_timeout: Duration,
    /// Number of entries applied since the last snapshot after which the next one is taken,
    /// provided that they are at least as large as the last one.
    pub snapshot_entries: u64,
    /// Size of the entries applied since the last snapshot after which the next one is taken even
    /// if they are fewer than `snapshot_entries`, in bytes.
    ///
    /// Bounds the log on the disk and in memory, which entries with large documents fill first.
    pub snapshot_bytes: usize,
    /// Number of entries before a snapshot that are retained in the log for slow followers.
    pub retain_entries: u64,
    /// Maximum size of the entries that are retained, in bytes.
    pub retain_bytes: usize,
    /// Maximum number of entries that a learner may lack to be promoted to a voter.
    pub catchup_entries: u64,
    /// Maximum size of the entries in one message, in bytes. A single entry may be larger.
    pub append_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per follower.
    pub inflight_messages: usize,
    /// Maximum size of the unacknowledged entries per follower, in bytes.
    pub inflight_bytes: usize,
    /// Maximum size of the proposed entries that are not committed, in bytes.
    pub pending_bytes: usize,
    /// Maximum size of a chunk of a snapshot, in bytes.
    pub chunk_bytes: usize,
}

impl ReplicaSettings {
    /// Returns the number of voters that a group with an open membership has, while none is replaced.
    pub(super) fn open_voters(&self) -> Option<usize> {
        match self.voter_policy {
            VoterPolicy::Founders => None,
            VoterPolicy::Open { max_voters, .. } => Some(max_voters.max(self.founders.len())),
        }
    }
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            founders: Vec::new(),
            can_bootstrap: true,
            voter_policy: VoterPolicy::Founders,
            election_timeout: Duration::from_millis(600),
            heartbeat_interval: Duration::from_millis(100),
            clock_drift: Duration::from_millis(60),
            resend_timeout: Duration::from_millis(300),
            hello_interval: Duration::from_millis(500),
            read_timeout: Duration::from_millis(1_000),
            snapshot_entries: 20_000,
            snapshot_bytes: 16 * 1024 * 1024,
            retain_entries: 2_000,
            retain_bytes: 4 * 1024 * 1024,
            catchup_entries: 64,
            append_bytes: 256 * 1024,
            inflight_messages: 16,
            inflight_bytes: 1024 * 1024,
            pending_bytes: 16 * 1024 * 1024,
            chunk_bytes: 256 * 1024,
        }
    }
}
