//! Fake target that responds as an engine and as a plain service.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use monoio::net::TcpListener;
use monoio::time::sleep;

use crate::behaviour::Behaviour;
use crate::behaviour::Fault;
use crate::generate;
use crate::generate::CompletionRequest;
use crate::http1;
use crate::http1::HttpConnection;
use crate::http1::ReceivedRequest;
use crate::record::Outcome;
use crate::record::Report;
use crate::record::Run;
use crate::target_control;

/// Interval of checking for a restart of the target while a call waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Fake target; clones share its state.
#[derive(Clone)]
pub struct Target {
    pub(crate) shared: Rc<Shared>,
}

/// State of a fake target.
pub(crate) struct Shared {
    pub(crate) behaviour: RefCell<Behaviour>,
    pub(crate) report: RefCell<Report>,
    /// Last sample of the number of running calls, with its time.
    pub(crate) sampled_load: RefCell<(Instant, u32)>,
    /// Number of connections accepted so far.
    pub(crate) accepted: Cell<u32>,
    /// Calls on connections with a lower number get no response any more.
    pub(crate) hung_before: Cell<u32>,
    pub(crate) fencing: Cell<u64>,
    created: Instant,
}

/// The connection must be closed.
struct Closed;

impl From<io::Error> for Closed {
    fn from(_: io::Error) -> Self {
        Self
    }
}

impl Target {
    /// Creates a target.
    pub fn new(behaviour: Behaviour) -> Self {
        let report = Report { incarnation: 1, ..Report::default() };
        let shared = Shared {
            behaviour: RefCell::new(behaviour),
            report: RefCell::new(report),
            sampled_load: RefCell::new((Instant::now(), 0)),
            accepted: Cell::new(0),
            hung_before: Cell::new(0),
            fencing: Cell::new(0),
            created: Instant::now(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Accepts and serves connections until the listener fails.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.shared.accepted.get();
            self.shared.accepted.set(number + 1);
            let connection = Connection {
                target: self.clone(),
                stream: HttpConnection::new(stream),
                number,
                calls: 0,
                incarnation: self.shared.report.borrow().incarnation,
            };
            monoio::spawn(connection.run());
        }
    }

    /// Starts a new incarnation, which is cold; all runs and connections of the last one end.
    pub fn restart(&self) {
        let mut report = self.shared.report.borrow_mut();
        report.incarnation += 1;
        report.answers = 0;
        report.running = 0;
    }

    /// Tells whether the target is cold.
    pub fn is_cold(&self) -> bool {
        let behaviour = self.shared.behaviour.borrow();
        behaviour.cold_capacity.is_some()
            && self.shared.report.borrow().answers < behaviour.warm_after
    }

    fn elapsed_micros(&self) -> u64 {
        self.shared.created.elapsed().as_micros() as u64
    }

    /// Returns the fault of the next call and counts the call against `fault_calls`.
    fn next_fault(&self) -> Fault {
        let mut behaviour = self.shared.behaviour.borrow_mut();
        match &mut behaviour.fault_calls {
            Some(0) => Fault::None,
            Some(remaining) => {
                *remaining -= 1;
                behaviour.fault
            }
            None => behaviour.fault,
        }
    }

    /// Records the start of a run and returns its index; `None` where it crashed the target.
    fn start_run(&self, request: &ReceivedRequest) -> Option<usize> {
        let cold = self.is_cold();
        let behaviour = self.shared.behaviour.borrow();
        let capacity = if cold { behaviour.cold_capacity } else { behaviour.warm_capacity };
        let mut report = self.shared.report.borrow_mut();
        report.running += 1;
        report.peak = report.peak.max(report.running);
        if cold {
            report.cold_peak = report.cold_peak.max(report.running);
        }
        let key = Some(request.header("idempotency-key")).filter(|k| !k.is_empty());
        report.runs.push(Run {
            id: request.header("x-request-id").to_owned(),
            key: key.map(str::to_owned),
            path: request.head.uri.path().to_owned(),
            start: self.elapsed_micros(),
            ..Run::default()
        });
        let index = report.runs.len() - 1;
        if capacity.is_some_and(|c| report.running > c) {
            report.crashes += 1;
            report.runs[index].outcome = Outcome::Failed;
            drop(report);
            drop(behaviour);
            self.restart();
            return None;
        }
        Some(index)
    }

    fn finish_run(&self, index: usize, incarnation: u64, outcome: Outcome) {
        let micros = self.elapsed_micros();
        let mut report = self.shared.report.borrow_mut();
        report.runs[index].outcome = outcome;
        report.runs[index].end = micros;
        if report.incarnation == incarnation {
            report.running -= 1;
            report.answers += u32::from(outcome == Outcome::Done);
        }
    }

    /// Returns `millis` extended by `slowdown` and by the calls in excess of `batch`.
    fn scale(&self, millis: u64) -> Duration {
        let behaviour = self.shared.behaviour.borrow();
        let running = f64::from(self.shared.report.borrow().running);
        let contention = (running / f64::from(behaviour.batch.max(1))).max(1.0);
        Duration::from_secs_f64(millis as f64 * behaviour.slowdown * contention / 1000.0)
    }
}

struct Connection {
    target: Target,
    stream: HttpConnection,
    number: u32,
    calls: u32,
    incarnation: u64,
}

impl Connection {
    async fn run(mut self) {
        while let Ok(Some(request)) = self.stream.read_request().await {
            let last = request.wants_close();
            if self.is_restarted() || self.exchange(request).await.is_err() || last {
                return;
            }
        }
    }

