//! Properties of a request that are fixed when it arrives.

use std::sync::Arc;

use crate::document::Pipeline;
use crate::ids::RequestId;
use crate::names::InstanceName;
use crate::names::WorkspaceName;
use crate::time::Instant;

/// Properties of a request that are fixed when it arrives.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Identifier of the request.
    pub id: RequestId,
    /// Entry instance that serves the request.
    pub instance: InstanceName,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Pipeline that the request runs through.
    pub pipeline: Arc<Pipeline>,
    /// Idempotency key, if the caller gave one.
    pub key: Option<Arc<str>>,
    /// Digest of the request body.
    pub digest: u64,
    /// Whether the last stage's answer is streamed to the caller.
    pub streamed: bool,
    /// Time by which the complete answer is due.
    pub deadline: Instant,
}
