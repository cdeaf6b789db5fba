//! Requests that other entries hand over, as they have lost their links to the targets.

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::InstanceName;
use http::Method;
use quinn::SendStream;

use crate::forward::access;
use crate::forward::context::Context;
use crate::forward::handler::ForwardHandler;
use crate::forward::helper_client::decode_headers;
use crate::forward::helper_client::encode_headers;
use crate::forward::request::IncomingRequest;
use crate::http::channel::BodyEvent;
use crate::http::message::Body;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::signal::Signal;
use crate::peer::Frame;
use crate::peer::frame::DeclineReason;
use crate::peer::frame::ForwardReply;
use crate::peer::frame::ForwardedRequest;
use crate::peer::frame::FrameKind;
use crate::peer::wire;

/// Maximum number of requests of other entries in progress.
const MAX_HELPED: u32 = 256;
/// Divisor of `memory_mb` that limits the request bodies held for other entries.
const BODY_MEMORY_DIVISOR: u64 = 8;
/// Time in which the last responses are sent to the entries that wait for them.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// Interval at which a stop checks for requests in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Counts a request in progress, or its bytes, until it is dropped.
pub(super) struct InProgress {
    count: Rc<Cell<u32>>,
    amount: u32,
}

impl InProgress {
    /// Counts a request in `count`.
    pub(super) fn new(count: &Rc<Cell<u32>>) -> Self {
        Self::add(count, 1)
    }

    fn add(count: &Rc<Cell<u32>>, amount: u32) -> Self {
        count.set(count.get().saturating_add(amount));
        Self { count: Rc::clone(count), amount }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(self.amount));
    }
}

/// Serves the requests that other entries hand over.
pub(super) fn register(handler: ForwardHandler) {
    let endpoint = handler.context.endpoint.clone();
    let handler = Rc::new(handler);
    endpoint.on_stream(FrameKind::Forward, move |from, frame, send| {
        let handler = Rc::clone(&handler);
        async move {
            if let Frame::Forward(request) = frame {
                handler.serve_peer(&from, *request, send).await;
            }
        }
    });
}

/// Waits until all requests of other entries have ended, at most until the stop finishes and their
/// final responses are sent.
pub(super) async fn end_helped(context: &Context) {
    while context.helped.get() > 0 && context.stop.has_time() {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    if context.helped.get() > 0 {
        monoio::time::sleep(FLUSH_TIME).await;
    }
}

impl ForwardHandler {
    async fn serve_peer(&self, from: &InstanceName, request: ForwardedRequest, send: SendStream) {
        let helped = InProgress::new(&self.context.helped);
        let bytes = u32::try_from(request.body.len()).unwrap_or(u32::MAX);
        let held = InProgress::add(&self.context.helped_bytes, bytes);
        let gone = send.stopped();
        let left = Signal::new();
        let work = self.answer_peer(from, request, send, left.clone());
        monoio::select! {
            biased;
            () = work => {}
            // The other entry has given the request up; dropping the work cancels what runs.
            _ = gone => left.set(),
        }
        drop((helped, held));
    }

    async fn answer_peer(
        &self,
        from: &InstanceName,
        request: ForwardedRequest,
        mut send: SendStream,
        left: Signal,
    ) {
        let admitted = self.admit_peer(request, &left);
        let (reply, body) = match admitted {
            Ok((request, is_counted)) => {
                let response = self.run(request, left, is_counted).await;
                self.encode_response(response)
            }
            Err(reason) => {
                tracing::info!(event = "request-declined", %from, ?reason);
                (ForwardReply::Declined(reason), Body::Full(bytes::Bytes::new()))
            }
        };
        let Ok(head) = wire::encode(&Frame::ForwardReply(reply)) else { return };
        if send.write_chunk(head).await.is_ok() && write_body(&mut send, body).await.is_some() {
            // Fails only if the other entry has stopped reading.
            let _ = send.finish();
            let _ = send.stopped().await;
        } else {
            // The other entry must not take the body for complete.
            let _ = send.reset(quinn::VarInt::from_u32(0));
        }
    }

    /// Admits a request of another entry, as if its caller had sent it here.
    fn admit_peer(
        &self,
        forwarded: ForwardedRequest,
        left: &Signal,
    ) -> Result<(IncomingRequest, bool), DeclineReason> {
        if self.context.stop.is_begun() {
            return Err(DeclineReason::Stopping);
        }
        let max_bytes = (self.context.settings.forward.memory_mb << 20) / BODY_MEMORY_DIVISOR;
        let is_large = u64::from(self.context.helped_bytes.get()) > max_bytes;
        if self.context.helped.get() > MAX_HELPED || is_large {
            return Err(DeclineReason::Full);
        }
        let waited = Duration::from_millis(forwarded.waited_ms.into());
        let is_counted = forwarded.is_counted;
        let request = decode(forwarded, left).ok_or(DeclineReason::NotAdmitted)?;
        let request = access::admit(&self.context, request);
        let request = request.map_err(|_| DeclineReason::NotAdmitted)?;
        if self.context.http_client.links().is_lost(&request.pool.name) {
            return Err(DeclineReason::LinksLost);
        }
        let started = Instant::now().checked_sub(waited).unwrap_or_else(Instant::now);
        Ok((request.handed_over(started), is_counted))
    }

    fn encode_response(&self, response: Response) -> (ForwardReply, Body) {
        let length = match &response.body {
            Body::Full(body) => Some(body.len()),
            Body::Blocks(blocks) => Some(blocks.iter().map(bytes::Bytes::len).sum()),
            Body::Stream(_) => None,
        };
        let reply = ForwardReply::Response {
            status: response.status.as_u16(),
            headers: encode_headers(&response.headers),
            length: length.and_then(|l| u64::try_from(l).ok()),
            load: self.context.in_progress.get(),
        };
        (reply, response.body)
    }
}

/// Writes a body; `None` if it is incomplete or nobody reads it.
async fn write_body(send: &mut SendStream, body: Body) -> Option<()> {
    match body {
        Body::Full(body) => send.write_chunk(body).await.ok(),
        Body::Blocks(blocks) => {
            for block in blocks {
                send.write_chunk(block).await.ok()?;
            }
            Some(())
        }
        Body::Stream(mut receiver) => loop {
            match receiver.next().await {
                BodyEvent::Data(data) => send.write_chunk(data).await.ok()?,
                BodyEvent::End => return Some(()),
                BodyEvent::Aborted => return None,
            }
        },
    }
}

fn decode(forwarded: ForwardedRequest, left: &Signal) -> Option<Request> {
    let method = Method::from_bytes(forwarded.method.as_bytes()).ok()?;
    let headers = decode_headers(forwarded.headers);
    let (path, query) = (forwarded.path, forwarded.query);
    Some(Request {
        head: Head { method, path, query, headers },
        body: forwarded.body,
        peer: (Ipv4Addr::UNSPECIFIED, 0).into(),
        began: Instant::now(),
        disconnected: left.clone(),
    })
}
