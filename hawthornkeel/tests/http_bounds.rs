//! Limits on heads, bodies, slow senders, idle connections and memory.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel_fakes::raw_client;
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;
use rstest::rstest;

const MEBIBYTE: usize = 1 << 20;

fn start(limits: Limits) -> SocketAddr {
    let address = thread::start(async move |sender| {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), limits).unwrap();
        sender.send(server.address()).unwrap();
        server.serve(async |r: Request| Response::json(r.body.len().to_string())).await;
    });
    address.unwrap()
}

fn assert_refused(caller: &mut RawClient, status: u16, code: &str) {
    let response = caller.read_response().unwrap();
    assert_eq!(response.status, status, "{response:?}");
    assert!(response.head.contains("\r\nconnection: close\r\n"), "{response:?}");
    assert!(response.body.contains(&format!("\"code\":\"{code}\"")), "{response:?}");
    assert!(response.body.contains("\"ran\":\"not-run\""), "{response:?}");
    assert_eq!(caller.read_to_end().unwrap(), b"");
}

/// Returns the peak resident memory of the process, in bytes.
fn peak_memory() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

#[test]
fn large_head_refused() {
    let address = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    caller.send(format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}", "x".repeat(20 * 1024))).unwrap();
    assert_refused(&mut caller, 431, "head-too-large");
}

#[test]
fn many_fields_refused() {
    let address = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    let fields: String = (0..200).map(|i| format!("X{i}: y\r\n")).collect();
    caller.send(format!("GET / HTTP/1.1\r\nHost: a\r\n{fields}\r\n")).unwrap();
    assert_refused(&mut caller, 431, "head-too-large");
}

