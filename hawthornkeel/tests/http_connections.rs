//! Connection limit: excess connections wait while all are busy, and idle ones are closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;

const LIMIT: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(2);

/// State shared by the requests in progress.
#[derive(Default)]
struct Counts {
    running: AtomicUsize,
    peak: AtomicUsize,
    released: AtomicUsize,
}

/// Starts a server with two connections at most; requests for `/held` block until released.
fn start() -> (SocketAddr, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let shared = counts.clone();
    let address = thread::start(async move |sender| {
        let limits = Limits { max_connections: 2, ..Limits::default() };
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
        sender.send(server.address()).unwrap();
        server.serve(move |request| handle(request, shared.clone())).await;
    });
    (address.unwrap(), counts)
}

async fn handle(request: Request, counts: Arc<Counts>) -> Response {
    let running = counts.running.fetch_add(1, Ordering::SeqCst) + 1;
    counts.peak.fetch_max(running, Ordering::SeqCst);
    while request.head.path == "/held" && counts.released.load(Ordering::SeqCst) == 0 {
        monoio::time::sleep(STEP).await;
    }
    counts.running.fetch_sub(1, Ordering::SeqCst);
    Response::json("{}")
}

fn call(address: SocketAddr, path: &str) -> RawClient {
    let mut caller = RawClient::connect(address).unwrap();
    caller.send(format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")).unwrap();
    caller
}

#[test]
fn excess_connections_wait() {
    let (address, counts) = start();
    let mut callers: Vec<_> = (0..4).map(|_| call(address, "/held")).collect();
    assert!(thread::eventually(LIMIT, || counts.running.load(Ordering::SeqCst) == 2));
    // Gives a third request time to start, if it were accepted.
    sleep(Duration::from_millis(50));
    counts.released.store(1, Ordering::SeqCst);
    for caller in &mut callers {
        assert_eq!(caller.read_response().unwrap().status, 200);
    }
    assert_eq!(counts.peak.load(Ordering::SeqCst), 2);
}

#[test]
fn idle_connection_makes_room() {
    let (address, counts) = start();
    let mut idle = call(address, "/");
    assert!(!idle.read_response().unwrap().head.contains("connection: close"));
    let mut busy = call(address, "/held");
    assert!(thread::eventually(LIMIT, || counts.running.load(Ordering::SeqCst) == 1));
    let mut third = call(address, "/");
    assert_eq!(third.read_response().unwrap().status, 200);
    assert_eq!(idle.read_to_end().unwrap(), b"");
    counts.released.store(1, Ordering::SeqCst);
    assert_eq!(busy.read_response().unwrap().status, 200);
}
