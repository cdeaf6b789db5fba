//! Any byte at any place of a message ends in an answer or an error, never in a panic.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel_fakes::raw::RawCaller;
use hawthornkeel_fakes::thread;
use rstest::rstest;

/// Bytes that a message may hold in place of [`HOLE`].
const BYTES: std::ops::RangeInclusive<u8> = 0..=255;
const HOLE: u8 = b'@';

fn fill(message: &str, byte: u8) -> Vec<u8> {
    message.bytes().map(|b| if b == HOLE { byte } else { b }).collect()
}

#[rstest]
#[case::method("G@T / HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::first("@GET / HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::path("GET /@ HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::whole_target("GET @ HTTP/1.1\r\nHost: a\r\n\r\n")]
#[case::version("GET / HTTP/1.@\r\nHost: a\r\n\r\n")]
#[case::name("GET / HTTP/1.1\r\nHost: a\r\nX@Y: b\r\n\r\n")]
#[case::whole_name("GET / HTTP/1.1\r\nHost: a\r\n@: b\r\n\r\n")]
#[case::value("GET / HTTP/1.1\r\nHost: a\r\nX: b@c\r\n\r\n")]
#[case::line_end("GET / HTTP/1.1\r@Host: a\r\n\r\n")]
#[case::length("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: @\r\n\r\n")]
#[case::coding("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunke@\r\n\r\n0\r\n\r\n")]
#[case::chunk_size("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n@\r\n\r\n")]
#[case::chunk_end(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx@\n0\r\n\r\n"
)]
fn server_survives(#[case] request: &str) {
    let address = thread::start(async |sender| {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), Limits::default()).unwrap();
        sender.send(server.address()).unwrap();
        server.serve(async |_: Request| Response::json("{}")).await;
    });
    let address = address.unwrap();
    for byte in BYTES {
        let mut caller = RawCaller::connect(address).unwrap();
        caller.send(fill(request, byte)).unwrap();
        caller.end().unwrap();
        let answer = caller.read_to_close().unwrap();
        let text = String::from_utf8_lossy(&answer);
        let clear = text.starts_with("HTTP/1.1 200") || text.starts_with("HTTP/1.1 4");
        // A message that isn't whole gets no answer where its sender has gone.
        assert!(clear || text.is_empty(), "{byte}: {text}");
    }
}

#[rstest]
#[case::version("HTTP/1.@ 200 OK\r\nContent-Length: 1\r\n\r\nx")]
#[case::status("HTTP/1.1 @00 OK\r\nContent-Length: 1\r\n\r\nx")]
#[case::status_length("HTTP/1.1 20@ OK\r\nContent-Length: 1\r\n\r\nx")]
#[case::reason("HTTP/1.1 200 O@\r\nContent-Length: 1\r\n\r\nx")]
#[case::name("HTTP/1.1 200 OK\r\nX@Y: b\r\nContent-Length: 1\r\n\r\nx")]
#[case::value("HTTP/1.1 200 OK\r\nX: b@c\r\nContent-Length: 1\r\n\r\nx")]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: @\r\n\r\nx")]
#[case::chunk_size("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n@\r\nx\r\n0\r\n\r\n")]
#[case::event("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: @\n\r\n0\r\n\r\n")]
fn client_survives(#[case] answer: &'static str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = std::thread::spawn(move || {
        for byte in BYTES {
            // One answer to a call, one to a stream.
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().unwrap();
                let mut request = [0; 4096];
                assert!(stream.read(&mut request).unwrap() > 0);
                stream.write_all(&fill(answer, byte)).unwrap();
            }
        }
    });
    thread::block_on(async {
        let client = Client::new(ClientLimits::default());
        let call = Call { timeout: Duration::from_secs(5), ..Call::default() };
        for _ in BYTES {
            if let Ok(answer) = client.call(address, &call).await {
                assert!(answer.body.len() <= 1 || answer.body.starts_with(b"data"));
            }
            if let Ok(mut stream) = client.stream(address, &call).await {
                // None of these streams carries its marker.
                assert!(stream.next().await.is_err());
            }
        }
    })
    .unwrap();
    target.join().unwrap();
}
