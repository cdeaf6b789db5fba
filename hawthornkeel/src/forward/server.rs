//! Start and planned stop of an entry that forwards routes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_platform::operators::READINESS_PATH;
use http::StatusCode;

use crate::control::directory::Directory;
use crate::entry::start::StopReport;
use crate::forward::context::Context;
use crate::forward::desks::Desks;
use crate::forward::discovery_client;
use crate::forward::handler::Callers;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Control;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;
use crate::peer::Endpoint;
use crate::stop::StopRequest;

/// Pause between two looks at whether a stop was asked for or is done.
const POLL: Duration = Duration::from_millis(25);
/// Part of the grace time for which connections are accepted, as the balancer lags.
const DRAIN_PART: f64 = 0.45;
/// Part of the grace time after which what still runs is cut off.
const STOP_PART: f64 = 0.93;
/// Time that a connection may stay open between requests.
const IDLE: Duration = Duration::from_secs(60);
/// Bytes of bodies held for all callers, as a part of the memory.
const HELD_PART: u64 = 4;

/// Entry that forwards routes.
pub struct ForwardServer {
    context: Rc<Context>,
    desks: Desks,
    server: Server,
}

impl ForwardServer {
    /// Listens for callers on `address` and for readiness checks.
    ///
    /// # Errors
    /// Fails where an address can't be taken.
    pub fn listen(
        settings: &Settings,
        endpoint: &Endpoint,
        address: SocketAddr,
    ) -> Result<Self, ListenError> {
        let server = Server::bind(address, limits(settings))?;
        let directory = Directory::new(settings);
        let context = Rc::new(Context::new(settings.clone(), endpoint.clone(), directory));
        let desks = Desks::start(&context);
        monoio::spawn(discovery_client::follow(Rc::clone(&context), desks.clone()));
        monoio::spawn(discovery_client::tell_presence(Rc::clone(&context)));
        if let Some(ready) = settings.forward.ready {
            let readiness = Rc::clone(&context);
            let checks = Server::bind(ready, Limits::default())?;
            monoio::spawn(checks.serve(move |request: Request| {
                let response = answer_check(&readiness, &request);
                async move { response }
            }));
        }
        Ok(Self { context, desks, server })
    }

    /// Serves until `stop` is asked for, then stops as planned.
    pub async fn serve(self, stop: StopRequest) -> StopReport {
        let Self { context, desks, server } = self;
        let control = server.control();
        let (name, address) = (context.endpoint.name().clone(), server.address());
        tracing::info!(event = "entry-started", %name, %address);
        let callers = Callers { context: Rc::clone(&context), desks };
        let serving = monoio::spawn(server.serve(callers));
        while stop.count() == 0 {
            if stop.take_reload() {
                tracing::info!(event = "reload-asked");
            }
            monoio::time::sleep(POLL).await;
        }
        let report = stop_planned(&context, &control).await;
        // Connections that are idle by now were told to close.
        let _ = monoio::time::timeout(POLL * 4, serving).await;
        report
    }
}

/// Answers a readiness check: an entry is ready once it can tell callers' requests apart.
fn answer_check(context: &Context, request: &Request) -> Response {
    if request.head.path != READINESS_PATH {
        return Problem::not_run(Code::NotFound).into_response();
    }
    let ready = !context.stopping.get() && context.table.borrow().is_some();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Response::whole(status, "text/plain", "")
}

/// Takes the steps of a planned stop.
async fn stop_planned(context: &Context, control: &Control) -> StopReport {
    let grace = Duration::from_secs_f64(context.settings.forward.grace_s.max(0.1));
    tracing::info!(event = "stop-begun", open = context.open.get());
    context.stopping.set(true);
    discovery_client::send_presence(context, true);
    control.drain.set();
    let started = std::time::Instant::now();
    monoio::time::sleep(grace.mul_f64(DRAIN_PART)).await;
    control.stop.set();
    while context.open.get() > 0 && started.elapsed() < grace.mul_f64(STOP_PART) {
        monoio::time::sleep(POLL).await;
    }
    let cut = context.open.get();
    tracing::info!(event = "entry-stopped", cut);
    if cut > 0 {
        control.abort.set();
        return StopReport::Cut(cut);
    }
    StopReport::Complete
}

fn limits(settings: &Settings) -> Limits {
    let memory = settings.forward.memory_mb.saturating_mul(1 << 20) / HELD_PART;
    Limits {
        max_body: 4 << 20,
        max_held: usize::try_from(memory).unwrap_or(usize::MAX),
        max_connections: settings.forward.max_connections,
        idle: IDLE,
        ..Limits::default()
    }
}
