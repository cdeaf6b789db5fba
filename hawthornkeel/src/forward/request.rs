//! Caller's request as admitted, and its encoding for a target.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::stages::admission::first_attempt_slack;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::table::RouteTable;
use hawthornkeel_core::table::access::Admitted;
use hawthornkeel_core::table::pool::Pool;
use hawthornkeel_core::table::route::Route;
use hawthornkeel_platform::fields;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header::AUTHORIZATION;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::EXPECT;
use http::header::HOST;
use http::header::TE;
use http::header::TRAILER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;

use crate::forward::http_client::OutgoingRequest;
use crate::forward::subjects;
use crate::http::message::Head;
use crate::http::message::Request;

/// Minimum time left for a request to be sent to a target.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Admitted request of a caller.
pub struct IncomingRequest {
    /// Head of the request.
    pub head: Head,
    /// Body.
    pub body: Bytes,
    /// Request identifier given by the caller.
    pub id: Arc<str>,
    /// Route.
    pub route: Arc<Route>,
    /// Pool that serves the request.
    pub pool: Arc<Pool>,
    /// Route table under which the request was admitted.
    pub table: Rc<RouteTable>,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Software that began the stream that the request goes on with.
    pub origin: Option<StreamOrigin>,
    /// Priority; zero is the highest.
    pub priority: u16,
    /// Affinity key, equal for requests that share a prompt prefix.
    pub session: u64,
    /// What other requests may have in common with it: parts of its prompt, then the identities of the
    /// work, the most exact one last.
    pub subjects: Box<[Subject]>,
    /// Time at which it began to arrive.
    pub began: Instant,
    /// Time at which it had arrived.
    pub started: Instant,
    /// Time by which the response should begin to meet the objective of the route.
    pub objective_deadline: Instant,
    /// Time at which the caller's or the route's timeout expires.
    pub deadline: Instant,
    /// Time left beyond what a retrying caller would have; zero if this is a retry of a rejected
    /// request.
    pub first_attempt_slack: Duration,
    /// Whether it may have run: it was sent to a target that did not say otherwise.
    pub may_have_run: Cell<bool>,
    /// Whether another entry has handed it over, or none takes it: it is sent to targets from here.
    pub stays_here: Cell<bool>,
    /// Whether it runs as the probe of a rejected subject.
    pub is_probe: Cell<bool>,
}

impl IncomingRequest {
    /// Creates an admitted request, or returns `None` if its route has no known pool.
    pub fn new(request: Request, admitted: Admitted, table: Rc<RouteTable>) -> Option<Self> {
        let started = Instant::now();
        let head = request.head;
        let id: Arc<str> = Arc::from(head.header(fields::REQUEST_ID).unwrap_or_default());
        let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
        let pool = admitted.route.pick_pool(hash).and_then(|p| table.pools.get(p)).cloned()?;
        let requested = head.header(fields::DEADLINE_MS).and_then(|d| d.trim().parse::<f64>().ok());
        let requested = requested.and_then(|d| Duration::try_from_secs_f64(d / 1_000.0).ok());
        let timeout = admitted.route.timeout;
        let first_attempt_slack = first_attempt_slack(timeout, requested.unwrap_or(timeout));
        let deadline = started + requested.unwrap_or(timeout).min(timeout);
        let objective_deadline = deadline.min(started + admitted.route.objective);
        let parts = subjects::prompt_parts(&head);
        let session = subjects::session_key(&parts).unwrap_or(hash);
        let works = subjects::works(&head, admitted.workspace.as_ref(), &request.body);
        Some(Self {
            body: request.body,
            id,
            route: admitted.route,
            pool,
            table,
            workspace: admitted.workspace,
            origin: None,
            priority: admitted.priority,
            session,
            subjects: subjects::shared_parts(&parts).chain(works).collect(),
            began: request.began,
            started,
            objective_deadline,
            deadline,
            first_attempt_slack,
            may_have_run: Cell::new(false),
            stays_here: Cell::new(false),
            is_probe: Cell::new(false),
            head,
        })
    }

    /// Binds the request to the software that began the stream that it goes on with, if any.
    pub fn bound_to(mut self, origin: Option<StreamOrigin>) -> Self {
        let Some(origin) = origin else { return self };
        if let Some(pool) = self.table.pools.get(&origin.pool) {
            self.pool = pool.clone();
        }
        // The first event came in time or not long ago; what counts now is that its caller waits.
        self.objective_deadline = self.deadline.min(self.started + self.route.event_patience);
        self.origin = Some(origin);
        self
    }

