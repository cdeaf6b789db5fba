//! Checks of the settings of one process.

use std::net::SocketAddr;

use hawthornkeel_core::names::InstanceName;
use indexmap::IndexMap;

use crate::checks::unique;
use crate::reader::Reader;
use crate::settings::Settings;
use crate::settings::Trust;

/// Shortest election time, in heartbeats.
///
/// With fewer, one lost heartbeat could start an election.
const MIN_HEARTBEATS: u64 = 3;

/// Checks what the keys of the settings say together.
pub(crate) fn check(reader: &mut Reader<'_>, settings: &Settings) {
    let sound = reader.is_sound("entry.enabled") && reader.is_sound("control.enabled");
    let roles = settings.entry.enabled || settings.control.enabled;
    if sound && !roles && settings.forward.listen.is_none() && reader.is_sound("forward.listen") {
        let message = "the instance has no role".to_owned();
        reader.report("instance", message, "entry.enabled = true or control.enabled = true");
    }
    if settings.entry.enabled {
        check_entry(reader, settings);
    }
    if settings.control.enabled {
        check_control(reader, settings);
    }
    check_peers(reader, settings);
    check_trust(reader, settings);
    check_own_addresses(reader, settings);
}

fn check_entry(reader: &mut Reader<'_>, settings: &Settings) {
    if settings.entry.listen.is_none() {
        reader.report("entry.listen", "missing".to_owned(), "the address that callers reach");
    }
    let entry = &settings.entry;
    if entry.stop_ms < entry.drain_ms && reader.is_sound("entry.drain_ms") {
        let message = format!("{} is below entry.drain_ms", entry.stop_ms);
        let accepted = format!("at least {}", entry.drain_ms);
        reader.report("entry.stop_ms", message, &accepted);
    }
    if settings.platform.address.is_none() {
        let accepted = "the address of the platform's list of instances";
        reader.report("platform.address", "missing".to_owned(), accepted);
    }
    if settings.keys.is_empty() {
        let message = "no caller has a key".to_owned();
        reader.report("keys", message, "at least one line: SHA-256 of a key = workspace");
    }
}

fn check_control(reader: &mut Reader<'_>, settings: &Settings) {
    let control = &settings.control;
    if control.data.as_os_str().is_empty() {
        reader.report("control.data", "missing".to_owned(), "the path of the data folder");
    }
    if control.founders.is_empty() && settings.peers.trust == Trust::Certificates {
        let accepted = "the names of the first voters, this instance or peers with control = true";
        reader.report("control.founders", "no founders".to_owned(), accepted);
    }
    // The places of list items aren't known, so a repeated name is reported at the list.
    let founders = control.founders.iter().map(|f| f.as_str());
    unique(reader, founders.map(|name| ("control.founders".to_owned(), name)));
    for founder in &control.founders {
        check_founder(reader, settings, founder);
    }
    let shortest = control.heartbeat_ms.saturating_mul(MIN_HEARTBEATS);
    if control.election_ms < shortest && reader.is_sound("control.heartbeat_ms") {
        let message =
            format!("{} is below {MIN_HEARTBEATS} times control.heartbeat_ms", control.election_ms);
        reader.report("control.election_ms", message, &format!("at least {shortest}"));
    }
}

fn check_founder(reader: &mut Reader<'_>, settings: &Settings, founder: &InstanceName) {
    let own = &settings.instance.name;
    // The name is empty where it is missing or wrong, which is a finding of its own.
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
    unique(reader, names.enumerate().map(|(n, name)| (format!("peers.peer[{n}].name"), name)));
    let mut addresses: IndexMap<SocketAddr, &str> = IndexMap::new();
    for (number, peer) in peers.peers.iter().enumerate() {
        let path = format!("peers.peer[{number}]");
        if peer.name == settings.instance.name {
            let message = "the instance is its own peer".to_owned();
            reader.report(&format!("{path}.name"), message, "the other instances only");
        }
        let address = format!("{path}.address");
        if peer.address.port() == 0 {
            reader.report(&address, "port 0 can't be reached".to_owned(), "a port above 0");
        } else if Some(peer.address) == peers.listen {
            let message = "this is the address of the instance itself".to_owned();
            reader.report(&address, message, "the address of the peer");
        } else if let Some(other) = addresses.insert(peer.address, peer.name.as_str()) {
            let message = format!("this is the address of {other:?} too");
            reader.report(&address, message, "an address of its own");
        }
    }
    if !peers.peers.is_empty() && peers.trust == Trust::Certificates {
        check_identity(reader, settings);
    }
}

/// Checks what peers that are known by their addresses need.
fn check_trust(reader: &mut Reader<'_>, settings: &Settings) {
    let peers = &settings.peers;
    if peers.trust != Trust::Addresses {
        return;
    }
    if peers.listen.is_none() {
        let accepted = "the address of this instance for its peers";
        reader.report("peers.listen", "missing where trust is by addresses".to_owned(), accepted);
    }
    if peers.seeds.is_empty() && reader.is_sound("peers.seeds") {
        let accepted = "the addresses of some control instances";
        reader.report("peers.seeds", "missing where trust is by addresses".to_owned(), accepted);
    }
}

fn check_identity(reader: &mut Reader<'_>, settings: &Settings) {
    let peers = &settings.peers;
    let needed = [
        ("peers.listen", peers.listen.is_none(), "the address of this instance for its peers"),
        ("peers.certificate", peers.certificate.is_none(), "the file of its certificate, in PEM"),
        ("peers.key", peers.key.is_none(), "the file of its private key, in PEM"),
        ("peers.authority", peers.authority.is_none(), "the file of the authority, in PEM"),
    ];
    for (key, missing, accepted) in needed {
        if missing {
            reader.report(key, "missing while there are peers".to_owned(), accepted);
        }
    }
}

fn check_own_addresses(reader: &mut Reader<'_>, settings: &Settings) {
    let admin = settings.instance.admin;
    if admin.is_some_and(|a| a.port() != 0) && admin == settings.entry.listen {
        let message = "this is entry.listen too".to_owned();
        reader.report("instance.admin", message, "an address of its own");
    }
}
