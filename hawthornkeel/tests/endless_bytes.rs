//! Targets and platforms that send bytes without end: each read has a bound in bytes and in time,
//! and does not keep the event loop from its other tasks.

mod forward_harness;
mod raw_target;

use std::cell::Cell;
use std::fs;
use std::future::Future;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::forward::exchange_error::ExchangeError;
use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::http_client::OutgoingRequest;
use hawthornkeel::forward::internal_request;
use hawthornkeel::forward::internal_request::InternalRequest;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::error::CallError;
use hawthornkeel::target::stream::Event;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::eventually;
use rstest::rstest;

use crate::forward_harness::Harness;
use crate::forward_harness::document::document;
use crate::forward_harness::requests::assert_whole_stream;
use crate::raw_target::Pace;
use crate::raw_target::RawTarget;

/// Deadline of an exchange whose target floods its connection.
const FLOOD_DEADLINE: Duration = Duration::from_secs(20);
/// Time within which the answer to a flood is given up, which is long before its deadline.
const FLOOD_LIMIT: Duration = Duration::from_secs(5);
/// Deadline of an exchange whose target sends a few bytes now and then.
const DRIP_DEADLINE: Duration = Duration::from_millis(300);
/// Time after its deadline within which an exchange has ended.
const LATENESS: Duration = Duration::from_millis(300);
/// Longest time for which the event loop runs nothing else.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Interval of the task that measures pauses of the event loop.
const TICK: Duration = Duration::from_millis(2);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Runs `work` on an event loop; returns its output, its time and the longest pause of the loop.
fn run_timed<F, T>(work: impl FnOnce() -> F + Send + 'static) -> (T, Duration, Duration)
where
    F: Future<Output = T> + 'static,
    T: Send + 'static,
{
    thread::block_on(async move {
        let longest = Rc::new(Cell::new(Duration::ZERO));
        let seen = Rc::clone(&longest);
        monoio::spawn(async move {
            let mut last = Instant::now();
            loop {
                monoio::time::sleep(TICK).await;
                seen.set(seen.get().max(last.elapsed()));
                last = Instant::now();
            }
        });
        monoio::time::sleep(TICK).await;
        let started = Instant::now();
        let output = work().await;
        let elapsed = started.elapsed();
        monoio::time::sleep(TICK * 2).await;
        (output, elapsed, longest.get())
    })
    .unwrap()
}

/// Checks how long an exchange took, how long the event loop paused, and that its connection is
/// closed and was the only one.
fn assert_bounded(target: &RawTarget, pace: Pace, elapsed: Duration, pause: Duration) {
    let limit = match pace {
        Pace::Flood => FLOOD_LIMIT,
        Pace::Drip => DRIP_DEADLINE + LATENESS,
    };
    assert!(elapsed < limit, "{elapsed:?}");
    assert!(pause < MAX_PAUSE, "{pause:?}");
    assert!(eventually(Duration::from_secs(5), || target.open() == 0), "still open");
    assert_eq!(target.accepted(), 1);
}

fn time_limit(pace: Pace) -> Duration {
    match pace {
        Pace::Flood => FLOOD_DEADLINE,
        Pace::Drip => DRIP_DEADLINE,
    }
}

/// Returns an idempotent request.
fn outgoing() -> OutgoingRequest {
    let data = Bytes::from_static(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    OutgoingRequest { data, id: None, bodiless: false, retryable: true }
}

/// Sends a request for which the system itself waits, and returns the body of the response.
async fn forward_exchange(address: SocketAddr, limit: Duration) -> Result<Bytes, ExchangeError> {
    let client = HttpClient::default();
    let deadline = Instant::now() + limit;
    let request = InternalRequest { address, path: "/", body: None, fields: &[], deadline };
    internal_request::send(&client, &request).await.map(|r| r.body)
}

#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::field_name("HTTP/1.1 200 OK\r\n", "x")]
#[case::field_value("HTTP/1.1 200 OK\r\nX: ", "x")]
#[case::fields("HTTP/1.1 200 OK\r\n", "X: y\r\n")]
#[case::empty_lines("", "\r\n")]
#[case::interim_responses("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::chunk_size(CHUNKED, "0")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x")]
#[case::trailer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n")]
#[case::small_chunks(CHUNKED, "1\r\nx\r\n")]
#[case::large_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFF\r\n", "x")]
#[case::body_until_close("HTTP/1.1 200 OK\r\n\r\n", "x")]
fn response_without_end(
    #[case] prefix: &'static str,
    #[case] unit: &'static str,
    #[values(Pace::Flood, Pace::Drip)] pace: Pace,
) {
    let target = RawTarget::start(prefix, unit, pace);
    let (address, limit) = (target.address, time_limit(pace));
    let (got, elapsed, pause) = run_timed(move || forward_exchange(address, limit));
    let error = got.unwrap_err();
    assert!(!error.is_not_run(), "{error}");
    assert_bounded(&target, pace, elapsed, pause);
}

#[rstest]
fn bytes_after_body(#[values(Pace::Flood, Pace::Drip)] pace: Pace) {
    let target = RawTarget::start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x", pace);
    let address = target.address;
    let (got, _, _) = run_timed(move || async move {
        let client = HttpClient::default();
        let deadline = Instant::now() + FLOOD_LIMIT;
        let request = InternalRequest { address, path: "/", body: None, fields: &[], deadline };
        for _ in 0..3 {
            let response = internal_request::send(&client, &request).await?;
            assert_eq!(&response.body[..], b"ok");
            // The bytes after the body arrive at the idle connection.
            monoio::time::sleep(Duration::from_millis(60)).await;
        }
        Ok::<(), ExchangeError>(())
    });
    got.unwrap();
    assert_eq!(target.accepted(), 3, "no connection was used again");
}

#[rstest]
#[case::small_chunks(CHUNKED, "1\r\nx\r\n")]
#[case::large_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFF\r\n", "x")]
#[case::body_until_close("HTTP/1.1 200 OK\r\n\r\n", "x")]
fn streamed_body_without_end(
    #[case] prefix: &'static str,
    #[case] unit: &'static str,
    #[values(Pace::Flood, Pace::Drip)] pace: Pace,
) {
    let target = RawTarget::start(prefix, unit, pace);
    let (address, limit) = (target.address, time_limit(pace));
    let (got, elapsed, pause) = run_timed(move || async move {
        let client = HttpClient::default();
        let deadline = Instant::now() + limit;
        let mut response = client.send(address, &outgoing(), deadline).await?;
        let mut received = 0;
        while let Some(chunk) = response.chunk(deadline).await? {
            received += chunk.len();
        }
        Ok::<usize, ExchangeError>(received)
    });
    assert!(got.is_err(), "{got:?}");
    assert_bounded(&target, pace, elapsed, pause);
}

fn call(pace: Pace) -> Call {
    let timeout = time_limit(pace);
    Call { timeout, progress_timeout: timeout, ..Call::default() }
}

/// Calls a service of the own interface, then its stream, then asks for its load.
async fn own_exchange(address: SocketAddr, pace: Pace, kind: &str) -> Result<(), CallError> {
    let client = Client::new(ClientLimits::default());
    match kind {
        "call" => client.call(address, &call(pace)).await.map(drop),
        "load" => client.load(address, &call(pace)).await.map(drop),
        _ => {
            let mut stream = client.stream(address, &call(pace)).await?;
            while stream.next().await? != Event::End {}
            Ok(())
        }
    }
}

#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::fields("HTTP/1.1 200 OK\r\n", "X: y\r\n")]
#[case::interim_responses("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::chunk_size(CHUNKED, "0")]
#[case::small_chunks(CHUNKED, "1\r\nx\r\n")]
#[case::comments(CHUNKED, "3\r\n:a\n\r\n")]
#[case::large_event("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n300000\r\ndata:", "x")]
fn own_interface_without_end(
    #[case] prefix: &'static str,
    #[case] unit: &'static str,
    #[values("call", "load", "stream")] kind: &'static str,
    #[values(Pace::Flood, Pace::Drip)] pace: Pace,
) {
    let target = RawTarget::start(prefix, unit, pace);
    let address = target.address;
    let (got, elapsed, pause) = run_timed(move || own_exchange(address, pace, kind));
    let error = got.unwrap_err();
    assert!(!error.is_not_run(), "{error}");
    assert_bounded(&target, pace, elapsed, pause);
}

#[test]
fn exceeded_response_not_repeated() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let target = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
        assert!(stream.read(&mut request).unwrap() > 0);
        while stream.write_all(b"HTTP/1.1 103 Early Hints\r\n\r\n").is_ok() {}
        listener.set_nonblocking(true).unwrap();
        std::thread::sleep(Duration::from_millis(100));
        listener.accept().is_ok()
    });
    let (got, _, _) = run_timed(move || async move {
        let client = HttpClient::default();
        let deadline = Instant::now() + FLOOD_LIMIT;
        let mut first = client.send(address, &outgoing(), deadline).await?;
        first.read_to_end(deadline).await?;
        first.finish();
        client.send(address, &outgoing(), deadline).await.map(drop)
    });
    assert!(matches!(got, Err(ExchangeError::Exceeded(_))), "{got:?}");
    assert!(!target.join().unwrap(), "a repeat outside of the retry budget");
}

