//! Fake platform and fake targets of the harness.
//!
//! A segment `wait-MS` in a path delays the response; `drip-COUNT` makes an event stream with one
//! event every 100 ms. A last segment `endless` makes a body without end, for streams and idempotent
//! requests with an event first, the first time only where another target may answer. Pieces with
//! the key `held` are never answered, those with the key `slow` after 500 ms. What a test sets for a
//! target applies to its next answers and to the next poll of the list. `engines.rs` has the targets
//! that a request can end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::http::channel::bounded;
use hawthornkeel::http::message::Body;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;
use hawthornkeel::http::server::Limits;
use hawthornkeel::http::server::Server;
use http::StatusCode;

use crate::forward_harness::RecordedRequest;
use crate::forward_harness::TARGETS;
use crate::forward_harness::brittle::FakeSlots;
use crate::forward_harness::engines::FakeEngine;
use crate::forward_harness::engines::engine_answer;
use crate::forward_harness::engines::is_engine_request;
use crate::forward_harness::writers;
use crate::forward_harness::writers::FakeWriter;

/// Size of the response to a path with the segment `large`, in bytes.
pub const LARGE_BODY_BYTES: usize = 7 << 20;
/// Time between the events of a stream with the segment `drip-COUNT`.
const DRIP_INTERVAL: Duration = Duration::from_millis(100);
/// Start of an event stream whose second event has no end.
const ENDLESS_EVENT: &str = "id: 1\ndata: a\n\nid: 2\ndata: ";
/// Two events, between which a stream falls silent.
const EVENT_HALVES: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"];
/// Two events, the second of which is interrupted by a silence.
const EVENT_MIDDLES: [&str; 2] = ["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n"];
/// Halves of an answer, between which its target falls silent.
const ANSWER_HALVES: [&str; 2] = ["first half, ", "second half"];
/// Time for which a target falls silent.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Time after which a target answers that takes its time.
const SOON: Duration = Duration::from_millis(200);
/// Time after which a late target answers, beyond the patience of all callers.
const LATE: Duration = Duration::from_millis(3_000);
/// Time that a slow attempt of a hedged request takes.
const HEDGED_WAIT: Duration = Duration::from_millis(400);
/// Time that another one takes.
const QUICK_WAIT: Duration = Duration::from_millis(20);
/// Time for which a dead target falls silent, longer than any deadline.
const FOREVER: Duration = Duration::from_secs(60);
/// Size of the pieces of a body without end, in bytes.
const ENDLESS_PIECE_BYTES: usize = 64 << 10;

/// What a test has set for a fake target.
#[derive(Clone, Debug, Default)]
pub struct FakeTarget {
    /// Whether its answers say that it leaves.
    pub leaving: bool,
    /// Whether it refuses every request.
    pub refusing: bool,
    /// Whether its refusals don't say that the request did not run.
    pub may_have_run: bool,
    /// Value of `Retry-After` in its refusals.
    pub retry_after: Option<&'static str>,
    /// Start of its process, as the list names it.
    pub born: Option<u64>,
    /// Start of its process, as it reports it itself.
    pub reported: Option<u64>,
    /// Address that the list names in place of its own.
    pub address: Option<SocketAddr>,
    /// Data centres of further targets that the list names at the same address.
    pub copies: Vec<&'static str>,
    /// What ends its process.
    pub engine: FakeEngine,
    /// What it writes in versioned streams.
    pub writer: FakeWriter,
    /// Number of its requests whose connection was closed while they ran.
    pub disconnects: usize,
    /// Value of `Server-Load` in its answers.
    pub load: Option<&'static str>,
    /// Requests that it runs at the same time.
    pub slots: FakeSlots,
}

/// Settings of the fake targets, in the order of [`TARGETS`].
pub type FakeTargets = Arc<Mutex<[FakeTarget; 3]>>;

