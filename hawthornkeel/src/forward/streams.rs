//! Entry side of the origins of streams: records which software began a stream, and finds it for a
//! request that takes the stream up.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::streams::origin::StreamBatch;
use hawthornkeel_core::streams::origin::StreamKey;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::streams::origin::StreamSource;
use hawthornkeel_core::streams::table::OriginTable;
use hawthornkeel_core::streams::versions::SoleVersion;
use hawthornkeel_core::table::route::RouteKind;
use hawthornkeel_core::time::Instant as BootInstant;
use hawthornkeel_platform::fields;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::request::IncomingRequest;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::peer::Frame;
use crate::peer::frame::FindStream;
use crate::peer::frame::StreamFound;
use crate::telemetry;

/// Least time between two messages about streams that have begun.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Time to wait for control instances that may hold a record.
const FIND_TIMEOUT: Duration = Duration::from_millis(400);
/// Time by which the only version of a pool must be older than a stream can be.
const SOLE_MARGIN: Duration = Duration::from_secs(5);
/// Time after which a caller should ask again when no control instance has answered.
const FIND_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Origins of streams that this entry knows.
#[derive(Default)]
pub(super) struct Streams {
    table: RefCell<OriginTable>,
    /// Streams that are not reported yet.
    pending: RefCell<Vec<(StreamSource, StreamKey)>>,
    is_reporting: Cell<bool>,
}

/// Why a stream can't go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unresumable {
    /// No instance knows which software began it.
    Unknown,
    /// Control instances that may know it did not answer.
    Unanswered,
    /// The list names another process where the one was that began it, or does not tell.
    Unproved,
    /// No target has the software that began it.
    Gone,
    /// The route no longer leads to the pool that began it.
    Moved,
}

impl Unresumable {
    fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
            Self::Unproved => "unproved",
            Self::Gone => "gone",
            Self::Moved => "moved",
        }
    }

    fn problem(self) -> Problem {
        match self {
            Self::Unknown | Self::Unproved => Problem::not_run(Code::StreamUnknown),
            Self::Unanswered => {
                Problem::not_run(Code::StreamUnknown).with_retry_after(FIND_RETRY_AFTER)
            }
            Self::Gone | Self::Moved => Problem::not_run(Code::StreamSoftwareGone),
        }
    }
}

/// Returns the event after which a request goes on with a stream, if it does.
fn taken_up_after(request: &IncomingRequest) -> Option<&str> {
    let is_stream = request.route.kind == RouteKind::Stream { resumable: true };
    request.head.header(fields::LAST_EVENT_ID).filter(|_| is_stream)
}

/// Returns the key of the stream that a request begins or goes on with.
fn stream_key(request: &IncomingRequest) -> Option<StreamKey> {
    let attempt = match taken_up_after(request) {
        Some(_) => request.head.header(fields::RESUMES)?,
        None => &request.id,
    };
    Some(StreamKey::new(request.workspace.as_ref(), attempt))
}

/// Returns the software that began the stream that a request goes on with, if it goes on with one.
///
/// # Errors
/// Returns the problem to respond with if the stream can't go on.
pub(super) async fn find_origin(
    context: &Context,
    request: &IncomingRequest,
) -> Result<Option<StreamOrigin>, Problem> {
    let Some(last) = taken_up_after(request) else { return Ok(None) };
    let resumes = request.head.header(fields::RESUMES);
    let found = context.find_origin(request).await;
    let found = found.and_then(|origin| context.check_origin(request, origin));
    tracing::info!(
        event = "stream-taken-up",
        request = %request.id,
        resumes,
        last,
        origin = found.as_ref().ok().map(tracing::field::display),
        refused = found.as_ref().err().map(|e| e.as_str()),
    );
    count(found.as_ref().map_or_else(|e| e.as_str(), |_| "bound"));
    found.map(Some).map_err(Unresumable::problem)
}

impl Context {
    /// Records the source of the stream that a request begins or goes on with.
    pub(super) fn record_stream(self: &Rc<Self>, request: &IncomingRequest, source: &StreamSource) {
        let Some(stream) = stream_key(request) else { return };
        self.streams.table.borrow_mut().record(boot_now(), stream, source);
        self.streams.pending.borrow_mut().push((source.clone(), stream));
        if self.streams.is_reporting.replace(true) {
            return;
        }
        // The first stream is reported before its caller gets the event, as far as that can be.
        self.report_pending();
        let context = Rc::clone(self);
        monoio::spawn(async move {
            monoio::time::sleep(REPORT_INTERVAL).await;
            context.streams.is_reporting.set(false);
            context.report_pending();
        });
    }

    fn report_pending(&self) {
        let pending = self.streams.pending.take().into_iter();
        let batch = |(source, stream): (StreamSource, _)| source.batch(boot_now(), vec![stream]);
        self.report_streams(pending.map(batch).collect());
    }

    /// Reports all streams once more, to control instances that may not know them.
    pub(super) fn repeat_streams(&self) {
        let batches = self.streams.table.borrow().batches(boot_now());
        if !batches.is_empty() {
            tracing::info!(event = "streams-repeated", count = self.streams.table.borrow().len());
            self.report_streams(batches);
        }
    }

