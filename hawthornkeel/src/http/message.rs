//! Requests and responses that handlers work with.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::http::channel::Receiver;
use crate::http::signal::Signal;

/// Request head.
#[derive(Clone, Debug)]
pub struct Head {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// Returns the field `name` if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// Request with its complete body.
pub struct Request {
    /// Head.
    pub head: Head,
    /// Complete body, within the size limit.
    pub body: Bytes,
    /// Remote address of the connection.
    pub peer: SocketAddr,
    /// Time at which it began to arrive.
    pub began: Instant,
    /// Set once the caller has disconnected, so that work for it can stop.
    pub disconnected: Signal,
}

/// Body of a response.
pub enum Body {
    /// Complete body, sent with a `Content-Length`.
    Full(Bytes),
    /// Complete body in blocks, sent with a `Content-Length`.
    Blocks(Vec<Bytes>),
    /// Streamed body, sent chunked as data arrives; an aborted one ends without the last chunk.
    Stream(Receiver),
}

/// Response to a request.
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Header fields; the framing fields are added when the response is sent.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

impl Response {
    /// Creates a response with a complete body of type `content_type`.
    pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: Body::Full(body.into()) }
    }

    /// Creates a response with status 200 and a JSON body.
    pub fn json(body: impl Into<Bytes>) -> Self {
        Self::full(StatusCode::OK, "application/json", body)
    }

    /// Creates a response with status 200 that streams server-sent events from `receiver`.
    pub fn events(receiver: Receiver) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Self { status: StatusCode::OK, headers, body: Body::Stream(receiver) }
    }

    /// Adds a header field; an invalid `value` is ignored.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}
