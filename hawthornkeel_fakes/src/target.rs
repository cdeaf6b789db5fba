//! Stand-in target: engine and plain service at once.

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

/// Time between looks at whether the target fell over, while nothing else happens.
const LOOK: Duration = Duration::from_millis(20);

/// Stand-in target; clones share it.
#[derive(Clone)]
pub struct Target {
    pub(crate) shared: Rc<Shared>,
}

/// State of a stand-in target.
pub(crate) struct Shared {
    pub(crate) behaviour: RefCell<Behaviour>,
    pub(crate) report: RefCell<Report>,
    /// Load report as it was when it was last taken, and when that was.
    pub(crate) reported: RefCell<(Instant, u32)>,
    /// Connections accepted.
    pub(crate) accepted: Cell<u32>,
    /// Connections opened before this number never answer again.
    pub(crate) silent_before: Cell<u32>,
    pub(crate) fencing: Cell<u64>,
    origin: Instant,
}

/// Why a connection ends.
struct End;

impl From<io::Error> for End {
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
            reported: RefCell::new((Instant::now(), 0)),
            accepted: Cell::new(0),
            silent_before: Cell::new(0),
            fencing: Cell::new(0),
            origin: Instant::now(),
        };
        Self { shared: Rc::new(shared) }
    }

    /// Accepts and serves for good.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.shared.accepted.get();
            self.shared.accepted.set(number + 1);
            let connection = Connection {
                target: self.clone(),
                wire: HttpConnection::new(stream),
                number,
                calls: 0,
                incarnation: self.shared.report.borrow().incarnation,
            };
            monoio::spawn(connection.run());
        }
    }

    /// Ends all runs and connections and starts a new incarnation, cold again.
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

    fn micros(&self) -> u64 {
        self.shared.origin.elapsed().as_micros() as u64
    }

    /// Returns the fault that hits the next call.
    fn next_fault(&self) -> Fault {
        let mut behaviour = self.shared.behaviour.borrow_mut();
        match &mut behaviour.fault_calls {
            Some(0) => Fault::None,
            Some(left) => {
                *left -= 1;
                behaviour.fault
            }
            None => behaviour.fault,
        }
    }

    /// Records the start of a run and returns its index; falls over where it is one too many.
    fn begin(&self, request: &ReceivedRequest) -> Option<usize> {
        let cold = self.is_cold();
        let behaviour = self.shared.behaviour.borrow();
        let bears = if cold { behaviour.cold_capacity } else { behaviour.warm_capacity };
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
            start: self.micros(),
            ..Run::default()
        });
        let index = report.runs.len() - 1;
        if bears.is_some_and(|b| report.running > b) {
            report.crashes += 1;
            report.runs[index].outcome = Outcome::Failed;
            drop(report);
            drop(behaviour);
            self.restart();
            return None;
        }
        Some(index)
    }

    fn finish(&self, index: usize, incarnation: u64, outcome: Outcome) {
        let micros = self.micros();
        let mut report = self.shared.report.borrow_mut();
        report.runs[index].outcome = outcome;
        report.runs[index].end = micros;
        if report.incarnation == incarnation {
            report.running -= 1;
            report.answers += u32::from(outcome == Outcome::Done);
        }
    }

    /// Returns `millis` stretched by slowness and by the calls that share the batch.
    fn stretch(&self, millis: u64) -> Duration {
        let behaviour = self.shared.behaviour.borrow();
        let running = f64::from(self.shared.report.borrow().running);
        let shared = (running / f64::from(behaviour.batch.max(1))).max(1.0);
        Duration::from_secs_f64(millis as f64 * behaviour.slowdown * shared / 1000.0)
    }
}

struct Connection {
    target: Target,
    wire: HttpConnection,
    number: u32,
    calls: u32,
    incarnation: u64,
}

impl Connection {
    async fn run(mut self) {
        while let Ok(Some(request)) = self.wire.read_request().await {
            let last = request.wants_close();
            if self.is_fallen() || self.exchange(request).await.is_err() || last {
                return;
            }
        }
    }

    fn is_fallen(&self) -> bool {
        self.target.shared.report.borrow().incarnation != self.incarnation
    }

    fn is_silent(&self) -> bool {
        self.number < self.target.shared.silent_before.get()
    }

    async fn exchange(&mut self, request: ReceivedRequest) -> Result<(), End> {
        if let Some((status, body)) = target_control::handle(&self.target, &request) {
            let echo = self.echo(request.header("x-request-id"));
            return Ok(self.wire.write(http1::encode_response(status, &echo, &body)).await?);
        }
        self.calls += 1;
        self.target.shared.report.borrow_mut().connections += u32::from(self.calls == 1);
        if self.is_silent() {
            // The request never got through: what loses track of a connection drops both ways.
            return self.hang().await;
        }
        let fault = self.target.next_fault();
        match fault {
            Fault::CloseBeforeRun => return Err(End),
            Fault::Refuse => return self.refuse(&request, b"{\"ran\":\"not-run\"}").await,
            Fault::RefuseAmbiguous => return self.refuse(&request, b"{}").await,
            _ => {}
        }
        let Some(index) = self.target.begin(&request) else { return Err(End) };
        let result = self.answer(&request, fault, index).await;
        let outcome = match result {
            Ok(()) => Outcome::Done,
            Err(_) if fault != Fault::None || self.is_fallen() => Outcome::Failed,
            Err(_) => Outcome::Cancelled,
        };
        self.target.finish(index, self.incarnation, outcome);
        result
    }