const KEY: &str = "Authorization: Token k1\r\nRequest-Id: r1\r\n";
/// Second byte of the loopback addresses of the harness.
const NET: u8 = 95;
/// Connections to endless targets at once in the memory test, of each kind.
const FLOODED: usize = 50;
/// Bound of a response body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bound of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Size of a page of memory, in bytes.
const PAGE_BYTES: usize = 4096;
/// Size of the largest read, in bytes, and of the pieces queued for a caller.
const MAX_READ_BYTES: usize = 64 << 10;

fn start(net: u8) -> Harness {
    let harness = Harness::start(net);
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/1", KEY);
    harness
}

#[test]
fn forwarded_responses_without_end() {
    let harness = start(NET);
    // A stream resumes after its last whole event.
    let started = Instant::now();
    let got = harness.call("GET", "/events/endless", KEY, "");
    assert_eq!(got.status, 200);
    assert_whole_stream(&got.body);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    harness.wait_for_log("bound=event");
    // A stream whose route allows no second run breaks off.
    let started = Instant::now();
    let got = harness.call("GET", "/pausing/endless", KEY, "");
    assert!(got.body.contains("data: a") && !got.body.ends_with("0\r\n\r\n"), "{got:?}");
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    // An idempotent request goes to another target.
    let got = harness.call("GET", "/lots/endless", KEY, "");
    assert_eq!((got.status, got.body.ends_with(" /lots/endless")), (200, true), "{}", got.status);
    // A request that may not run twice is reported as one that may have run.
    let got = harness.call("POST", "/sign/endless", KEY, "x");
    assert_eq!(got.status, 502, "{got:?}");
    assert!(got.body.contains("\"ran\":\"unknown\""), "{got:?}");
    assert_eq!(harness.requests("POST /sign/endless").len(), 1);
    harness.wait_for_log("bound=body");
}

