//! Graceful shutdown: idle connections are closed, and running requests are completed, not cut.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel::http::server::ShutdownSignals;
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;
use monoio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(2);
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Server on a separate thread; requests for `/held` block until released.
struct HeldServer {
    address: SocketAddr,
    running: Arc<AtomicUsize>,
    released: Arc<AtomicUsize>,
    phase: Arc<AtomicUsize>,
    stopping: Arc<AtomicUsize>,
    /// Number of requests whose caller's disconnect was signalled.
    disconnects: Arc<AtomicUsize>,
    ended: mpsc::Receiver<()>,
}

const DRAIN: usize = 1;
const STOP: usize = 2;
const ABORT: usize = 3;

fn start() -> HeldServer {
    let running = Arc::new(AtomicUsize::new(0));
    let released = Arc::new(AtomicUsize::new(0));
    let phase = Arc::new(AtomicUsize::new(0));
    let stopping = Arc::new(AtomicUsize::new(0));
    let seen = stopping.clone();
    let disconnects = Arc::new(AtomicUsize::new(0));
    let disconnect_count = disconnects.clone();
    let (ended_sender, ended) = mpsc::channel();
    let (run, release, step) = (running.clone(), released.clone(), phase.clone());
    let address = thread::start(async move |sender| {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).unwrap();
        sender.send(server.address()).unwrap();
        monoio::spawn(run_shutdown(server.shutdown_signals(), step, seen));
        server
            .serve(move |request: Request| {
                hold(request, run.clone(), release.clone(), disconnect_count.clone())
            })
            .await;
        ended_sender.send(()).unwrap();
        // Keeps the tasks that the handlers spawned running.
        sleep(LIMIT).await;
    });
    HeldServer { address: address.unwrap(), running, released, phase, stopping, disconnects, ended }
}

async fn run_shutdown(
    signals: ShutdownSignals,
    phase: Arc<AtomicUsize>,
    stopping: Arc<AtomicUsize>,
) {
    for (step, signal) in [(DRAIN, signals.drain), (STOP, signals.stop), (ABORT, signals.abort)] {
        while phase.load(Ordering::SeqCst) < step {
            sleep(STEP).await;
        }
        signal.set();
        stopping.store(usize::from(step >= STOP), Ordering::SeqCst);
    }
}

async fn hold(
    request: Request,
    running: Arc<AtomicUsize>,
    released: Arc<AtomicUsize>,
    disconnects: Arc<AtomicUsize>,
) -> Response {
    let disconnected = request.disconnected.clone();
    monoio::spawn(async move {
        disconnected.wait().await;
        disconnects.fetch_add(1, Ordering::SeqCst);
    });
    running.fetch_add(1, Ordering::SeqCst);
    while request.head.path == "/held" && released.load(Ordering::SeqCst) == 0 {
        sleep(STEP).await;
    }
    Response::json("{}")
}

impl HeldServer {
    fn enter(&self, phase: usize) {
        self.phase.store(phase, Ordering::SeqCst);
    }

    fn call_held(&self) -> RawClient {
        let before = self.running.load(Ordering::SeqCst);
        let mut caller = RawClient::connect(self.address).unwrap();
        caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert!(thread::eventually(LIMIT, || self.running.load(Ordering::SeqCst) > before));
        caller
    }
}

#[test]
fn stop_completes_running_requests() {
    let server = start();
    let mut idle = RawClient::connect(server.address).unwrap();
    idle.send(REQUEST).unwrap();
    assert!(!idle.read_response().unwrap().head.contains("connection: close"));
    let mut held = server.call_held();
    server.enter(STOP);
    // The idle connection and the listener are closed, and the running request is completed.
    assert_eq!(idle.read_to_end().unwrap(), b"");
    assert!(thread::eventually(LIMIT, || RawClient::connect(server.address).is_err()));
    assert!(server.ended.try_recv().is_err());
    assert!(!held.is_readable().unwrap());
    server.released.store(1, Ordering::SeqCst);
    let response = held.read_response().unwrap();
    assert_eq!(response.status, 200);
    assert!(response.head.contains("connection: close"), "{response:?}");
    assert_eq!(held.read_to_end().unwrap(), b"");
    server.ended.recv_timeout(LIMIT).unwrap();
}

#[test]
fn stop_completes_requests_in_flight() {
    let server = start();
    let mut idle = RawClient::connect(server.address).unwrap();
    idle.send(REQUEST).unwrap();
    idle.read_response().unwrap();
    let mut new = RawClient::connect(server.address).unwrap();
    server.enter(STOP);
    assert!(thread::eventually(LIMIT, || server.stopping.load(Ordering::SeqCst) == 1));
    for caller in [&mut idle, &mut new] {
        caller.send(REQUEST).unwrap();
        let response = caller.read_response().unwrap();
        assert!(response.head.contains("connection: close"), "{response:?}");
    }
    server.ended.recv_timeout(LIMIT).unwrap();
}

#[test]
fn drain_closes_after_response() {
    let server = start();
    let mut open = RawClient::connect(server.address).unwrap();
    open.send(REQUEST).unwrap();
    open.read_response().unwrap();
    server.enter(DRAIN);
    // New connections are accepted until the load balancer stops sending them, and closed after one
    // response.
    assert!(thread::eventually(LIMIT, || {
        let mut new = RawClient::connect(server.address).unwrap();
        new.send(REQUEST).unwrap();
        new.read_response().unwrap().head.contains("connection: close")
    }));
    open.send(REQUEST).unwrap();
    assert!(open.read_response().unwrap().head.contains("connection: close"));
    assert_eq!(open.read_to_end().unwrap(), b"");
}

#[test]
fn abort_closes_connections() {
    let server = start();
    let mut held = server.call_held();
    server.enter(ABORT);
    assert_eq!(held.read_to_end().unwrap(), b"");
    server.ended.recv_timeout(LIMIT).unwrap();
    assert!(thread::eventually(LIMIT, || server.disconnects.load(Ordering::SeqCst) == 1));
}
