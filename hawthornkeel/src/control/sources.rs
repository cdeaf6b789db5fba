//! Selection of the sources from which an instance follows the published state.

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::InstanceName;

/// Instances of each data centre that follow control instances directly: roots of its tree.
const ROOTS: usize = 2;
/// Maximum number of followers of an instance in its data centre while all instances reply.
const FAN_OUT: usize = 6;

/// Source of the published state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The control role of this instance.
    Own,
    /// A peer.
    Peer(InstanceName),
}

/// Returns the sources of the instance with these `settings`, in order of preference.
///
/// The instances of a data centre without the control role form a tree, ordered by name. This
/// bounds the followers of control instances per data centre, and the followers of any other
/// instance, regardless of the number of instances.
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

/// Returns the parent of the instance in the tree of its data centre, and an alternative.
fn parents(settings: &Settings) -> Vec<InstanceName> {
    let own = &settings.instance;
    let local = settings.peers.peers.iter();
    let local = local.filter(|p| p.data_centre == own.data_centre && !p.control);
    let mut names: Vec<_> = local.map(|p| &p.name).collect();
    names.push(&own.name);
    names.sort();
    let rank = names.iter().position(|n| **n == own.name).unwrap_or_default();
    let Some(offset) = rank.checked_sub(ROOTS) else { return Vec::new() };
    let parent = offset / FAN_OUT;
    // Both precede the instance in the order, so that no cycle can form.
    let alternative = if parent == 0 { 1 } else { parent - 1 };
    let parents = [parent, alternative].into_iter().filter_map(|rank| names.get(rank));
    parents.map(|name| (*name).clone()).collect()
}

/// Returns the control instances among the peers, starting with those in the same data centre.
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
