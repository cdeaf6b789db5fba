//! Answer to a caller, whole or streamed, given once.

use std::cell::RefCell;

use bytes::Bytes;
use futures_channel::oneshot::Sender;
use hawthornkeel_core::ids::RequestId;
use serde::Serialize;

use crate::entry::compose;
use crate::http::channel;
use crate::http::message::Response;
use crate::http::problem::Problem;

/// Pieces of a streamed answer that wait for a slow caller, at most.
const STREAM_PIECES: usize = 64;

/// Text of one streamed piece.
#[derive(Serialize)]
struct TokenEvent<'a> {
    text: &'a str,
}

/// Where a request's answer goes.
pub struct Reply {
    request: RequestId,
    streamed: bool,
    state: RefCell<State>,
}

/// How much of the answer was given.
enum State {
    /// Nothing yet.
    Open(Sender<Response>),
    /// Pieces of a stream.
    Streaming(channel::Sender),
    /// All of it.
    Ended,
}

impl Reply {
    /// Creates the reply to `request`, given through `sender`.
    pub fn new(request: RequestId, streamed: bool, sender: Sender<Response>) -> Self {
        Self { request, streamed, state: RefCell::new(State::Open(sender)) }
    }

    /// Tells whether pieces of the last stage's answer are wanted as they come.
    pub fn wants_tokens(&self) -> bool {
        self.streamed
    }

    /// Gives a piece of text, waiting while the caller reads slowly.
    pub async fn token(&self, text: &str) {
        let event = serde_json::to_string(&TokenEvent { text }).unwrap_or_default();
        self.send_event("token", event.as_bytes()).await;
    }

    /// Gives the whole answer after the last stage's.
    pub async fn finish(&self, last: &[u8]) {
        let answer = compose::answer(self.request, last);
        if self.streamed {
            self.send_event("answer", &answer).await;
            self.end_stream();
            return;
        }
        self.respond(Response::json(answer));
    }

    /// Gives a refusal: as a status before the first piece, as an event after it.
    pub async fn refuse(&self, problem: Problem) {
        let started = matches!(*self.state.borrow(), State::Streaming(_));
        if started {
            let body = problem.to_json();
            self.send_event("problem", &body).await;
            self.end_stream();
            return;
        }
        self.respond(problem.into_response());
    }

    fn respond(&self, response: Response) {
        if let State::Open(sender) = self.state.replace(State::Ended) {
            // A caller that has left hears nothing.
            let _ = sender.send(response);
        }
    }

    async fn send_event(&self, name: &str, data: &[u8]) {
        let mut piece = Vec::with_capacity(data.len().saturating_add(32));
        piece.extend_from_slice(b"event: ");
        piece.extend_from_slice(name.as_bytes());
        piece.extend_from_slice(b"\ndata: ");
        piece.extend_from_slice(data);
        piece.extend_from_slice(b"\n\n");
        let Some(sender) = self.open_stream() else {
            return;
        };
        let sent = sender.send(Bytes::from(piece)).await;
        if sent.is_ok() {
            self.state.replace(State::Streaming(sender));
        }
    }

    /// Takes the stream's sending end, and begins the response where it was not begun.
    fn open_stream(&self) -> Option<channel::Sender> {
        match self.state.replace(State::Ended) {
            State::Open(caller) => {
                let (sender, receiver) = channel::bounded(STREAM_PIECES);
                caller.send(Response::events(receiver)).ok()?;
                Some(sender)
            }
            State::Streaming(sender) => Some(sender),
            State::Ended => None,
        }
    }

    fn end_stream(&self) {
        if let State::Streaming(sender) = self.state.replace(State::Ended) {
            sender.finish();
        }
    }
}
