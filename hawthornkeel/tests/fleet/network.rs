//! Network between the data centres of a fleet, which can be cut.

use std::net::SocketAddr;

use hawthornkeel_fakes::platform::InstanceList;
use hawthornkeel_fakes::tcp_relay::TcpRelay;
use hawthornkeel_fakes::thread::PlatformThread;
use hawthornkeel_fakes::udp_relay::UdpRelay;

use crate::fleet::Instance;
use crate::fleet::Target;

/// Network of relays, one for each way between two ends.
pub struct Network {
    peers: Vec<PeerWay>,
    targets: Vec<TargetWay>,
    platforms: Vec<CentrePlatform>,
}

/// Instance as an end of a way.
#[derive(Clone, Eq, PartialEq)]
struct End {
    name: String,
    centre: String,
}

/// Way on which one instance opens connections to another.
struct PeerWay {
    from: End,
    to: End,
    relay: UdpRelay,
}

/// Way from the instances of a data centre to a target.
struct TargetWay {
    centre: String,
    to: End,
    relay: TcpRelay,
}

/// Platform of a data centre, whose list has the addresses of the ways from there.
struct CentrePlatform {
    centre: String,
    thread: PlatformThread,
}

impl Network {
    /// Lays the ways between instances, and from each data centre to the targets.
    pub(super) fn new(instances: &[Instance], targets: &[Target]) -> Self {
        let mut network = Self { peers: Vec::new(), targets: Vec::new(), platforms: Vec::new() };
        for from in instances {
            for to in instances.iter().filter(|i| i.name != from.name) {
                let relay = UdpRelay::new(to.peer).unwrap();
                network.peers.push(PeerWay { from: end(from), to: end(to), relay });
            }
            if !network.platforms.iter().any(|p| p.centre == from.centre) {
                network.add_centre(&from.centre, targets);
            }
        }
        network
    }

    fn add_centre(&mut self, centre: &str, targets: &[Target]) {
        let mut list = InstanceList::default();
        for target in targets {
            let relay = TcpRelay::new(target.thread.address).unwrap();
            let mut listed = target.listed.clone();
            listed.address = relay.address.to_string();
            list.instances.push(listed);
            let to =
                End { name: target.listed.name.clone(), centre: target.listed.data_centre.clone() };
            self.targets.push(TargetWay { centre: centre.to_owned(), to, relay });
        }
        let thread = PlatformThread::start(list).unwrap();
        self.platforms.push(CentrePlatform { centre: centre.to_owned(), thread });
    }

    /// Cuts a data centre off from the others, silently, or heals the cut.
    pub fn set_partitioned(&self, centre: &str, cut: bool) {
        for way in &self.peers {
            if (way.from.centre == centre) != (way.to.centre == centre) {
                way.relay.set_blocked(cut);
            }
        }
        for way in &self.targets {
            if (way.centre == centre) != (way.to.centre == centre) {
                way.relay.set_blocked(cut).unwrap();
            }
        }
    }

    /// Cuts an instance off from all others, silently, or heals the cut; targets are reached.
    pub fn set_isolated(&self, name: &str, cut: bool) {
        for way in self.peers.iter().filter(|w| w.from.name == name || w.to.name == name) {
            way.relay.set_blocked(cut);
        }
    }

    /// Lets what an instance sends to the others vanish, or none of it.
    pub fn set_outbound_blocked(&self, name: &str, cut: bool) {
        for way in self.peers.iter().filter(|w| w.from.name == name) {
            way.relay.set_outbound_blocked(cut);
        }
        for way in self.peers.iter().filter(|w| w.to.name == name) {
            way.relay.set_inbound_blocked(cut);
        }
    }

    /// Returns the way from a data centre to a target.
    pub fn target_relay(&self, centre: &str, target: &str) -> &TcpRelay {
        let way = self.targets.iter().find(|w| w.centre == centre && w.to.name == target);
        &way.unwrap().relay
    }

    /// Returns the address at which `from` reaches `to`.
    pub(super) fn peer(&self, from: &str, to: &str) -> SocketAddr {
        let way = self.peers.iter().find(|w| w.from.name == from && w.to.name == to);
        way.unwrap().relay.address
    }

    /// Returns the address of the platform of a data centre.
    pub(super) fn platform(&self, centre: &str) -> SocketAddr {
        self.platforms.iter().find(|p| p.centre == centre).unwrap().thread.address
    }
}

fn end(instance: &Instance) -> End {
    End { name: instance.name.clone(), centre: instance.centre.clone() }
}
