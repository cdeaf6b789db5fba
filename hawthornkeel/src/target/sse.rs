//! Parser for the server-sent events of the completions protocol.
//!
//! Each event is one line of data, and blank lines are ignored, so that CR, LF and CRLF may all be
//! taken as line ends at the first of their bytes.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;

use crate::target::error::CallError;

/// Largest event, in bytes.
const MAX_EVENT: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Event of a completions stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CompletionEvent {
    /// Generated text.
    Text(String),
    /// End of the stream.
    Done,
}

/// Byte order mark, with which a stream may start.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Incremental parser of an event stream.
#[derive(Default)]
pub(crate) struct Parser {
    buffer: BytesMut,
    /// Number of buffered bytes that are known to hold no line end.
    scanned: usize,
    /// Whether the first line was parsed.
    started: bool,
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
    /// Appends received bytes.
    pub(crate) fn feed(&mut self, data: &Bytes) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns whether all bytes other than line ends are parsed.
    pub(crate) fn is_empty(&self) -> bool {
        self.buffer.iter().all(|b| matches!(b, b'\r' | b'\n'))
    }

    /// Returns the next event, or `None` if more bytes are needed.
    pub(crate) fn next(&mut self) -> Result<Option<CompletionEvent>, CallError> {
        while let Some(end) = self.find_line_end() {
            let line = self.buffer.get(..end).unwrap_or_default();
            let marked = line.strip_prefix(BYTE_ORDER_MARK).filter(|_| !self.started);
            let line = marked.unwrap_or(line);
            self.started = true;
            let parsed = parse_line(line.trim_ascii());
            self.buffer.advance(end.saturating_add(1));
            self.scanned = 0;
            if let Some(parsed) = parsed? {
                return Ok(Some(parsed));
            }
        }
        if self.is_too_large() {
            return Err(CallError::Malformed("event is too large"));
        }
        Ok(None)
    }

    /// Returns whether the bytes without a line end exceed the bound of an event.
    pub(crate) fn is_too_large(&self) -> bool {
        self.buffer.len() > MAX_EVENT
    }

    /// Returns the position of the first line end; bytes without one are searched only once.
    fn find_line_end(&mut self) -> Option<usize> {
        let rest = self.buffer.get(self.scanned..)?;
        let found = rest.iter().position(|b| matches!(b, b'\r' | b'\n')).map(|p| p + self.scanned);
        self.scanned = found.unwrap_or(self.buffer.len());
        found
    }
}

/// Parses one line; returns `None` for a line without text.
fn parse_line(line: &[u8]) -> Result<Option<CompletionEvent>, CallError> {
    let Some(data) = line.strip_prefix(b"data:") else { return Ok(None) };
    let data = data.trim_ascii();
    if data == DONE {
        return Ok(Some(CompletionEvent::Done));
    }
    let chunk: Chunk =
        serde_json::from_slice(data).map_err(|_| CallError::Malformed("event can't be parsed"))?;
    if chunk.error.is_some() {
        return Err(CallError::Malformed("engine reports an error in the stream"));
    }
    let text = chunk.choices.into_iter().next().and_then(text_of);
    Ok(text.filter(|t| !t.is_empty()).map(CompletionEvent::Text))
}

fn text_of(choice: Choice) -> Option<String> {
    choice.text.or(choice.delta.unwrap_or_default().content)
}
