//! Checks of the settings of one process.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use indexmap::IndexMap;

use crate::checks::report_duplicates;
use crate::reader::Reader;
use crate::settings::Forward;
use crate::settings::Settings;
use crate::settings::Trust;

/// Minimum election timeout, in heartbeat intervals.
///
/// With a shorter timeout, a single lost heartbeat could start an election.
const MIN_ELECTION_HEARTBEATS: u64 = 3;

/// Minimum grace time of a control instance, in election timeouts.
///
/// An order in progress waits for the next leader, and gets its final response at 0.6 of that time.
const MIN_GRACE_ELECTIONS: u64 = 2;

/// Maximum of settings that are durations, in seconds.
const MAX_DURATION_S: f64 = 600.0;

/// Maximum of the share of hedges: each request is sent to one more target at most.
const MAX_HEDGE_SHARE: f64 = 1.0;

/// Bounds of the quantile after which a hedge is sent. Below the median most requests would be sent
/// twice, and above the other bound too few samples are kept to tell the quantile.
const HEDGE_QUANTILES: [f64; 2] = [0.5, 0.999];

/// Divisor of the memory of the process that responses may take.
///
/// Another quarter is for callers' bodies.
const MAX_RESPONSE_SHARE_DIVISOR: u64 = 2;

/// Checks conditions that involve several keys of the settings.
pub(crate) fn check(reader: &mut Reader<'_>, settings: &Settings) {
    let roles_valid = reader.is_valid("entry.enabled") && reader.is_valid("control.enabled");
    let has_role = settings.entry.enabled || settings.control.enabled;
    if roles_valid
        && !has_role
        && settings.forward.listen.is_none()
        && reader.is_valid("forward.listen")
    {
        let message = "the instance has no role".to_owned();
        reader.report("instance", message, "entry.enabled = true or control.enabled = true");
    }
    if settings.entry.enabled {
        check_entry(reader, settings);
    }
    if settings.control.enabled {
        check_control(reader, settings);
    }
    check_seconds(reader, settings);
    check_forward(reader, settings);
    check_peers(reader, settings);
    check_address_trust(reader, settings);
    check_own_addresses(reader, settings);
}

fn check_entry(reader: &mut Reader<'_>, settings: &Settings) {
    if settings.entry.listen.is_none() {
        reader.report("entry.listen", "missing".to_owned(), "address for callers' connections");
    }
    let entry = &settings.entry;
    if entry.stop_ms < entry.drain_ms && reader.is_valid("entry.drain_ms") {
        let message = format!("{} is below entry.drain_ms", entry.stop_ms);
        let accepted = format!("at least {}", entry.drain_ms);
        reader.report("entry.stop_ms", message, &accepted);
    }
    if settings.platform.address.is_none() {
        let accepted = "address of the platform's list of instances";
        reader.report("platform.address", "missing".to_owned(), accepted);
    }
    if settings.keys.is_empty() {
        let message = "no caller keys are configured".to_owned();
        reader.report("keys", message, "at least one entry: SHA-256 of a key = workspace");
    }
}

fn check_control(reader: &mut Reader<'_>, settings: &Settings) {
    let control = &settings.control;
    if control.data.as_os_str().is_empty() {
        reader.report("control.data", "missing".to_owned(), "path of the data folder");
    }
    if control.founders.is_empty() && settings.peers.trust == Trust::Certificates {
        let accepted = "names of the first voters: this instance or peers with control = true";
        reader.report("control.founders", "no founders".to_owned(), accepted);
    }
    // Positions of list items are not recorded, so a duplicate is reported at the list itself.
    let founders = control.founders.iter().map(|f| f.as_str());
    report_duplicates(reader, founders.map(|name| ("control.founders".to_owned(), name)));
    for founder in &control.founders {
        check_founder(reader, settings, founder);
    }
    let min_election_ms = control.heartbeat_ms.saturating_mul(MIN_ELECTION_HEARTBEATS);
    if control.election_ms < min_election_ms && reader.is_valid("control.heartbeat_ms") {
        let message = format!(
            "{} is below {MIN_ELECTION_HEARTBEATS} times control.heartbeat_ms",
            control.election_ms
        );
        reader.report("control.election_ms", message, &format!("at least {min_election_ms}"));
    }
    check_control_grace(reader, settings);
}

fn check_control_grace(reader: &mut Reader<'_>, settings: &Settings) {
    let control = &settings.control;
    let min_ms = control.election_ms.saturating_mul(MIN_GRACE_ELECTIONS);
    let min_s = Duration::from_millis(min_ms).as_secs_f64();
    if control.grace_s < min_s && reader.is_valid("control.election_ms") {
        let message =
            format!("{} is below {MIN_GRACE_ELECTIONS} times control.election_ms", control.grace_s);
        reader.report("control.grace_s", message, &format!("at least {min_s}"));
    }
}

/// Checks that numbers of seconds can be used as durations.
fn check_seconds(reader: &mut Reader<'_>, settings: &Settings) {
    let seconds = [
        ("control.grace_s", settings.control.grace_s),
        ("forward.grace_s", settings.forward.grace_s),
        ("forward.retry_window_s", settings.forward.retry_window_s),
    ];
    for (key, value) in seconds {
        if value > MAX_DURATION_S {
            let message = format!("{value} is above {MAX_DURATION_S}");
            reader.report(key, message, &format!("at most {MAX_DURATION_S}"));
        }
    }
}