    /// Marks the request as handed over by the entry at which it arrived at `started`.
    pub fn handed_over(mut self, started: Instant) -> Self {
        self.started = started;
        self.objective_deadline = self.deadline.min(started + self.route.objective);
        self.stays_here.set(true);
        self
    }

    /// Returns what is known about its having run.
    pub fn run_status(&self) -> RunStatus {
        if self.may_have_run.get() { RunStatus::Unknown } else { RunStatus::NotRun }
    }

    /// Returns the time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the most tokens that the response may have, if the caller states it.
    pub fn max_tokens(&self) -> Option<u32> {
        fields::max_tokens(self.head.header(fields::TOKEN_COUNTS)?)
    }

    /// Returns the caller's number of pieces of each stage, or `None` if the field is malformed or
    /// names too many.
    pub fn piece_counts(&self) -> Option<Vec<u32>> {
        fields::piece_counts(self.head.header(fields::PIECE_COUNTS).unwrap_or_default())
    }

    /// Encodes the request for `target`; a stream resumes after the event `last_event`, if given.
    pub fn encode_for(
        &self,
        target: &ChosenTarget,
        results: &[Handle],
        last_event: Option<&str>,
    ) -> OutgoingRequest {
        let Head { method, path, query, headers } = &self.head;
        let mut out = BytesMut::with_capacity(1_024 + self.body.len());
        put(&mut out, &[method.as_str(), " ", path]);
        if !query.is_empty() {
            put(&mut out, &["?", query]);
        }
        put(&mut out, &[" HTTP/1.1\r\n"]);
        for (name, value) in headers.iter().filter(|(n, _)| self.is_forwarded(n, last_event)) {
            put(&mut out, &[name.as_str(), ": "]);
            out.extend_from_slice(value.as_bytes());
            put(&mut out, &["\r\n"]);
        }
        let left_ms = self.time_left().as_millis().max(1).to_string();
        put_field(&mut out, fields::DEADLINE_MS, &left_ms);
        put_field(&mut out, fields::EXPECTED_TARGET, target.name.as_str());
        if let Some(workspace) = &self.workspace {
            put_field(&mut out, fields::WORKSPACE, workspace.as_str());
        }
        if !results.is_empty() {
            put_field(&mut out, fields::INPUTS, &results.join(","));
        }
        if let Some(last_event) = last_event {
            put_field(&mut out, fields::LAST_EVENT_ID, last_event);
        }
        if !self.body.is_empty() || takes_body(method) {
            put_field(&mut out, CONTENT_LENGTH.as_str(), &self.body.len().to_string());
        }
        put(&mut out, &["\r\n"]);
        out.extend_from_slice(&self.body);
        OutgoingRequest {
            data: out.freeze(),
            id: (!self.id.is_empty()).then(|| Bytes::copy_from_slice(self.id.as_bytes())),
            bodiless: method == Method::HEAD,
            retryable: self.route.kind.is_retryable(),
        }
    }

    /// Returns whether a header field of the caller is forwarded to targets.
    fn is_forwarded(&self, name: &HeaderName, last_event: Option<&str>) -> bool {
        if name == AUTHORIZATION {
            return !self.table.requires_key;
        }
        let replaced = last_event.is_some() && name == fields::LAST_EVENT_ID;
        !replaced
            && !is_hop_by_hop(name, &self.head.headers)
            && name != EXPECT
            && name != CONTENT_LENGTH
            && !fields::RESERVED.contains(&name.as_str())
    }
}

/// Returns whether a header field is hop-by-hop.
pub fn is_hop_by_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    let is_standard = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE].contains(name)
        || matches!(
            name.as_str(),
            "keep-alive" | "proxy-connection" | "proxy-authenticate" | "proxy-authorization"
        );
    is_standard
        || crate::http::connection::has_connection_option(headers, name.as_str()) && name != HOST
}

fn takes_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn put(out: &mut BytesMut, texts: &[&str]) {
    for text in texts {
        out.extend_from_slice(text.as_bytes());
    }
}

fn put_field(out: &mut BytesMut, name: &str, value: &str) {
    put(out, &[name, ": ", value, "\r\n"]);
}
