//! What a request has in common with others: the parts of its prompt.

use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_platform::fields;

use crate::http::message::Head;

/// Maximum number of parts of a prompt that are told apart.
const MAX_SHARED_PARTS: usize = 16;

/// Returns the identities of the parts of a prompt in order, which end with the one of this request
/// only.
pub(super) fn prompt_parts(head: &Head) -> Vec<u64> {
    let prefix = head.header(fields::PROMPT_PREFIX).unwrap_or_default();
    fields::parse_prompt_prefix(prefix).into_iter().map(|p| p.id).collect()
}

/// Returns the affinity key of a prompt: the longest prefix that other requests may share.
pub(super) fn session_key(parts: &[u64]) -> Option<u64> {
    let shared = parts.len().checked_sub(2).and_then(|at| parts.get(at));
    shared.or(parts.first()).copied()
}

/// Returns the parts of a prompt that other requests may hold as well: all but the last.
pub(super) fn shared_parts(parts: &[u64]) -> Box<[Subject]> {
    let shared = parts.len().saturating_sub(1).min(MAX_SHARED_PARTS);
    parts.iter().take(shared).map(|id| Subject::Part(*id)).collect()
}
