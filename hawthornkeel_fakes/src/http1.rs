//! Minimal HTTP/1.1 connections that let a fake control every byte it sends.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::request::Parts;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio_codec::Decoded;
use monoio_codec::Decoder;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

/// Buffer size of one read.
const READ_BYTES: usize = 16 * 1024;

/// Read timeout of a control request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// HTTP/1.1 connection with a read buffer.
pub struct HttpConnection {
    read: OwnedReadHalf<TcpStream>,
    write: OwnedWriteHalf<TcpStream>,
    buffer: BytesMut,
}

/// Request that was received.
pub struct ReceivedRequest {
    /// Request line and header fields.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns the value of header field `name`, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        header_value(&self.head.headers, name)
    }

    /// Tells whether the connection is to be closed after the response.
    pub fn wants_close(&self) -> bool {
        self.header("connection") == "close"
    }
}

/// Response that was received.
pub struct ReceivedResponse {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpConnection {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Self { read, write, buffer: BytesMut::new() }
    }

    /// Connects to `address`.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_addr(address).await?))
    }

    /// Reads into the buffer once and returns the number of bytes, zero at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let (result, data) = self.read.read(Vec::with_capacity(READ_BYTES)).await;
        let count = result?;
        self.buffer.extend_from_slice(&data[..count]);
        Ok(count)
    }

    /// Writes all of `data`.
    pub async fn write(&mut self, data: impl Into<Vec<u8>>) -> io::Result<()> {
        self.write.write_all(data.into()).await.0.map(drop)
    }

    /// Shuts down the write side.
    pub async fn shutdown(&mut self) {
        let _ = self.write.shutdown().await;
    }

    /// Reads the next request; `None` at the end of the connection.
    pub async fn read_request(&mut self) -> io::Result<Option<ReceivedRequest>> {
        let Some(mut head) = self.read_head().await? else { return Ok(None) };
        let head = match RequestHeadDecoder.decode(&mut head) {
            Ok(Decoded::Some(head)) => head,
            _ => return Err(invalid("request head")),
        };
        let body = self.read_body(&head.headers).await?;
        Ok(Some(ReceivedRequest { head, body }))
    }

    /// Reads the next final response and skips informational ones.
    pub async fn read_response(&mut self) -> io::Result<ReceivedResponse> {
        loop {
            let Some(mut head) = self.read_head().await? else { return Err(unexpected_eof()) };
            let head = match ResponseHeadDecoder.decode(&mut head) {
                Ok(Decoded::Some(head)) => head,
                _ => return Err(invalid("response head")),
            };
            if head.status.is_informational() {
                continue;
            }
            let body = self.read_body(&head.headers).await?;
            return Ok(ReceivedResponse {
                status: head.status.as_u16(),
                headers: head.headers,
                body,
            });
        }
    }

    async fn read_head(&mut self) -> io::Result<Option<BytesMut>> {
        loop {
            if let Some(start) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                return Ok(Some(self.buffer.split_to(start + 4)));
            }
            if self.fill().await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(unexpected_eof()) };
            }
        }
    }

    async fn read_body(&mut self, headers: &HeaderMap) -> io::Result<Bytes> {
        if header_value(headers, "transfer-encoding") == "chunked" {
            return self.read_chunks().await;
        }
        let length = header_value(headers, "content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            self.fill_or_eof().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn read_chunks(&mut self) -> io::Result<Bytes> {
        let mut decoder = ChunkedBodyDecoder::default();
        let mut body = BytesMut::new();
        loop {
            match decoder.decode(&mut self.buffer) {
                Ok(Decoded::Some(Some(chunk))) => body.extend_from_slice(&chunk),
                Ok(Decoded::Some(None)) => return Ok(body.freeze()),
                Ok(_) => self.fill_or_eof().await?,
                Err(_) => return Err(invalid("chunk")),
            }
        }
    }

    async fn fill_or_eof(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(unexpected_eof()),
            _ => Ok(()),
        }
    }
}

fn unexpected_eof() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn invalid(part: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, part)
}

fn header_value<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Encodes a response with `body` and the additional header `fields`, each with its line end.
pub fn encode_response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{fields}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Encodes one chunk of a chunked body.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// Sends a control request over a blocking socket and returns the body of its response.
///
/// # Errors
/// Fails where the request can't be sent or the status is not 200.
pub fn control_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<String> {
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(CONTROL_TIMEOUT))?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n");
    stream.write_all(format!("{head}content-length: {length}\r\n\r\n{body}").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or_else(unexpected_eof)?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(io::Error::other(head.to_owned()));
    }
    Ok(body.to_owned())
}
