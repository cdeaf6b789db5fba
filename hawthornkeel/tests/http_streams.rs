//! Streamed responses: framing, backpressure, aborted streams and callers that disconnect or stall.

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
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;

const LIMIT: Duration = Duration::from_secs(5);
const BLOCK_BYTES: usize = 64 * 1024;
const REQUEST: &str = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";

/// Counters of the handler.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    failed: AtomicUsize,
    disconnected: AtomicUsize,
}

/// Starts a server whose behaviour depends on the path of the request.
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
        counts.disconnected.fetch_add(1, Ordering::SeqCst);
        return Response::json("{}");
    }
    let (sender, receiver) = channel::bounded(2);
    monoio::spawn(async move {
        match path.as_str() {
            "/stream" => {
                for event in ["data: a\n\n", "data: b\n\n"] {
                    sender.send(Bytes::from_static(event.as_bytes())).await.unwrap();
                }
                sender.finish();
            }
            "/broken" => sender.send(Bytes::from_static(b"data: a\n\n")).await.unwrap(),
            _ => {
                while sender.send(Bytes::from(vec![b'x'; BLOCK_BYTES])).await.is_ok() {
                    counts.sent.fetch_add(1, Ordering::SeqCst);
                }
                counts.failed.fetch_add(1, Ordering::SeqCst);
            }
        }
    });
    Response::events(receiver)
}

#[test]
fn stream_is_chunked() {
    let (address, _) = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    caller.send(REQUEST.repeat(2)).unwrap();
    for _ in 0..2 {
        let head = caller.read_until("\r\n\r\n").unwrap();
        assert!(head.contains("content-type: text/event-stream\r\n"), "{head}");
        assert!(head.contains("transfer-encoding: chunked\r\n"), "{head}");
        let body = caller.read_until("0\r\n\r\n").unwrap();
        assert_eq!(body, "9\r\ndata: a\n\n\r\n9\r\ndata: b\n\n\r\n0\r\n\r\n");
    }
}

#[test]
fn aborted_stream_lacks_last_chunk() {
    let (address, _) = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("GET /broken HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    caller.read_until("\r\n\r\n").unwrap();
    assert_eq!(caller.read_to_end().unwrap(), b"9\r\ndata: a\n\n\r\n");
}

#[test]
fn disconnect_is_signalled() {
    let (address, counts) = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert!(!caller.is_readable().unwrap());
    drop(caller);
    assert!(thread::eventually(LIMIT, || counts.disconnected.load(Ordering::SeqCst) == 1));
}

#[test]
fn disconnect_ends_stream() {
    let (address, counts) = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    caller.read_until("\r\n\r\n").unwrap();
    drop(caller);
    assert!(thread::eventually(LIMIT, || counts.failed.load(Ordering::SeqCst) == 1));
}

#[test]
fn stalled_caller_stops_stream() {
    let limits = Limits { write_timeout: Duration::from_millis(300), ..Limits::default() };
    let (address, counts) = start(limits);
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("GET /endless HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    // The caller reads nothing: the stream stops once the socket buffers are full, then the write
    // timeout closes it.
    assert!(thread::eventually(LIMIT, || counts.failed.load(Ordering::SeqCst) == 1));
    let sent = counts.sent.load(Ordering::SeqCst) * BLOCK_BYTES;
    assert!(sent < 16 << 20, "{sent} bytes were accepted for a caller that reads nothing");
    let received = caller.read_to_end().unwrap();
    assert!(!received.ends_with(b"0\r\n\r\n"));
}
