//! Server of a forwarding entry: start-up, readiness checks and planned stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::stop::StopTimes;
use hawthornkeel_platform::operators::READINESS_PATH;
use http::StatusCode;

use crate::control::directory::ControlDirectory;
use crate::forward::context::Context;
use crate::forward::discovery_client;
use crate::forward::handler::ForwardHandler;
use crate::forward::helper_server;
use crate::forward::link_watch;
use crate::forward::measures;
use crate::forward::schedulers::Schedulers;
use crate::forward::stop::EntryStop;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;
use crate::http::stop::planned_stop;
use crate::peer::Endpoint;
use crate::stop::StopReport;
use crate::stop::StopRequest;

/// Interval at which requests to stop and to reload are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which an idle connection of a caller is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Divisor of `memory_mb` that limits the request bodies held for all callers.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Server of a forwarding entry.
pub struct ForwardServer {
    context: Rc<Context>,
    schedulers: Schedulers,
    server: Server,
}

impl ForwardServer {
    /// Listens for callers on `address` and for readiness checks.
    ///
    /// # Errors
    /// Returns an error if an address can't be bound.
    pub fn listen(
        settings: &Settings,
        endpoint: &Endpoint,
        address: SocketAddr,
    ) -> Result<Self, ListenError> {
        let server = Server::bind(address, limits(settings))?;
        let directory = ControlDirectory::new(settings);
        let stop = EntryStop::new(server.shutdown_signals().finish);
        let context = Context::new(settings.clone(), endpoint.clone(), directory, stop);
        let context = Rc::new(context);
        let schedulers = Schedulers::start(&context);
        monoio::spawn(measures::keep_state(Rc::clone(&context)));
        monoio::spawn(discovery_client::run(Rc::clone(&context), schedulers.clone()));
        monoio::spawn(link_watch::run(Rc::clone(&context), schedulers.clone()));
        let (helper, own) = (Rc::clone(&context), schedulers.clone());
        helper_server::register(ForwardHandler { context: helper, schedulers: own });
        if let Some(ready) = settings.forward.ready {
            let readiness = Rc::clone(&context);
            let checks = Server::bind(ready, Limits::default())?;
            monoio::spawn(checks.serve(move |request: Request| {
                let response = readiness_response(&readiness, &request);
                async move { response }
            }));
        }
        Ok(Self { context, schedulers, server })
    }

    /// Serves until a stop is requested, then performs the planned stop.
    pub async fn serve(self, stop: StopRequest) -> StopReport {
        let Self { context, schedulers, server } = self;
        let (signals, open) = (server.shutdown_signals(), server.open_connections());
        let (name, address) = (context.endpoint.name().clone(), server.address());
        tracing::info!(event = "entry-started", %name, %address);
        let handler =
            ForwardHandler { context: Rc::clone(&context), schedulers: schedulers.clone() };
        let serving = monoio::spawn(server.serve(handler));
        while stop.count() == 0 {
            if stop.take_reload() {
                tracing::info!(event = "reload-asked");
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        let grace = Duration::from_secs_f64(context.settings.forward.grace_s.max(0.1));
        tracing::info!(event = "stop-begun", open = open.owed(), grace_ms = grace.as_millis());
        let times = StopTimes::within(grace);
        context.stop.begin(&times);
        discovery_client::announce_stop(&context);
        let ending = async {
            serving.await;
            schedulers.end_jobs().await;
            helper_server::end_helped(&context).await;
        };
        let report = planned_stop(ending, &signals, &open, &stop, &times).await;
        report.log_entry_stopped(None);
        report
    }
}

/// Responds to a readiness check: an entry is ready once it has a route table.
fn readiness_response(context: &Context, request: &Request) -> Response {
    if request.head.path != READINESS_PATH {
        return Problem::not_run(Code::NotFound).into_response();
    }
    let ready = !context.stop.is_begun() && context.table.borrow().is_some();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Response::full(status, "text/plain", "")
}

fn limits(settings: &Settings) -> Limits {
    let body_memory = settings.forward.memory_mb.saturating_mul(1 << 20) / BODY_MEMORY_DIVISOR;
    Limits {
        max_body: 4 << 20,
        max_buffered: usize::try_from(body_memory).unwrap_or(usize::MAX),
        max_connections: settings.forward.max_connections,
        idle_timeout: IDLE_TIMEOUT,
        ..Limits::default()
    }
}
