//! Calls of the system's own to the platform and to targets, as requests on the wire.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;

use crate::forward::exchange::Exchanges;
use crate::forward::exchange::Failure;
use crate::forward::exchange::Outgoing;

/// Own call: not on behalf of one caller.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Address.
    pub address: SocketAddr,
    /// Path.
    pub path: &'a str,
    /// JSON body to post, or `None` to get the path.
    pub body: Option<&'a [u8]>,
    /// Further header fields.
    pub fields: &'a [(&'a str, &'a str)],
    /// When it must have ended.
    pub until: Instant,
}

/// Answer of an own call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Whether the target says that it did not run the call.
    pub not_run: bool,
    /// Body.
    pub body: Bytes,
}

/// Makes a call and returns its whole answer, whatever its status.
///
/// # Errors
/// Fails where there is no whole answer in time.
pub async fn make(exchanges: &Exchanges, call: &Call<'_>) -> Result<Reply, Failure> {
    let request = Outgoing { data: encode(call), id: None, bodiless: false, repeatable: true };
    let mut answer = exchanges.send(call.address, &request, call.until).await?;
    let body = answer.whole(call.until).await?;
    let status = answer.status.as_u16();
    let not_run = answer.headers.contains_key(hawthornkeel_platform::fields::NOT_RUN);
    answer.finish();
    Ok(Reply { status, not_run, body })
}

fn encode(call: &Call<'_>) -> Bytes {
    let method = if call.body.is_some() { "POST" } else { "GET" };
    let mut text = format!("{method} {} HTTP/1.1\r\nhost: {}\r\n", call.path, call.address);
    for (name, value) in call.fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if let Some(body) = call.body {
        text.push_str("content-type: application/json\r\n");
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut out = BytesMut::from(text.as_bytes());
    out.extend_from_slice(call.body.unwrap_or_default());
    out.freeze()
}
