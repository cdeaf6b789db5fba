//! Settings of the replicated log.

use std::time::Duration;

use crate::names::InstanceName;

/// Which learners become voters by themselves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VoterPolicy {
    /// Only those of the founders' instances.
    #[default]
    Founders,
    /// Any control instance, for deployments that replace instances by others.
    Open {
        /// Voters, at most; further replicas stay learners and take the place of lost voters.
        max_voters: usize,
        /// Time without an answer after which a learner takes the place of a voter.
        replace_after: Duration,
    },
}

/// Settings of a replica, which all replicas of a group should share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaSettings {
    /// Instances that form the first group, and whose replicas may become voters by themselves.
    pub founders: Vec<InstanceName>,
    /// Whether this replica may take part in forming the first group.
    ///
    /// Not on a folder that may have been lost: a group may stand that none of the others is in.
    pub can_bootstrap: bool,
    /// Who may become a voter beside the founders.
    pub voter_policy: VoterPolicy,
    /// Time without a leader after which a replica may vote for another.
    ///
    /// A follower waits between one and two times this long before it stands for election.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Part of `election_timeout` that the leader's lease leaves unused, as allowance for clock drift.
    pub clock_drift: Duration,
    /// Time after which entries that were not answered are sent again.
    pub resend_timeout: Duration,
    /// Time between hellos of a replica that belongs to no group.
    pub hello_interval: Duration,
    /// Time that a read waits for the leader's lease at most.
    pub read_timeout: Duration,
    /// Entries applied since the last snapshot that call for the next, once they are as large as it.
    pub snapshot_entries: u64,
    /// Entries before a snapshot that stay in the log for slow followers.
    pub retain_entries: u64,
    /// Entries that a learner may lack when it becomes a voter.
    pub catchup_entries: u64,
    /// Size of one message's entries, in bytes.
    pub append_bytes: usize,
    /// Messages with entries on their way to one follower, at most.
    pub inflight_messages: usize,
    /// Entries on their way to one follower, in bytes at most.
    pub inflight_bytes: usize,
    /// Proposed entries that are not committed, in bytes at most.
    pub pending_bytes: usize,
    /// Size of one part of a snapshot, in bytes.
    pub chunk_bytes: usize,
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
            retain_entries: 2_000,
            catchup_entries: 64,
            append_bytes: 256 * 1024,
            inflight_messages: 16,
            inflight_bytes: 1024 * 1024,
            pending_bytes: 16 * 1024 * 1024,
            chunk_bytes: 256 * 1024,
        }
    }
}
