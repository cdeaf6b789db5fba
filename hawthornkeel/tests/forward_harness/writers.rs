//! Streams whose events name the version of the software that wrote them.
//!
//! A stream below `/events/written/` has ten events, 100 ms apart. One that is taken up begins after the
//! event that its caller names.

use std::time::Duration;

use bytes::Bytes;
use hawthornkeel::http::channel::Sender;
use hawthornkeel::http::channel::bounded;
use hawthornkeel::http::message::Request;
use hawthornkeel::http::message::Response;

/// Path of the streams.
const PATH: &str = "/events/written/";
/// Number of events of a stream.
pub const EVENTS: u32 = 10;
/// Time between the events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// What a fake target writes in streams.
#[derive(Clone, Debug, Default)]
pub struct FakeWriter {
    /// Version of its software, also in the list.
    pub version: Option<&'static str>,
    /// Version that the list still names in place of that one.
    pub listed: Option<&'static str>,
    /// Whether the list shows it as draining.
    pub draining: bool,
    /// Number of events after which its streams break off.
    pub breaks_after: Option<u32>,
}

impl FakeWriter {
    /// Returns the version of its software.
    pub fn version(&self) -> &'static str {
        self.version.unwrap_or("v1")
    }

    /// Returns the version that the list names.
    pub fn listed(&self) -> &'static str {
        self.listed.unwrap_or(self.version())
    }

    /// Returns its state in the list.
    pub fn state(&self) -> &'static str {
        if self.draining { "draining" } else { "ready" }
    }
}

/// Returns whether a request is for a written stream.
pub fn is_written(request: &Request) -> bool {
    request.head.path.starts_with(PATH)
}

/// Returns the answer to a request for a written stream.
pub fn answer(request: &Request, writer: &FakeWriter) -> Response {
    let last = request.head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let (sender, receiver) = bounded(4);
    monoio::spawn(write(sender, last, writer.clone()));
    let id = request.head.header("request-id").unwrap_or_default();
    let response = Response::events(receiver).with_header("server-signature", "s.1");
    response.with_header("request-id", id)
}

async fn write(sender: Sender, last: u32, writer: FakeWriter) {
    for (written, id) in (last + 1..=EVENTS).enumerate() {
        if writer.breaks_after.is_some_and(|most| written as u32 >= most) {
            return;
        }
        let event = Bytes::from(format!("id: {id}\ndata: {}\n\n", writer.version()));
        if sender.send(event).await.is_err() {
            return;
        }
        monoio::time::sleep(EVENT_INTERVAL).await;
    }
    sender.finish();
}
