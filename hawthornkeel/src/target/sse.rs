//! Server-sent events of the completions protocol.

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

use crate::target::error::CallError;

/// One event, in bytes at most.
const MAX_EVENT: usize = 1 << 20;

/// Marker of the end of a stream.
const DONE: &[u8] = b"[DONE]";

/// Event of a completions stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Parsed {
    /// Piece of generated text.
    Text(String),
    /// The stream is whole.
    Done,
}

/// Parser of a stream of events, fed with bytes as they come.
#[derive(Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Default, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl Parser {
    /// Adds bytes to be parsed.
    pub(crate) fn feed(&mut self, data: &Bytes) {
        self.buffer.extend_from_slice(data);
    }

    /// Tells whether no byte waits to be parsed.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Returns the next event, `None` where more bytes are needed.
    pub(crate) fn next(&mut self) -> Result<Option<Parsed>, CallError> {
        while let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
            let line = self.buffer.split_to(end.saturating_add(1)).freeze();
            if let Some(parsed) = parse_line(line.trim_ascii())? {
                return Ok(Some(parsed));
            }
        }
        if self.buffer.len() > MAX_EVENT {
            return Err(CallError::Malformed("event is too large"));
        }
        Ok(None)
    }
}

/// Parses one line; lines that carry no text are passed over.
fn parse_line(line: &[u8]) -> Result<Option<Parsed>, CallError> {
    let Some(data) = line.strip_prefix(b"data:") else { return Ok(None) };
    let data = data.trim_ascii();
    if data == DONE {
        return Ok(Some(Parsed::Done));
    }
    let chunk: Chunk =
        serde_json::from_slice(data).map_err(|_| CallError::Malformed("event can't be parsed"))?;
    if chunk.error.is_some() {
        return Err(CallError::Malformed("engine reports an error in the stream"));
    }
    let text = chunk.choices.into_iter().next().and_then(text_of);
    Ok(text.filter(|t| !t.is_empty()).map(Parsed::Text))
}

fn text_of(choice: Choice) -> Option<String> {
    choice.text.or(choice.delta.unwrap_or_default().content)
}
