//! Certificates, endpoints and event loops for tests between instances.
#![allow(dead_code)]

pub mod cluster;
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
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Runs `test` on an event loop like the shipped one.
pub fn run<F: Future>(test: F) -> F::Output {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().unwrap();
    runtime.block_on(test)
}

/// Waits until `condition` holds.
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "gave up waiting for {what}");
        monoio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Binds a free port on loopback.
pub fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").unwrap()
}

/// Returns another instance's entry in the settings.
pub fn peer(name: &str, address: SocketAddr) -> Peer {
    let data_centre = CentreName::new("east");
    Peer { name: InstanceName::new(name), address, data_centre, control: true, entry: true }
}

/// Returns settings of `name` with the certificate `issued`.
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

/// Returns settings of `name` with a certificate from the authority in `folder`.
pub fn settings(folder: &Path, name: &str, peers: Vec<Peer>) -> Settings {
    let issued = certificate::issue(folder, &InstanceName::new(name)).unwrap();
    settings_with(name, issued, peers)
}
