//! Request bodies of the completions protocol.

use bytes::Bytes;
use serde::Serialize;

/// Path of the completions protocol.
pub const COMPLETIONS: &str = "/v1/completions";

/// Path of the chat form of the protocol.
pub const CHAT: &str = "/v1/chat/completions";

/// Body of a completions request with a streamed response.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// Requested model.
    pub model: &'a str,
    /// Prompt.
    pub prompt: &'a str,
    /// Text generated so far, if a broken stream is resumed; the prompt stays the same.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub resume: &'a str,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Priority: higher goes first.
    pub priority: u8,
    /// Whether the response is streamed.
    pub stream: bool,
}

impl Default for Completion<'_> {
    fn default() -> Self {
        Self { model: "", prompt: "", resume: "", max_tokens: 256, priority: 0, stream: true }
    }
}

impl Completion<'_> {
    /// Returns the body as JSON.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).unwrap_or_default().into()
    }
}
