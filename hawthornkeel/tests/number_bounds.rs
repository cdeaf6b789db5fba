//! Numbers that callers, targets and documents name: large ones are bounded or refused where they
//! are read.
//!
//! Numbers within lists, notices of targets and messages between instances are in `list_decoding`
//! and `target_notices` (platform), `http_bounds`, `peer_frames` and `number_bounds` (core).

mod forward_harness;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::http_client::OutgoingRequest;
use hawthornkeel::forward::response_memory::ResponseMemory;
use hawthornkeel::runtime;
use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::requests::PIECES;
use crate::forward_harness::requests::fields;

/// Second byte of the loopback addresses of the harnesses.
const CALLER_NET: u8 = 121;
const DOCUMENT_NET: u8 = 122;
/// Time limit of an exchange with a target.
const LIMIT: Duration = Duration::from_secs(5);
/// Fields that a caller sends, and the status of the response.
const CALLER_NUMBERS: [(&str, u16); 17] = [
    ("Pieces: 4000000000\r\nPiece-Key: a\r\n", 400),
    ("Pieces: 4294967295,4294967295\r\nPiece-Key: a\r\n", 400),
    ("Pieces: 16385\r\nPiece-Key: a\r\n", 400),
    ("Pieces: 18446744073709551616\r\nPiece-Key: a\r\n", 400),
    ("Pieces: -1\r\nPiece-Key: a\r\n", 400),
    ("Pieces: 0,16385\r\nPiece-Key: a\r\n", 400),
    ("Pieces: 2,16000\r\nPiece-Key: a\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nToken-Counts: 4294967295,4294967295\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nToken-Counts: 9,18446744073709551616\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nPrompt-Prefix: ff:18446744073709551615\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nPrompt-Prefix: ff:18446744073709551616\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nDeadline-Milliseconds: 18446744073709551615\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nDeadline-Milliseconds: 1e308\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nDeadline-Milliseconds: NaN\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nDeadline-Milliseconds: -1\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nLast-Event-Id: 18446744073709551616\r\n", 200),
    ("Pieces: 2\r\nPiece-Key: a\r\nLength-Hint: 18446744073709551615\r\n", 200),
];
/// Settings of a document, and what replaces them: each is in force, and its requests are answered.
const DOCUMENT_NUMBERS: [(&str, &str); 9] = [
    ("\"timeout_ms\":5000", "\"timeout_ms\":1e22"),
    ("\"timeout_ms\":5000", "\"timeout_ms\":1e300"),
    ("\"target_latency_ms\":2000", "\"target_latency_ms\":1e22"),
    ("\"call_overhead_ms\":10.0", "\"call_overhead_ms\":1e22"),
    ("\"item_time_ms\":1.0", "\"item_time_ms\":1e22"),
    ("\"handle_ttl_s\":4.0", "\"handle_ttl_s\":1e19"),
    ("\"headroom_mb\":41.0", "\"headroom_mb\":1e300"),
    ("\"batch\":8", "\"batch\":18446744073709551615"),
    ("\"byte_count\":1000", "\"byte_count\":1e300"),
];

/// A count of pieces ended the process that schedules the stage.
#[test]
fn caller_numbers() {
    let harness = Harness::start(CALLER_NET);
    harness.serve_routes();
    let client = harness.client();
    for (at, (numbers, expected)) in CALLER_NUMBERS.iter().enumerate() {
        let request = format!("{}{numbers}", fields(&format!("n{at}")));
        let response = client.try_call(0, "GET", &format!("/review/{at}"), &request);
        let status = response.map(|r| r.status);
        assert_eq!(status, Some(*expected), "{numbers}\n{}", harness.logs());
        let sound = client.try_call(0, "GET", "/review/sound", &format!("{}{PIECES}", fields("s")));
        assert_eq!(sound.map(|r| r.status), Some(200), "{numbers}\n{}", harness.logs());
    }
}

/// A time of a route ended each entry with the first request.
#[test]
fn document_numbers() {
    let harness = Harness::start(DOCUMENT_NET);
    harness.serve_routes();
    let client = harness.client();
    for (at, (setting, replacement)) in DOCUMENT_NUMBERS.iter().enumerate() {
        let prefix = format!("/lots-{at}/");
        let version = u32::try_from(at).unwrap() + 2;
        let changed = document(version, &prefix).replace(setting, replacement);
        assert_eq!(harness.replace_document(&changed), 200, "{replacement}");
        harness.call_until(200, &format!("{prefix}1"), &fields("d"));
        // Whether the stage may take so long or so much is not asked here.
        let staged =
            client.try_call(0, "GET", "/chain/1", &format!("{}Pieces: 1,1\r\n", fields("c")));
        assert!(staged.is_some(), "{replacement}\n{}", harness.logs());
        let sound = client.try_call(0, "GET", &format!("{prefix}2"), &fields("e"));
        assert_eq!(sound.map(|r| r.status), Some(200), "{replacement}\n{}", harness.logs());
    }
}

/// Answers two requests on one connection, the first one with some header fields.
fn target(fields: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut request = [0; 4096];
            while stream.read(&mut request).is_ok_and(|count| count > 0) {
                let response = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n{fields}Content-Length: 0\r\n\r\n"
                );
                let _ = stream.write_all(response.as_bytes());
            }
        }
    });
    address
}

/// The time for which a target keeps connections ended the process of the entry.
#[rstest]
#[case::keep_alive("Keep-Alive: timeout=18446744073709551615\r\n")]
#[case::signed_keep_alive("Keep-Alive: timeout=9223372036854775807\r\n")]
#[case::long_keep_alive("Keep-Alive: timeout=18446744073709551616\r\n")]
#[case::short_keep_alive("Keep-Alive: timeout=0\r\n")]
#[case::negative_keep_alive("Keep-Alive: timeout=-1\r\n")]
#[case::retry_after("Retry-After: 18446744073709551615\r\n")]
#[case::limit("Server-Limit: 18446744073709551616\r\n")]
#[case::brittle("Server-Brittle: 18446744073709551616\r\n")]
fn target_numbers(#[case] fields: &'static str) {
    let address = target(fields);
    let client = HttpClient::new("request-id", ResponseMemory::new(1 << 20));
    runtime::block_on(async move {
        let request = OutgoingRequest {
            data: Bytes::from_static(b"GET /a HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n\r\n"),
            id: Some(Bytes::from_static(b"r1")),
            bodiless: false,
            retryable: true,
        };
        for _ in 0..2 {
            let response = client.send(address, &request, Instant::now() + LIMIT).await.unwrap();
            assert_eq!(response.status.as_u16(), 200);
            response.finish();
        }
    })
    .unwrap();
}