    fn is_restarted(&self) -> bool {
        self.target.shared.report.borrow().incarnation != self.incarnation
    }

    fn is_hung(&self) -> bool {
        self.number < self.target.shared.hung_before.get()
    }

    async fn exchange(&mut self, request: ReceivedRequest) -> Result<(), Closed> {
        if let Some((status, body)) = target_control::handle(&self.target, &request) {
            let echo = self.identity_fields(request.header("x-request-id"));
            return Ok(self.stream.write(http1::encode_response(status, &echo, &body)).await?);
        }
        self.calls += 1;
        self.target.shared.report.borrow_mut().connections += u32::from(self.calls == 1);
        if self.is_hung() {
            // As behind a middlebox that lost its connection state, the call never runs.
            return self.hang().await;
        }
        let fault = self.target.next_fault();
        match fault {
            Fault::CloseBeforeRun => return Err(Closed),
            Fault::Refuse => return self.refuse(&request, b"{\"ran\":\"not-run\"}").await,
            Fault::RefuseAmbiguous => return self.refuse(&request, b"{}").await,
            _ => {}
        }
        let Some(index) = self.target.start_run(&request) else { return Err(Closed) };
        let result = self.respond(&request, fault, index).await;
        let outcome = match result {
            Ok(()) => Outcome::Done,
            Err(_) if fault != Fault::None || self.is_restarted() => Outcome::Failed,
            Err(_) => Outcome::Cancelled,
        };
        self.target.finish_run(index, self.incarnation, outcome);
        result
    }

    async fn refuse(&mut self, request: &ReceivedRequest, body: &[u8]) -> Result<(), Closed> {
        self.target.shared.report.borrow_mut().refused += 1;
        let fields =
            format!("{}retry-after: 1\r\n", self.identity_fields(request.header("x-request-id")));
        Ok(self.stream.write(http1::encode_response(503, &fields, body)).await?)
    }

    async fn respond(
        &mut self,
        request: &ReceivedRequest,
        fault: Fault,
        run: usize,
    ) -> Result<(), Closed> {
        let (floor, late) = {
            let behaviour = self.target.shared.behaviour.borrow();
            (behaviour.floor_ms, behaviour.late_ms)
        };
        self.pause(self.target.scale(floor)).await?;
        match fault {
            Fault::NoResponse => return self.hang().await,
            Fault::CloseAfterRun => return Err(Closed),
            Fault::Malformed => {
                self.stream.write("\x01\x02 garbage\r\n\r\n").await?;
                return Err(Closed);
            }
            Fault::ServerError => {
                let echo = self.identity_fields(request.header("x-request-id"));
                return Ok(self.stream.write(http1::encode_response(500, &echo, b"{}")).await?);
            }
            Fault::Late => self.pause(Duration::from_millis(late)).await?,
            _ => {}
        }
        let path = request.head.uri.path();
        let completion: CompletionRequest =
            serde_json::from_slice(&request.body).unwrap_or_default();
        if path.ends_with("/completions") && completion.stream {
            return self.respond_stream(request, &completion, fault, run).await;
        }
        let body = generate::service_response(path, &request.body);
        let response = http1::encode_response(200, &self.header_fields(request, fault), &body);
        match fault {
            Fault::Truncated | Fault::Disconnect => {
                self.stream.write(&response[..response.len() - body.len() / 2]).await?;
                Err(Closed)
            }
            Fault::Stall => {
                self.stream.write(&response[..response.len() - body.len() / 2]).await?;
                self.hang().await
            }
            Fault::LateDuplicate => {
                self.stream.write(response.clone()).await?;
                self.pause(Duration::from_millis(late)).await?;
                Ok(self.stream.write(response).await?)
            }
            Fault::Duplicate => {
                Ok(self.stream.write([response.clone(), response].concat()).await?)
            }
            _ => Ok(self.stream.write(response).await?),
        }
    }

