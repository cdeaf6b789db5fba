//! Sending of responses, with detection of callers that disconnect meanwhile.

use std::future::Future;
use std::io;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::request::refusal::RunStatus;

use crate::http::channel::BodyEvent;
use crate::http::channel::Receiver;
use crate::http::message::Body;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::reader::Reader;
use crate::http::signal::Signal;
use crate::http::writer;
use crate::http::writer::Framing;
use crate::http::writer::Writer;

/// Maximum number of bytes of pipelined requests that are read while a request is processed.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Maximum size of a streamed body that is sent whole, in bytes.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// Size from which no further body data is added to a write, in bytes.
const MAX_WRITE_BYTES: usize = 16 * 1024;

/// Buffer capacity reserved for the framing of a chunk, in bytes.
const CHUNK_FRAMING_BYTES: usize = 16;

/// Runs `work` to completion; sets `disconnected` if the caller closes the connection before.
pub(crate) async fn watch<T>(
    reader: &mut Reader,
    disconnected: &Signal,
    work: impl Future<Output = T>,
) -> T {
    let mut work = pin!(work);
    while reader.buffered() < MAX_PIPELINED_BYTES {
        monoio::select! {
            output = &mut work => return output,
            filled = reader.fill(0) => {
                if !matches!(filled, Ok(1..)) {
                    disconnected.set();
                    break;
                }
            }
        }
    }
    work.await
}

/// Options of sending a response.
#[derive(Clone, Copy)]
pub(crate) struct SendOptions {
    /// Whether the connection is closed afterwards.
    pub(crate) close: bool,
    /// Whether the caller supports the chunked transfer coding.
    pub(crate) chunked: bool,
    /// Whether only the head is sent, for HEAD requests.
    pub(crate) head_only: bool,
}

/// Writes a response; a streamed body is written as it arrives until it ends or the caller
/// disconnects, and whole to callers without chunks.
pub(crate) async fn send(
    reader: &mut Reader,
    writer: &mut Writer,
    response: Response,
    disconnected: &Signal,
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
        Body::Blocks(blocks) => {
            let length = blocks.iter().map(Bytes::len).sum();
            let framing = Framing::Length(length);
            writer::encode_head(status, &headers, framing, options.close, &mut out);
            if options.head_only {
                return writer.write_all(out.freeze()).await;
            }
            send_blocks(writer, out, blocks).await
        }
        Body::Stream(receiver) if options.chunked || options.head_only => {
            writer::encode_head(status, &headers, Framing::Chunked, options.close, &mut out);
            writer.write_all(out.freeze()).await?;
            if options.head_only {
                return Ok(());
            }
            send_stream(reader, writer, receiver, disconnected).await
        }
        Body::Stream(receiver) => {
            // Without chunks only a length tells a whole body from a cut one.
            let whole = watch(reader, disconnected, collect(receiver, disconnected)).await?;
            let whole = whole.map(|data| Response { status, headers, body: Body::Full(data) });
            let response = whole.unwrap_or_else(|| broken_off().into_response());
            Box::pin(send(reader, writer, response, disconnected, options)).await
        }
    }
}

/// Writes the head `out` and a body in blocks, each of which is freed once it is written.
async fn send_blocks(writer: &mut Writer, mut out: BytesMut, blocks: Vec<Bytes>) -> io::Result<()> {
    let mut blocks = blocks.into_iter();
    if let Some(first) = blocks.next() {
        out.extend_from_slice(&first);
    }
    writer.write_all(out.freeze()).await?;
    for block in blocks {
        writer.write_all(block).await?;
    }
    Ok(())
}

/// Returns the response in place of a stream that was broken off.
fn broken_off() -> Problem {
    Problem::new(Code::OutcomeUnknown, RunStatus::Unknown)
}

/// Returns a streamed body once it is complete, or `None` if it was broken off or is too large.
///
/// # Errors
/// Fails once the caller has disconnected.
async fn collect(mut receiver: Receiver, disconnected: &Signal) -> io::Result<Option<Bytes>> {
    let mut body = BytesMut::new();
    loop {
        let event = monoio::select! {
            event = receiver.next() => event,
            () = disconnected.wait() => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        match event {
            BodyEvent::Data(data) if body.len() + data.len() <= MAX_COLLECTED_BYTES => {
                body.extend_from_slice(&data);
            }
            BodyEvent::End => return Ok(Some(body.freeze())),
            BodyEvent::Data(_) | BodyEvent::Aborted => return Ok(None),
        }
    }
}

/// Writes a streamed body, with a single read for the whole stream to detect a disconnect.
async fn send_stream(
    reader: &mut Reader,
    writer: &mut Writer,
    receiver: Receiver,
    disconnected: &Signal,
) -> io::Result<()> {
    watch(reader, disconnected, write_body(writer, receiver, disconnected)).await
}

async fn write_body(
    writer: &mut Writer,
    mut receiver: Receiver,
    disconnected: &Signal,
) -> io::Result<()> {
    let mut disconnect = pin!(disconnected.wait());
    loop {
        let event = monoio::select! {
            event = receiver.next() => event,
            // Without the last chunk the caller can tell that the response is incomplete.
            () = &mut disconnect => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        match event {
            BodyEvent::Data(data) => writer.write_all(coalesce(data, &mut receiver)).await?,
            BodyEvent::End => {
                return writer.write_all(Bytes::from_static(b"0\r\n\r\n")).await;
            }
            BodyEvent::Aborted => {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
    }
}

/// Encodes `first` and the data queued behind it, to be sent in one write.
fn coalesce(first: Bytes, receiver: &mut Receiver) -> Bytes {
    let mut out = BytesMut::with_capacity(first.len().saturating_add(CHUNK_FRAMING_BYTES));
    let mut next = Some(first);
    while let Some(data) = next {
        // An empty chunk would end the body.
        if !data.is_empty() {
            writer::encode_chunk(&data, &mut out);
        }
        next = if out.len() < MAX_WRITE_BYTES { receiver.try_next() } else { None };
    }
    out.freeze()
}