/// Checks the share and the quantile of hedges.
fn check_hedging(reader: &mut Reader<'_>, settings: &Settings) {
    let Forward { hedge_share, hedge_quantile, .. } = settings.forward;
    let values = [
        ("forward.hedge_share", hedge_share, [0.0, MAX_HEDGE_SHARE]),
        ("forward.hedge_quantile", hedge_quantile, HEDGE_QUANTILES),
    ];
    for (key, value, [min, max]) in values {
        let message = match value {
            value if value < min => format!("{value} is below {min}"),
            value if value > max => format!("{value} is above {max}"),
            _ => continue,
        };
        reader.report(key, message, &format!("{min} to {max}"));
    }
}

fn check_forward(reader: &mut Reader<'_>, settings: &Settings) {
    check_hedging(reader, settings);
    let forward = &settings.forward;
    let Some(responses) = forward.response_memory_mb else { return };
    let max = forward.memory_mb / MAX_RESPONSE_SHARE_DIVISOR;
    let valid =
        reader.is_valid("forward.memory_mb") && reader.is_valid("forward.response_memory_mb");
    if responses > max && valid {
        let message = format!("{responses} is more than half of forward.memory_mb");
        reader.report("forward.response_memory_mb", message, &format!("at most {max}"));
    }
}

fn check_founder(reader: &mut Reader<'_>, settings: &Settings, founder: &InstanceName) {
    let own = &settings.instance.name;
    // The name is empty if it is missing or invalid, which is reported separately.
    if founder == own || own.as_str().is_empty() {
        return;
    }
    let peer = settings.peers.peers.iter().find(|p| p.name == *founder);
    let message = match peer {
        None => format!("{:?} is neither a peer nor this instance", founder.as_str()),
        Some(peer) if !peer.control => {
            format!("{:?} is a peer without control = true", founder.as_str())
        }
        Some(_) => return,
    };
    let accepted = "this instance or peers with control = true";
    reader.report("control.founders", message, accepted);
}

fn check_peers(reader: &mut Reader<'_>, settings: &Settings) {
    let peers = &settings.peers;
    let names = peers.peers.iter().map(|p| p.name.as_str());
    report_duplicates(
        reader,
        names.enumerate().map(|(n, name)| (format!("peers.peer[{n}].name"), name)),
    );
    let mut addresses: IndexMap<SocketAddr, &str> = IndexMap::new();
    for (index, peer) in peers.peers.iter().enumerate() {
        let path = format!("peers.peer[{index}]");
        if peer.name == settings.instance.name {
            let message = "the instance is its own peer".to_owned();
            reader.report(&format!("{path}.name"), message, "names of other instances only");
        }
        let address = format!("{path}.address");
        if peer.address.port() == 0 {
            reader.report(&address, "port 0 is not reachable".to_owned(), "a port above 0");
        } else if Some(peer.address) == peers.listen {
            let message = "same address as peers.listen".to_owned();
            reader.report(&address, message, "address of the peer");
        } else if let Some(other) = addresses.insert(peer.address, peer.name.as_str()) {
            let message = format!("same address as peer {other:?}");
            reader.report(&address, message, "a unique address");
        }
    }
    if !peers.peers.is_empty() && peers.trust == Trust::Certificates {
        check_certificate_files(reader, settings);
    }
}

/// Checks the keys that `trust = "addresses"` requires.
fn check_address_trust(reader: &mut Reader<'_>, settings: &Settings) {
    let peers = &settings.peers;
    if peers.trust != Trust::Addresses {
        return;
    }
    if peers.listen.is_none() {
        let accepted = "address of this instance for its peers";
        reader.report(
            "peers.listen",
            "missing, required with trust = \"addresses\"".to_owned(),
            accepted,
        );
    }
    if peers.seeds.is_empty() && reader.is_valid("peers.seeds") {
        let accepted = "addresses of some control instances";
        reader.report(
            "peers.seeds",
            "missing, required with trust = \"addresses\"".to_owned(),
            accepted,
        );
    }
}

fn check_certificate_files(reader: &mut Reader<'_>, settings: &Settings) {
    let peers = &settings.peers;
    let needed = [
        ("peers.listen", peers.listen.is_none(), "address of this instance for its peers"),
        ("peers.certificate", peers.certificate.is_none(), "file of its certificate, in PEM"),
        ("peers.key", peers.key.is_none(), "file of its private key, in PEM"),
        (
            "peers.authority",
            peers.authority.is_none(),
            "file of the authority's certificates, in PEM",
        ),
    ];
    for (key, missing, accepted) in needed {
        if missing {
            reader.report(key, "missing, required with peers".to_owned(), accepted);
        }
    }
}

fn check_own_addresses(reader: &mut Reader<'_>, settings: &Settings) {
    let admin = settings.instance.admin;
    if admin.is_some_and(|a| a.port() != 0) && admin == settings.entry.listen {
        let message = "same address as entry.listen".to_owned();
        reader.report("instance.admin", message, "a unique address");
    }
}
