//! Caller's request as it is read and as it goes on to a target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::stages::admission::first_attempt_slack;
use hawthornkeel_core::stages::job::Handle;
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

use crate::forward::exchange::Outgoing;
use crate::http::message::Head;
use crate::http::message::Request;

/// Time that a request needs at a target at least.
pub const MIN_LEFT: Duration = Duration::from_millis(5);

/// Caller's request that may pass.
pub struct Ticket {
    /// Head of the request.
    pub head: Head,
    /// Body.
    pub body: Bytes,
    /// Identity that the caller gave.
    pub id: Arc<str>,
    /// Route.
    pub route: Arc<Route>,
    /// Pool that it goes to.
    pub pool: Arc<Pool>,
    /// Document that it passed under.
    pub table: Rc<RouteTable>,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceName>,
    /// Rank, zero the highest.
    pub rank: u16,
    /// Number that is the same for requests that share a prompt.
    pub session: u64,
    /// When it came.
    pub started: Instant,
    /// When its answer is worth most at the latest.
    pub due: Instant,
    /// When the caller or the operator gives up.
    pub end: Instant,
    /// Time after which the caller, if it is turned away, is known to have been here before: zero
    /// where it has.
    pub fresh: Duration,
}

impl Ticket {
    /// Reads a request that has passed; `None` where its route leads to no pool.
    pub fn new(request: Request, pass: Admitted, table: Rc<RouteTable>) -> Option<Self> {
        let started = Instant::now();
        let head = request.head;
        let id: Arc<str> = Arc::from(head.header(fields::REQUEST_ID).unwrap_or_default());
        let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
        let pool = pass.route.pick_pool(hash).and_then(|p| table.pools.get(p)).cloned()?;
        let asked = head.header(fields::DEADLINE_MS).and_then(|d| d.trim().parse::<f64>().ok());
        let asked = asked.and_then(|d| Duration::try_from_secs_f64(d / 1_000.0).ok());
        let timeout = pass.route.timeout;
        let fresh = first_attempt_slack(timeout, asked.unwrap_or(timeout));
        let end = started + asked.unwrap_or(timeout).min(timeout);
        let due = end.min(started + pass.route.objective);
        let session = session(&head).unwrap_or(hash);
        Some(Self {
            body: request.body,
            id,
            route: pass.route,
            pool,
            table,
            workspace: pass.workspace,
            rank: pass.priority,
            session,
            started,
            due,
            end,
            fresh,
            head,
        })
    }

    /// Returns the time left.
    pub fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Returns the number of pieces of each stage, as the caller says; `None` where it can't be read.
    pub fn pieces(&self) -> Option<Vec<u32>> {
        fields::parse_numbers(self.head.header(fields::PIECE_COUNTS).unwrap_or_default())
    }

    /// Encodes the request for `target`; a stream goes on after the event `last`, if there is one.
    pub fn outgoing(
        &self,
        target: &ChosenTarget,
        results: &[Handle],
        last: Option<&str>,
    ) -> Outgoing {
        let Head { method, path, query, headers } = &self.head;
        let mut out = BytesMut::with_capacity(1_024 + self.body.len());
        put(&mut out, &[method.as_str(), " ", path]);
        if !query.is_empty() {
            put(&mut out, &["?", query]);
        }
        put(&mut out, &[" HTTP/1.1\r\n"]);
        for (name, value) in headers.iter().filter(|(n, _)| self.goes_on(n, last)) {
            put(&mut out, &[name.as_str(), ": "]);
            out.extend_from_slice(value.as_bytes());
            put(&mut out, &["\r\n"]);
        }
        let left = self.left().as_millis().max(1).to_string();
        put_field(&mut out, fields::DEADLINE_MS, &left);
        put_field(&mut out, fields::EXPECTED_TARGET, target.name.as_str());
        if let Some(workspace) = &self.workspace {
            put_field(&mut out, fields::WORKSPACE, workspace.as_str());
        }
        if !results.is_empty() {
            put_field(&mut out, fields::INPUTS, &results.join(","));
        }
        if let Some(last) = last {
            put_field(&mut out, fields::LAST_EVENT_ID, last);
        }
        if !self.body.is_empty() || takes_body(method) {
            put_field(&mut out, CONTENT_LENGTH.as_str(), &self.body.len().to_string());
        }
        put(&mut out, &["\r\n"]);
        out.extend_from_slice(&self.body);
        Outgoing {
            data: out.freeze(),
            id: (!self.id.is_empty()).then(|| Bytes::copy_from_slice(self.id.as_bytes())),
            bodiless: method == Method::HEAD,
            repeatable: self.route.kind.is_retryable(),
        }
    }

    /// Tells whether a field of the caller's goes on to a target.
    fn goes_on(&self, name: &HeaderName, last: Option<&str>) -> bool {
        if name == AUTHORIZATION {
            return !self.table.requires_key;
        }
        let replaced = last.is_some() && name == fields::LAST_EVENT_ID;
        !replaced
            && !is_hop(name, &self.head.headers)
            && name != EXPECT
            && name != CONTENT_LENGTH
            && !fields::RESERVED.contains(&name.as_str())
    }
}

/// Returns the number that requests of one session share.
fn session(head: &Head) -> Option<u64> {
    let parts = fields::parse_prompt_prefix(head.header(fields::PROMPT_PREFIX)?);
    // The last part is the request's own.
    let shared = parts.len().checked_sub(2).and_then(|at| parts.get(at));
    shared.or(parts.first()).map(|p| p.id)
}

/// Tells whether a field concerns only one connection.
pub fn is_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    let known = [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE].contains(name)
        || matches!(
            name.as_str(),
            "keep-alive" | "proxy-connection" | "proxy-authenticate" | "proxy-authorization"
        );
    known || crate::http::connection::has_token(headers, name.as_str()) && name != HOST
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
