//! Keys of the settings of one process.

use crate::schema::Key;
use crate::schema::Kind;

/// Longest time of a setting, in milliseconds.
const MAX_TIME_MS: u64 = 600_000;

/// Keys of the settings.
pub const SETTINGS: &[Key] = &[
    Key::required("instance", Kind::Section(INSTANCE)),
    Key::new("entry", Kind::Section(ENTRY), ""),
    Key::new("control", Kind::Section(CONTROL), ""),
    Key::new("peers", Kind::Section(PEERS), ""),
    Key::new("forward", Kind::Section(FORWARD), ""),
    Key::new("platform", Kind::Section(PLATFORM), ""),
    Key::new("keys", Kind::Digests, ""),
    Key::new("log", Kind::Section(LOG), ""),
];

/// Keys of the instance.
const INSTANCE: &[Key] = &[
    Key::required("name", Kind::HostName),
    Key::required("data_centre", Kind::Name),
    Key::new("admin", Kind::Address, ""),
];

/// Keys of the entry role.
const ENTRY: &[Key] = &[
    Key::new("enabled", Kind::Flag, "false"),
    Key::new("listen", Kind::Address, ""),
    Key::new("max_head", Kind::number(1_024, 1 << 20, "bytes"), "16384"),
    Key::new("max_connections", Kind::number(1, 65_536, "connections"), "4096"),
    Key::new("receive_ms", Kind::number(1, MAX_TIME_MS, "milliseconds"), "10000"),
    Key::new("grant_ms", Kind::number(1, MAX_TIME_MS, "milliseconds"), "9000"),
    Key::new("drain_ms", Kind::number(0, MAX_TIME_MS, "milliseconds"), "5000"),
    Key::new("stop_ms", Kind::number(1, MAX_TIME_MS, "milliseconds"), "30000"),
];

/// Keys of the control role.
const CONTROL: &[Key] = &[
    Key::new("enabled", Kind::Flag, "false"),
    Key::new("data", Kind::File, "data"),
    Key::new("founders", Kind::HostNames, "[]"),
    Key::new("operators", Kind::Address, ""),
    Key::new("found", Kind::Flag, "true"),
    Key::new("lost_disks", Kind::number(0, 10, "disks"), "1"),
    Key::new("election_ms", Kind::number(50, MAX_TIME_MS, "milliseconds"), "600"),
    Key::new("heartbeat_ms", Kind::number(10, MAX_TIME_MS, "milliseconds"), "100"),
    Key::new("snapshot_entries", Kind::number(100, 10_000_000, "entries"), "20000"),
];

/// Keys of the connections between instances.
const PEERS: &[Key] = &[
    Key::new("listen", Kind::Address, ""),
    Key::new("trust", Kind::Choice(&["certificates", "addresses"]), "certificates"),
    Key::new("seeds", Kind::Addresses, "[]"),
    Key::new("certificate", Kind::File, ""),
    Key::new("key", Kind::File, ""),
    Key::new("authority", Kind::File, ""),
    Key::new("peer", Kind::List(PEER), ""),
];

/// Keys of another instance.
const PEER: &[Key] = &[
    Key::required("name", Kind::HostName),
    Key::required("address", Kind::Address),
    Key::required("data_centre", Kind::Name),
    Key::new("control", Kind::Flag, "false"),
    Key::new("entry", Kind::Flag, "true"),
];

/// Keys of the forwarding of routes.
const FORWARD: &[Key] = &[
    Key::new("listen", Kind::Address, ""),
    Key::new("ready", Kind::Address, ""),
    Key::new("max_connections", Kind::number(1, 65_536, "connections"), "1500"),
    Key::new("confirm_ms", Kind::number(100, MAX_TIME_MS, "milliseconds"), "5000"),
    Key::new("grace_s", Kind::Decimal, "30.0"),
    Key::new("retry_ratio", Kind::Decimal, "0.2"),
    Key::new("retry_slack", Kind::Decimal, "10.0"),
    Key::new("retry_window_s", Kind::Decimal, "10.0"),
    Key::new("memory_mb", Kind::number(16, 1_000_000, "megabytes"), "256"),
];

/// Keys of the platform's list.
const PLATFORM: &[Key] = &[
    Key::new("address", Kind::Address, ""),
    Key::new("path", Kind::UrlPath, "/instances"),
    Key::new("poll_ms", Kind::number(10, MAX_TIME_MS, "milliseconds"), "1000"),
];

/// Keys of log output.
const LOG: &[Key] = &[Key::new("filter", Kind::Text, "info")];