/// Serves the platform's list and the targets on a new thread.
pub fn serve_fakes(
    list: SocketAddr,
    targets: [SocketAddr; 3],
    fakes: &FakeTargets,
    requests: &Arc<Mutex<Vec<RecordedRequest>>>,
) {
    let requests = Arc::clone(requests);
    let fakes = Arc::clone(fakes);
    thread::spawn(move || {
        hawthornkeel::runtime::block_on(async move {
            let server = Server::bind(list, Limits::default()).unwrap();
            let listed = Arc::clone(&fakes);
            monoio::spawn(server.serve(move |_: Request| {
                let page = list_page(targets, &listed.lock().unwrap());
                async move { Response::json(page) }
            }));
            for (at, target) in TARGETS.into_iter().enumerate() {
                let server = Server::bind(targets[at], Limits::default()).unwrap();
                let (requests, fakes) = (Arc::clone(&requests), Arc::clone(&fakes));
                monoio::spawn(server.serve(move |request: Request| {
                    let first = record_request(target, &request, &requests);
                    let fake = fakes.lock().unwrap()[at].clone();
                    let fakes = Arc::clone(&fakes);
                    async move {
                        let has_slot = fakes.lock().unwrap()[at].slots.take();
                        let response = match fake.refusing || fake.engine.is_down() || !has_slot {
                            true => refusal(&request, &fake),
                            false if is_engine_request(&request) => {
                                engine_answer(&request, &fakes, at)
                            }
                            false if request.head.path == "/report" && fake.reported.is_some() => {
                                report(&fake)
                            }
                            false if writers::is_written(&request) => {
                                writers::answer(&request, &fake.writer)
                            }
                            false => respond(target, &request, first).await,
                        };
                        if request.disconnected.is_set() {
                            fakes.lock().unwrap()[at].disconnects += 1;
                        }
                        if has_slot {
                            fakes.lock().unwrap()[at].slots.release();
                        }
                        let response = match fake.slots.brittle {
                            Some(count) => {
                                response.with_header("server-brittle", &count.to_string())
                            }
                            None => response,
                        };
                        let response = match fake.load {
                            Some(value) => response.with_header("server-load", value),
                            None => response,
                        };
                        match fake.leaving {
                            true => response.with_header("server-leaving", "1"),
                            false => response,
                        }
                    }
                }));
            }
            std::future::pending::<()>().await;
        })
        .unwrap();
    });
}

