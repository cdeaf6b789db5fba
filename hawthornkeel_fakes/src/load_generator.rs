//! Open-loop caller: sends at a fixed rate, whatever the answers do.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use monoio::time::sleep;
use monoio::time::timeout;
use serde::Deserialize;

use crate::generate;
use crate::http1::HttpConnection;
use crate::http1::ReceivedResponse;

/// Latency that is recorded, in microseconds at most.
const MAX_LATENCY: u64 = 120_000_000;

/// Significant digits of recorded latencies.
const DIGITS: u8 = 3;

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Address called.
    pub address: SocketAddr,
    /// Path.
    pub path: String,
    /// Body, in which each `{mark}` is replaced by the request's own mark.
    pub body: String,
    /// Further header fields, each ended by a line end; `{mark}` is replaced here too.
    pub fields: String,
    /// Requests a second.
    pub rate: f64,
    /// Requests in all.
    pub count: u64,
    /// Number of the first request, so that callers at once have marks of their own.
    pub first_number: u64,
    /// Time after which a request is given up.
    pub timeout: Duration,
    /// Whether latencies run from the sending, not from when it was due.
    ///
    /// Timers are a millisecond off: this leaves the caller's own delay out of short latencies.
    pub from_send_time: bool,
    /// Whether the answer must carry the request's mark.
    pub check_marker: bool,
}

impl Default for LoadProfile {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            path: "/".to_owned(),
            body: "{\"input\":\"{mark}\"}".to_owned(),
            fields: String::new(),
            rate: 100.0,
            count: 100,
            first_number: 0,
            timeout: Duration::from_secs(30),
            from_send_time: false,
            check_marker: true,
        }
    }
}

/// What a caller saw.
pub struct LoadResult {
    /// Requests by outcome.
    pub outcomes: IndexMap<String, u64>,
    /// Latencies of whole answers, in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadResult {
    /// Returns the number of requests with `outcome`.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }
}

/// Outcome of a request that was answered whole.
pub const ANSWERED: &str = "answered";

/// Outcome of a request that got an answer without its mark.
pub const WRONG_RESPONSE: &str = "crossed";

struct State {
    load: LoadProfile,
    idle: RefCell<VecDeque<HttpConnection>>,
    seen: RefCell<LoadResult>,
}

/// Sends `load` and returns what was seen once every request has ended.
pub async fn run(load: LoadProfile) -> io::Result<LoadResult> {
    let latency = Histogram::new_with_bounds(1, MAX_LATENCY, DIGITS).map_err(io::Error::other)?;
    let seen = RefCell::new(LoadResult { outcomes: IndexMap::new(), latency });
    let state = Rc::new(State { load, idle: RefCell::default(), seen });
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..state.load.count {
        let due = start + Duration::from_secs_f64(number as f64 / state.load.rate);
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        tasks.push(monoio::spawn(one(state.clone(), number, due)));
    }
    for task in tasks {
        task.await;
    }
    let state = Rc::try_unwrap(state).map_err(|_| io::Error::other("a task is left"))?;
    Ok(state.seen.into_inner())
}

async fn one(state: Rc<State>, number: u64, due: Instant) {
    let start = if state.load.from_send_time { Instant::now() } else { due };
    let mark = format!("{}{}", generate::MARKER_PREFIX, state.load.first_number + number);
    let outcome = match timeout(state.load.timeout, exchange(&state, &mark)).await {
        Ok(Ok(reply)) => judge(&state.load, &mark, &reply),
        Ok(Err(error)) => format!("broken: {}", error.kind()),
        Err(_) => "timeout".to_owned(),
    };
    let mut seen = state.seen.borrow_mut();
    if outcome == ANSWERED {
        let micros = start.elapsed().as_micros() as u64;
        seen.latency.saturating_record(micros.max(1));
    }
    *seen.outcomes.entry(outcome).or_default() += 1;
}

async fn exchange(state: &State, mark: &str) -> io::Result<ReceivedResponse> {
    let load = &state.load;
    let body = load.body.replace("{mark}", mark);
    let fields = load.fields.replace("{mark}", mark);
    let length = body.len();
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: caller\r\n{fields}content-length: {length}\r\n\r\n{body}",
        load.path
    );
    let idle = state.idle.borrow_mut().pop_back();
    let mut wire = match idle {
        Some(wire) => wire,
        None => HttpConnection::connect(load.address).await?,
    };
    wire.write(request).await?;
    let reply = wire.read_response().await?;
    let close = reply.headers.get("connection").is_some_and(|c| c == "close");
    if !close {
        state.idle.borrow_mut().push_back(wire);
    }
    Ok(reply)
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: String,
    ran: String,
}

fn judge(load: &LoadProfile, mark: &str, reply: &ReceivedResponse) -> String {
    if reply.status == 200 {
        let body = String::from_utf8_lossy(&reply.body);
        let own = generate::markers(&body).all(|m| m == mark);
        let present = generate::markers(&body).next().is_some();
        let fits = !load.check_marker || (own && present);
        return if fits { ANSWERED } else { WRONG_RESPONSE }.to_owned();
    }
    let problem: Problem = serde_json::from_slice(&reply.body).unwrap_or_default();
    format!("refused: {} {} {}", reply.status, problem.code, problem.ran)
}
