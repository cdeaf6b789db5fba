//! Requests that this entry hands over to another one, as it has lost its links to their targets.
//!
//! The other entry sends them to a target as it does its own callers' requests; there is no second
//! hop.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::fleet::helpers::HelperQuery;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_platform::fields;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::handler::ForwardHandler;
use crate::forward::handler::STREAM_BUFFER_CHUNKS;
use crate::forward::request::IncomingRequest;
use crate::forward::response_memory::Lease;
use crate::http::channel::Sender;
use crate::http::channel::bounded;
use crate::http::message::Body;
use crate::http::message::Response;
use crate::http::signal::Signal;
use crate::peer::Frame;
use crate::peer::PeerError;
use crate::peer::endpoint::CallBody;
use crate::peer::frame::ForwardReply;
use crate::peer::frame::ForwardedRequest;
use crate::telemetry;

/// Maximum number of entries that are asked for one request.
const MAX_HELPERS: usize = 4;
/// Maximum size of a body that is returned whole, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Minimum time left for a request to be handed over.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// Outcome of handing a request over.
pub(super) enum HandOver {
    /// Response to the caller.
    Response(Response),
    /// No other entry takes the request; it was not sent to a target.
    Declined,
    /// There is no response; the request may have run.
    Lost,
}

/// Outcome of asking one entry.
enum Asked {
    Response(Response),
    Declined,
    Unreached,
    Lost(PeerError),
}

/// Counts a request at another entry until it is dropped.
struct AtHelper {
    context: Rc<Context>,
    helper: InstanceName,
}

impl AtHelper {
    fn new(context: &Rc<Context>, helper: &InstanceName) -> Self {
        context.helpers.borrow_mut().begin(helper);
        Self { context: Rc::clone(context), helper: helper.clone() }
    }
}

impl Drop for AtHelper {
    fn drop(&mut self) {
        self.context.helpers.borrow_mut().end(&self.helper);
    }
}

impl ForwardHandler {
    /// Hands a request over to another entry; `is_counted` tells whether the retry budget has counted
    /// it.
    ///
    /// Entries are asked one after the other until one takes it.
    pub(super) async fn hand_over(
        &self,
        request: &IncomingRequest,
        is_counted: bool,
        disconnected: &Signal,
    ) -> HandOver {
        let before = request.may_have_run.get();
        let mut tried = Vec::new();
        while tried.len() < MAX_HELPERS && request.time_left() > MIN_TIME_LEFT {
            let Some(helper) = self.choose_helper(request, &tried) else { break };
            request.may_have_run.set(true);
            let asked = self.ask(request, is_counted, &helper, disconnected).await;
            log_asked(request, &helper, &asked);
            match asked {
                Asked::Response(response) => {
                    request.may_have_run.set(true);
                    return HandOver::Response(response);
                }
                Asked::Lost(_) => return HandOver::Lost,
                Asked::Unreached => self.schedulers.mark_suspect(&helper),
                Asked::Declined => {
                    let mut helpers = self.context.helpers.borrow_mut();
                    helpers.decline(boot_now(), &helper, &request.pool.name);
                }
            }
            request.may_have_run.set(before);
            tried.push(helper);
        }
        HandOver::Declined
    }

    fn choose_helper(
        &self,
        request: &IncomingRequest,
        tried: &[InstanceName],
    ) -> Option<InstanceName> {
        let context = &self.context;
        let serving = context.serving_entries.borrow();
        let query = HelperQuery {
            pool: &request.pool.name,
            own: context.endpoint.name(),
            centre: context.centre(),
            entries: &serving.entries,
            reachability: &context.reachability.borrow(),
            tried,
            random: rand::random(),
        };
        context.helpers.borrow().choose(boot_now(), &query)
    }

