//! Bodies of stage calls and of answers.

use bytes::Bytes;
use hawthornkeel_core::ids::RequestId;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::entry::call::CallPlan;
use crate::target::completion::Completion;

/// Body of a call to a plain service, and the content of an engine's prompt.
#[derive(Serialize)]
struct ServiceBody<'a> {
    /// Caller's body.
    input: &'a RawValue,
    /// Answer of the stage before, or null for the first stage.
    previous: Option<&'a RawValue>,
}

/// Whole answer to a caller.
#[derive(Serialize)]
struct Answer<'a> {
    request: &'a str,
    answer: &'a RawValue,
}

/// Answer of an engine, as the next stage and the caller get it.
#[derive(Serialize)]
struct EngineAnswer<'a> {
    text: &'a str,
}

/// Returns the body of a call to a plain service; a body that is not JSON counts as null.
pub fn service_body(input: &[u8], previous: Option<&[u8]>) -> Bytes {
    let null = RawValue::NULL;
    let input: &RawValue = serde_json::from_slice(input).unwrap_or(null);
    let previous = previous.and_then(|p| serde_json::from_slice(p).ok());
    let body = serde_json::to_vec(&ServiceBody { input, previous });
    Bytes::from(body.unwrap_or_default())
}

/// Returns the body of a call to an engine.
pub fn engine_body(plan: &CallPlan) -> Bytes {
    let prompt = service_body(&plan.input, plan.previous.as_deref());
    let text = plan.text.borrow();
    let resume = if plan.resume > 0 { text.as_str() } else { "" };
    let completion = Completion {
        resume,
        model: plan.pool.model.as_ref().map_or("", |m| m.as_str()),
        prompt: std::str::from_utf8(&prompt).unwrap_or_default(),
        max_tokens: plan.stage.max_tokens,
        priority: plan.priority,
        stream: true,
    };
    completion.to_bytes()
}

/// Returns an engine's text as the next stage and the caller get it.
pub fn engine_answer(text: &str) -> Bytes {
    Bytes::from(serde_json::to_vec(&EngineAnswer { text }).unwrap_or_default())
}

/// Returns the whole answer to a caller.
pub fn answer(request: RequestId, last: &[u8]) -> Bytes {
    let answer: &RawValue = serde_json::from_slice(last).unwrap_or(RawValue::NULL);
    let request = format!("{:032x}", request.0);
    Bytes::from(serde_json::to_vec(&Answer { request: &request, answer }).unwrap_or_default())
}