    async fn respond_stream(
        &mut self,
        request: &ReceivedRequest,
        completion: &CompletionRequest,
        fault: Fault,
        run: usize,
    ) -> Result<(), Closed> {
        let behaviour = self.target.shared.behaviour.borrow().clone();
        let mut fields = self.header_fields(request, fault);
        let mut skip: usize = request.header("x-resume-offset").parse().unwrap_or(0);
        if skip > 0 && behaviour.resume {
            fields.push_str(&format!("x-resume-offset: {skip}\r\n"));
        } else {
            skip = 0;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        self.stream.write(head.as_bytes()).await?;
        let chat = request.head.uri.path().ends_with("/chat/completions");
        let interrupted = matches!(fault, Fault::Disconnect | Fault::Stall | Fault::Truncated);
        let mut sent = 0;
        for token in completion.tokens(behaviour.tokens) {
            if interrupted && sent == behaviour.cut_after {
                return if fault == Fault::Stall { self.hang().await } else { Err(Closed) };
            }
            let rest = &token[skip.min(token.len())..];
            skip -= skip.min(token.len());
            if rest.is_empty() {
                continue;
            }
            if sent > 0 {
                self.pause(self.target.scale(behaviour.token_ms)).await?;
            }
            self.stream.write(http1::encode_chunk(&generate::completion_event(rest, chat))).await?;
            sent += 1;
            self.target.shared.report.borrow_mut().runs[run].tokens = sent;
        }
        let mut end = match fault {
            Fault::MissingDone => Vec::new(),
            _ => http1::encode_chunk(b"data: [DONE]\n\n"),
        };
        end.extend_from_slice(b"0\r\n\r\n");
        if fault == Fault::Duplicate {
            end.extend(head.as_bytes());
            end.extend(http1::encode_chunk(&generate::completion_event("again ", chat)));
            end.extend(b"0\r\n\r\n");
        }
        Ok(self.stream.write(end).await?)
    }

    /// Returns the header fields of a response to `request`.
    fn header_fields(&self, request: &ReceivedRequest, fault: Fault) -> String {
        let id = request.header("x-request-id");
        match fault {
            // Changes the identity's first digit, which makes it that of another call.
            Fault::WrongCall => {
                let first = if id.starts_with('f') { 'e' } else { 'f' };
                format!("x-request-id: {first}{}\r\n", id.get(1..).unwrap_or(""))
            }
            _ => self.identity_fields(id),
        }
    }

    /// Returns the header fields with the call's identity and the target's incarnation.
    fn identity_fields(&self, id: &str) -> String {
        let behaviour = self.target.shared.behaviour.borrow();
        let mut fields = String::new();
        if behaviour.echo_id && !id.is_empty() {
            fields.push_str(&format!("x-request-id: {id}\r\n"));
        }
        if behaviour.send_incarnation {
            fields.push_str(&format!("x-incarnation: {}\r\n", self.incarnation));
        }
        fields
    }

    /// Sends nothing until the client closes the connection or the target restarts.
    async fn hang(&mut self) -> Result<(), Closed> {
        loop {
            self.pause(POLL_INTERVAL).await?;
        }
    }

    /// Waits for `duration`; fails if the client closes the connection or the target restarts.
    async fn pause(&mut self, duration: Duration) -> Result<(), Closed> {
        let end = Instant::now() + duration;
        while !self.is_restarted() {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(());
            }
            monoio::select! {
                () = sleep(remaining.min(POLL_INTERVAL)) => {}
                filled = self.stream.fill() => {
                    if !matches!(filled, Ok(1..)) {
                        return Err(Closed);
                    }
                }
            }
        }
        Err(Closed)
    }
}
