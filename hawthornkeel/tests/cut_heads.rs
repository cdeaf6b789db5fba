//! Answers whose target closes the connection within the head: none is taken for an answer.

mod cut_target;
mod forward_harness;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::forward::exchange_error::ExchangeError;
use hawthornkeel::forward::http_client::HttpClient;
use hawthornkeel::forward::http_client::OutgoingRequest;
use hawthornkeel::forward::internal_request;
use hawthornkeel::forward::internal_request::InternalRequest;
use hawthornkeel::forward::list_reader::ListError;
use hawthornkeel::forward::list_reader::ListLimits;
use hawthornkeel::forward::list_reader::read_list;
use hawthornkeel::forward::response_memory::ResponseMemory;
use hawthornkeel::runtime;
use hawthornkeel::target::call::Call;
use hawthornkeel::target::client::Client;
use hawthornkeel::target::client::ClientLimits;
use hawthornkeel::target::error::CallError;
use hawthornkeel::target::stream::Event;
use rstest::rstest;

use crate::cut_target::Answer;
use crate::cut_target::Close;
use crate::cut_target::CutTarget;
use crate::cut_target::Received;
use crate::forward_harness::Harness;
use crate::forward_harness::requests::PIECES;
use crate::forward_harness::requests::assert_whole_stream;
use crate::forward_harness::requests::fields;

const LIMIT: Duration = Duration::from_secs(5);
/// Second byte of the loopback addresses of the harness.
const NET: u8 = 213;
/// Whole answers between two that are cut.
const SOUND_CALLS: usize = 6;
/// Connections that are closed, and whether an answer was read from them before.
const CLOSES: [(Close, bool); 4] =
    [(Close::End, false), (Close::End, true), (Close::Reset, false), (Close::Reset, true)];
/// Identifier of a call in the own interface.
const CALL_ID: &str = "00000000000000000000000000000000/0/0";
/// Fields of every answer.
const ID_FIELDS: &str = "Request-Id: r1\r\nX-Request-Id: 00000000000000000000000000000000/0/0\r\n";

/// Answer whose first part is needed to know what the rest is.
struct Whole {
    bytes: Vec<u8>,
    /// Number of bytes without which it is not complete.
    needed: usize,
}

/// Returns an answer with `fields` and `body`, of which only the end of the connection may tell the
/// end if it is not `framed`.
fn whole(prefix: &str, fields: &str, body: &str, framed: bool) -> Whole {
    let head = format!("{prefix}HTTP/1.1 200 OK\r\n{ID_FIELDS}{fields}\r\n");
    let bytes = format!("{head}{body}").into_bytes();
    Whole { needed: if framed { bytes.len() } else { head.len() }, bytes }
}

