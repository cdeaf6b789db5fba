//! Connections that something between the two ends has lost track of.

mod support;

use std::time::Duration;
use std::time::Instant;

use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel::peer::frame::FrameKind;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_fakes::relay::Relay;
use support::peer;
use support::run;
use support::settings;
use support::socket;
use tempfile::TempDir;

/// Returns `a`, which reaches `b` through the relay, and `b`, which answers status calls.
fn relayed(folder: &TempDir) -> (Endpoint, Endpoint, Relay) {
    let at_b = socket();
    let relay = Relay::new(at_b.local_addr().unwrap()).unwrap();
    let b = Endpoint::with_socket(at_b, &settings(folder.path(), "b", Vec::new())).unwrap();
    b.on_call(FrameKind::Status, |_, _| async { Frame::Followed(Followed::default()) });
    let peers = vec![peer("b", relay.address)];
    let a = Endpoint::with_socket(socket(), &settings(folder.path(), "a", peers)).unwrap();
    (a, b, relay)
}

#[test]
fn call_replaces() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, _b, relay) = relayed(&folder);
        let to = InstanceName::new("b");
        a.call(&to, &Frame::Status, support::PATIENCE).await.unwrap();
        assert_eq!(relay.flows(), 1);
        relay.lose_flows();
        let timeout = Duration::from_millis(700);
        let error = a.call(&to, &Frame::Status, timeout).await.unwrap_err();
        assert!(error.may_have_run());
        // The next call takes a fresh connection at once.
        let start = Instant::now();
        a.call(&to, &Frame::Status, support::PATIENCE).await.unwrap();
        assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
        assert_eq!(relay.flows(), 2);
    });
}

#[test]
fn idle_replaces() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b, relay) = relayed(&folder);
        let to = InstanceName::new("b");
        let seen = std::rc::Rc::new(std::cell::Cell::new(0_u32));
        let count = seen.clone();
        b.on_frame(FrameKind::TakeOuts, move |_, _| count.set(count.get() + 1));
        a.send(&to, &Frame::TakeOuts(Vec::new())).unwrap();
        support::until("first frame", || seen.get() == 1).await;
        relay.lose_flows();
        // One-way frames go on while nobody calls: the idle timeout has to notice.
        support::until("frame on a new connection", || {
            a.send(&to, &Frame::TakeOuts(Vec::new())).unwrap();
            seen.get() > 1
        })
        .await;
        assert_eq!(relay.flows(), 2);
    });
}

#[test]
fn slow_peer_kept() {
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
            a.call(&to, &Frame::Status, support::PATIENCE).await.unwrap();
        }
        assert_eq!(relay.flows(), 1);
    });
}

#[test]
fn unused_closed() {
    let folder = TempDir::new().unwrap();
    run(async {
        let (a, b, relay) = relayed(&folder);
        let to = InstanceName::new("b");
        a.call(&to, &Frame::Status, support::PATIENCE).await.unwrap();
        assert_eq!(b.inbound_connections(), 1);
        support::until("the unused connection to end", || b.inbound_connections() == 0).await;
        a.call(&to, &Frame::Status, support::PATIENCE).await.unwrap();
        assert_eq!(relay.flows(), 2);
    });
}
