//! Requests and responses as handlers see them.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use crate::http::channel::Receiver;
use crate::http::signal::Signal;

/// Head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty where there is none.
    pub query: String,
    /// Header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// Returns the field called `name` where it is present and plain text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }
}

/// Whole request.
pub struct Request {
    /// Head.
    pub head: Head,
    /// Body, whole and within the bound.
    pub body: Bytes,
    /// Address of the other end of the connection.
    pub peer: SocketAddr,
    /// Set once the caller has left: work for it may stop.
    pub disconnected: Signal,
}

/// Body of a response.
pub enum Body {
    /// Whole body, sent with its length.
    Full(Bytes),
    /// Body in pieces, sent chunked as each arrives; a broken one ends without its last chunk.
    Stream(Receiver),
}

/// Response to a request.
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Header fields; those that frame the body are added on sending.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

impl Response {
    /// Creates a response with a whole body of the type `content_type`.
    pub fn full(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: Body::Full(body.into()) }
    }

    /// Creates a response of status 200 with a JSON body.
    pub fn json(body: impl Into<Bytes>) -> Self {
        Self::full(StatusCode::OK, "application/json", body)
    }

    /// Creates a response of status 200 that streams server-sent events from `receiver`.
    pub fn events(receiver: Receiver) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Self { status: StatusCode::OK, headers, body: Body::Stream(receiver) }
    }

    /// Returns the response with a field added; a `value` that no header may hold is left out.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.headers.insert(HeaderName::from_static(name), value);
        }
        self
    }
}
