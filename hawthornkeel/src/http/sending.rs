//! Sending of answers, and watching for callers who leave meanwhile.

use std::future::Future;
use std::io;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;

use crate::http::channel::Piece;
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
pub(crate) struct Sending {
    /// Whether the connection is closed after it.
    pub(crate) close: bool,
    /// Whether the caller understands chunks.
    pub(crate) chunks: bool,
    /// Whether only the head is sent.
    pub(crate) empty: bool,
}

/// Writes a response whole, or as its pieces come until it ends or the caller leaves.
pub(crate) async fn send(
    reader: &mut Reader,
    writer: &mut Writer,
    response: Response,
    left: &Signal,
    sending: Sending,
) -> io::Result<()> {
    let mut out = BytesMut::new();
    let Response { status, headers, body } = response;
    match body {
        Body::Whole(data) => {
            writer::encode_head(
                status,
                &headers,
                Framing::Length(data.len()),
                sending.close,
                &mut out,
            );
            if !sending.empty {
                out.extend_from_slice(&data);
            }
            writer.write_all(out.freeze()).await
        }
        Body::Stream(receiver) => {
            let framing = if sending.chunks { Framing::Chunked } else { Framing::Close };
            writer::encode_head(status, &headers, framing, sending.close, &mut out);
            writer.write_all(out.freeze()).await?;
            if sending.empty {
                return Ok(());
            }
            send_stream(reader, writer, receiver, left, framing).await
        }
    }
}

async fn send_stream(
    reader: &mut Reader,
    writer: &mut Writer,
    mut receiver: Receiver,
    left: &Signal,
    framing: Framing,
) -> io::Result<()> {
    loop {
        let piece = watch(reader, left, next_or_left(&mut receiver, left)).await;
        let mut out = BytesMut::new();
        match piece {
            Some(Piece::Data(data)) if data.is_empty() => continue,
            Some(Piece::Data(data)) if framing == Framing::Chunked => {
                writer::encode_chunk(&data, &mut out);
                writer.write_all(out.freeze()).await?;
            }
            Some(Piece::Data(data)) => writer.write_all(data).await?,
            Some(Piece::End) if framing == Framing::Chunked => {
                return writer.write_all(Bytes::from_static(b"0\r\n\r\n")).await;
            }
            Some(Piece::End) => return Err(io::ErrorKind::ConnectionAborted.into()),
            // The missing last chunk tells the caller that the answer is not whole.
            Some(Piece::Broken) | None => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Returns the next piece, or `None` once the caller has left.
async fn next_or_left(receiver: &mut Receiver, left: &Signal) -> Option<Piece> {
    monoio::select! {
        piece = receiver.next() => Some(piece),
        () = left.wait() => None,
    }
}
