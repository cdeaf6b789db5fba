//! Connections that something between the two ends has lost track of.

mod support;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel::peer::frame::FrameKind;
use hawthornkeel_core::names::InstanceName;
use support::peer;
use support::run;
use support::settings;
use support::socket;
use tempfile::TempDir;

/// Relay of datagrams which can lose track of the flows that it knows, and carries new ones.
struct Relay {
    address: SocketAddr,
    lost: Arc<Mutex<Vec<SocketAddr>>>,
    known: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
}

impl Relay {
    fn new(target: SocketAddr) -> Self {
        let front = socket();
        front.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let relay = Self {
            address: front.local_addr().unwrap(),
            lost: Arc::default(),
            known: Arc::default(),
            stop: Arc::default(),
        };
        let (lost, known, stop) = (relay.lost.clone(), relay.known.clone(), relay.stop.clone());
        std::thread::spawn(move || carry(&front, target, &lost, &known, &stop));
        relay
    }

    /// Loses track of every flow so far: their datagrams vanish from now on.
    fn lose_flows(&self) {
        let known = self.known.lock().unwrap().clone();
        self.lost.lock().unwrap().extend(known);
    }

    fn flows(&self) -> usize {
        self.known.lock().unwrap().len()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn carry(
    front: &UdpSocket,
    target: SocketAddr,
    lost: &Arc<Mutex<Vec<SocketAddr>>>,
    known: &Mutex<Vec<SocketAddr>>,
    stop: &Arc<AtomicBool>,
) {
    let mut backs: Vec<(SocketAddr, UdpSocket)> = Vec::new();
    let mut data = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        let Ok((len, from)) = front.recv_from(&mut data) else { continue };
        if lost.lock().unwrap().contains(&from) {
            continue;
        }
        if !backs.iter().any(|(source, _)| *source == from) {
            let back = socket();
            let (front, back_reader) = (front.try_clone().unwrap(), back.try_clone().unwrap());
            let (lost, stop) = (lost.clone(), stop.clone());
            std::thread::spawn(move || carry_back(&front, from, &back_reader, &lost, &stop));
            backs.push((from, back));
            known.lock().unwrap().push(from);
        }
        let (_, back) = backs.iter().find(|(source, _)| *source == from).unwrap();
        let _ = back.send_to(&data[..len], target);
    }
}

fn carry_back(
    front: &UdpSocket,
    to: SocketAddr,
    back: &UdpSocket,
    lost: &Mutex<Vec<SocketAddr>>,
    stop: &AtomicBool,
) {
    back.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let mut data = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        let Ok((len, _)) = back.recv_from(&mut data) else { continue };
        if !lost.lock().unwrap().contains(&to) {
            let _ = front.send_to(&data[..len], to);
        }
    }
}

/// Returns `a`, which reaches `b` through the relay, and `b`, which answers status calls.
fn relayed(folder: &TempDir) -> (Endpoint, Endpoint, Relay) {
    let at_b = socket();
    let relay = Relay::new(at_b.local_addr().unwrap());
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
        let timeout = Duration::from_millis(300);
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
