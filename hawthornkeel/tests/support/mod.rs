//! Support for tests with several instances: certificates, settings, sockets and event loops.
#![allow(dead_code)]

pub mod cluster;
pub mod full_disk;
pub mod operator;

use std::future::Future;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::peer::certificate;
use hawthornkeel::peer::certificate::IssuedFiles;
use hawthornkeel_config::settings::Instance;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Peers;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Time after which a test gives up waiting for a condition.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs `test` on the same kind of event loop as the program.
pub fn run<F: Future>(test: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(test)
}

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Binds a UDP socket to a free port on loopback.
pub fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").unwrap()
}

/// Returns the settings entry of a peer.
pub fn peer(name: &str, address: SocketAddr) -> Peer {
    let data_centre = CentreName::new("east");
    Peer { name: InstanceName::new(name), address, data_centre, control: true, entry: true }
}

/// Returns settings of `name` with the given certificate.
pub fn settings_with(name: &str, issued: IssuedFiles, peers: Vec<Peer>) -> Settings {
    Settings {
        instance: Instance { name: InstanceName::new(name), ..Instance::default() },
        peers: Peers {
            listen: None,
            certificate: Some(issued.certificate),
            key: Some(issued.key),
            authority: Some(issued.authority),
            peers,
            ..Peers::default()
        },
        ..Settings::default()
    }
}

/// Returns settings of `name` with a certificate issued by the authority in `folder`.
pub fn settings(folder: &Path, name: &str, peers: Vec<Peer>) -> Settings {
    let issued = certificate::issue(folder, &InstanceName::new(name)).unwrap();
    settings_with(name, issued, peers)
}
