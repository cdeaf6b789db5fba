//! JSON bodies of stage calls and of answers to callers.

use bytes::Bytes;
use hawthornkeel_core::ids::RequestId;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::entry::call::CallPlan;
use crate::target::completion::Completion;

/// Body of a call to a service; also the prompt of a call to an engine.
#[derive(Serialize)]
struct ServiceBody<'a> {
    /// Body of the caller's request.
    input: &'a RawValue,
    /// Answer of the previous stage, or null for the first stage.
    previous: Option<&'a RawValue>,
}

/// Complete answer to a caller.
#[derive(Serialize)]
struct Answer<'a> {
    request: &'a str,
    answer: &'a RawValue,
}

/// Answer of an engine as passed to the next stage and to the caller.
#[derive(Serialize)]
struct EngineAnswer<'a> {
    text: &'a str,
}

/// Returns the body of a call to a service. Input that isn't valid JSON is replaced by null.
pub fn service_body(input: &[u8], previous: Option<&[u8]>) -> Bytes {
    let null = RawValue::NULL;
    let input: &RawValue = serde_json::from_slice(input).unwrap_or(null);
    let previous = previous.and_then(|p| serde_json::from_slice(p).ok());
    let body = serde_json::to_vec(&ServiceBody { input, previous });
    Bytes::from(body.unwrap_or_default())
}

/// Returns the body of a call to an engine.
pub fn engine_body(plan: &CallPlan) -> Bytes {
    let prompt = service_body(&plan.input, plan.previous_answer.as_deref());
    let text = plan.received_text.borrow();
    let resume = if plan.resume_offset > 0 { text.as_str() } else { "" };
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

/// Returns the text of an engine as passed to the next stage and to the caller.
pub fn engine_answer(text: &str) -> Bytes {
    Bytes::from(serde_json::to_vec(&EngineAnswer { text }).unwrap_or_default())
}

/// Returns the complete answer to a caller; `last` is the answer of the last stage.
pub fn answer(request: RequestId, last: &[u8]) -> Bytes {
    let answer: &RawValue = serde_json::from_slice(last).unwrap_or(RawValue::NULL);
    let request = format!("{:032x}", request.0);
    Bytes::from(serde_json::to_vec(&Answer { request: &request, answer }).unwrap_or_default())
}