    /// Reports streams to the control instances that hold them.
    fn report_streams(&self, batches: Vec<StreamBatch>) {
        let members = self.directory.members();
        let mut reports: IndexMap<&InstanceName, Vec<StreamBatch>> = IndexMap::new();
        for batch in batches {
            let mut held: IndexMap<&InstanceName, Vec<StreamKey>> = IndexMap::new();
            for stream in &batch.streams {
                for holder in stream.holders(&members) {
                    held.entry(holder).or_default().push(*stream);
                }
            }
            for (holder, streams) in held {
                let batch = StreamBatch { streams, ..batch.clone() };
                reports.entry(holder).or_default().push(batch);
            }
        }
        for (holder, batches) in reports {
            if let Err(error) = self.endpoint.send(holder, &Frame::Streams(batches)) {
                tracing::info!(event = "streams-unsent", control = %holder, %error);
            }
        }
    }

    /// Returns the software that began the stream that a request goes on with.
    async fn find_origin(&self, request: &IncomingRequest) -> Result<StreamOrigin, Unresumable> {
        let arrived = boot_now();
        let stream = stream_key(request);
        let known = stream.and_then(|s| self.streams.table.borrow().source(s));
        let found = match known {
            Some(source) => source,
            None => self.ask_holders(request, stream, arrived).await?,
        };
        match self.proves_source(&found).await {
            true => Ok(found.origin),
            false => Err(Unresumable::Unproved),
        }
    }

    /// Asks the control instances that may hold the record of a stream.
    async fn ask_holders(
        &self,
        request: &IncomingRequest,
        stream: Option<StreamKey>,
        arrived: BootInstant,
    ) -> Result<StreamSource, Unresumable> {
        let members = self.directory.members();
        let holders = stream.unwrap_or(StreamKey(0)).holders(&members);
        let frame = Frame::FindStream(FindStream { stream, pool: request.pool.name.clone() });
        let ask = |holder| self.endpoint.call(holder, &frame, FIND_TIMEOUT);
        let mut answers: FuturesUnordered<_> = holders.into_iter().map(ask).collect();
        let (mut asked, mut answered, mut sole) = (0, 0, None);
        while let Some(answer) = answers.next().await {
            asked += 1;
            let Ok(Frame::StreamFound(found)) = answer else { continue };
            let StreamFound { record, sole_version } = found;
            if let Some(record) = record {
                return Ok(record.source(boot_now()));
            }
            answered += 1;
            sole = sole.or(sole_version);
        }
        match sole.filter(|sole| is_older_than_stream(request, sole)) {
            Some(SoleVersion { version, .. }) => {
                let origin = StreamOrigin { pool: request.pool.name.clone(), version };
                match self.is_sole_origin(&origin, arrived).await {
                    true => Ok(StreamSource { origin, unproved: None }),
                    false => Err(Unresumable::Unproved),
                }
            }
            None if answered == asked && asked > 0 => Err(Unresumable::Unknown),
            None => Err(Unresumable::Unanswered),
        }
    }

    /// Returns the origin of a stream if the stream can go on.
    fn check_origin(
        &self,
        request: &IncomingRequest,
        origin: StreamOrigin,
    ) -> Result<StreamOrigin, Unresumable> {
        let is_routed = request.route.pools.iter().any(|p| p.pool == origin.pool && p.weight > 0);
        if !is_routed {
            return Err(Unresumable::Moved);
        }
        let balancer = self.balancer.borrow();
        match self.serves_stream(&origin) {
            true => Ok(origin),
            // Without a list this entry knows of no target yet.
            false if !balancer.has_list() => Err(Unresumable::Unanswered),
            false => Err(Unresumable::Gone),
        }
    }

    /// Returns whether any target with the software of a stream may go on with it.
    fn serves_stream(&self, origin: &StreamOrigin) -> bool {
        self.balancer.borrow().serves_software(origin) && !self.is_ended(origin)
    }

    /// Returns the problem of a request that found no target, if that is for its software.
    pub(super) fn software_gone(&self, request: &IncomingRequest) -> Option<Problem> {
        let origin = request.origin.as_ref()?;
        let is_gone = !self.serves_stream(origin);
        (is_gone && request.run_status() == RunStatus::NotRun).then(|| Unresumable::Gone.problem())
    }
}

/// Returns whether the only version of a pool is older than the stream that a request goes on with.
fn is_older_than_stream(request: &IncomingRequest, sole: &SoleVersion) -> bool {
    let has_one_pool = request.route.pools.iter().filter(|p| p.weight > 0).count() == 1;
    let sole_time = Duration::from_millis(sole.sole_ms.into());
    has_one_pool && sole_time >= request.route.timeout + SOLE_MARGIN
}

fn count(outcome: &'static str) {
    metrics::counter!(telemetry::TAKEN_UP_STREAMS, "outcome" => outcome).increment(1);
}
