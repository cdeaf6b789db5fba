//! Network of relays between the data centres of a fleet, which can be partitioned.

use std::net::SocketAddr;

use hawthornkeel_fakes::platform::InstanceList;
use hawthornkeel_fakes::tcp_relay::TcpRelay;
use hawthornkeel_fakes::thread::PlatformThread;
use hawthornkeel_fakes::udp_relay::UdpRelay;

use crate::fleet::Instance;
use crate::fleet::Target;

/// Network of relays, one per link.
pub struct Network {
    peers: Vec<PeerLink>,
    targets: Vec<TargetLink>,
    platforms: Vec<CentrePlatform>,
}

/// Instance or target at one end of a link.
#[derive(Clone, Eq, PartialEq)]
struct LinkEnd {
    name: String,
    centre: String,
}

/// Link over which one instance opens connections to another.
struct PeerLink {
    from: LinkEnd,
    to: LinkEnd,
    relay: UdpRelay,
}

/// Link from the instances of a data centre to a target.
struct TargetLink {
    centre: String,
    to: LinkEnd,
    relay: TcpRelay,
}

/// Platform of a data centre, which lists the targets by their links' relay addresses.
struct CentrePlatform {
    centre: String,
    thread: PlatformThread,
}

impl Network {
    /// Creates the links between instances and from each data centre to the targets.
    pub(super) fn new(instances: &[Instance], targets: &[Target]) -> Self {
        let mut network = Self { peers: Vec::new(), targets: Vec::new(), platforms: Vec::new() };
        for from in instances {
            for to in instances.iter().filter(|i| i.name != from.name) {
                let relay = UdpRelay::new(to.peer).unwrap();
                network.peers.push(PeerLink { from: link_end(from), to: link_end(to), relay });
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
            let to = LinkEnd {
                name: target.listed.name.clone(),
                centre: target.listed.data_centre.clone(),
            };
            self.targets.push(TargetLink { centre: centre.to_owned(), to, relay });
        }
        let thread = PlatformThread::start(list).unwrap();
        self.platforms.push(CentrePlatform { centre: centre.to_owned(), thread });
    }

    /// Partitions a data centre from the others without closing connections, or ends this.
    pub fn set_partitioned(&self, centre: &str, partitioned: bool) {
        for link in &self.peers {
            if (link.from.centre == centre) != (link.to.centre == centre) {
                link.relay.set_blocked(partitioned);
            }
        }
        for link in &self.targets {
            if (link.centre == centre) != (link.to.centre == centre) {
                link.relay.set_blocked(partitioned).unwrap();
            }
        }
    }

    /// Isolates an instance from the other instances without closing connections, or ends this.
    ///
    /// The instance still reaches the targets.
    pub fn set_isolated(&self, name: &str, isolated: bool) {
        for link in self.peers.iter().filter(|l| l.from.name == name || l.to.name == name) {
            link.relay.set_blocked(isolated);
        }
    }

    /// Blocks or unblocks what an instance sends to the other instances.
    pub fn set_outbound_blocked(&self, name: &str, blocked: bool) {
        for link in self.peers.iter().filter(|l| l.from.name == name) {
            link.relay.set_outbound_blocked(blocked);
        }
        for link in self.peers.iter().filter(|l| l.to.name == name) {
            link.relay.set_inbound_blocked(blocked);
        }
    }

    /// Returns the relay between a data centre and a target.
    pub fn target_relay(&self, centre: &str, target: &str) -> &TcpRelay {
        let link = self.targets.iter().find(|l| l.centre == centre && l.to.name == target);
        &link.unwrap().relay
    }

    /// Returns the relay address through which instance `from` reaches `to`.
    pub(super) fn peer(&self, from: &str, to: &str) -> SocketAddr {
        let link = self.peers.iter().find(|l| l.from.name == from && l.to.name == to);
        link.unwrap().relay.address
    }

    /// Returns the address of the platform of a data centre.
    pub(super) fn platform(&self, centre: &str) -> SocketAddr {
        self.platforms.iter().find(|p| p.centre == centre).unwrap().thread.address
    }
}

fn link_end(instance: &Instance) -> LinkEnd {
    LinkEnd { name: instance.name.clone(), centre: instance.centre.clone() }
}
