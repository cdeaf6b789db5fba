//! Schema of the settings of one process.

use crate::schema::Key;
use crate::schema::ValueKind;
use crate::settings::MIN_RESPONSE_MEMORY_MB;

/// Maximum of settings that are durations, in milliseconds.
const MAX_DURATION_MS: u64 = 600_000;

/// Keys of the settings.
pub const SETTINGS_KEYS: &[Key] = &[
    Key::required("instance", ValueKind::Table(INSTANCE)),
    Key::new("entry", ValueKind::Table(ENTRY), ""),
    Key::new("control", ValueKind::Table(CONTROL), ""),
    Key::new("peers", ValueKind::Table(PEERS), ""),
    Key::new("forward", ValueKind::Table(FORWARD), ""),
    Key::new("platform", ValueKind::Table(PLATFORM), ""),
    Key::new("keys", ValueKind::Digests, ""),
    Key::new("log", ValueKind::Table(LOG), ""),
];

/// Keys that identify the instance.
const INSTANCE: &[Key] = &[
    Key::required("name", ValueKind::HostName),
    Key::required("data_centre", ValueKind::Name),
    Key::new("admin", ValueKind::Address, ""),
    Key::new("metrics", ValueKind::Address, ""),
];

/// Keys of the entry role.
const ENTRY: &[Key] = &[
    Key::new("enabled", ValueKind::Boolean, "false"),
    Key::new("listen", ValueKind::Address, ""),
    Key::new("max_head", ValueKind::integer(1_024, 1 << 20, "bytes"), "16384"),
    Key::new("max_connections", ValueKind::integer(1, 65_536, "connections"), "4096"),
    Key::new("receive_ms", ValueKind::integer(1, MAX_DURATION_MS, "milliseconds"), "10000"),
    Key::new("grant_ms", ValueKind::integer(1, MAX_DURATION_MS, "milliseconds"), "9000"),
    Key::new("drain_ms", ValueKind::integer(0, MAX_DURATION_MS, "milliseconds"), "5000"),
    Key::new("stop_ms", ValueKind::integer(1, MAX_DURATION_MS, "milliseconds"), "30000"),
];

/// Keys of the control role.
const CONTROL: &[Key] = &[
    Key::new("enabled", ValueKind::Boolean, "false"),
    Key::new("data", ValueKind::FilePath, "data"),
    Key::new("founders", ValueKind::HostNames, "[]"),
    Key::new("operators", ValueKind::Address, ""),
    Key::new("found", ValueKind::Boolean, "true"),
    Key::new("lost_disks", ValueKind::integer(0, 10, "disks"), "1"),
    Key::new("election_ms", ValueKind::integer(50, MAX_DURATION_MS, "milliseconds"), "600"),
    Key::new("heartbeat_ms", ValueKind::integer(10, MAX_DURATION_MS, "milliseconds"), "100"),
    Key::new("snapshot_entries", ValueKind::integer(100, 10_000_000, "entries"), "20000"),
    Key::new("grace_s", ValueKind::Float, "5.0"),
];

/// Keys of the connections between instances.
const PEERS: &[Key] = &[
    Key::new("listen", ValueKind::Address, ""),
    Key::new("trust", ValueKind::Choice(&["certificates", "addresses"]), "certificates"),
    Key::new("seeds", ValueKind::Addresses, "[]"),
    Key::new("certificate", ValueKind::FilePath, ""),
    Key::new("key", ValueKind::FilePath, ""),
    Key::new("authority", ValueKind::FilePath, ""),
    Key::new("peer", ValueKind::TableArray(PEER), ""),
];

/// Keys of a peer.
const PEER: &[Key] = &[
    Key::required("name", ValueKind::HostName),
    Key::required("address", ValueKind::Address),
    Key::required("data_centre", ValueKind::Name),
    Key::new("control", ValueKind::Boolean, "false"),
    Key::new("entry", ValueKind::Boolean, "true"),
];

/// Keys of route forwarding.
const FORWARD: &[Key] = &[
    Key::new("listen", ValueKind::Address, ""),
    Key::new("ready", ValueKind::Address, ""),
    Key::new("max_connections", ValueKind::integer(1, 65_536, "connections"), "1500"),
    Key::new("confirm_ms", ValueKind::integer(100, MAX_DURATION_MS, "milliseconds"), "5000"),
    Key::new("list_lag_ms", ValueKind::integer(0, MAX_DURATION_MS, "milliseconds"), "1000"),
    Key::new("grace_s", ValueKind::Float, "30.0"),
    Key::new("retry_ratio", ValueKind::Float, "0.2"),
    Key::new("retry_slack", ValueKind::Float, "10.0"),
    Key::new("retry_window_s", ValueKind::Float, "10.0"),
    Key::new("hedge_share", ValueKind::Float, "0.0"),
    Key::new("hedge_quantile", ValueKind::Float, "0.95"),
    Key::new("memory_mb", ValueKind::integer(16, 1_000_000, "megabytes"), "256"),
    Key::new(
        "response_memory_mb",
        ValueKind::integer(MIN_RESPONSE_MEMORY_MB, 1_000_000, "megabytes"),
        "",
    ),
];

/// Keys of the platform's list of instances.
const PLATFORM: &[Key] = &[
    Key::new("address", ValueKind::Address, ""),
    Key::new("path", ValueKind::UrlPath, "/instances"),
    Key::new("poll_ms", ValueKind::integer(10, MAX_DURATION_MS, "milliseconds"), "1000"),
];

/// Keys of log output.
const LOG: &[Key] = &[
    Key::new("filter", ValueKind::Text, "info"),
    Key::new("queue_lines", ValueKind::integer(64, 1_000_000, "lines"), "8192"),
    Key::new("kind_lines", ValueKind::integer(1, 1_000_000, "lines"), "500"),
];
