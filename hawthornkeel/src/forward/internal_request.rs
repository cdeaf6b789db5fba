//! HTTP requests of the system itself to the platform and to targets.
//!
//! Each has an identifier of its own, by which a late second response on a kept connection is told if its
//! target echoes it. Not all targets of stages do, and a connection for each call would cost them too much.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_platform::fields;

use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::HttpClient;
use crate::forward::http_client::OutgoingRequest;
use crate::forward::http_client::SendRules;

/// Request that is not sent on behalf of one caller.
#[derive(Clone, Copy, Debug)]
pub struct InternalRequest<'a> {
    /// Address.
    pub address: SocketAddr,
    /// Path.
    pub path: &'a str,
    /// JSON body of a POST request, or `None` for a GET request.
    pub body: Option<&'a [u8]>,
    /// Additional header fields.
    pub fields: &'a [(&'a str, &'a str)],
    /// Deadline for the whole exchange.
    pub deadline: Instant,
}

/// Response to an internal request.
#[derive(Clone, Debug)]
pub struct InternalResponse {
    /// Status.
    pub status: u16,
    /// Whether the target reports that it did not run the request, and nothing speaks against it.
    pub not_run: bool,
    /// Whether the request was sent before, on a kept connection that broke.
    pub resent: bool,
    /// Body.
    pub body: Bytes,
}

/// Sends a request and returns its complete response, whatever the status.
///
/// # Errors
/// Returns an error if there is no complete response before the deadline.
pub async fn send(
    client: &HttpClient,
    request: &InternalRequest<'_>,
) -> Result<InternalResponse, ExchangeError> {
    send_by(client, request, SendRules::default()).await
}

/// Does the same as [`send`] by some rules.
///
/// # Errors
/// Returns the errors of [`send`].
pub async fn send_by(
    client: &HttpClient,
    request: &InternalRequest<'_>,
    rules: SendRules<'_>,
) -> Result<InternalResponse, ExchangeError> {
    let id = format!("{:016x}", rand::random::<u64>());
    let data = encode(request, &id);
    let outgoing = OutgoingRequest { data, id: Some(id.into()), bodiless: false, retryable: true };
    let rules = SendRules { needs_echo: false, ..rules };
    let sent = client.send_by(request.address, &outgoing, request.deadline, rules);
    let mut response = sent.await?;
    let body = response.read_to_end(request.deadline).await?;
    let (status, resent) = (response.status.as_u16(), response.resent);
    let not_run = response.headers.contains_key(fields::NOT_RUN) && !resent;
    response.finish();
    Ok(InternalResponse { status, not_run, resent, body })
}

fn encode(request: &InternalRequest<'_>, id: &str) -> Bytes {
    let method = if request.body.is_some() { "POST" } else { "GET" };
    let mut text = format!("{method} {} HTTP/1.1\r\nhost: {}\r\n", request.path, request.address);
    text.push_str(&format!("{}: {id}\r\n", fields::REQUEST_ID));
    for (name, value) in request.fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(body) = request.body {
        text.push_str("content-type: application/json\r\n");
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut out = BytesMut::from(text.as_bytes());
    out.extend_from_slice(request.body.unwrap_or_default());
    out.freeze()
}
