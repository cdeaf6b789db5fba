//! Requests on kept connections to targets that close them.
//!
//! No process is started here: until it has replaced its image, it keeps listeners of the test open.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::forward::exchange_error::ExchangeError;
use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::http_client::OutgoingRequest;
use hawthornkeel::forward::http_client::SendRules;
use hawthornkeel::forward::http_client::TargetResponse;
use hawthornkeel::forward::response_memory::ResponseMemory;
use hawthornkeel::runtime;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;

const LIMIT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n\r\n";
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\
    X-Request-Id: 00000000000000000000000000000007/0/0\r\nContent-Length: 0\r\n\r\n";
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Reads a request that comes in one piece, and returns whether it is whole.
fn read_request(stream: &mut TcpStream) -> bool {
    let mut request = [0; 4096];
    let count = stream.read(&mut request).unwrap_or(0);
    request[..count].ends_with(b"\r\n\r\n")
}

/// Starts a target that answers its first request and closes the connection once it has received
/// the second one. Further connections get `then`, or none are accepted. Returns as well whether the
/// second request was received.
fn closing_target(then: Option<&'static [u8]>) -> (SocketAddr, JoinHandle<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(RESPONSE).unwrap();
        let received = read_request(&mut stream);
        let Some(then) = then else {
            drop(listener);
            return received;
        };
        drop(stream);
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(then).unwrap();
        received
    });
    (address, target)
}

/// Sends two requests; returns the outcome of the second.
fn send_twice(address: SocketAddr) -> Result<TargetResponse, ExchangeError> {
    let client = HttpClient::new("request-id", ResponseMemory::new(1 << 20));
    runtime::block_on(async move {
        let request = OutgoingRequest {
            data: Bytes::from_static(REQUEST),
            id: Some(Bytes::from_static(b"r1")),
            bodiless: false,
            retryable: true,
        };
        let deadline = Instant::now() + LIMIT;
        client.send(address, &request, deadline).await.unwrap().finish();
        client.send(address, &request, deadline).await
    })
    .unwrap()
}

#[test]
fn lost_request_unknown() {
    let (address, target) = closing_target(None);
    let error = send_twice(address).err();
    assert!(target.join().unwrap());
    assert!(error.as_ref().is_some_and(|e| !e.is_not_run() && e.is_unreached()), "{error:?}");
}

#[test]
fn refused_resend_unknown() {
    let (address, target) = closing_target(Some(REFUSAL));
    let response = send_twice(address).unwrap();
    assert!(target.join().unwrap());
    assert_eq!(response.status.as_u16(), 503);
    assert!(response.resent);
}

#[test]
fn lost_call_unknown() {
    let (address, target) = closing_target(None);
    let error = runtime::block_on(async move {
        let client = Client::new(ClientLimits::default());
        let id = CallId { request: RequestId(7), ..CallId::default() };
        let call = Call { id, ..Call::default() };
        client.call(address, &call).await.unwrap();
        client.call(address, &call).await.err()
    })
    .unwrap();
    assert!(target.join().unwrap());
    assert!(error.as_ref().is_some_and(|e| !e.is_not_run()), "{error:?}");
}

// A request whose permission ended while a connection was opened for it was sent nevertheless, or its
// connection was lost to the next one.
#[test]
fn permission_is_asked_before_the_first_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        assert!(read_request(&mut stream));
        stream.write_all(RESPONSE).unwrap();
        listener.set_nonblocking(true).unwrap();
        assert!(listener.accept().is_err());
    });
    runtime::block_on(async {
        let client = HttpClient::new("request-id", ResponseMemory::default());
        let data = Bytes::from_static(REQUEST);
        let (id, bodiless, retryable) = (Some(Bytes::from_static(b"r1")), false, true);
        let request = OutgoingRequest { data, id, bodiless, retryable };
        for is_allowed in [false, true] {
            let asked = Cell::new(0);
            let begin = || {
                asked.set(asked.get() + 1);
                is_allowed
            };
            let rules = SendRules { begin: &begin, ..SendRules::default() };
            let result = client.send_by(address, &request, Instant::now() + LIMIT, rules).await;
            match is_allowed {
                true => assert_eq!(result.unwrap().status.as_u16(), 200),
                false => assert_eq!(result.err(), Some(ExchangeError::Withheld)),
            }
            // It is also the place where requests are counted.
            assert_eq!(asked.get(), 1);
        }
    })
    .unwrap();
    target.join().unwrap();
}
