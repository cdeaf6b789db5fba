//! Plain HTTP/1.1 on a socket, with nothing between a stand-in and its bytes.

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

/// Bytes that one read asks for.
const READ: usize = 16 * 1024;

/// Time for a control request.
const CONTROL_TIME: Duration = Duration::from_secs(10);

/// Connection with a read buffer.
pub struct HttpConnection {
    read: OwnedReadHalf<TcpStream>,
    write: OwnedWriteHalf<TcpStream>,
    buffer: BytesMut,
}

/// Request as received.
pub struct ReceivedRequest {
    /// Head.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Returns the field called `name`, empty where it is absent.
    pub fn header(&self, name: &str) -> &str {
        text_of(&self.head.headers, name)
    }

    /// Tells whether the connection is to be closed after the answer.
    pub fn wants_close(&self) -> bool {
        self.header("connection") == "close"
    }
}

/// Answer as received.
pub struct ReceivedResponse {
    /// Status.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
}

impl HttpConnection {
    /// Takes over `stream`.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Self { read, write, buffer: BytesMut::new() }
    }

    /// Connects to `address`.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_addr(address).await?))
    }

    /// Reads once; zero at the end.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let (result, data) = self.read.read(Vec::with_capacity(READ)).await;
        let count = result?;
        self.buffer.extend_from_slice(&data[..count]);
        Ok(count)
    }

    /// Writes all of `data`.
    pub async fn write(&mut self, data: impl Into<Vec<u8>>) -> io::Result<()> {
        self.write.write_all(data.into()).await.0.map(drop)
    }

    /// Ends the sending side.
    pub async fn shutdown(&mut self) {
        let _ = self.write.shutdown().await;
    }

    /// Reads the next request, `None` at the end of the connection.
    pub async fn read_request(&mut self) -> io::Result<Option<ReceivedRequest>> {
        let Some(mut head) = self.read_head().await? else { return Ok(None) };
        let head = match RequestHeadDecoder.decode(&mut head) {
            Ok(Decoded::Some(head)) => head,
            _ => return Err(invalid("request head")),
        };
        let body = self.read_body(&head.headers).await?;
        Ok(Some(ReceivedRequest { head, body }))
    }

    /// Reads the next answer.
    pub async fn read_response(&mut self) -> io::Result<ReceivedResponse> {
        loop {
            let Some(mut head) = self.read_head().await? else { return Err(early()) };
            let head = match ResponseHeadDecoder.decode(&mut head) {
                Ok(Decoded::Some(head)) => head,
                _ => return Err(invalid("answer head")),
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
                return if self.buffer.is_empty() { Ok(None) } else { Err(early()) };
            }
        }
    }

    async fn read_body(&mut self, headers: &HeaderMap) -> io::Result<Bytes> {
        if text_of(headers, "transfer-encoding") == "chunked" {
            return self.read_chunks().await;
        }
        let length = text_of(headers, "content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            self.fill_more().await?;
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
                Ok(_) => self.fill_more().await?,
                Err(_) => return Err(invalid("chunk")),
            }
        }
    }

    async fn fill_more(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(early()),
            _ => Ok(()),
        }
    }
}

fn early() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn invalid(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

/// Encodes an answer with a whole body and the further `fields`, each ended by a line end.
pub fn encode_response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{fields}content-length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// Encodes one chunk.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// Sends a control request over a blocking socket and returns the answer's body.
pub fn control_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<String> {
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(CONTROL_TIME))?;
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\n");
    stream.write_all(format!("{head}content-length: {length}\r\n\r\n{body}").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(early)?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(io::Error::other(head.to_owned()));
    }
    Ok(body.to_owned())
}
