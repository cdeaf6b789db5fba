//! Request smuggling: requests that two parsers could frame differently are rejected and reach no
//! handler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel_fakes::raw_client::RawClient;
use hawthornkeel_fakes::thread;
use rstest::rstest;

/// Starts a server that responds with the path and body and counts the handled requests.
fn start() -> (SocketAddr, Arc<AtomicUsize>) {
    let handled = Arc::new(AtomicUsize::new(0));
    let count = handled.clone();
    let address = thread::start(async move |sender| {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).unwrap();
        sender.send(server.address()).unwrap();
        let handler = move |request: Request| {
            count.fetch_add(1, Ordering::SeqCst);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            async move { Response::json(format!("{} {body}", request.head.path)) }
        };
        server.serve(handler).await;
    });
    (address.unwrap(), handled)
}

#[rstest]
#[case::both_lengths(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"
)]
#[case::listed_lengths("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 5\r\n\r\nabcde")]
#[case::signed_length("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc")]
#[case::hex_length("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x3\r\n\r\nabc")]
#[case::huge_length(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n"
)]
#[case::spaced_name("POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc")]
#[case::two_codings(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::unknown_coding(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"
)]
#[case::identity_coding(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc"
)]
#[case::listed_codings(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"
)]
#[case::old_version_chunks(
    "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::folded_field("POST / HTTP/1.1\r\nHost: a\r\nX: b\r\n Content-Length: 3\r\n\r\nabc")]
#[case::lone_line_feeds("GET / HTTP/1.1\r\nHost: a\n\nGET /smuggled HTTP/1.1\r\n\r\n")]
#[case::lone_carriage_return("GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n")]
#[case::no_host("GET / HTTP/1.1\r\n\r\n")]
#[case::two_hosts("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")]
#[case::chunk_size_sign(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n"
)]
#[case::chunk_size_empty(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n"
)]
#[case::chunk_size_overflow(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11111111111111111\r\nabc\r\n0\r\n\r\n"
)]
#[case::chunk_too_short(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n"
)]
#[case::garbage("\x01\x02\x03\x04\r\n\r\n")]
#[case::nul_in_value("GET / HTTP/1.1\r\nHost: a\0b\r\n\r\n")]
fn ambiguous_request_is_rejected(#[case] request: &str) {
    let (address, handled) = start();
    let mut caller = RawClient::connect(address).unwrap();
    caller.send(request).unwrap();
    // What follows must not be parsed as a request, however the first one is framed.
    caller.send("GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let response = caller.read_response().unwrap();
    assert_eq!(response.status, 400, "{response:?}");
    assert!(response.head.contains("\r\nconnection: close\r\n"), "{response:?}");
    assert!(response.head.contains("application/problem+json"), "{response:?}");
    assert!(response.body.contains("\"ran\":\"not-run\""), "{response:?}");
    assert_eq!(caller.read_to_end().unwrap(), b"");
    assert_eq!(handled.load(Ordering::SeqCst), 0);
}

#[rstest]
#[case::length("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", "/a abc")]
#[case::chunks(
    "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    "/b abc"
)]
#[case::none("GET /c?d=e HTTP/1.1\r\nHost: a\r\n\r\n", "/c ")]
#[case::line_end_before("\r\nGET /f HTTP/1.1\r\nHost: a\r\n\r\n", "/f ")]
fn valid_request_is_kept_alive(#[case] request: &str, #[case] expected: &str) {
    let (address, handled) = start();
    let mut caller = RawClient::connect(address).unwrap();
    // Two pipelined requests, then one sent byte by byte.
    caller.send(request.repeat(2)).unwrap();
    for _ in 0..2 {
        assert_eq!(caller.read_response().unwrap().body, expected);
    }
    for byte in request.as_bytes() {
        caller.send([*byte]).unwrap();
    }
    assert_eq!(caller.read_response().unwrap().body, expected);
    assert_eq!(handled.load(Ordering::SeqCst), 3);
}
