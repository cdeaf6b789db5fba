//! Response bodies of a fake target, which depend on the request alone.

use serde::Deserialize;
use serde_json::json;

/// Prefix of a marker: a word in a request that its response repeats, to match the two.
pub const MARKER_PREFIX: &str = "ref-";

/// Fields of a completions request that a fake target uses.
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct CompletionRequest {
    /// Prompt, for the text form.
    pub prompt: String,
    /// Messages of the conversation, for the chat form.
    pub messages: Vec<Message>,
    /// Maximum number of tokens.
    pub max_tokens: Option<usize>,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// Message of a conversation.
#[derive(Default, Deserialize)]
#[serde(default)]
pub struct Message {
    /// Text.
    pub content: String,
}

impl CompletionRequest {
    /// Returns at most `count` tokens: the request's markers, then numbered words.
    pub fn tokens(&self, count: usize) -> Vec<String> {
        let prompt = self.messages.last().map_or(&self.prompt, |m| &m.content);
        let markers = markers(prompt).map(|m| format!("{m} "));
        let words = (0..).map(|i| format!("t{i} "));
        markers.chain(words).take(self.max_tokens.unwrap_or(count).min(count)).collect()
    }
}

/// Returns the markers in `text`.
pub fn markers(text: &str) -> impl Iterator<Item = &str> {
    let split = |c: char| !c.is_ascii_alphanumeric() && c != '-';
    text.split(split).filter(|w| w.starts_with(MARKER_PREFIX))
}

/// Returns the server-sent event that carries `text`.
pub fn completion_event(text: &str, chat: bool) -> Vec<u8> {
    let choice = match chat {
        true => json!({"index": 0, "delta": {"content": text}}),
        false => json!({"index": 0, "text": text}),
    };
    format!("data: {}\n\n", json!({"choices": [choice]})).into_bytes()
}

/// Returns a service's response to `input` at `path`.
pub fn service_response(path: &str, input: &[u8]) -> Vec<u8> {
    let input: serde_json::Value = serde_json::from_slice(input).unwrap_or_default();
    json!({"service": path, "input": input}).to_string().into_bytes()
}
