//! Settings of one process, with one struct per section.

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
    /// Identity of this instance.
    pub instance: Instance,
    /// Entry role, which serves callers.
    pub entry: Entry,
    /// Control role, which keeps the replicated state.
    pub control: Control,
    /// Connections between instances.
    pub peers: Peers,
    /// Route forwarding, for entries behind a platform's load balancer.
    pub forward: Forward,
    /// The platform's list of instances.
    pub platform: Platform,
    /// Workspaces by the SHA-256 digest, in hexadecimal, of a caller's key.
    pub keys: IndexMap<String, WorkspaceName>,
    /// Log output.
    pub log: Log,
}

/// Identity of this instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Instance {
    /// Unique name.
    pub name: InstanceName,
    /// Data centre that the instance runs in.
    pub data_centre: CentreName,
    /// Address of the endpoint for operators and metrics.
    pub admin: Option<SocketAddr>,
    /// Address of the endpoint for metrics alone.
    pub metrics: Option<SocketAddr>,
}

/// Settings of the entry role, which serves callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Whether the instance has this role.
    pub enabled: bool,
    /// Address for callers' connections, reached through the load balancer.
    pub listen: Option<SocketAddr>,
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Timeout for receiving a complete request from a caller, in milliseconds.
    pub receive_ms: u64,
    /// Maximum duration of a call to a cold target, in milliseconds.
    ///
    /// A new issuer of grants waits this long, so that no call granted by its predecessor still
    /// runs.
    pub grant_ms: u64,
    /// Time that a planned stop waits for the load balancer to react, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a planned stop aborts open requests, in milliseconds.
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

/// Settings of the control role, which keeps the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Control {
    /// Whether the instance has this role.
    pub enabled: bool,
    /// Data folder.
    pub data: PathBuf,
    /// Names of the instances that form the first group of voters.
    pub founders: Vec<InstanceName>,
    /// Address of the HTTP endpoint for the platform's operators.
    pub operators: Option<SocketAddr>,
    /// Whether the founders may form the first group; `false` if a disk may have been lost, since a
    /// group may exist already.
    pub found: bool,
    /// Number of disks that may be lost at once; determines the number of voters with
    /// [`Trust::Addresses`].
    pub lost_disks: usize,
    /// Minimum election timeout, in milliseconds.
    pub election_ms: u64,
    /// Interval between the leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of log entries between snapshots.
    pub snapshot_entries: u64,
    /// Grace period between the request to stop, or the end of the entry role's own stop, and the
    /// kill of the process, in seconds.
    pub grace_s: f64,
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
            grace_s: 5.0,
        }
    }
}

/// Connections between instances.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Peers {
    /// UDP address of this instance for its peers.
    pub listen: Option<SocketAddr>,
    /// How peers are authenticated.
    pub trust: Trust,
    /// Addresses of control instances to contact first, with [`Trust::Addresses`].
    ///
    /// Only the IP addresses are used: all instances listen for peers on the same port.
    pub seeds: Vec<SocketAddr>,
    /// File of this instance's certificate, in PEM.
    pub certificate: Option<PathBuf>,
    /// File of this instance's private key, in PEM.
    pub key: Option<PathBuf>,
    /// File of the certificate authorities that sign peers' certificates, in PEM.
    pub authority: Option<PathBuf>,
    /// Other instances.
    #[serde(rename = "peer")]
    pub peers: Vec<Peer>,
}

/// How peers are authenticated.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Trust {
    /// By certificate, which contains the peer's name.
    #[default]
    Certificates,
    /// By IP address, which is also the peer's name; the network must not allow address spoofing.
    Addresses,
}

impl Peers {
    /// Returns the name of the instance at `address` with [`Trust::Addresses`].
    pub fn name_from_address(address: SocketAddr) -> InstanceName {
        InstanceName::new(&address.ip().to_string())
    }
}

impl Settings {
    /// Returns the name of this instance among its peers.
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

/// Settings of route forwarding, for entries behind a platform's load balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Forward {
    /// Address for callers' connections from the load balancer; `None` if routes are not served.
    pub listen: Option<SocketAddr>,
    /// Address for the load balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Maximum time for which keys are accepted while the control instances do not confirm the
    /// document, in milliseconds.
    pub confirm_ms: u64,
    /// Time by which the platform's list may lag behind the targets, in milliseconds.
    pub list_lag_ms: u64,
    /// Grace period between the request to stop and the kill of the process, in seconds.
    pub grace_s: f64,
    /// Retries that all entries together may send to a pool, as a ratio of its requests.
    pub retry_ratio: f64,
    /// Retries that all entries together may send to a pool in each window beyond that ratio.
    pub retry_slack: f64,
    /// Window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Hedges that may be sent to a pool, as a share of its requests; zero if none are sent.
    pub hedge_share: f64,
    /// Quantile of the recent latencies of a route after which a hedge is sent.
    pub hedge_quantile: f64,
    /// Memory available to the process, in megabytes.
    pub memory_mb: u64,
    /// Memory for responses that are read whole and for events held back, in megabytes; `None` for
    /// a share of `memory_mb`.
    pub response_memory_mb: Option<u64>,
}

/// Divisor of `memory_mb` that limits the responses held together if there is no setting.
const RESPONSE_MEMORY_DIVISOR: u64 = 4;
/// Minimum memory for responses, in megabytes, which holds one of the largest size.
pub(crate) const MIN_RESPONSE_MEMORY_MB: u64 = 16;

impl Forward {
    /// Returns the memory for responses that are read whole and for events held back, in bytes.
    pub fn response_memory(&self) -> usize {
        let share = (self.memory_mb / RESPONSE_MEMORY_DIVISOR).max(MIN_RESPONSE_MEMORY_MB);
        let bytes = self.response_memory_mb.unwrap_or(share).saturating_mul(1 << 20);
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }
}

impl Default for Forward {
    fn default() -> Self {
        Self {
            listen: None,
            ready: None,
            max_connections: 1_500,
            confirm_ms: 5_000,
            list_lag_ms: 1_000,
            grace_s: 30.0,
            retry_ratio: 0.2,
            retry_slack: 10.0,
            retry_window_s: 10.0,
            hedge_share: 0.0,
            hedge_quantile: 0.95,
            memory_mb: 256,
            response_memory_mb: None,
        }
    }
}

/// Peer: another instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peer {
    /// Name, also contained in its certificate.
    pub name: InstanceName,
    /// UDP address.
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

/// Returns the default of [`Peer::entry`]: every instance has the entry role.
fn serves_callers() -> bool {
    true
}

/// Settings of the platform's list of instances.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Platform {
    /// Address of the HTTP endpoint of the list.
    pub address: Option<SocketAddr>,
    /// Path of the list.
    pub path: String,
    /// Interval between polls, in milliseconds.
    pub poll_ms: u64,
}

impl Default for Platform {
    fn default() -> Self {
        Self { address: None, path: "/instances".to_owned(), poll_ms: 1_000 }
    }
}

/// Settings of log output.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Log {
    /// Filter directives, such as `info` or `hawthornkeel=debug`.
    pub filter: String,
    /// Maximum number of lines that wait to be written.
    pub queue_lines: usize,
    /// Maximum number of lines of one kind of event in a second.
    pub kind_lines: u32,
}

impl Default for Log {
    fn default() -> Self {
        Self { filter: "info".to_owned(), queue_lines: 8_192, kind_lines: 500 }
    }
}