#[test]
fn declared_body_refused_unread() {
    let address = start(Limits { max_body: 1000, ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n").unwrap();
    assert_refused(&mut caller, 413, "body-too-large");
}

#[rstest]
#[case::many_chunks("64\r\n", 100)]
#[case::one_chunk("FFFFFFFF\r\n", 4096)]
fn chunked_body_refused(#[case] size: &str, #[case] bytes: usize) {
    let address = start(Limits { max_body: 1000, ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    let chunk = format!("{size}{}\r\n", "x".repeat(bytes));
    caller.send(chunk.repeat(11)).unwrap();
    assert_refused(&mut caller, 413, "body-too-large");
}

#[rstest]
#[case::chunk_size("0", 400, "bad-request")]
#[case::tiny_chunks("1\r\nx\r\n", 413, "body-too-large")]
fn chunk_framing_refused(#[case] unit: &str, #[case] status: u16, #[case] code: &str) {
    let address = start(Limits { max_body: MEBIBYTE, ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    let begin = Instant::now();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    // The data of the tiny chunks stays within the bound of the body.
    let block = unit.repeat(16 * 1024 / unit.len());
    while !caller.is_readable().unwrap() && begin.elapsed() < Duration::from_secs(3) {
        if caller.send(&block).is_err() {
            break;
        }
    }
    assert_refused(&mut caller, status, code);
    assert!(begin.elapsed() < Duration::from_secs(1), "{:?}", begin.elapsed());
}

#[test]
fn body_at_bound_accepted() {
    let address = start(Limits { max_body: MEBIBYTE, ..Limits::default() });
    let body = "x".repeat(MEBIBYTE);
    let mut caller = RawClient::connect(address).unwrap();
    caller
        .send(format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {MEBIBYTE}\r\n\r\n"))
        .unwrap();
    caller.send(&body).unwrap();
    assert_eq!(caller.read_response().unwrap().body, MEBIBYTE.to_string());
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    caller.send(format!("100000\r\n{body}\r\n0\r\n\r\n")).unwrap();
    assert_eq!(caller.read_response().unwrap().body, MEBIBYTE.to_string());
}

#[test]
fn continue_sent_before_body() {
    let address = start(Limits::default());
    let mut caller = RawClient::connect(address).unwrap();
    caller
        .send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        .unwrap();
    assert_eq!(caller.read_until("\r\n\r\n").unwrap(), "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("abc").unwrap();
    assert_eq!(caller.read_response().unwrap().body, "3");
}

#[rstest]
#[case::head("GET / HTTP/1.1\r\nHost: a\r\nX: ")]
#[case::body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n")]
#[case::chunk("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3E8\r\n")]
fn slow_sender_refused(#[case] part: &str) {
    let address =
        start(Limits { receive_timeout: Duration::from_millis(200), ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    let begin = Instant::now();
    caller.send(part).unwrap();
    // Sending a byte now and then must not extend the timeout.
    while !caller.is_readable().unwrap() && begin.elapsed() < Duration::from_secs(3) {
        caller.send("x").unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(begin.elapsed() < Duration::from_secs(3));
    assert_refused(&mut caller, 408, "receive-timeout");
}

#[test]
fn error_reaches_busy_sender() {
    let address = start(Limits { max_body: 1000, ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 131072\r\n\r\n").unwrap();
    assert!(thread::eventually(Duration::from_secs(5), || caller.is_readable().unwrap()));
    // A caller that is still sending must not get a reset before it reads the response.
    for _ in 0..8 {
        caller.send("x".repeat(16 * 1024)).unwrap();
        std::thread::sleep(Duration::from_millis(5));
    }
    caller.shutdown_write().unwrap();
    assert_refused(&mut caller, 413, "body-too-large");
}

#[test]
fn idle_connection_closed() {
    let address = start(Limits { idle_timeout: Duration::from_millis(100), ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    assert_eq!(caller.read_to_end().unwrap(), b"");
}

#[test]
fn new_connection_without_request_closed() {
    let address =
        start(Limits { receive_timeout: Duration::from_millis(100), ..Limits::default() });
    let mut caller = RawClient::connect(address).unwrap();
    assert_eq!(caller.read_to_end().unwrap(), b"");
    // Between requests the longer idle timeout applies.
    let mut caller = RawClient::connect(address).unwrap();
    for _ in 0..2 {
        caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert_eq!(caller.read_response().unwrap().status, 200);
        std::thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn buffered_bodies_are_bounded() {
    let limits = Limits { max_body: 1000, max_buffered: 1500, ..Limits::default() };
    let address = start(limits);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n";
    let mut first = RawClient::connect(address).unwrap();
    first.send(head).unwrap();
    let refused = thread::eventually(Duration::from_secs(5), || {
        let mut second = RawClient::connect(address).unwrap();
        second.send(head).unwrap();
        second.send("x".repeat(1000)).unwrap();
        second.read_response().unwrap().status == 503
    });
    assert!(refused);
    first.send("x".repeat(1000)).unwrap();
    assert_eq!(first.read_response().unwrap().status, 200);
    let mut third = RawClient::connect(address).unwrap();
    third.send(head).unwrap();
    third.send("x".repeat(1000)).unwrap();
    assert_eq!(third.read_response().unwrap().status, 200);
}

#[test]
fn memory_stays_bounded() {
    let address = start(Limits::default());
    let before = peak_memory();
    let block = "x".repeat(64 * 1024);
    let mut callers = Vec::new();
    for number in 0..64 {
        let mut caller = RawClient::connect(address).unwrap();
        let head = match number % 3 {
            0 => "GET / HTTP/1.1\r\nHost: a\r\nX: ",
            1 => "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000000\r\n\r\n",
            _ => "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n",
        };
        caller.send(head).unwrap();
        for _ in 0..64 {
            if let Err(error) = caller.send(&block) {
                assert!(raw_client::is_close(&error), "{error}");
                break;
            }
        }
        callers.push(caller);
    }
    // 64 callers try to send 4 MiB each; a third may get 1 MiB buffered before the limit applies.
    // The kernel's figure isn't exact: a later peak may be a little smaller.
    let grown = peak_memory().saturating_sub(before);
    assert!(grown < 32 * MEBIBYTE, "grew by {grown} bytes");
}
