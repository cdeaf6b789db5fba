//! Start and planned stop of an entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Entry;

use crate::entry::context::Context;
use crate::entry::controllers;
use crate::entry::handler::EntryHandler;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;
use crate::http::server::ShutdownSignals;
use crate::stop::StopRequest;

/// Pause between two looks at whether a stop was asked for or is done.
const POLL: Duration = Duration::from_millis(20);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopReport {
    /// Every request was answered.
    Complete,
    /// This many requests were cut off by a second signal or the time limit.
    Aborted(usize),
}

/// Entry that listens.
pub struct EntryServer {
    context: Rc<Context>,
    server: Server,
}

impl EntryServer {
    /// Listens for callers on `address` and starts the controllers.
    ///
    /// # Errors
    /// Fails where the address can't be taken.
    pub fn listen(context: Rc<Context>, address: SocketAddr) -> Result<Self, ListenError> {
        let server = Server::bind(address, limits(&context.settings.entry))?;
        monoio::spawn(controllers::targets::run(Rc::clone(&context)));
        monoio::spawn(controllers::load::run(Rc::clone(&context)));
        monoio::spawn(controllers::load::watch_connections(Rc::clone(&context)));
        monoio::spawn(controllers::lease::run(Rc::clone(&context)));
        monoio::spawn(controllers::queue::run(Rc::clone(&context)));
        Ok(Self { context, server })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Serves until `stop` is asked for, then stops as planned.
    pub async fn serve(self, stop: StopRequest) -> StopReport {
        let control = self.server.shutdown_signals();
        let context = Rc::clone(&self.context);
        let name = self.context.settings.instance.name.clone();
        tracing::info!(event = "entry-started", %name, address = %self.server.address());
        let serving = self.server.serve(EntryHandler::new(Rc::clone(&context)));
        let serving = monoio::spawn(serving);
        let report = stop_when_asked(&context, &control, &stop).await;
        serving.await;
        controllers::lease::resign(&context);
        // The message leaves before the endpoint for peers is closed.
        monoio::time::sleep(POLL).await;
        match report {
            StopReport::Complete => tracing::info!(event = "entry-stopped", cut = 0),
            StopReport::Aborted(cut) => tracing::warn!(event = "entry-stopped", cut),
        }
        report
    }
}

fn limits(entry: &Entry) -> Limits {
    Limits {
        max_head: entry.max_head,
        max_connections: entry.max_connections,
        receive_timeout: Duration::from_millis(entry.receive_ms),
        ..Limits::default()
    }
}

/// Waits for the request to stop and takes the steps of a planned stop.
async fn stop_when_asked(
    context: &Context,
    control: &ShutdownSignals,
    stop: &StopRequest,
) -> StopReport {
    while stop.count() == 0 {
        monoio::time::sleep(POLL).await;
    }
    tracing::info!(event = "stop-begun", open = context.open_requests.get());
    context.draining.set();
    control.drain.set();
    let entry = &context.settings.entry;
    // The balancer goes on sending until its next readiness checks have failed.
    pause(stop, Duration::from_millis(entry.drain_ms)).await;
    context.stopping.set();
    control.stop.set();
    let end = context.clock.now() + Duration::from_millis(entry.stop_ms);
    while context.open_requests.get() > 0 {
        if stop.count() > 1 || context.clock.now() >= end {
            let cut = context.open_requests.get();
            control.abort.set();
            return StopReport::Aborted(cut);
        }
        monoio::time::sleep(POLL).await;
    }
    StopReport::Complete
}

/// Waits for `time`, or until a second request to stop.
async fn pause(stop: &StopRequest, time: Duration) {
    let mut waited = Duration::ZERO;
    while waited < time && stop.count() < 2 {
        monoio::time::sleep(POLL).await;
        waited += POLL;
    }
}
