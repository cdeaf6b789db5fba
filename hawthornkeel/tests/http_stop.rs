//! Planned stop: running requests are answered, idle connections closed, nothing is cut.

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
use hawthornkeel_fakes::raw::RawCaller;
use hawthornkeel_fakes::thread;
use monoio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(2);
const REQUEST: &str = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Server on a thread of its own, whose requests under `/held` wait to be released.
struct Held {
    address: SocketAddr,
    running: Arc<AtomicUsize>,
    released: Arc<AtomicUsize>,
    phase: Arc<AtomicUsize>,
    stopping: Arc<AtomicUsize>,
    /// Held requests whose caller's leaving was told.
    told: Arc<AtomicUsize>,
    ended: mpsc::Receiver<()>,
}

const DRAIN: usize = 1;
const STOP: usize = 2;
const ABORT: usize = 3;

fn start() -> Held {
    let running = Arc::new(AtomicUsize::new(0));
    let released = Arc::new(AtomicUsize::new(0));
    let phase = Arc::new(AtomicUsize::new(0));
    let stopping = Arc::new(AtomicUsize::new(0));
    let seen = stopping.clone();
    let told = Arc::new(AtomicUsize::new(0));
    let tell = told.clone();
    let (ended_sender, ended) = mpsc::channel();
    let (run, release, step) = (running.clone(), released.clone(), phase.clone());
    let address = thread::start(async move |sender| {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).unwrap();
        sender.send(server.address()).unwrap();
        monoio::spawn(follow(server.shutdown_signals(), step, seen));
        server
            .serve(move |request: Request| {
                hold(request, run.clone(), release.clone(), tell.clone())
            })
            .await;
        ended_sender.send(()).unwrap();
        // What the handlers left running goes on.
        sleep(LIMIT).await;
    });
    Held { address: address.unwrap(), running, released, phase, stopping, told, ended }
}

async fn follow(control: ShutdownSignals, phase: Arc<AtomicUsize>, stopping: Arc<AtomicUsize>) {
    for (step, signal) in [(DRAIN, control.drain), (STOP, control.stop), (ABORT, control.abort)] {
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
    told: Arc<AtomicUsize>,
) -> Response {
    let left = request.disconnected.clone();
    monoio::spawn(async move {
        left.wait().await;
        told.fetch_add(1, Ordering::SeqCst);
    });
    running.fetch_add(1, Ordering::SeqCst);
    while request.head.path == "/held" && released.load(Ordering::SeqCst) == 0 {
        sleep(STEP).await;
    }
    Response::json("{}")
}

impl Held {
    fn enter(&self, phase: usize) {
        self.phase.store(phase, Ordering::SeqCst);
    }

    fn call_held(&self) -> RawCaller {
        let before = self.running.load(Ordering::SeqCst);
        let mut caller = RawCaller::connect(self.address).unwrap();
        caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert!(thread::eventually(LIMIT, || self.running.load(Ordering::SeqCst) > before));
        caller
    }
}

#[test]
fn stop_answers_what_runs() {
    let server = start();
    let mut idle = RawCaller::connect(server.address).unwrap();
    idle.send(REQUEST).unwrap();
    assert!(!idle.answer().unwrap().head.contains("connection: close"));
    let mut held = server.call_held();
    server.enter(STOP);
    // The idle connection is closed, the listener gone, and the running request answered whole.
    assert_eq!(idle.read_to_close().unwrap(), b"");
    assert!(thread::eventually(LIMIT, || RawCaller::connect(server.address).is_err()));
    assert!(server.ended.try_recv().is_err());
    assert!(!held.has_bytes().unwrap());
    server.released.store(1, Ordering::SeqCst);
    let answer = held.answer().unwrap();
    assert_eq!(answer.status, 200);
    assert!(answer.head.contains("connection: close"), "{answer:?}");
    assert_eq!(held.read_to_close().unwrap(), b"");
    server.ended.recv_timeout(LIMIT).unwrap();
}

#[test]
fn stop_answers_what_is_on_its_way() {
    let server = start();
    let mut idle = RawCaller::connect(server.address).unwrap();
    idle.send(REQUEST).unwrap();
    idle.answer().unwrap();
    let mut fresh = RawCaller::connect(server.address).unwrap();
    server.enter(STOP);
    assert!(thread::eventually(LIMIT, || server.stopping.load(Ordering::SeqCst) == 1));
    for caller in [&mut idle, &mut fresh] {
        caller.send(REQUEST).unwrap();
        let answer = caller.answer().unwrap();
        assert!(answer.head.contains("connection: close"), "{answer:?}");
    }
    server.ended.recv_timeout(LIMIT).unwrap();
}

#[test]
fn drain_accepts_and_closes_after_answers() {
    let server = start();
    let mut open = RawCaller::connect(server.address).unwrap();
    open.send(REQUEST).unwrap();
    open.answer().unwrap();
    server.enter(DRAIN);
    // New connections are taken while the balancer lags; each is told to go elsewhere next.
    assert!(thread::eventually(LIMIT, || {
        let mut fresh = RawCaller::connect(server.address).unwrap();
        fresh.send(REQUEST).unwrap();
        fresh.answer().unwrap().head.contains("connection: close")
    }));
    open.send(REQUEST).unwrap();
    assert!(open.answer().unwrap().head.contains("connection: close"));
    assert_eq!(open.read_to_close().unwrap(), b"");
}

#[test]
fn abort_ends_what_hangs() {
    let server = start();
    let mut held = server.call_held();
    server.enter(ABORT);
    assert_eq!(held.read_to_close().unwrap(), b"");
    server.ended.recv_timeout(LIMIT).unwrap();
    assert!(thread::eventually(LIMIT, || server.told.load(Ordering::SeqCst) == 1));
}
