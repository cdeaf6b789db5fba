//! Choice of the instances that an instance follows.

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::InstanceName;

/// Instances of each data centre that follow the control instances directly.
const ROOTS: usize = 2;
/// Instances that follow one instance of their data centre, at most, while all of them answer.
const FAN_OUT: usize = 6;

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
/// The instances of a data centre without the control role form a tree in the order of their names.
/// So control instances answer a few followers a data centre and every other instance a bounded
/// number, however many instances there are.
pub fn sources(settings: &Settings) -> Vec<Source> {
    let mut sources = Vec::new();
    if settings.control.enabled {
        sources.push(Source::Own);
    } else {
        sources.extend(parents(settings).into_iter().map(Source::Peer));
    }
    for source in control_peers(settings).into_iter().chain(other_peers(settings)) {
        let source = Source::Peer(source);
        if !sources.contains(&source) {
            sources.push(source);
        }
    }
    sources
}

/// Returns the instances that the instance follows in its data centre: its parent and another.
fn parents(settings: &Settings) -> Vec<InstanceName> {
    let own = &settings.instance;
    let near = settings.peers.peers.iter();
    let near = near.filter(|p| p.data_centre == own.data_centre && !p.control);
    let mut names: Vec<_> = near.map(|p| &p.name).collect();
    names.push(&own.name);
    names.sort();
    let rank = names.iter().position(|n| **n == own.name).unwrap_or_default();
    let Some(below) = rank.checked_sub(ROOTS) else { return Vec::new() };
    let parent = below / FAN_OUT;
    // Both come before the instance itself, so that no two follow each other in a circle.
    let other = if parent == 0 { 1 } else { parent - 1 };
    let parents = [parent, other].into_iter().filter_map(|at| names.get(at));
    parents.map(|name| (*name).clone()).collect()
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
