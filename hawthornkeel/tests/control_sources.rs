//! Load on the sources of the published state at different numbers of instances.

mod support;

use hawthornkeel::control::sources::Source;
use hawthornkeel::control::sources::sources;
use hawthornkeel_config::settings::Instance;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use indexmap::IndexMap;
use rstest::rstest;

const CENTRES: [&str; 4] = ["north", "east", "south", "west"];
const CONTROLS: usize = 3;
/// Maximum number of followers of an instance in its data centre.
const FAN_OUT: usize = 6;

fn peers(count: usize) -> Vec<Peer> {
    let peer = |index: usize| Peer {
        name: InstanceName::new(&format!("i{index:03}")),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: CentreName::new(CENTRES[index % CENTRES.len()]),
        control: index < CONTROLS,
        entry: true,
    };
    (0..count).map(peer).collect()
}

fn settings(all: &[Peer], own: &Peer) -> Settings {
    let instance = Instance {
        name: own.name.clone(),
        data_centre: own.data_centre.clone(),
        ..Instance::default()
    };
    let mut settings = Settings { instance, ..Settings::default() };
    settings.control.enabled = own.control;
    settings.peers.peers = all.iter().filter(|p| p.name != own.name).cloned().collect();
    settings
}

#[rstest]
#[case::today(8)]
#[case::growing(60)]
#[case::target(420)]
fn followers_are_bounded(#[case] count: usize) {
    let all = peers(count);
    let mut followers: IndexMap<InstanceName, usize> = IndexMap::new();
    let mut depths: IndexMap<InstanceName, usize> = IndexMap::new();
    for own in &all {
        let sources = sources(&settings(&all, own));
        assert!(sources.len() >= count - 1, "a peer is missing as a fallback source");
        let depth = match &sources[0] {
            Source::Own => 0,
            Source::Peer(name) => {
                *followers.entry(name.clone()).or_default() += 1;
                // Instances follow only earlier ones, so that there is no cycle.
                depths[name] + 1
            }
        };
        depths.insert(own.name.clone(), depth);
    }
    let follower_count = |p: &Peer| followers.get(&p.name).copied().unwrap_or_default();
    let control: usize = all.iter().filter(|p| p.control).map(follower_count).sum();
    assert!(control <= 2 * CENTRES.len(), "{control} follow control instances directly");
    let others = all.iter().filter(|p| !p.control).map(follower_count).max().unwrap();
    assert!(others <= FAN_OUT, "{others} follow one instance");
    assert!(*depths.values().max().unwrap() <= 4);
}