/// Returns the platform's list of the targets.
fn list_page(addresses: [SocketAddr; 3], fakes: &[FakeTarget; 3]) -> String {
    let entries = TARGETS.iter().zip(addresses).zip(fakes).map(|((name, address), fake)| {
        let pool = if *name == "i-stage" { "portal" } else { "ledger" };
        let address = fake.address.unwrap_or(address);
        let (version, state) = (fake.writer.listed(), fake.writer.state());
        let born =
            fake.born.or(fake.engine.born()).map(|b| format!(r#","born":{b}"#)).unwrap_or_default();
        format!(
            r#"{{"identifier":"{name}","service":"{pool}","address":"{address}","zone":"a",
            "version":"{version}","slots":4,"state":"{state}","cold_remaining_ms":0{born}}}"#
        )
    });
    let copies = TARGETS.iter().zip(addresses).zip(fakes).flat_map(|((name, address), fake)| {
        let pool = if *name == "i-stage" { "portal" } else { "ledger" };
        fake.copies.iter().enumerate().map(move |(at, centre)| {
            format!(
                r#"{{"identifier":"{name}-{at}","service":"{pool}","address":"{address}",
                "zone":"{centre}","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0}}"#
            )
        })
    });
    let entries: Vec<String> = entries.chain(copies).collect();
    format!(r#"{{"instances":[{}],"next":null}}"#, entries.join(","))
}

/// Returns what a target reports about its process.
fn report(fake: &FakeTarget) -> Response {
    Response::json(format!(r#"{{"born":{}}}"#, fake.reported.unwrap_or_default()))
}

/// Returns the answer of a target that does not run a request.
fn refusal(request: &Request, fake: &FakeTarget) -> Response {
    let id = request.head.header("request-id").unwrap_or_default();
    let refusal = Response::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
    let refusal = refusal.with_header("request-id", id);
    let refusal = match fake.may_have_run {
        true => refusal,
        false => refusal.with_header("not-executed", "1"),
    };
    match fake.retry_after {
        Some(value) => refusal.with_header("retry-after", value),
        None => refusal,
    }
}

/// Records a request and tells whether it is the first with its first line.
fn record_request(
    target: &'static str,
    request: &Request,
    requests: &Mutex<Vec<RecordedRequest>>,
) -> bool {
    let head = &request.head;
    let line = format!("{} {}?{}", head.method, head.path, head.query);
    let mut requests = requests.lock().unwrap();
    let first = !requests.iter().any(|r| r.line == line);
    let (headers, body) = (head.headers.clone(), request.body.clone());
    requests.push(RecordedRequest { target, line, headers, body, received: Instant::now() });
    first
}

async fn respond(target: &str, request: &Request, first: bool) -> Response {
    let head = &request.head;
    let id = head.header("request-id").unwrap_or_default().to_owned();
    let response = match head.path.as_str() {
        "/stage-run" if String::from_utf8_lossy(&request.body).contains("\"held\"") => {
            std::future::pending::<()>().await;
            return Response::json("{}");
        }
        "/stage-run" => {
            let body = String::from_utf8_lossy(&request.body);
            if body.contains("\"slow\"") {
                monoio::time::sleep(Duration::from_millis(500)).await;
            }
            if body.contains("\"slower\"") {
                monoio::time::sleep(Duration::from_millis(2_000)).await;
            }
            return Response::json(
                r#"{"items":[{"handle":"10.0.0.1:1/aa"},{"handle":"10.0.0.1:1/bb"}]}"#,
            );
        }
        "/stage-free" => return Response::json("{}"),
        "/lots/full" if first => {
            let refusal = Response::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
            return refusal.with_header("not-executed", "1").with_header("request-id", &id);
        }
        "/lots/stray" if first => {
            let stray = Response::full(StatusCode::OK, "text/plain", "stray");
            return stray.with_header("request-id", "other");
        }
        "/lots/broken" if first => {
            Response::full(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "no")
        }
        "/events/1" => event_stream(first),
        "/events/lines-crlf" => lines_stream(first, "\r\n"),
        "/events/lines-cr" => lines_stream(first, "\r"),
        "/events/missing" => Response::full(StatusCode::NOT_FOUND, "text/plain", "no"),
        "/staged/1" if head.header("inputs").is_none() => {
            let refusal = Response::full(StatusCode::BAD_REQUEST, "text/plain", "no inputs");
            return refusal.with_header("not-executed", "1").with_header("request-id", &id);
        }
        "/staged/1" => event_stream(first),
        "/pausing/1" => pausing_stream(),
        path if path.starts_with("/events/next-") && first => event_stream(true),
        path if path.starts_with("/events/next-") => next_answer(path),
        "/events/drip" if first => dripping_event(),
        "/events/drip" => event_stream(false),
        "/pausing/drip" => dripping_event(),
        path if path.starts_with("/paused") => match paused_run(request, first).await {
            Some(response) => response,
            None => return full(&id),
        },
        "/events/silent" => silent_body(EVENT_HALVES),
        "/events/silent-middle" => silent_body(EVENT_MIDDLES),
        "/lots/silent" | "/sign/silent" => silent_body(ANSWER_HALVES),
        path if path.starts_with("/hedged/") => hedged_answer(target, request, first).await,
        "/lots/cut" if first => half_body(std::future::ready(())),
        "/lots/dead" => std::future::pending().await,
        "/lots/dead-once" if first => std::future::pending().await,
        "/lots/dead-middle" => half_body(monoio::time::sleep(FOREVER)),
        "/lots/dead-middle-once" if first => half_body(monoio::time::sleep(FOREVER)),
        "/events/endless" if first => endless_body(ENDLESS_EVENT),
        "/events/endless" => event_stream(false),
        "/pausing/endless" => endless_body(ENDLESS_EVENT),
        "/lots/endless" if first => endless_body("x"),
        "/sign/endless" => endless_body("x"),
        path => general_response(target, path).await,
    };
    response.with_header("server-signature", "s.1").with_header("request-id", &id)
}

/// Returns the refusal of a target that is full.
fn full(id: &str) -> Response {
    let refusal = Response::full(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full");
    refusal.with_header("not-executed", "1").with_header("request-id", id)
}

/// Returns the answer to `/paused/PLACE/OTHER/MS`, or `None` if the target is full.
///
/// The run at the first target pauses for a time at PLACE: before the `head`, behind it (`body`),
/// `between` its events, or before it breaks off behind the first one (`break`). OTHER tells what another target does meanwhile.
async fn paused_run(request: &Request, first: bool) -> Option<Response> {
    let parts: Vec<&str> = request.head.path.split('/').skip(2).collect();
    let [place, other, ms] = parts[..] else { return None };
    let pause = Duration::from_millis(ms.parse().unwrap());
    let is_resumed = request.head.header("last-event-id").is_some();
    let (none, all) = (Duration::ZERO, [EVENT_HALVES[0], EVENT_HALVES[1]].concat());
    let rest = if is_resumed { EVENT_HALVES[1].to_owned() } else { all.clone() };
    Some(match (first, place, other) {
        (true, "head", _) => {
            monoio::time::sleep(pause).await;
            paused_events(String::new(), none, Some(all))
        }
        (true, "break", _) => paused_events(EVENT_HALVES[0].to_owned(), pause, None),
        (true, "body", _) => paused_events(String::new(), pause, Some(all)),
        (true, _, _) => {
            paused_events(EVENT_HALVES[0].to_owned(), pause, Some(EVENT_HALVES[1].to_owned()))
        }
        (_, _, "full") => return None,
        (_, _, "cut") => paused_events(String::new(), Duration::from_millis(40), None),
        (_, _, "late") => {
            monoio::time::sleep(LATE).await;
            paused_events(String::new(), none, Some(rest))
        }
        (_, _, "soon") => {
            monoio::time::sleep(SOON).await;
            paused_events(String::new(), none, Some(rest))
        }
        (_, _, "hung") => {
            request.disconnected.wait().await;
            return None;
        }
        _ => paused_events(String::new(), Duration::from_millis(40), Some(rest)),
    })
}

/// Returns an event stream with a pause, which then ends abruptly if there is no `rest`.
fn paused_events(start: String, pause: Duration, rest: Option<String>) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        if !start.is_empty() {
            let _ = sender.send(Bytes::from(start)).await;
        }
        monoio::time::sleep(pause).await;
        if let Some(rest) = rest {
            let _ = sender.send(Bytes::from(rest)).await;
            sender.finish();
        }
    });
    Response::events(receiver)
}

/// Returns an event stream, which the first time ends abruptly within its second event.
fn event_stream(first: bool) -> Response {
    lines_stream(first, "\n")
}

/// Returns an event stream as [`event_stream`] does, with `end` behind each line.
fn lines_stream(first: bool, end: &'static str) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let all = if first { "id: 1\ndata: a\n\nid: 2\nda" } else { "id: 2\ndata: b\n\n" };
        let _ = sender.send(Bytes::from(all.replace('\n', end))).await;
        if !first {
            sender.finish();
        }
    });
    let mut response = Response::events(receiver);
    if let Body::Full(_) = response.body {
        response.status = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}

