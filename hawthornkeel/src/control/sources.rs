//! Choice of the instances that an instance follows.

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::InstanceName;

/// Instances of each data centre that follow the control instances directly; the others follow them.
const RELAYS: usize = 2;

/// Where an instance can learn the published state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// From its own control role.
    Own,
    /// From a peer.
    Peer(InstanceName),
}

/// Returns the sources of the instance with these `settings`, best first.
///
/// Control instances answer as many followers as there are data centres times the relays of each,
/// however many instances there are.
pub fn sources(settings: &Settings) -> Vec<Source> {
    let own = &settings.instance;
    let mut sources = Vec::new();
    if settings.control.enabled {
        sources.push(Source::Own);
    }
    let near = settings.peers.peers.iter().filter(|p| p.data_centre == own.data_centre);
    let mut names: Vec<_> = near.map(|p| &p.name).collect();
    names.push(&own.name);
    names.sort();
    let rank = names.iter().position(|n| **n == own.name).unwrap_or_default();
    if rank >= RELAYS {
        // Neighbours in rank start with different relays.
        let relays = (0..RELAYS).filter_map(|i| names.get((rank + i) % RELAYS));
        sources.extend(relays.map(|n| Source::Peer((*n).clone())));
    }
    for source in control_peers(settings).into_iter().chain(other_peers(settings)) {
        let source = Source::Peer(source);
        if !sources.contains(&source) {
            sources.push(source);
        }
    }
    sources
}

/// Returns the control instances among the peers, those of the own data centre first.
pub fn control_peers(settings: &Settings) -> Vec<InstanceName> {
    let own = &settings.instance.data_centre;
    let mut peers: Vec<_> = settings.peers.peers.iter().filter(|p| p.control).collect();
    peers.sort_by_key(|p| p.data_centre != *own);
    peers.into_iter().map(|p| p.name.clone()).collect()
}

fn other_peers(settings: &Settings) -> Vec<InstanceName> {
    let own = &settings.instance.data_centre;
    let mut peers: Vec<_> = settings.peers.peers.iter().collect();
    peers.sort_by_key(|p| p.data_centre != *own);
    peers.into_iter().map(|p| p.name.clone()).collect()
}