/// Returns the resident memory of a process, in bytes.
fn resident_memory(process: u32) -> usize {
    let pages = fs::read_to_string(format!("/proc/{process}/statm")).unwrap();
    let resident: usize = pages.split(' ').nth(1).unwrap().parse().unwrap();
    resident * PAGE_BYTES
}

#[test]
fn memory_bounded() {
    let harness = start(NET + 1);
    let process = harness.process_id(1).unwrap();
    let before = resident_memory(process);
    let address = harness.entry(0);
    let callers: Vec<_> = (0..FLOODED * 2)
        .map(|number| {
            std::thread::spawn(move || {
                let kind = if number % 2 == 0 { "lots" } else { "pausing" };
                let mut stream = TcpStream::connect(address).unwrap();
                let head = format!(
                    "GET /{kind}/endless?{number} HTTP/1.1\r\nHost: a.example\r\n{KEY}\
                     Connection: close\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).unwrap();
                let mut response = Vec::new();
                let _ = stream.read_to_end(&mut response);
                response
            })
        })
        .collect();
    let mut peak = before;
    while !callers.iter().all(std::thread::JoinHandle::is_finished) {
        peak = peak.max(resident_memory(process));
        std::thread::sleep(Duration::from_millis(2));
    }
    // A growing buffer may take twice its content while it is moved, and each exchange holds one
    // read and one piece for its caller.
    let whole = 2 * MAX_BODY_BYTES + 2 * MAX_READ_BYTES;
    let stream = 2 * MAX_EVENT_BYTES + 2 * MAX_READ_BYTES;
    let grown = peak - before;
    println!("grew by {} KiB", grown / 1024);
    assert!(grown < FLOODED * (whole + stream), "grew by {grown} bytes");
    for caller in callers {
        let response = String::from_utf8_lossy(&caller.join().unwrap()).into_owned();
        assert!(response.starts_with("HTTP/1.1 "), "{response}");
        let whole_stream = response.contains("data: a") && response.ends_with("0\r\n\r\n");
        assert!(!whole_stream, "{response}");
    }
}
