//! Streamed answers: framing, backpressure, broken streams and callers who leave or go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel::http::channel;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel_fakes::raw::RawCaller;
use hawthornkeel_fakes::thread;

const LIMIT: Duration = Duration::from_secs(5);
const PIECE: usize = 64 * 1024;
const REQUEST: &str = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";

/// What the handler of [`start`] counts.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    failed: AtomicUsize,
    left: AtomicUsize,
}

/// Starts a server whose path says what it does.
fn start(limits: Limits) -> (SocketAddr, Arc<Counts>) {
    let counts = Arc::new(Counts::default());
    let shared = counts.clone();
    let address = thread::start(async move |sender| {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
        sender.send(server.address()).unwrap();
        server.serve(move |request| handle(request, shared.clone())).await;
    });
    (address.unwrap(), counts)
}

async fn handle(request: Request, counts: Arc<Counts>) -> Response {
    let path = request.head.path.clone();
    if path == "/wait" {
        request.disconnected.wait().await;
        counts.left.fetch_add(1, Ordering::SeqCst);
        return Response::json("{}");
    }
    let (sender, receiver) = channel::bounded(2);
    monoio::spawn(async move {
        match path.as_str() {
            "/stream" => {
                for piece in ["data: a\n\n", "data: b\n\n"] {
                    sender.send(Bytes::from_static(piece.as_bytes())).await.unwrap();
                }
                sender.finish();
            }
            "/broken" => sender.send(Bytes::from_static(b"data: a\n\n")).await.unwrap(),
            _ => {
                while sender.send(Bytes::from(vec![b'x'; PIECE])).await.is_ok() {
                    counts.sent.fetch_add(1, Ordering::SeqCst);
                }
                counts.failed.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    Response::events(receiver)
}

#[test]
fn stream_is_chunked_and_kept() {
    let (address, _) = start(Limits::default());
    let mut caller = RawCaller::connect(address).unwrap();
    caller.send(REQUEST.repeat(2)).unwrap();
    for _ in 0..2 {
        let head = caller.read_past("\r\n\r\n").unwrap();
        assert!(head.contains("content-type: text/event-stream\r\n"), "{head}");
        assert!(head.contains("transfer-encoding: chunked\r\n"), "{head}");
        let body = caller.read_past("0\r\n\r\n").unwrap();
        assert_eq!(body, "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n");
    }
}

#[test]
fn broken_stream_lacks_its_last_chunk() {
    let (address, _) = start(Limits::default());
    let mut caller = RawCaller::connect(address).unwrap();
    caller.send("GET /broken HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    caller.read_past("\r\n\r\n").unwrap();
    assert_eq!(caller.read_to_close().unwrap(), b"9\r\ndata: a\n\n\r\n");
}

#[test]
fn caller_leaving_is_told() {
    let (address, counts) = start(Limits::default());
    let mut caller = RawCaller::connect(address).unwrap();
    caller.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert!(!caller.has_bytes().unwrap());
    drop(caller);
    assert!(thread::eventually(LIMIT, || counts.left.load(Ordering::SeqCst) == 1));
}

#[test]
fn caller_leaving_ends_stream() {
    let (address, counts) = start(Limits::default());
    let mut caller = RawCaller::connect(address).unwrap();
    caller.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    caller.read_past("\r\n\r\n").unwrap();
    drop(caller);
    assert!(thread::eventually(LIMIT, || counts.failed.load(Ordering::SeqCst) == 1));
}

#[test]
fn silent_caller_holds_stream_back() {
    let limits = Limits { write_timeout: Duration::from_millis(300), ..Limits::default() };
    let (address, counts) = start(limits);
    let mut caller = RawCaller::connect(address).unwrap();
    caller.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    // Nothing is read: the stream stops once the sockets' buffers are full, then it is closed.
    assert!(thread::eventually(LIMIT, || counts.failed.load(Ordering::SeqCst) == 1));
    let sent = counts.sent.load(Ordering::SeqCst) * PIECE;
    assert!(sent < 16 << 20, "{sent} bytes were taken for a caller that reads nothing");
    let received = caller.read_to_close().unwrap();
    assert!(!received.ends_with(b"0\r\n\r\n"));
}
