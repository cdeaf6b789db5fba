//! Server of an entry: listener, controllers and planned stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Entry;
use hawthornkeel_core::stop::StopTimes;

use crate::entry::context::Context;
use crate::entry::controllers;
use crate::entry::handler::EntryHandler;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;
use crate::http::stop::planned_stop;
use crate::stop::StopReport;
use crate::stop::StopRequest;

/// Interval between checks whether a stop is complete.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the limit of a stop for claimed calls to end and for settlements to be recorded.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Entry that is listening for callers.
pub struct EntryServer {
    context: Rc<Context>,
    server: Server,
}

impl EntryServer {
    /// Listens for callers on `address` and starts the controllers.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn listen(context: Rc<Context>, address: SocketAddr) -> Result<Self, ListenError> {
        let server = Server::bind(address, limits(&context.settings.entry))?
            .with_shutdown_signals(context.shutdown.clone());
        monoio::spawn(controllers::targets::run(Rc::clone(&context)));
        monoio::spawn(controllers::load::run(Rc::clone(&context)));
        monoio::spawn(controllers::load::watch_connections(Rc::clone(&context)));
        monoio::spawn(controllers::lease::run(Rc::clone(&context)));
        monoio::spawn(controllers::queue::run(Rc::clone(&context)));
        Ok(Self { context, server })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Serves until `stop` is requested, then performs a planned stop.
    pub async fn serve(self, stop: StopRequest) -> StopReport {
        let Self { context, server } = self;
        let open = server.open_connections();
        let name = context.settings.instance.name.clone();
        tracing::info!(event = "entry-started", %name, address = %server.address());
        let serving = monoio::spawn(server.serve(EntryHandler::new(Rc::clone(&context))));
        stop.wait().await;
        tracing::info!(event = "stop-begun", open = context.open_requests.get());
        let times = stop_times(&context.settings.entry);
        context.begin_stop(context.clock.now() + times.finish);
        monoio::spawn(update_limit(Rc::clone(&context)));
        let report = planned_stop(serving, &context.shutdown, &open, &stop, &times).await;
        let unsettled = wait_for_claims(&context, &stop).await;
        controllers::lease::resign(&context);
        // The message must be sent before the endpoint for peers is closed.
        monoio::time::sleep(POLL_INTERVAL).await;
        report.log_entry_stopped(Some(unsettled));
        report
    }
}

fn stop_times(entry: &Entry) -> StopTimes {
    let drain = Duration::from_millis(entry.drain_ms);
    StopTimes::after_drain(drain, Duration::from_millis(entry.stop_ms))
}

/// Sets the limit of a stop to the time at which it was reached, as a second request to stop skips
/// to it.
async fn update_limit(context: Rc<Context>) {
    context.shutdown.finish.wait().await;
    context.stop_limit.set(Some(context.clock.now()));
}

/// Waits until no claimed call is in progress and all settlements are recorded, and returns how many
/// of them remain [`SETTLE_TIMEOUT`] after the limit of the stop or a second request to stop.
async fn wait_for_claims(context: &Context, stop: &StopRequest) -> usize {
    let unsettled = || context.open_requests.get().saturating_add(context.claims.unsettled());
    let limit = context.stop_limit.get().unwrap_or(context.clock.now());
    let mut end = limit + SETTLE_TIMEOUT;
    while unsettled() > 0 && context.clock.now() < end {
        if stop.count() > 1 {
            end = end.min(context.clock.now() + SETTLE_TIMEOUT);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    unsettled()
}

fn limits(entry: &Entry) -> Limits {
    Limits {
        max_head: entry.max_head,
        max_connections: entry.max_connections,
        receive_timeout: Duration::from_millis(entry.receive_ms),
        ..Limits::default()
    }
}
