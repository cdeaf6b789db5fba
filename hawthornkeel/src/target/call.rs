//! A call to a target and its encoding as an HTTP/1.1 request.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::ids::CallId;
use http::Method;

use crate::target::error::CallError;
use crate::target::process::ExpectedProcess;
use crate::target::process::ReportedIncarnation;
use crate::target::resend::Resend;

/// Header with the call's ID, which the response echoes.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the call's priority.
pub const PRIORITY: &str = "x-priority";

/// Header with the offset from which a stream resumes, which the response echoes.
pub const RESUME_OFFSET: &str = "x-resume-offset";

/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Call to a target.
#[derive(Clone, Debug)]
pub struct Call {
    /// ID by which the response is matched to the call.
    pub id: CallId,
    /// Path, such as `/v1/completions`.
    pub path: String,
    /// JSON body.
    pub body: Bytes,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Idempotency key of the request, which is passed on to the target.
    pub key: Option<String>,
    /// Priority: higher goes first.
    pub priority: u8,
    /// Time limit for the whole call.
    pub timeout: Duration,
    /// Longest time without a byte before the call times out.
    pub progress_timeout: Duration,
    /// Offset in bytes of generated text from which an engine's stream resumes.
    pub resume_offset: u64,
    /// Process of the target that may receive the call.
    pub expected_process: ExpectedProcess,
    /// Incarnation that the target reports in its response; clones of the call share it.
    pub reported: ReportedIncarnation,
    /// Resend on a new connection; clones of the call share it.
    pub resend: Resend,
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
            resend: Resend::default(),
        }
    }
}

impl Call {
    /// Encodes the call as a request to `host`.
    ///
    /// # Errors
    /// Fails with `NotSent` if the path or the key has characters that HTTP does not allow there.
    pub(crate) fn encode(&self, method: &Method, host: &str) -> Result<Bytes, CallError> {
        if !is_valid_path(&self.path) || self.key.as_deref().is_some_and(|k| !is_valid_value(k)) {
            return Err(CallError::NotSent(
                "invalid character in path or idempotency key".to_owned(),
            ));
        }
        let mut text = format!("{method} {} HTTP/1.1\r\nhost: {host}\r\n", self.path);
        let mut header = |name: &str, value: &str| {
            text.push_str(name);
            text.push_str(": ");
            text.push_str(value);
            text.push_str("\r\n");
        };
        header(REQUEST_ID, &self.id.to_string());
        if let Some(key) = &self.key {
            header(IDEMPOTENCY_KEY, key);
        }
        if self.priority > 0 {
            header(PRIORITY, &self.priority.to_string());
        }
        if self.resume_offset > 0 {
            header(RESUME_OFFSET, &self.resume_offset.to_string());
        }
        if method != Method::GET {
            header("content-type", "application/json");
            header("content-length", &self.body.len().to_string());
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

fn is_valid_path(path: &str) -> bool {
    path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic())
}

fn is_valid_value(value: &str) -> bool {
    !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}