    async fn refuse(&mut self, request: &ReceivedRequest, body: &[u8]) -> Result<(), End> {
        self.target.shared.report.borrow_mut().refused += 1;
        let fields = format!("{}retry-after: 1\r\n", self.echo(request.header("x-request-id")));
        Ok(self.wire.write(http1::encode_response(503, &fields, body)).await?)
    }

    async fn answer(
        &mut self,
        request: &ReceivedRequest,
        fault: Fault,
        run: usize,
    ) -> Result<(), End> {
        let (floor, late) = {
            let behaviour = self.target.shared.behaviour.borrow();
            (behaviour.floor_ms, behaviour.late_ms)
        };
        self.pause(self.target.stretch(floor)).await?;
        match fault {
            Fault::NoResponse => return self.hang().await,
            Fault::CloseAfterRun => return Err(End),
            Fault::Malformed => {
                self.wire.write("\x01\x02 garbage\r\n\r\n").await?;
                return Err(End);
            }
            Fault::ServerError => {
                let echo = self.echo(request.header("x-request-id"));
                return Ok(self.wire.write(http1::encode_response(500, &echo, b"{}")).await?);
            }
            Fault::Late => self.pause(Duration::from_millis(late)).await?,
            _ => {}
        }
        let path = request.head.uri.path();
        let ask: CompletionRequest = serde_json::from_slice(&request.body).unwrap_or_default();
        if path.ends_with("/completions") && ask.stream {
            return self.answer_stream(request, &ask, fault, run).await;
        }
        let body = generate::service_response(path, &request.body);
        let answer = http1::encode_response(200, &self.fields(request, fault), &body);
        match fault {
            Fault::Truncated | Fault::Disconnect => {
                self.wire.write(&answer[..answer.len() - body.len() / 2]).await?;
                Err(End)
            }
            Fault::Stall => {
                self.wire.write(&answer[..answer.len() - body.len() / 2]).await?;
                self.hang().await
            }
            Fault::LateDuplicate => {
                self.wire.write(answer.clone()).await?;
                self.pause(Duration::from_millis(late)).await?;
                Ok(self.wire.write(answer).await?)
            }
            Fault::Duplicate => Ok(self.wire.write([answer.clone(), answer].concat()).await?),
            _ => Ok(self.wire.write(answer).await?),
        }
    }

    async fn answer_stream(
        &mut self,
        request: &ReceivedRequest,
        ask: &CompletionRequest,
        fault: Fault,
        run: usize,
    ) -> Result<(), End> {
        let behaviour = self.target.shared.behaviour.borrow().clone();
        let mut fields = self.fields(request, fault);
        let mut skip: usize = request.header("x-resume-offset").parse().unwrap_or(0);
        if skip > 0 && behaviour.resume {
            fields.push_str(&format!("x-resume-offset: {skip}\r\n"));
        } else {
            skip = 0;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        self.wire.write(head.as_bytes()).await?;
        let chat = request.head.uri.path().ends_with("/chat/completions");
        let cut = matches!(fault, Fault::Disconnect | Fault::Stall | Fault::Truncated);
        let mut sent = 0;
        for token in ask.tokens(behaviour.tokens) {
            if cut && sent == behaviour.cut_after {
                return if fault == Fault::Stall { self.hang().await } else { Err(End) };
            }
            let rest = &token[skip.min(token.len())..];
            skip -= skip.min(token.len());
            if rest.is_empty() {
                continue;
            }
            if sent > 0 {
                self.pause(self.target.stretch(behaviour.token_ms)).await?;
            }
            self.wire.write(http1::encode_chunk(&generate::completion_event(rest, chat))).await?;
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
        Ok(self.wire.write(end).await?)
    }

    fn fields(&self, request: &ReceivedRequest, fault: Fault) -> String {
        let id = request.header("x-request-id");
        match fault {
            // The identity of a call that another connection carries.
            Fault::WrongCall => {
                let first = if id.starts_with('f') { 'e' } else { 'f' };
                format!("x-request-id: {first}{}\r\n", id.get(1..).unwrap_or(""))
            }
            _ => self.echo(id),
        }
    }

    /// Returns the fields of every answer: the call's identity and the target's incarnation.
    fn echo(&self, id: &str) -> String {
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

    /// Says nothing until the other end closes or the target falls over.
    async fn hang(&mut self) -> Result<(), End> {
        loop {
            self.pause(LOOK).await?;
        }
    }

    /// Waits, and ends early where the other end closes or the target falls over.
    async fn pause(&mut self, duration: Duration) -> Result<(), End> {
        let end = Instant::now() + duration;
        while !self.is_fallen() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            monoio::select! {
                () = sleep(left.min(LOOK)) => {}
                filled = self.wire.fill() => {
                    if !matches!(filled, Ok(1..)) {
                        return Err(End);
                    }
                }
            }
        }
        Err(End)
    }
}
