//! What a request is, fixed at its arrival.

use std::sync::Arc;

use crate::document::Pipeline;
use crate::ids::RequestId;
use crate::names::InstanceName;
use crate::names::WorkspaceName;
use crate::time::Instant;

/// What a request is, fixed at its arrival.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Identity of the request.
    pub id: RequestId,
    /// Entry instance that serves it.
    pub instance: InstanceName,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Pipeline that it runs through.
    pub pipeline: Arc<Pipeline>,
    /// Idempotency key that the caller gave.
    pub key: Option<Arc<str>>,
    /// Digest of the request's body.
    pub digest: u64,
    /// Whether pieces of the last stage's answer are given to the caller as they come.
    pub streamed: bool,
    /// Time by which the whole answer is due.
    pub deadline: Instant,
}
