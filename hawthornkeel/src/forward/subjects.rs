//! What a request has in common with others: the parts of its prompt, and the work that it asks for.

use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_platform::fields;
use http::header::AUTHORIZATION;
use http::header::HOST;
use xxhash_rust::xxh3::Xxh3Default;

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
pub(super) fn shared_parts(parts: &[u64]) -> impl Iterator<Item = Subject> + '_ {
    let shared = parts.len().saturating_sub(1).min(MAX_SHARED_PARTS);
    parts.iter().take(shared).map(|id| Subject::Part(*id))
}

/// Returns the identities of the work that a request asks for, the most exact one last: equal for
/// requests with the same target resource, caller and body, and for those with the same prompt too.
pub(super) fn works(head: &Head, workspace: Option<&WorkspaceName>, body: &[u8]) -> Vec<Subject> {
    let header = |name: &str| head.header(name).unwrap_or_default();
    let caller = match workspace {
        Some(workspace) => workspace.as_str(),
        None => header(AUTHORIZATION.as_str()),
    };
    let mut hasher = Xxh3Default::new();
    let resource = [head.method.as_str(), header(HOST.as_str()), &head.path, &head.query];
    for text in resource.into_iter().chain([caller]) {
        hash_field(&mut hasher, text.as_bytes());
    }
    hash_field(&mut hasher, body);
    let mut works = vec![Subject::Work(hasher.digest())];
    let prompt = [fields::MODEL, fields::TOKEN_COUNTS, fields::PROMPT_PREFIX].map(header);
    if prompt.iter().any(|text| !text.is_empty()) {
        prompt.iter().for_each(|text| hash_field(&mut hasher, text.as_bytes()));
        works.push(Subject::Work(hasher.digest()));
    }
    works
}

/// Adds a field with its length, so that no two lists of fields hash alike.
fn hash_field(hasher: &mut Xxh3Default, field: &[u8]) {
    hasher.update(&field.len().to_le_bytes());
    hasher.update(field);
}
