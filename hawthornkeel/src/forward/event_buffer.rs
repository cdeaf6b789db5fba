//! Splits a stream of server-sent events after its complete events.
//!
//! Lines may end with CRLF, LF or CR, in any mixture. A stream may start with a byte order mark.

use std::rc::Rc;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_platform::fields;

use crate::http::response_bound::ResponseBound;

/// Maximum number of bytes that wait for the end of their event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Step by which a buffer grows beyond this size, in bytes.
const GROWTH_STEP_BYTES: usize = 64 << 10;
/// Byte order mark, which is part of no line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Buffer that splits a stream after complete events.
///
/// What it returns are the bytes that were appended, but for the byte order mark of a stream that
/// continues another.
#[derive(Default)]
pub struct EventBuffer {
    buffer: BytesMut,
    /// Number of buffered bytes that `lines` has seen.
    scanned: usize,
    lines: LineScanner,
    /// Whether the bytes at which a byte order mark may be have arrived.
    started: bool,
    /// Whether the stream continues another.
    continued: bool,
    last_id: Option<Rc<str>>,
}

impl EventBuffer {
    /// Appends a chunk and returns the events that are complete, if any.
    ///
    /// # Errors
    /// Returns the bound that an incomplete event exceeds.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, ResponseBound> {
        self.append(chunk);
        if !self.started && is_partial_mark(&self.buffer) {
            return Ok(None);
        }
        let mark = self.take_start();
        let end = self.scan().or((mark > 0).then_some(mark));
        let Some(end) = end else {
            let too_large = self.buffer.len() > MAX_EVENT_BYTES;
            return if too_large { Err(ResponseBound::Event) } else { Ok(None) };
        };
        self.scanned = self.scanned.saturating_sub(end);
        let events = self.buffer.split_to(end).freeze();
        let lines = events.get(mark..).unwrap_or_default();
        if let Some(last_id) = fields::last_event_id(lines) {
            self.last_id = Some(last_id.into());
        }
        Ok(Some(events))
    }

    /// Returns the identity of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the same, shared.
    pub fn shared_last_id(&self) -> Option<Rc<str>> {
        self.last_id.clone()
    }

    /// Returns whether the last event is incomplete.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the size of the buffer of an incomplete event, in bytes; zero if there is none.
    pub fn held_bytes(&self) -> usize {
        if self.buffer.is_empty() { 0 } else { self.buffer.capacity() }
    }

    /// Discards an incomplete event; what is appended next is the start of another stream.
    pub fn restart(&mut self) {
        let last_id = self.last_id.take();
        *self = Self { continued: true, last_id, ..Self::default() };
    }

    /// Appends a chunk; a large buffer grows by steps, as doubling would take memory that is not
    /// held yet.
    fn append(&mut self, chunk: &[u8]) {
        let needed = self.buffer.len().saturating_add(chunk.len());
        if needed > GROWTH_STEP_BYTES && needed > self.buffer.capacity() {
            let mut grown = BytesMut::with_capacity(needed.next_multiple_of(GROWTH_STEP_BYTES));
            grown.extend_from_slice(&self.buffer);
            self.buffer = grown;
        }
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the size of the byte order mark if the stream starts here with one.
    ///
    /// That of a stream that continues another is removed, as it would be part of a line there.
    fn take_start(&mut self) -> usize {
        let at_mark = !self.started && self.buffer.starts_with(BYTE_ORDER_MARK);
        self.started = true;
        match (at_mark, self.continued) {
            (false, _) => 0,
            (true, true) => {
                self.buffer.advance(BYTE_ORDER_MARK.len());
                0
            }
            (true, false) => {
                self.scanned = BYTE_ORDER_MARK.len();
                BYTE_ORDER_MARK.len()
            }
        }
    }

    /// Scans the new bytes and returns the end of the last event that is complete, if any.
    fn scan(&mut self) -> Option<usize> {
        let mut end = None;
        for (at, &byte) in self.buffer.iter().enumerate().skip(self.scanned) {
            if self.lines.ends_event(byte) {
                end = Some(at + 1);
            }
        }
        self.scanned = self.buffer.len();
        end
    }
}

/// Returns whether `start` is shorter than a byte order mark and may become one.
fn is_partial_mark(start: &[u8]) -> bool {
    start.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(start)
}

/// Scanner for the blank lines that end events.
struct LineScanner {
    /// Whether the current line has no bytes so far.
    blank: bool,
    /// Whether the last byte was a CR, to which a LF may belong.
    after_cr: bool,
    /// Whether the last line was blank.
    ended_event: bool,
}

impl Default for LineScanner {
    fn default() -> Self {
        Self { blank: true, after_cr: false, ended_event: false }
    }
}

impl LineScanner {
    /// Takes the next byte and returns whether an event ends with it.
    ///
    /// An event that ends with a CR ends once more with the LF that belongs to it.
    fn ends_event(&mut self, byte: u8) -> bool {
        let completes_crlf = byte == b'\n' && self.after_cr;
        self.after_cr = byte == b'\r';
        if completes_crlf {
            return self.ended_event;
        }
        let ends_line = matches!(byte, b'\r' | b'\n');
        self.ended_event = ends_line && self.blank;
        self.blank = ends_line;
        self.ended_event
    }
}
