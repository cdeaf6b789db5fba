//! Settings of one process, one struct a section.

use std::net::SocketAddr;
use std::path::PathBuf;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::WorkspaceName;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Settings of one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Who this instance is.
    pub instance: Instance,
    /// Entry role: serves callers.
    pub entry: Entry,
    /// Control role: keeps the replicated state.
    pub control: Control,
    /// Connections between instances.
    pub peers: Peers,
    /// Forwarding of routes, for entries behind a platform's balancer.
    pub forward: Forward,
    /// The platform's list of instances.
    pub platform: Platform,
    /// Workspace of each caller's key, by the key's SHA-256 in hexadecimal.
    pub keys: IndexMap<String, WorkspaceName>,
    /// Log output.
    pub log: Log,
}

/// Who this instance is.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Unique name.
    pub name: InstanceName,
    /// Data centre that the instance runs in.
    pub data_centre: CentreName,
    /// Address of the operators' and metrics endpoint.
    pub admin: Option<SocketAddr>,
}

/// Entry role: serves callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Whether the instance has this role.
    pub enabled: bool,
    /// Address that callers reach through the balancer.
    pub listen: Option<SocketAddr>,
    /// Request head, in bytes at most.
    pub max_head: usize,
    /// Open caller connections, at most.
    pub max_connections: usize,
    /// Time for a caller to send a whole request, in milliseconds.
    pub receive_ms: u64,
    /// Longest call to a cold target, in milliseconds.
    ///
    /// A new issuer of grants waits this long, so that no call of an earlier one still runs.
    pub grant_ms: u64,
    /// Time that a planned stop waits for the balancer to notice, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a planned stop ends what still runs, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            enabled: false,
            listen: None,
            max_head: 16 * 1024,
            max_connections: 4096,
            receive_ms: 10_000,
            grant_ms: 9_000,
            drain_ms: 5_000,
            stop_ms: 30_000,
        }
    }
}

/// Control role: keeps the replicated state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Whether the instance has this role.
    pub enabled: bool,
    /// Data folder.
    pub data: PathBuf,
    /// Names of the instances that form the first group of voters.
    pub founders: Vec<InstanceName>,
    /// Address for the platform's operators, over HTTP.
    pub operators: Option<SocketAddr>,
    /// Whether the founders may form the first group: not where a disk may have been lost.
    pub found: bool,
    /// Disks that may be lost at once, where trust is by addresses; decides the number of voters.
    pub lost_disks: usize,
    /// Shortest time without a leader before an election, in milliseconds.
    pub election_ms: u64,
    /// Time between the leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Log entries between snapshots.
    pub snapshot_entries: u64,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            enabled: false,
            data: PathBuf::from("data"),
            founders: Vec::new(),
            operators: None,
            found: true,
            lost_disks: 1,
            election_ms: 600,
            heartbeat_ms: 100,
            snapshot_entries: 20_000,
        }
    }
}

/// Connections between instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// Address of this instance for its peers, over UDP.
    pub listen: Option<SocketAddr>,
    /// What proves who a peer is.
    pub trust: Trust,
    /// Addresses of control instances to begin with, where trust is by addresses.
    ///
    /// Only the IP addresses count: all instances listen for peers on the same port.
    pub seeds: Vec<SocketAddr>,
    /// File of this instance's certificate, in PEM.
    pub certificate: Option<PathBuf>,
    /// File of this instance's private key, in PEM.
    pub key: Option<PathBuf>,
    /// File of the certificates that sign peers' certificates, in PEM.
    pub authority: Option<PathBuf>,
    /// The other instances.
    #[serde(rename = "peer")]
    pub peers: Vec<Peer>,
}

/// What proves who a peer is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Trust {
    /// Its certificate, which carries its name.
    #[default]
    Certificates,
    /// Its IP address, which is its name: the network is trusted not to forge addresses.
    Addresses,
}

impl Peers {
    /// Returns the name of the instance at `address` where trust is by addresses.
    pub fn name_from_address(address: SocketAddr) -> InstanceName {
        InstanceName::new(&address.ip().to_string())
    }
}

impl Settings {
    /// Returns the name that peers know this instance by.
    pub fn peer_name(&self) -> InstanceName {
        match (self.peers.trust, self.peers.listen) {
            (Trust::Addresses, Some(listen)) => Peers::name_from_address(listen),
            _ => self.instance.name.clone(),
        }
    }

    /// Returns the instances that form the first group of voters.
    pub fn founders(&self) -> Vec<InstanceName> {
        match self.peers.trust {
            Trust::Certificates => self.control.founders.clone(),
            Trust::Addresses => {
                self.peers.seeds.iter().map(|s| Peers::name_from_address(*s)).collect()
            }
        }
    }
}

/// Forwarding of routes, for entries behind a platform's balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Forward {
    /// Address that the balancer forwards callers' connections to; absent where none are served.
    pub listen: Option<SocketAddr>,
    /// Address of the balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Open caller connections, at most.
    pub max_connections: usize,
    /// Longest time that keys of a document not confirmed by control are accepted, in milliseconds.
    pub confirm_ms: u64,
    /// Time from the request to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Repeats that all entries may send to a pool, as a share of its requests.
    pub retry_ratio: f64,
    /// Repeats that all entries may send to a pool beyond that share in each window.
    pub retry_slack: f64,
    /// Window over which repeats are counted, in seconds.
    pub retry_window_s: f64,
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
}

impl Default for Forward {
    fn default() -> Self {
        Self {
            listen: None,
            ready: None,
            max_connections: 1_500,
            confirm_ms: 5_000,
            grace_s: 30.0,
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            memory_mb: 256,
        }
    }
}

/// Another instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name, which its certificate carries too.
    pub name: InstanceName,
    /// Address over UDP.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: CentreName,
    /// Whether it has the control role.
    #[serde(default)]
    pub control: bool,
    /// Whether it has the entry role.
    #[serde(default = "serves_callers")]
    pub entry: bool,
}

/// Returns the default of [`Peer::entry`]: today every instance is an entry.
fn serves_callers() -> bool {
    true
}

/// The platform's list of instances.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Platform {
    /// Address of the list's HTTP endpoint.
    pub address: Option<SocketAddr>,
    /// Path of the list.
    pub path: String,
    /// Time between polls, in milliseconds.
    pub poll_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self { address: None, path: "/instances".to_owned(), poll_ms: 1_000 }
    }
}

/// Log output.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// Filter directives, such as `info` or `hawthornkeel=debug`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { filter: "info".to_owned() }
    }
}
