//! Sending of answers, and watching for callers who leave meanwhile.

use std::future::Future;
use std::io;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;

use crate::http::channel::BodyEvent;
use crate::http::channel::Receiver;
use crate::http::message::Body;
use crate::http::message::Response;
use crate::http::reader::Reader;
use crate::http::signal::Signal;
use crate::http::writer;
use crate::http::writer::Framing;
use crate::http::writer::Writer;

/// Bytes of later requests that are read while one is worked on, at most.
const MAX_AHEAD: usize = 64 * 1024;

/// Bytes from which no further piece is added to a write.
const MAX_WRITE: usize = 16 * 1024;

/// Bytes that frame a chunk, about.
const CHUNK_BYTES: usize = 16;

/// Runs `work` to its end and sets `left` where the caller closes the connection before.
pub(crate) async fn watch<T>(
    reader: &mut Reader,
    left: &Signal,
    work: impl Future<Output = T>,
) -> T {
    let mut work = pin!(work);
    while reader.buffered() < MAX_AHEAD {
        monoio::select! {
            done = &mut work => return done,
            filled = reader.fill(0) => {
                if !matches!(filled, Ok(1..)) {
                    left.set();
                    break;
                }
            }
        }
    }
    work.await
}

/// How an answer is sent.
#[derive(Clone, Copy)]
pub(crate) struct SendOptions {
    /// Whether the connection is closed after it.
    pub(crate) close: bool,
    /// Whether the caller understands chunks.
    pub(crate) chunked: bool,
    /// Whether only the head is sent.
    pub(crate) head_only: bool,
}

/// Writes a response whole, or as its pieces come until it ends or the caller leaves.
pub(crate) async fn send(
    reader: &mut Reader,
    writer: &mut Writer,
    response: Response,
    left: &Signal,
    options: SendOptions,
) -> io::Result<()> {
    let mut out = BytesMut::new();
    let Response { status, headers, body } = response;
    match body {
        Body::Full(data) => {
            writer::encode_head(
                status,
                &headers,
                Framing::Length(data.len()),
                options.close,
                &mut out,
            );
            if !options.head_only {
                out.extend_from_slice(&data);
            }
            writer.write_all(out.freeze()).await
        }
        Body::Stream(receiver) => {
            let framing = if options.chunked { Framing::Chunked } else { Framing::Close };
            writer::encode_head(status, &headers, framing, options.close, &mut out);
            writer.write_all(out.freeze()).await?;
            if options.head_only {
                return Ok(());
            }
            send_stream(reader, writer, receiver, left, framing).await
        }
    }
}

/// Writes the pieces as they come, watching the caller with one read for the whole stream.
async fn send_stream(
    reader: &mut Reader,
    writer: &mut Writer,
    receiver: Receiver,
    left: &Signal,
    framing: Framing,
) -> io::Result<()> {
    watch(reader, left, write_pieces(writer, receiver, left, framing)).await
}

async fn write_pieces(
    writer: &mut Writer,
    mut receiver: Receiver,
    left: &Signal,
    framing: Framing,
) -> io::Result<()> {
    let mut leaving = pin!(left.wait());
    loop {
        let piece = monoio::select! {
            piece = receiver.next() => piece,
            // The missing last chunk tells the caller that the answer is not whole.
            () = &mut leaving => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        match piece {
            BodyEvent::Data(data) => writer.write_all(join(data, &mut receiver, framing)).await?,
            BodyEvent::End if framing == Framing::Chunked => {
                return writer.write_all(Bytes::from_static(b"0\r\n\r\n")).await;
            }
            BodyEvent::End | BodyEvent::Aborted => {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
    }
}

/// Returns the bytes of a piece and of those that wait behind it already, to be written at once.
fn join(first: Bytes, receiver: &mut Receiver, framing: Framing) -> Bytes {
    let mut out = BytesMut::with_capacity(first.len().saturating_add(CHUNK_BYTES));
    let mut next = Some(first);
    while let Some(data) = next {
        match framing {
            // An empty chunk would end the body.
            _ if data.is_empty() => {}
            Framing::Chunked => writer::encode_chunk(&data, &mut out),
            _ => out.extend_from_slice(&data),
        }
        next = if out.len() < MAX_WRITE { receiver.try_next() } else { None };
    }
    out.freeze()
}
