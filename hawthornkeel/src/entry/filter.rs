//! Filter chain that parses and validates a request before admission.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornkeel_config::content_hash;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::names::WorkspaceName;
use http::Method;
use http::header::ACCEPT;
use http::header::AUTHORIZATION;
use sha2::Digest;
use sha2::Sha256;

use crate::entry::context::Context;
use crate::entry::environment::Environment;
use crate::http::message::Head;
use crate::http::problem::Code;
use crate::http::problem::Problem;

/// Path prefix of calls to pipelines.
const PIPELINE_PATH: &str = "/v1/pipelines/";
/// Header that shortens the deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Media type of a streamed answer.
const EVENT_STREAM: &str = "text/event-stream";
/// Retry-After time of an instance that isn't ready or is stopping.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Request as parsed by the filters so far.
#[derive(Clone, Debug, Default)]
pub struct ParsedRequest {
    /// Environment at the request's arrival, which is used until its completion.
    pub environment: Rc<Environment>,
    /// Called pipeline.
    pub pipeline: Arc<Pipeline>,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Priority of the workspace.
    pub priority: u8,
    /// Maximum number of the workspace's requests in progress at this instance.
    pub max_requests: u32,
    /// Idempotency key.
    pub idempotency_key: Option<Arc<str>>,
    /// Time from arrival until the complete answer is due.
    pub timeout: Duration,
    /// Whether the caller wants a streamed answer.
    pub streamed: bool,
    /// Digest of the pipeline's name and the body, which identifies the request's content.
    pub digest: u64,
}

/// Filter of the chain.
#[derive(Clone, Copy, Debug)]
enum Filter {
    Ready,
    Path,
    Authenticate,
    Body,
    IdempotencyKey,
    Deadline,
    Accept,
}

/// Filters in the order in which they are applied.
const FILTERS: [Filter; 7] = [
    Filter::Ready,
    Filter::Path,
    Filter::Authenticate,
    Filter::Body,
    Filter::IdempotencyKey,
    Filter::Deadline,
    Filter::Accept,
];

/// Applies all filters to a request.
///
/// # Errors
/// Returns the refusal of the first filter that rejects the request.
pub fn run_filters(context: &Context, head: &Head, body: &Bytes) -> Result<ParsedRequest, Problem> {
    let Some(environment) = context.environment() else {
        return Err(not_ready("no environment document yet"));
    };
    let mut parsed =
        ParsedRequest { environment: Rc::clone(&environment), ..ParsedRequest::default() };
    for filter in FILTERS {
        filter.apply(context, &environment, head, body, &mut parsed)?;
    }
    Ok(parsed)
}

/// Returns the maximum body size of a request with `head`, in bytes, if its pipeline is known.
pub fn max_body(context: &Context, head: &Head) -> Option<usize> {
    let name = head.path.strip_prefix(PIPELINE_PATH)?;
    let pipeline = context.environment()?.pipeline(name)?;
    usize::try_from(pipeline.max_body).ok()
}

impl Filter {
    fn apply(
        self,
        context: &Context,
        environment: &Environment,
        head: &Head,
        body: &Bytes,
        parsed: &mut ParsedRequest,
    ) -> Result<(), Problem> {
        match self {
            Self::Ready => check_ready(context),
            Self::Path => find_pipeline(environment, head, parsed),
            Self::Authenticate => authenticate(context, environment, head, parsed),
            Self::Body => read_body(body, parsed),
            Self::IdempotencyKey => read_key(head, parsed),
            Self::Deadline => read_deadline(head, parsed),
            Self::Accept => read_accept(head, parsed),
        }
    }
}

fn check_ready(context: &Context) -> Result<(), Problem> {
    if context.shutdown.stop.is_set() {
        let problem = Problem::not_run(Code::Stopping);
        return Err(problem.with_retry_after(NOT_READY_RETRY));
    }
    Ok(())
}

fn find_pipeline(
    env: &Environment,
    head: &Head,
    parsed: &mut ParsedRequest,
) -> Result<(), Problem> {
    let name = head.path.strip_prefix(PIPELINE_PATH);
    let pipeline = name.and_then(|n| env.pipeline(n));
    let pipeline = pipeline.ok_or_else(|| Problem::not_run(Code::NotFound))?;
    if head.method != Method::POST {
        return Err(Problem::not_run(Code::MethodNotAllowed));
    }
    parsed.pipeline = pipeline;
    Ok(())
}

fn authenticate(
    context: &Context,
    environment: &Environment,
    head: &Head,
    parsed: &mut ParsedRequest,
) -> Result<(), Problem> {
    let unauthorized = || Problem::not_run(Code::Unauthorized);
    let field = head.header(AUTHORIZATION.as_str()).ok_or_else(unauthorized)?;
    let key = field.strip_prefix("Bearer ").ok_or_else(unauthorized)?;
    let digest = content_hash(key.trim());
    let name = context.settings.keys.get(&digest).ok_or_else(unauthorized)?;
    let Some(workspace) = environment.document.workspace(name.as_str()) else {
        return Err(Problem::not_run(Code::Forbidden).with_detail("the key's workspace is gone"));
    };
    parsed.workspace = workspace.name.clone();
    parsed.priority = workspace.priority;
    parsed.max_requests = workspace.max_requests;
    Ok(())
}

fn read_body(body: &Bytes, parsed: &mut ParsedRequest) -> Result<(), Problem> {
    if serde_json::from_slice::<&serde_json::value::RawValue>(body).is_err() {
        return Err(Problem::not_run(Code::BadRequest).with_detail("the body is not JSON"));
    }
    let mut hasher = Sha256::new();
    hasher.update(parsed.pipeline.name.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(body);
    let digest: [u8; 32] = hasher.finalize().into();
    let (first, _) = digest.split_at(8);
    parsed.digest = first.iter().fold(0, |sum, byte| (sum << 8) | u64::from(*byte));
    Ok(())
}

fn read_key(head: &Head, parsed: &mut ParsedRequest) -> Result<(), Problem> {
    let bad = |detail| Problem::not_run(Code::BadRequest).with_detail(detail);
    if head.headers.get_all(KEY_HEADER).iter().count() > 1 {
        return Err(bad("more than one Idempotency-Key"));
    }
    if !head.headers.contains_key(KEY_HEADER) {
        return Ok(());
    }
    let text = head.header(KEY_HEADER).unwrap_or_default().trim().trim_matches('"');
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Err(bad("Idempotency-Key is empty or too long"));
    }
    parsed.idempotency_key = Some(Arc::from(text));
    Ok(())
}

fn read_deadline(head: &Head, parsed: &mut ParsedRequest) -> Result<(), Problem> {
    parsed.timeout = parsed.pipeline.deadline();
    if let Some(text) = head.header(DEADLINE_HEADER) {
        let millis: u64 = text.trim().parse().map_err(|_| {
            Problem::not_run(Code::BadRequest).with_detail("x-deadline-ms is not a number")
        })?;
        parsed.timeout = parsed.timeout.min(Duration::from_millis(millis));
    }
    Ok(())
}

fn read_accept(head: &Head, parsed: &mut ParsedRequest) -> Result<(), Problem> {
    let accepted = head.header(ACCEPT.as_str()).unwrap_or_default();
    parsed.streamed = accepted.contains(EVENT_STREAM);
    Ok(())
}

/// Returns the refusal of an instance that isn't ready yet.
pub fn not_ready(detail: &str) -> Problem {
    let problem = Problem::not_run(Code::NotReady).with_detail(detail);
    problem.with_retry_after(NOT_READY_RETRY)
}