/// Returns what a target answers that is asked to go on with a stream, by the end of the path.
fn next_answer(path: &str) -> Response {
    let text = "HTTP/1.1 500 Oops\r\n\r\nerror: no\n\n";
    let status = match path.rsplit('-').next().unwrap_or_default() {
        "500" => StatusCode::INTERNAL_SERVER_ERROR,
        "503" => StatusCode::SERVICE_UNAVAILABLE,
        "404" => StatusCode::NOT_FOUND,
        "302" => StatusCode::FOUND,
        "204" => return Response::full(StatusCode::NO_CONTENT, "text/event-stream", ""),
        "206" => return Response::full(StatusCode::PARTIAL_CONTENT, "text/event-stream", text),
        "json" => return Response::json("{\"error\":\"no\"}\n\n"),
        "plain" => return Response::full(StatusCode::OK, "text/plain", text),
        "encoded" => {
            let encoded = Response::full(StatusCode::OK, "text/event-stream", text);
            return encoded.with_header("content-encoding", "gzip");
        }
        _ => return lines_stream(false, "\n"),
    };
    Response::full(status, "text/event-stream", text)
}

/// Returns an event stream with a pause that its caller still waits for.
fn pausing_stream() -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let _ = sender.send(Bytes::from_static(b"id: 1\ndata: a\n\n")).await;
        monoio::time::sleep(Duration::from_millis(1_500)).await;
        let _ = sender.send(Bytes::from_static(b"id: 2\ndata: b\n\n")).await;
        sender.finish();
    });
    Response::events(receiver)
}

