//! What a call to a target asks for.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::ids::CallId;
use http::Method;

use crate::target::error::CallError;
use crate::target::process::ExpectedProcess;
use crate::target::process::ReportedIncarnation;

/// Header with the call's identity, which an answer echoes.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the call's priority.
pub const PRIORITY: &str = "x-priority";

/// Header with the offset that a stream goes on from, which an answer echoes.
pub const RESUME_OFFSET: &str = "x-resume-offset";

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Call to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identity that the answer is matched to.
    pub id: CallId,
    /// Path, as `/v1/completions`.
    pub path: String,
    /// JSON body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Idempotency key passed on to the target, where the request has one.
    pub key: Option<String>,
    /// Priority: higher goes first.
    pub priority: u8,
    /// Time for the whole call.
    pub timeout: Duration,
    /// Time without a byte after which the connection counts as silent.
    pub progress_timeout: Duration,
    /// Bytes of generated text that an engine's stream goes on from.
    pub resume_offset: u64,
    /// Which process of the target may get the call.
    pub expected_process: ExpectedProcess,
    /// Incarnation that the target names on the call; shared by the clones of the call.
    pub reported: ReportedIncarnation,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            id: CallId::default(),
            path: "/".to_owned(),
            body: Bytes::new(),
            idempotent: true,
            key: None,
            priority: 0,
            timeout: Duration::from_secs(30),
            progress_timeout: Duration::from_secs(5),
            resume_offset: 0,
            expected_process: ExpectedProcess::Any,
            reported: ReportedIncarnation::default(),
        }
    }
}

impl Call {
    /// Encodes the call as a request to `host`.
    ///
    /// # Errors
    /// Fails with `NotSent` where the path or the key can't stand in a request.
    pub(crate) fn encode(&self, method: &Method, host: &str) -> Result<Bytes, CallError> {
        if !is_path(&self.path) || self.key.as_deref().is_some_and(|k| !is_value(k)) {
            return Err(CallError::NotSent("path or key can't stand in a request".to_owned()));
        }
        let mut text = format!("{method} {} HTTP/1.1\r\nhost: {host}\r\n", self.path);
        let mut field = |name: &str, value: &str| {
            text.push_str(name);
            text.push_str(": ");
            text.push_str(value);
            text.push_str("\r\n");
        };
        field(REQUEST_ID, &self.id.to_string());
        if let Some(key) = &self.key {
            field(IDEMPOTENCY_KEY, key);
        }
        if self.priority > 0 {
            field(PRIORITY, &self.priority.to_string());
        }
        if self.resume_offset > 0 {
            field(RESUME_OFFSET, &self.resume_offset.to_string());
        }
        if method != Method::GET {
            field("content-type", "application/json");
            field("content-length", &self.body.len().to_string());
        }
        text.push_str("\r\n");
        let mut out = BytesMut::with_capacity(text.len().saturating_add(self.body.len()));
        out.extend_from_slice(text.as_bytes());
        if method != Method::GET {
            out.extend_from_slice(&self.body);
        }
        Ok(out.freeze())
    }
}

fn is_path(path: &str) -> bool {
    path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic())
}

fn is_value(value: &str) -> bool {
    !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}
