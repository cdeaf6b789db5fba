//! Starts the parts of the control plane that every instance has.

use std::time::Duration;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::replica::ReplicaSettings;
use hawthornkeel_core::replica::VoterPolicy;

use crate::control::admin::AdminService;
use crate::control::client::ControlClient;
use crate::control::directory::ControlDirectory;
use crate::control::follow::StateFollower;
use crate::control::gossip::Gossip;
use crate::control::node::ControlNode;
use crate::control::watch::Watch;
use crate::peer::Endpoint;

/// Divisor of the election timeout that gives the assumed clock drift, by which leases are shorter.
const DRIFT_DIVISOR: u32 = 10;

/// Divisor of the snapshot interval that gives the entries retained for slow followers.
const RETAIN_DIVISOR: u64 = 10;

/// Time without a reply after which another replica gets the vote of a voter, in election timeouts.
///
/// A new replica that has caught up can only be counted on once it has the vote of the lost one.
const REPLACE_TIMEOUTS: u32 = 2;

/// Time without a reply after which a replica without a vote is removed.
///
/// Longer than a restart, after which it doesn't have to be added again.
const REMOVE_AFTER: Duration = Duration::from_secs(6);

/// Handles of the control plane at an instance.
#[derive(Clone)]
pub struct ControlPlane {
    /// Control role, if the instance has one.
    pub control: Option<ControlNode>,
    /// Published state at this instance.
    pub watch: Watch,
    /// Client of the control instances.
    pub client: ControlClient,
    /// Known control instances.
    pub directory: ControlDirectory,
    /// Handler of admin requests.
    pub admin: AdminService,
}

/// Starts the control plane of an instance; `control` is its control role, if it has one.
pub fn start(
    settings: &Settings,
    endpoint: &Endpoint,
    control: Option<ControlNode>,
) -> ControlPlane {
    let follower = StateFollower::start(settings, endpoint, control.clone());
    let watch = follower.watch().clone();
    let directory = ControlDirectory::new(settings);
    let client = ControlClient::new(endpoint, control.clone(), directory.clone());
    let gossip = Gossip::start(endpoint, &watch, &client);
    let admin =
        AdminService { endpoint: endpoint.clone(), follower, client: client.clone(), gossip };
    ControlPlane { control, watch, client, directory, admin }
}

/// Returns the time without a reply after which another replica gets the vote of a voter.
fn replace_after(settings: &Settings) -> Duration {
    Duration::from_millis(settings.control.election_ms) * REPLACE_TIMEOUTS
}

/// Returns the policy for promoting learners to voters.
fn voter_policy(settings: &Settings) -> VoterPolicy {
    match settings.peers.trust {
        Trust::Certificates => VoterPolicy::Founders,
        // This number of voters keeps a quorum after the tolerated loss of disks.
        Trust::Addresses => VoterPolicy::Open {
            max_voters: 2 * settings.control.lost_disks + 1,
            replace_after: replace_after(settings),
            remove_after: REMOVE_AFTER,
        },
    }
}

/// Returns the replica settings for an instance with these `settings`.
pub fn replica_settings(settings: &Settings) -> ReplicaSettings {
    let control = &settings.control;
    let election_timeout = Duration::from_millis(control.election_ms);
    ReplicaSettings {
        founders: settings.founders(),
        can_bootstrap: control.found,
        voter_policy: voter_policy(settings),
        election_timeout,
        heartbeat_interval: Duration::from_millis(control.heartbeat_ms),
        clock_drift: election_timeout / DRIFT_DIVISOR,
        snapshot_entries: control.snapshot_entries,
        retain_entries: control.snapshot_entries / RETAIN_DIVISOR,
        ..ReplicaSettings::default()
    }
}