fn answers(kind: &str) -> Whole {
    match kind {
        "length" => whole("", "Content-Length: 14\r\n", "{\"next\": null}", true),
        "chunks" => {
            whole("", "Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n1\r\n \r\n0\r\n\r\n", true)
        }
        "trailers" => {
            whole("", "Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\nSum: 1\r\n\r\n", true)
        }
        "interim" => {
            let interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
            whole(interim, "Content-Length: 2\r\n", "{}", true)
        }
        "events" => {
            let fields = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            whole("", fields, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", true)
        }
        _ => whole("", "Content-Type: application/json\r\n", "{}", false),
    }
}

/// Returns a short answer if it is to be whole, else the start of another.
fn cut_answer(whole: &Whole, cut: usize, close: Close, is_whole: bool) -> Answer {
    if is_whole {
        let bytes =
            format!("HTTP/1.1 200 OK\r\n{ID_FIELDS}Content-Length: 2\r\n\r\n{{}}").into_bytes();
        return Answer { bytes, close: None };
    }
    Answer { bytes: whole.bytes[..cut].to_vec(), close: Some(close) }
}

fn start_target(kind: &str, cut: usize, close: Close, kept: bool) -> CutTarget {
    let whole = answers(kind);
    let first = AtomicBool::new(kept);
    CutTarget::start(move |_, _| {
        cut_answer(&whole, cut, close, first.swap(false, Ordering::SeqCst))
    })
}

/// Returns how a connection is closed at a byte: by turns within a line, in all ways at its end.
fn closes_at(answer: &[u8], cut: usize, closes: &[(Close, bool)]) -> Vec<(Close, bool)> {
    let from = cut.saturating_sub(2);
    if cut == 0 || answer[from..cut + 1].contains(&b'\r') {
        return closes.to_vec();
    }
    vec![closes[cut % closes.len()]]
}

/// Runs `check` with a target for each byte at which an answer can be cut.
fn each_cut<const N: usize>(
    kind: &'static str,
    closes: [(Close, bool); N],
    check: impl AsyncFn(&CutTarget, &str, bool),
) {
    let checks = async {
        for cut in 0..answers(kind).needed {
            for (close, kept) in closes_at(&answers(kind).bytes, cut, &closes) {
                let target = start_target(kind, cut, close, kept);
                let at = format!("{kind} cut at {cut}, {close:?}, kept {kept}");
                check(&target, &at, kept).await;
            }
        }
    };
    runtime::block_on(checks).unwrap();
}

/// Sends a request and reads its answer whole or in chunks.
async fn forward_exchange(
    client: &HttpClient,
    address: SocketAddr,
    retryable: bool,
    whole: bool,
) -> Result<usize, ExchangeError> {
    let data = Bytes::from_static(b"GET / HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n\r\n");
    let id = Some(Bytes::from_static(b"r1"));
    let request = OutgoingRequest { data, id, bodiless: false, retryable };
    let deadline = Instant::now() + LIMIT;
    let mut response = client.send(address, &request, deadline).await?;
    let mut length = 0;
    match whole {
        true => length = response.read_to_end(deadline).await?.len(),
        false => {
            while let Some(chunk) = response.chunk(deadline).await? {
                length += chunk.len();
            }
        }
    }
    response.finish();
    Ok(length)
}

async fn internal_exchange(
    client: &HttpClient,
    address: SocketAddr,
    body: Option<&[u8]>,
) -> Result<usize, ExchangeError> {
    let deadline = Instant::now() + LIMIT;
    let request = InternalRequest { address, path: "/", body, fields: &[], deadline };
    internal_request::send(client, &request).await.map(|response| response.body.len())
}

/// Sends two requests if the connection of the last one is to be kept, else one.
async fn exchange(reader: &str, address: SocketAddr, kept: bool) -> Result<usize, ExchangeError> {
    let client = HttpClient::new("request-id", ResponseMemory::new(1 << 20));
    let mut last = Ok(0);
    for _ in 0..=usize::from(kept) {
        last = match reader {
            "whole" => forward_exchange(&client, address, true, true).await,
            "once" => forward_exchange(&client, address, false, true).await,
            "stream" => forward_exchange(&client, address, true, false).await,
            "get" => internal_exchange(&client, address, None).await,
            _ => internal_exchange(&client, address, Some(b"{}")).await,
        };
    }
    last
}

#[rstest]
fn cut_answers_of_targets(
    #[values("length", "chunks", "trailers", "interim", "events", "close")] kind: &'static str,
    #[values("whole", "once", "stream", "get", "post")] reader: &'static str,
) {
    each_cut(kind, CLOSES, async |target, at, kept| {
        let got = exchange(reader, target.address, kept).await;
        assert!(got.as_ref().is_err_and(|e| e.is_broken_off() && !e.is_not_run()), "{at}: {got:?}");
        // A request that may not be repeated is sent once.
        let most = if reader == "once" { 1 } else { 2 };
        assert!(target.received("") - usize::from(kept) <= most, "{at}: {got:?}");
    });
}

#[rstest]
fn cut_pages_of_list(#[values("length", "chunks", "interim", "close")] kind: &'static str) {
    each_cut(kind, [(Close::End, false), (Close::Reset, false)], async |target, at, _| {
        let got = read_list(&HttpClient::default(), target.address, &ListLimits::default()).await;
        assert!(matches!(got, Err(ListError::Exchange(_))), "{at}: {got:?}");
    });
}

async fn own_exchange(client: &Client, reader: &str, address: SocketAddr) -> Result<(), CallError> {
    let call = Call { timeout: LIMIT, idempotent: true, ..Call::default() };
    assert_eq!(call.id.to_string(), CALL_ID);
    match reader {
        "call" => client.call(address, &call).await.map(drop),
        "once" => client.call(address, &Call { idempotent: false, ..call }).await.map(drop),
        "get" => client.get(address, &call).await.map(drop),
        "load" => client.load(address, &call).await.map(drop),
        _ => {
            let mut stream = client.stream(address, &call).await?;
            while stream.next().await? != Event::End {}
            Ok(())
        }
    }
}

#[rstest]
fn cut_answers_of_own_interface(
    #[values("length", "chunks", "trailers", "interim", "events")] kind: &'static str,
    #[values("call", "once", "get", "load", "stream")] reader: &'static str,
) {
    each_cut(kind, CLOSES, async |target, at, kept| {
        let client = Client::new(ClientLimits::default());
        if kept {
            let _ = own_exchange(&client, "call", target.address).await;
        }
        let got = own_exchange(&client, reader, target.address).await;
        assert!(got.as_ref().is_err_and(|e| !e.is_not_run()), "{at}: {got:?}");
    });
}

/// Returns the whole answer to a request of the harness.
fn harness_answer(request: &Received, kept: bool) -> String {
    let connection = if kept { "keep-alive" } else { "close" };
    let (kind, body) = match request.path.split('/').nth(1).unwrap_or_default() {
        "events" | "pausing" => ("text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
        "stage-run" => ("application/json", r#"{"items":[{"handle":"10.0.0.1:1/aa"}]}"#),
        "report" => ("application/json", "{}"),
        _ => ("text/plain", "a whole answer of its target"),
    };
    let (id, length) = (&request.id, body.len());
    format!(
        "HTTP/1.1 200 OK\r\nConnection: {connection}\r\nServer-Signature: s.1\r\n\
         Content-Type: {kind}\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Returns where an answer is cut: in each line and between lines.
fn cuts(answer: &str) -> Vec<usize> {
    let head = answer.find("\r\n\r\n").unwrap();
    let ends = answer[..=head].match_indices('\r').map(|(at, _)| at);
    let mut cuts: Vec<usize> = ends.flat_map(|end| [end - 1, end, end + 1, end + 2]).collect();
    cuts.push(head + 3);
    cuts
}

/// Starts a harness whose targets cut the first answer to each request that asks for it.
fn start_harness(net: u8, kept: bool) -> (Harness, CutTarget) {
    let target = CutTarget::start(move |request, earlier| {
        let answer = harness_answer(request, kept);
        let text = format!("{} {}", request.path, request.body);
        let cut = text.split("cut-").nth(1).filter(|_| earlier == 0);
        let Some(cut) = cut.filter(|_| !text.starts_with("/review")) else {
            return Answer { bytes: answer.into_bytes(), close: None };
        };
        let mut parts = cut.split(['-', '"']);
        let at = cuts(&answer)[parts.next().unwrap().parse::<usize>().unwrap()];
        let close = if parts.next() == Some("reset") { Close::Reset } else { Close::End };
        Answer { bytes: answer.as_bytes()[..at].to_vec(), close: Some(close) }
    });
    let harness = Harness::start(net);
    for name in forward_harness::TARGETS {
        harness.set_target(name, |t| t.address = Some(target.address));
    }
    harness.serve_routes();
    (harness, target)
}

/// Calls until a target has received the request, and returns the answer.
fn call_received(
    harness: &Harness,
    target: &CutTarget,
    route: &str,
    mark: &str,
) -> forward_harness::HttpResponse {
    let until = Instant::now() + LIMIT;
    loop {
        let key = if route == "review" { PIECES.replace("2", "1") } else { String::new() };
        let key = key.replace("Key: a", &format!("Key: {mark}"));
        let response =
            harness.call("POST", &format!("/{route}/{mark}"), &(fields("r1") + &key), "");
        if target.received(mark) > 0 {
            return response;
        }
        assert!(response.status == 503 && Instant::now() < until, "{response:?}");
    }
}

#[rstest]
#[case::kept(true, NET)]
#[case::new(false, NET + 1)]
fn cut_heads_reach_no_caller(#[case] kept: bool, #[case] net: u8) {
    let (harness, target) = start_harness(net, kept);
    for route in ["lots", "sign", "events", "pausing", "talk", "review"] {
        let request = Received { path: format!("/{route}/"), id: "r1".into(), body: "".into() };
        for at in 0..cuts(&harness_answer(&request, kept)).len() {
            for close in ["end", "reset"] {
                // Targets that answered nothing else would count as failed.
                for _ in 0..SOUND_CALLS {
                    harness.call_until(200, "/lots/sound", &fields("r1"));
                }
                let mark = format!("cut-{at}-{close}");
                let response = call_received(&harness, &target, route, &mark);
                let context = format!("{route} {mark} {response:?}");
                let received = target.received(&format!("/{route}/{mark} "));
                match route {
                    // The same target may get it again if the connection was kept, or opened by a probe.
                    "pausing" if response.status == 200 => {
                        assert_eq!(received, 2, "{context}");
                        assert_whole_stream(&response.body);
                    }
                    "lots" | "review" => {
                        assert_eq!(response.status, 200, "{context}\n{}", harness.logs());
                        assert_eq!(response.body, "a whole answer of its target", "{context}");
                    }
                    "events" => {
                        assert_eq!(response.status, 200, "{context}\n{}", harness.logs());
                        assert_whole_stream(&response.body);
                    }
                    _ => {
                        assert_eq!((response.status, received), (502, 1), "{context}");
                        assert!(response.body.contains("\"ran\":\"unknown\""), "{context}");
                    }
                }
            }
        }
    }
}
