//! Fake engines, whose processes a request can end, and that may name a limit.
//!
//! Each request below `/talk/` gets the head of a stream at once, its first event after 60 ms and its
//! last one after 180 ms. The end of a process breaks off all its streams; the target refuses until
//! it is back as another process.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::http::channel::Sender;
use hawthornkeel::http::channel::bounded;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;

use crate::forward_harness::targets::FakeTargets;

/// Path below which requests are for engines.
const ENGINE_PATH: &str = "/talk/";
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(60);
/// Number of events of a stream.
const EVENTS: u32 = 3;
/// Time for which a target is down after its process has ended.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Start of the first process after an end, as the list names it.
const FIRST_RESTART: u64 = 1_000_000;

/// Engine of a fake target.
#[derive(Clone, Debug, Default)]
pub struct FakeEngine {
    /// Part of a prompt that ends the process as its answer begins.
    pub crash_part: Option<&'static str>,
    /// Number of requests after which the process ends, whatever they hold.
    pub crash_every: Option<u64>,
    /// Requests a second that it names as its limit in its answers.
    pub limit: Option<&'static str>,
    /// Number of its processes that have ended.
    pub crashes: u64,
    requests: u64,
    down_until: Option<Instant>,
}

impl FakeEngine {
    /// Returns whether its process is down.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns the start of its process, if another one has ended before.
    pub fn born(&self) -> Option<u64> {
        (self.crashes > 0).then_some(FIRST_RESTART + self.crashes)
    }

    /// Counts a request, and returns whether it ends the process.
    fn is_ended_by(&mut self, prompt: &str) -> bool {
        self.requests += 1;
        let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
        let mut parts = shared.split(',').filter_map(|part| part.split(':').next());
        let by_part = parts.any(|part| self.crash_part == Some(part));
        by_part || self.crash_every.is_some_and(|every| self.requests.is_multiple_of(every))
    }

    fn end(&mut self) {
        self.crashes += 1;
        self.down_until = Some(Instant::now() + DOWN_TIME);
    }
}

/// Returns whether a request is for an engine.
pub fn is_engine_request(request: &Request) -> bool {
    request.head.path.starts_with(ENGINE_PATH)
}

/// Returns the answer of the engine `at` to a request, which may end its process.
pub fn engine_answer(request: &Request, fakes: &FakeTargets, at: usize) -> Response {
    let prompt = request.head.header("prompt-prefix").unwrap_or_default();
    let process = fakes.lock().unwrap()[at].engine.crashes;
    let ends = fakes.lock().unwrap()[at].engine.is_ended_by(prompt);
    let limit = fakes.lock().unwrap()[at].engine.limit;
    let (sender, receiver) = bounded(4);
    monoio::spawn(stream(sender, FakeTargets::clone(fakes), at, process, ends));
    let id = request.head.header("request-id").unwrap_or_default();
    let response = Response::events(receiver).with_header("server-signature", "s.1");
    let response = response.with_header("request-id", id);
    match limit {
        Some(limit) => response.with_header("server-limit", limit),
        None => response,
    }
}

/// Sends the events of one run, until its process ends.
async fn stream(sender: Sender, fakes: FakeTargets, at: usize, process: u64, ends: bool) {
    for id in 1..=EVENTS {
        monoio::time::sleep(EVENT_INTERVAL).await;
        if has_ended(&fakes, at, process, ends) {
            return;
        }
        let event = Bytes::from(format!("id: {id}\ndata: a\n\n"));
        if sender.send(event).await.is_err() {
            return;
        }
    }
    sender.finish();
}

/// Ends the process of engine `at` if it still runs and `ends` is set; returns whether it has ended.
fn has_ended(fakes: &FakeTargets, at: usize, process: u64, ends: bool) -> bool {
    let engine = &mut fakes.lock().unwrap()[at].engine;
    if ends && engine.crashes == process {
        engine.end();
    }
    engine.crashes != process
}
