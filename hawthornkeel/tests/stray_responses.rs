//! Second copies of responses that arrive late, on connections that are in use again.
//!
//! Guards against requests of the system itself (pieces of stages, reports, pages of the list) that
//! take the response to an earlier one for their own, and against calls that take the load report that
//! was asked for before them.

#![allow(clippy::unwrap_used)]

mod cut_target;

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::internal_request;
use hawthornkeel::forward::internal_request::InternalRequest;
use hawthornkeel::forward::response_memory::ResponseMemory;
use hawthornkeel::runtime;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::process::ExpectedProcess;
use hawthornkeel_core::ids::Incarnation;
use rstest::rstest;

const LIMIT: Duration = Duration::from_secs(5);
/// Load report of the target's process.
const LOAD: &str = "{\"incarnation\":7}";

/// Answers each request with its path; from the second one on a connection on, the answer to the
/// one before precedes it.
fn serve(stream: TcpStream, echoes: bool) {
    let mut reader = BufReader::new(stream);
    let mut last = String::new();
    while let Some(request) = cut_target::read_request(&mut reader) {
        let id = &request.id;
        let id = if echoes {
            format!("Request-Id: {id}\r\nX-Request-Id: {id}\r\n")
        } else {
            String::new()
        };
        let body = if request.path == "/load" { LOAD } else { &request.path };
        let length = body.len();
        let own = format!("HTTP/1.1 200 OK\r\n{id}Content-Length: {length}\r\n\r\n{body}");
        if reader.get_mut().write_all(format!("{last}{own}").as_bytes()).is_err() {
            return;
        }
        last = own;
    }
}

fn start_target(echoes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            thread::spawn(move || serve(stream, echoes));
        }
    });
    address
}

#[rstest]
fn each_gets_its_own(
    #[values(true, false)] echoes: bool,
    #[values(true, false)] probed: bool,
    #[values(None, Some(&b"{}"[..]))] body: Option<&'static [u8]>,
) {
    let address = start_target(echoes);
    runtime::block_on(async move {
        let client = HttpClient::new("request-id", ResponseMemory::new(1 << 20));
        if probed {
            client.probe(address).await;
        }
        for path in ["/1", "/2", "/3", "/4"] {
            let deadline = Instant::now() + LIMIT;
            let request = InternalRequest { address, path, body, fields: &[], deadline };
            let response = internal_request::send(&client, &request).await.unwrap();
            assert_eq!(response.body, path);
        }
    })
    .unwrap();
}

#[rstest]
fn load_report_is_no_response(#[values(true, false)] idempotent: bool) {
    let address = start_target(true);
    let call = Call {
        path: "/1".to_owned(),
        timeout: LIMIT,
        idempotent,
        expected_process: ExpectedProcess::Incarnation(Incarnation(7)),
        ..Call::default()
    };
    let client = Client::new(ClientLimits::default());
    let got = runtime::block_on(async move { client.call(address, &call).await }).unwrap();
    // Each connection is asked for the report first, so each call meets the copy of it.
    assert!(got.as_ref().is_err_and(|e| !e.is_not_run()), "{got:?}");
}
