//! Response to a caller, complete or streamed.

use std::cell::RefCell;

use bytes::Bytes;
use futures_channel::oneshot::Sender;
use hawthornkeel_core::ids::RequestId;
use serde::Serialize;

use crate::entry::encoding;
use crate::http::channel;
use crate::http::message::Response;
use crate::http::problem::Problem;

/// Maximum number of chunks of a streamed answer that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Size in bytes from which no further token is added to a chunk.
const CHUNK_BYTES: usize = 4 * 1024;

/// Approximate size in bytes of an event without its text.
const EVENT_OVERHEAD_BYTES: usize = 64;

/// Data of a token event.
#[derive(Serialize)]
struct TokenEvent<'a> {
    text: &'a str,
}

/// Encoded token events, one per token, that are sent in one chunk.
#[derive(Default)]
pub struct TokenEvents {
    data: Vec<u8>,
}

impl TokenEvents {
    /// Adds the event of one token.
    pub fn add(&mut self, text: &str) {
        self.data.reserve(text.len().saturating_add(EVENT_OVERHEAD_BYTES));
        self.data.extend_from_slice(b"event: token\ndata: ");
        // Writing to a vector can't fail.
        let _ = serde_json::to_writer(&mut self.data, &TokenEvent { text });
        self.data.extend_from_slice(b"\n\n");
    }

    /// Returns whether the chunk is large enough to be sent without further tokens.
    pub fn is_full(&self) -> bool {
        self.data.len() >= CHUNK_BYTES
    }
}

/// Sends the response to a request, at most once.
pub struct Reply {
    request: RequestId,
    streamed: bool,
    state: RefCell<State>,
}

/// Progress of the response.
enum State {
    /// Nothing was sent.
    Pending(Sender<Response>),
    /// The response was started and its body is being streamed.
    Streaming(channel::Sender),
    /// The response is complete, or the caller has disconnected.
    Finished,
}

impl Reply {
    /// Creates the reply to `request`, which is sent through `sender`.
    pub fn new(request: RequestId, streamed: bool, sender: Sender<Response>) -> Self {
        Self { request, streamed, state: RefCell::new(State::Pending(sender)) }
    }

    /// Returns whether the caller receives the last stage's tokens as they arrive.
    pub fn is_streamed(&self) -> bool {
        self.streamed
    }

    /// Sends token events in one chunk, waiting while the caller reads slowly.
    pub async fn send_tokens(&self, events: TokenEvents) {
        self.send(Bytes::from(events.data)).await;
    }

    /// Sends the complete answer, which consists of the last stage's answer `last`.
    pub async fn finish(&self, last: &[u8]) {
        let answer = encoding::answer(self.request, last);
        if self.streamed {
            self.send_event("answer", &answer).await;
            self.finish_stream();
            return;
        }
        self.respond(Response::json(answer));
    }

    /// Sends a refusal: as an HTTP status before the first chunk, as an event after it.
    pub async fn refuse(&self, problem: Problem) {
        let started = matches!(*self.state.borrow(), State::Streaming(_));
        if started {
            let body = problem.to_json();
            self.send_event("problem", &body).await;
            self.finish_stream();
            return;
        }
        self.respond(problem.into_response());
    }

    /// Sends a refusal like [`Reply::refuse`], but breaks a started stream off after its event, so
    /// that it can't be taken for a complete one.
    pub async fn cut(&self, problem: Problem) {
        let started = matches!(*self.state.borrow(), State::Streaming(_));
        if !started {
            self.respond(problem.into_response());
            return;
        }
        let body = problem.to_json();
        self.send_event("problem", &body).await;
        self.state.replace(State::Finished);
    }

    fn respond(&self, response: Response) {
        if let State::Pending(sender) = self.state.replace(State::Finished) {
            // Fails if the caller has disconnected.
            let _ = sender.send(response);
        }
    }

    async fn send_event(&self, name: &str, data: &[u8]) {
        let mut chunk = Vec::with_capacity(data.len().saturating_add(32));
        chunk.extend_from_slice(b"event: ");
        chunk.extend_from_slice(name.as_bytes());
        chunk.extend_from_slice(b"\ndata: ");
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\n\n");
        self.send(Bytes::from(chunk)).await;
    }

    async fn send(&self, chunk: Bytes) {
        let Some(sender) = self.open_stream() else {
            return;
        };
        let sent = sender.send(chunk).await;
        if sent.is_ok() {
            self.state.replace(State::Streaming(sender));
        }
    }

    /// Takes the sender of the stream, starting the response if it hasn't been started.
    fn open_stream(&self) -> Option<channel::Sender> {
        match self.state.replace(State::Finished) {
            State::Pending(caller) => {
                let (sender, receiver) = channel::bounded(MAX_QUEUED_CHUNKS);
                caller.send(Response::events(receiver)).ok()?;
                Some(sender)
            }
            State::Streaming(sender) => Some(sender),
            State::Finished => None,
        }
    }

    fn finish_stream(&self) {
        if let State::Streaming(sender) = self.state.replace(State::Finished) {
            sender.finish();
        }
    }
}
