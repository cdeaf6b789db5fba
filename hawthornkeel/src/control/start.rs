//! Puts the parts together that every instance has, with or without the control role.

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

/// Share of the election time that the leader's lease leaves unused, as its divisor.
const DRIFT_DIVISOR: u32 = 10;

/// Share of the entries between snapshots that stay in the log for slow followers, as its divisor.
const RETAIN_DIVISOR: u64 = 10;

/// Time without an answer after which another replica takes a voter's place.
///
/// Longer than a restart, so that one doesn't change the members.
const REPLACE_AFTER: Duration = Duration::from_secs(6);

/// What an instance has of the control plane.
#[derive(Clone)]
pub struct ControlPlane {
    /// Control role, if the instance has it.
    pub control: Option<ControlNode>,
    /// Published state in force.
    pub watch: Watch,
    /// Way to the control instances.
    pub client: ControlClient,
    /// Control instances that are known.
    pub directory: ControlDirectory,
    /// Handlers of operators' requests.
    pub admin: AdminService,
}

/// Starts what every instance has; `control` is its own control role, if any.
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

/// Returns which learners become voters by themselves.
fn voter_policy(settings: &Settings) -> VoterPolicy {
    match settings.peers.trust {
        Trust::Certificates => VoterPolicy::Founders,
        // A quorum of that many voters outlives the disks that may be lost.
        Trust::Addresses => VoterPolicy::Open {
            max_voters: 2 * settings.control.lost_disks + 1,
            replace_after: REPLACE_AFTER,
        },
    }
}

/// Returns the settings of the replicated log that `settings` call for.
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
