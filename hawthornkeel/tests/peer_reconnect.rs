//! Replacement of dead connections.
//!
//! A NAT or firewall between two instances can lose the state of a flow and drop its packets. A
//! call that times out, or the idle timeout, must lead to a new connection.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel::peer::frame::FrameKind;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_fakes::udp_relay::UdpRelay;
use support::peer;
use support::run;
use support::settings;
use support::socket;
use tempfile::TempDir;

/// Returns `a`, which reaches `b` through the relay, and `b`, which responds to status calls.
fn relayed(folder: &TempDir) -> (Endpoint, Endpoint, UdpRelay) {
    let at_b = socket();
    let relay = UdpRelay::new(at_b.local_addr().unwrap()).unwrap();
    let b = Endpoint::with_socket(at_b, &settings(folder.path(), "b", Vec::new())).unwrap();
    b.on_call(FrameKind::Status, |_, _| async { Frame::Followed(Followed::default()) });
    let peers = vec![peer("b", relay.address)];
    let a = Endpoint::with_socket(socket(), &settings(folder.path(), "a", peers)).unwrap();
    (a, b, relay)
}

#[test]
fn call_timeout_reconnects() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, _b, relay) = relayed(&folder);
        let to = InstanceName::new("b");
        a.call(&to, &Frame::Status, support::TEST_TIMEOUT).await.unwrap();
        assert_eq!(relay.flow_count(), 1);
        relay.blackhole_flows();
        let timeout = Duration::from_millis(700);
        let error = a.call(&to, &Frame::Status, timeout).await.unwrap_err();
        assert!(error.may_have_run());
        // The next call opens a new connection immediately.
        let start = Instant::now();
        a.call(&to, &Frame::Status, support::TEST_TIMEOUT).await.unwrap();
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
        assert_eq!(relay.flow_count(), 2);
    });
}

#[test]
fn idle_timeout_reconnects() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b, relay) = relayed(&folder);
        let to = InstanceName::new("b");
        let seen = std::rc::Rc::new(std::cell::Cell::new(0_u32));
        let count = seen.clone();
        b.on_frame(FrameKind::TakeOuts, move |_, _| count.set(count.get() + 1));
        a.send(&to, &Frame::TakeOuts(Vec::new())).unwrap();
        support::wait_until("first frame", || seen.get() == 1).await;
        relay.blackhole_flows();
        // Only one-way frames are sent, so only the idle timeout can detect the dead connection.
        support::wait_until("frame on a new connection", || {
            a.send(&to, &Frame::TakeOuts(Vec::new())).unwrap();
            seen.get() > 1
        })
        .await;
        assert_eq!(relay.flow_count(), 2);
    });
}

#[test]
fn slow_peer_stays_connected() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b, relay) = relayed(&folder);
        b.on_call(FrameKind::Lead, |_, _| async {
            monoio::time::sleep(Duration::from_secs(60)).await;
            Frame::Followed(Followed::default())
        });
        let to = InstanceName::new("b");
        for timeout in [50, 700] {
            let timeout = Duration::from_millis(timeout);
            a.call(&to, &Frame::Lead, timeout).await.unwrap_err();
            a.call(&to, &Frame::Status, support::TEST_TIMEOUT).await.unwrap();
        }
        assert_eq!(relay.flow_count(), 1);
    });
}

#[test]
fn unused_connection_is_closed() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b, relay) = relayed(&folder);
        let to = InstanceName::new("b");
        a.call(&to, &Frame::Status, support::TEST_TIMEOUT).await.unwrap();
        assert_eq!(b.inbound_connections(), 1);
        support::wait_until("the unused connection to end", || b.inbound_connections() == 0).await;
        a.call(&to, &Frame::Status, support::TEST_TIMEOUT).await.unwrap();
        assert_eq!(relay.flow_count(), 2);
    });
}
