//! Whom instances follow, by the number of instances.

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
/// Followers of one instance in its data centre, at most.
const FAN_OUT: usize = 6;

fn peers(count: usize) -> Vec<Peer> {
    let place = |at: usize| Peer {
        name: InstanceName::new(&format!("i{at:03}")),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: CentreName::new(CENTRES[at % CENTRES.len()]),
        control: at < CONTROLS,
        entry: true,
    };
    (0..count).map(place).collect()
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
fn load_bounded(#[case] count: usize) {
    let all = peers(count);
    let mut followers: IndexMap<InstanceName, usize> = IndexMap::new();
    let mut depths: IndexMap<InstanceName, usize> = IndexMap::new();
    for own in &all {
        let sources = sources(&settings(&all, own));
        assert!(sources.len() >= count - 1, "every peer is a last resort");
        let depth = match &sources[0] {
            Source::Own => 0,
            Source::Peer(name) => {
                *followers.entry(name.clone()).or_default() += 1;
                // Only instances that come earlier are followed, so there is no circle.
                depths[name] + 1
            }
        };
        depths.insert(own.name.clone(), depth);
    }
    let direct = |p: &Peer| followers.get(&p.name).copied().unwrap_or_default();
    let control: usize = all.iter().filter(|p| p.control).map(direct).sum();
    assert!(control <= 2 * CENTRES.len(), "{control} follow control instances directly");
    let others = all.iter().filter(|p| !p.control).map(direct).max().unwrap();
    assert!(others <= FAN_OUT, "{others} follow one instance");
    assert!(*depths.values().max().unwrap() <= 4);
}
