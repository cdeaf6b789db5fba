//! Writing half of a connection, with a timeout on writes without progress.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use monoio::io::AsyncWriteRent;
use monoio::io::OwnedWriteHalf;
use monoio::net::TcpStream;

use crate::http::time_limit;

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// `Content-Length` in bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
}

/// Writing half of a connection.
pub struct Writer {
    half: OwnedWriteHalf<TcpStream>,
    timeout: Duration,
}

impl Writer {
    /// Creates a writer whose writes fail after `timeout` without progress.
    pub fn new(half: OwnedWriteHalf<TcpStream>, timeout: Duration) -> Self {
        Self { half, timeout }
    }

    /// Writes all of `data`.
    ///
    /// # Errors
    /// Fails where the connection fails, and with `TimedOut` after the timeout without progress;
    /// nothing more may be written after that.
    pub async fn write_all(&mut self, mut data: Bytes) -> io::Result<()> {
        while data.has_remaining() {
            let write = self.half.write(data.clone());
            let (result, _) =
                time_limit::within(self.timeout, write).await.ok_or_else(timed_out)?;
            let count = result?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            data.advance(count.min(data.len()));
        }
        Ok(())
    }

    /// Shuts down the writing direction.
    pub async fn shutdown(&mut self) {
        // The connection is dropped next, so a failure doesn't matter.
        let _ = self.half.shutdown().await;
    }
}

fn timed_out() -> io::Error {
    io::ErrorKind::TimedOut.into()
}

/// Encodes a response head into `out`.
pub fn encode_head(
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    close: bool,
    out: &mut BytesMut,
) {
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_slice(b" ");
    out.put_slice(status.canonical_reason().unwrap_or("").as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in headers {
        if name == CONTENT_LENGTH || name == TRANSFER_ENCODING || name == CONNECTION {
            continue;
        }
        put_field(out, name.as_str(), value.as_bytes());
    }
    match framing {
        Framing::Length(length) => {
            put_field(out, "content-length", length.to_string().as_bytes());
        }
        Framing::Chunked => put_field(out, "transfer-encoding", b"chunked"),
    }
    if close {
        put_field(out, "connection", b"close");
    }
    out.put_slice(b"\r\n");
}

/// Encodes `data` as one chunk into `out`.
pub fn encode_chunk(data: &[u8], out: &mut BytesMut) {
    // Writing into memory can't fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

fn put_field(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