    async fn ask(
        &self,
        request: &IncomingRequest,
        is_counted: bool,
        helper: &InstanceName,
        disconnected: &Signal,
    ) -> Asked {
        let guard = AtHelper::new(&self.context, helper);
        let frame = Frame::Forward(Box::new(encode(request, is_counted)));
        let called = self.context.endpoint.call_stream(helper, &frame, request.time_left());
        let (reply, body) = match called.await {
            Ok(called) => called,
            // An entry of an earlier version does not know the frame.
            Err(PeerError::Refused(_)) => return Asked::Declined,
            Err(error) if error.may_have_run() => return Asked::Lost(error),
            Err(_) => return Asked::Unreached,
        };
        let Frame::ForwardReply(ForwardReply::Response { status, headers, length, load }) = reply
        else {
            return Asked::Declined;
        };
        self.context.helpers.borrow_mut().record_load(helper, load);
        let headers = decode_headers(headers);
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let Some(length) = length else {
            let (sender, receiver) = bounded(STREAM_BUFFER_CHUNKS);
            let (finish, left) = (self.context.stop.finish(), disconnected.wait());
            monoio::spawn(async move {
                monoio::select! {
                    biased;
                    () = pass_on(body, sender) => {}
                    // Without its last chunk the caller can tell that the stream is incomplete.
                    () = finish => {}
                    () = left => {}
                }
                drop(guard);
            });
            return Asked::Response(Response { status, headers, body: Body::Stream(receiver) });
        };
        let lease = self.context.http_client.lease();
        match monoio::time::timeout(request.time_left(), read_whole(body, length, lease)).await {
            Ok(Ok(body)) => Asked::Response(Response { status, headers, body: Body::Full(body) }),
            Ok(Err(error)) => Asked::Lost(error),
            Err(_) => Asked::Lost(PeerError::TimedOut { sent: true }),
        }
    }
}

/// Passes a stream on to the caller.
async fn pass_on(mut body: CallBody, sender: Sender) {
    loop {
        match body.next().await {
            Ok(Some(chunk)) => {
                if sender.send(chunk).await.is_err() {
                    return;
                }
            }
            Ok(None) => return sender.finish(),
            Err(error) => {
                tracing::info!(event = "handed-over-cut", %error);
                return;
            }
        }
    }
}

/// Reads a body of `length` bytes, which holds the memory of `lease`.
async fn read_whole(mut body: CallBody, length: u64, mut lease: Lease) -> Result<Bytes, PeerError> {
    let incomplete = || PeerError::ConnectionLost("body is incomplete".to_owned());
    let expected = usize::try_from(length).ok().filter(|_| length <= MAX_BODY_BYTES);
    let expected = expected.ok_or_else(incomplete)?;
    let no_room = |_| PeerError::ConnectionLost("no memory for the body".to_owned());
    lease.hold(expected).await.map_err(no_room)?;
    let mut whole = BytesMut::with_capacity(expected);
    while let Some(chunk) = body.next().await? {
        whole.extend_from_slice(&chunk);
        if whole.len() > expected {
            return Err(incomplete());
        }
    }
    if whole.len() == expected { Ok(lease.attach(whole.freeze())) } else { Err(incomplete()) }
}

fn encode(request: &IncomingRequest, is_counted: bool) -> ForwardedRequest {
    let head = &request.head;
    let mut headers = encode_headers(&head.headers);
    headers.retain(|(name, _)| name != fields::DEADLINE_MS);
    let left = request.time_left().as_millis().max(1).to_string();
    headers.push((fields::DEADLINE_MS.to_owned(), Bytes::from(left)));
    ForwardedRequest {
        method: head.method.to_string(),
        path: head.path.clone(),
        query: head.query.clone(),
        headers,
        body: request.body.clone(),
        waited_ms: u32::try_from(request.started.elapsed().as_millis()).unwrap_or(u32::MAX),
        is_counted,
    }
}

/// Encodes header fields for another entry.
pub(super) fn encode_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    headers.iter().map(field).collect()
}

/// Decodes header fields of another entry; invalid ones are left out.
pub(super) fn decode_headers(headers: Vec<(String, Bytes)>) -> HeaderMap {
    let field = |(name, value): (String, Bytes)| {
        let name = HeaderName::try_from(name).ok()?;
        Some((name, HeaderValue::from_maybe_shared(value).ok()?))
    };
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers.into_iter().filter_map(field) {
        decoded.append(name, value);
    }
    decoded
}

fn log_asked(request: &IncomingRequest, helper: &InstanceName, asked: &Asked) {
    let (outcome, status, failure) = match asked {
        Asked::Response(response) => ("answered", Some(response.status.as_u16()), None),
        Asked::Declined => ("declined", None, None),
        Asked::Unreached => ("unreached", None, None),
        Asked::Lost(error) => ("lost", None, Some(tracing::field::display(error))),
    };
    metrics::counter!(telemetry::HANDED_OVER, "outcome" => outcome).increment(1);
    tracing::info!(
        event = "handed-over",
        request = %request.id,
        pool = %request.pool.name,
        %helper,
        outcome,
        status,
        failure,
        ran = %request.run_status(),
        ms = u64::try_from(request.started.elapsed().as_millis()).unwrap_or(u64::MAX),
    );
}