/// Returns a body whose target falls silent between its halves.
fn silent_body(halves: [&'static str; 2]) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let [first, second] = halves;
        let _ = sender.send(Bytes::from_static(first.as_bytes())).await;
        monoio::time::sleep(SILENCE).await;
        let _ = sender.send(Bytes::from_static(second.as_bytes())).await;
        sender.finish();
    });
    Response::events(receiver)
}

/// Returns what one of two targets answers to a request that is slow at the `first` of them.
async fn hedged_answer(target: &str, request: &Request, first: bool) -> Response {
    let path = request.head.path.as_str();
    let kind = path.rsplit('/').next().unwrap_or_default();
    let error = || Response::full(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "no");
    match (kind, first) {
        ("left", true) | ("late-first", false) => request.disconnected.wait().await,
        ("late-cut", true) => return half_body(monoio::time::sleep(HEDGED_WAIT)),
        ("cut-second", false) => return half_body(std::future::ready(())),
        ("second-fails" | "late-failure", false) => return error(),
        // The other attempt ends in the meantime.
        ("late-cut", false) | ("cut-second", true) => monoio::time::sleep(2 * HEDGED_WAIT).await,
        ("late-first" | "second-fails" | "late-failure", true) => {
            monoio::time::sleep(HEDGED_WAIT).await;
        }
        _ => monoio::time::sleep(QUICK_WAIT).await,
    }
    match kind {
        "late-failure" => error(),
        _ => Response::full(StatusCode::OK, "text/plain", format!("{target} {path}")),
    }
}

/// Returns a body that is truncated after its first half, once `end` is over.
fn half_body(end: impl Future<Output = ()> + 'static) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let _ = sender.send(Bytes::from_static(ANSWER_HALVES[0].as_bytes())).await;
        end.await;
    });
    Response::events(receiver)
}

/// Returns an event stream whose second event goes on, byte by byte, without an end.
fn dripping_event() -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let mut piece = ENDLESS_EVENT;
        while sender.send(Bytes::from_static(piece.as_bytes())).await.is_ok() {
            monoio::time::sleep(DRIP_INTERVAL).await;
            piece = "x";
        }
    });
    Response::events(receiver)
}

/// Returns a body that starts with `start` and goes on until the connection is closed.
fn endless_body(start: &'static str) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        let mut piece = Bytes::from_static(start.as_bytes());
        while sender.send(piece).await.is_ok() {
            piece = Bytes::from(vec![b'x'; ENDLESS_PIECE_BYTES]);
        }
    });
    Response::events(receiver)
}

/// Returns the response to a path without a case of its own.
async fn general_response(target: &str, path: &str) -> Response {
    let number = |prefix: &str| path.split('/').find_map(|s| s.strip_prefix(prefix)?.parse().ok());
    if let Some(count) = number("drip-") {
        return dripping_stream(count);
    }
    if let Some(wait) = number("wait-") {
        monoio::time::sleep(Duration::from_millis(wait)).await;
    }
    if path.split('/').any(|s| s == "large") {
        return Response::full(StatusCode::OK, "text/plain", vec![b'x'; LARGE_BODY_BYTES]);
    }
    Response::full(StatusCode::OK, "text/plain", format!("{target} {path}"))
}

/// Returns an event stream with `count` events.
fn dripping_stream(count: u64) -> Response {
    let (sender, receiver) = bounded(4);
    monoio::spawn(async move {
        for id in 1..=count {
            let event = Bytes::from(format!("id: {id}\ndata: a\n\n"));
            if sender.send(event).await.is_err() {
                return;
            }
            monoio::time::sleep(DRIP_INTERVAL).await;
        }
        sender.finish();
    });
    Response::events(receiver)
}
