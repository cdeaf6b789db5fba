//! Open-loop load generator: sends at a fixed rate, independent of response times.

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

/// Largest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Requests that a load generator sends.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Server address.
    pub address: SocketAddr,
    /// Request path.
    pub path: String,
    /// Body, in which each `{mark}` is replaced by the request's marker.
    pub body: String,
    /// Additional header fields, each with its line end; `{mark}` is replaced here too.
    pub fields: String,
    /// Requests per second.
    pub rate: f64,
    /// Total number of requests.
    pub count: u64,
    /// Number of the first request; keeps the markers of concurrent generators distinct.
    pub first_number: u64,
    /// Time after which a request is abandoned.
    pub timeout: Duration,
    /// Whether latency is measured from the send time instead of the scheduled time.
    ///
    /// Timers are off by up to a millisecond: this keeps the generator's delay out of short
    /// latencies.
    pub from_send_time: bool,
    /// Whether the response must carry the request's marker.
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

/// Outcomes and latencies of a load generator.
pub struct LoadResult {
    /// Requests by outcome.
    pub outcomes: IndexMap<String, u64>,
    /// Latencies of complete responses, in microseconds.
    pub latency: Histogram<u64>,
}

impl LoadResult {
    /// Returns the number of requests with `outcome`.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }
}

/// Outcome of a request with a complete response.
pub const ANSWERED: &str = "answered";

/// Outcome of a request whose response lacks its marker or has another request's.
pub const WRONG_RESPONSE: &str = "crossed";

struct State {
    load: LoadProfile,
    idle: RefCell<VecDeque<HttpConnection>>,
    result: RefCell<LoadResult>,
}

/// Sends all requests of `load` and returns the result once every request has ended.
///
/// # Errors
/// Fails where the latency histogram can't be created.
pub async fn run(load: LoadProfile) -> io::Result<LoadResult> {
    let latency =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).map_err(io::Error::other)?;
    let result = RefCell::new(LoadResult { outcomes: IndexMap::new(), latency });
    let state = Rc::new(State { load, idle: RefCell::default(), result });
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..state.load.count {
        let due = start + Duration::from_secs_f64(number as f64 / state.load.rate);
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
        tasks.push(monoio::spawn(send_request(state.clone(), number, due)));
    }
    for task in tasks {
        task.await;
    }
    let state =
        Rc::try_unwrap(state).map_err(|_| io::Error::other("a request task is still running"))?;
    Ok(state.result.into_inner())
}

async fn send_request(state: Rc<State>, number: u64, due: Instant) {
    let start = if state.load.from_send_time { Instant::now() } else { due };
    let marker = format!("{}{}", generate::MARKER_PREFIX, state.load.first_number + number);
    let outcome = match timeout(state.load.timeout, exchange(&state, &marker)).await {
        Ok(Ok(response)) => classify(&state.load, &marker, &response),
        Ok(Err(error)) => format!("broken: {}", error.kind()),
        Err(_) => "timeout".to_owned(),
    };
    let mut result = state.result.borrow_mut();
    if outcome == ANSWERED {
        let micros = start.elapsed().as_micros() as u64;
        result.latency.saturating_record(micros.max(1));
    }
    *result.outcomes.entry(outcome).or_default() += 1;
}

async fn exchange(state: &State, marker: &str) -> io::Result<ReceivedResponse> {
    let load = &state.load;
    let body = load.body.replace("{mark}", marker);
    let fields = load.fields.replace("{mark}", marker);
    let length = body.len();
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: caller\r\n{fields}content-length: {length}\r\n\r\n{body}",
        load.path
    );
    let idle = state.idle.borrow_mut().pop_back();
    let mut connection = match idle {
        Some(connection) => connection,
        None => HttpConnection::connect(load.address).await?,
    };
    connection.write(request).await?;
    let response = connection.read_response().await?;
    let close = response.headers.get("connection").is_some_and(|c| c == "close");
    if !close {
        state.idle.borrow_mut().push_back(connection);
    }
    Ok(response)
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: String,
    ran: String,
}

/// Returns the outcome of a request with a response.
fn classify(load: &LoadProfile, marker: &str, response: &ReceivedResponse) -> String {
    if response.status == 200 {
        let body = String::from_utf8_lossy(&response.body);
        let only_own = generate::markers(&body).all(|m| m == marker);
        let present = generate::markers(&body).next().is_some();
        let matches = !load.check_marker || (only_own && present);
        return if matches { ANSWERED } else { WRONG_RESPONSE }.to_owned();
    }
    let problem: Problem = serde_json::from_slice(&response.body).unwrap_or_default();
    format!("refused: {} {} {}", response.status, problem.code, problem.ran)
}
