//! An instance with its configured roles, from its start to its planned stop.

use std::error::Error;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::orders::OrderSettings;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::admin::AdminHandler;
use crate::admin::TargetOrders;
use crate::clock::boot_now;
use crate::control::error::ControlFailure;
use crate::control::gossip::Gossip;
use crate::control::node::ControlNode;
use crate::control::open::OpenError;
use crate::control::open::open_control;
use crate::control::orders::OrderSender;
use crate::control::rollout_admin::RolloutAdmin;
use crate::control::rollout_client::RolloutClient;
use crate::control::start;
use crate::control::start::ControlPlane;
use crate::control::stop::OperatorServer;
use crate::control::stop::hand_over_vote;
use crate::control::stop::keep_transferring;
use crate::control::stop::stop_servers;
use crate::control::stop::stop_times;
use crate::control::stop::wait_logged;
use crate::control::stop::wait_transferred;
use crate::entry::claims::ClaimBackend;
use crate::entry::claims::ClaimStore;
use crate::entry::context::Context;
use crate::entry::context::Dependencies;
use crate::entry::controllers::document;
use crate::entry::controllers::lease;
use crate::entry::messaging::PeerMessenger;
use crate::entry::server::EntryServer;
use crate::forward::discovery_server::ControlHandles;
use crate::forward::discovery_server::DiscoveryServer;
use crate::forward::operators::OperatorHandler;
use crate::forward::rollout_requests::RolloutRequests;
use crate::forward::rollout_server::RolloutServer;
use crate::forward::server::ForwardServer;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::metrics_server;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::PeerError;
use crate::peer::frame::FrameKind;
use crate::stop::StopReport;
use crate::stop::StopRequest;
use crate::telemetry;

/// Reason why an instance could not start or had to stop.
#[derive(Debug)]
pub enum RunError {
    /// The endpoint for peers can't be opened.
    Peer(PeerError),
    /// Listening on an address failed.
    Listen(ListenError),
    /// The control role can't start.
    Control(OpenError),
    /// The entry role has no listen address.
    NoListenAddress,
    /// The control role failed and can't acknowledge anything any more.
    Failed(ControlFailure),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Peer(error) => write!(f, "can't open the endpoint for peers: {error}"),
            Self::Listen(error) => error.fmt(f),
            Self::Control(error) => error.fmt(f),
            Self::NoListenAddress => f.write_str("entry.listen is missing"),
            Self::Failed(failure) => write!(f, "control role failed: {failure}"),
        }
    }
}

impl Error for RunError {}

impl From<PeerError> for RunError {
    fn from(error: PeerError) -> Self {
        Self::Peer(error)
    }
}

impl From<ListenError> for RunError {
    fn from(error: ListenError) -> Self {
        Self::Listen(error)
    }
}

impl From<OpenError> for RunError {
    fn from(error: OpenError) -> Self {
        Self::Control(error)
    }
}

/// Runs an instance until a stop is requested.
///
/// # Errors
/// Fails if an address, a certificate or the data folder can't be used, or if the control role
/// fails.
pub async fn run(
    settings: Settings,
    stop: StopRequest,
    metrics: PrometheusHandle,
) -> Result<StopReport, RunError> {
    let endpoint = Endpoint::open(&settings)?;
    monoio::spawn(telemetry::keep_up(metrics.clone()));
    serve_metrics(&settings, &metrics);
    if let Some(address) = settings.forward.listen {
        // A forwarding entry polls the control instances and does not replicate the log.
        let report = ForwardServer::listen(&settings, &endpoint, address)?.serve(stop).await;
        endpoint.close();
        endpoint.wait_closed().await;
        return Ok(report);
    }
    let control =
        if settings.control.enabled { Some(open_control(&settings, &endpoint)?) } else { None };
    let parts = start::start(&settings, &endpoint, control);
    let (operators, rollouts) = serve_operators(&settings, &endpoint, &parts)?.unzip();
    let mut servers = Vec::from_iter(operators);
    let context = settings.entry.enabled.then(|| open_entry(&settings, &endpoint, &parts));
    if let Some(address) = settings.instance.admin {
        let orders = context.as_ref().and_then(|c| target_orders(&settings, c, &parts));
        let (admin, rollouts) = (parts.admin.clone(), rollouts.map(RolloutAdmin::new));
        let handler = AdminHandler::new(admin, metrics, orders, rollouts, stop.clone());
        servers.push(OperatorServer::start(address, Limits::default(), handler)?);
    }
    let election_timeout = Duration::from_millis(settings.control.election_ms);
    if let Some(control) = parts.control.clone() {
        monoio::spawn(keep_transferring(control, stop.clone(), election_timeout));
    }
    let stopping = stop.clone();
    let failed = control_failure(parts.control.clone());
    let report = monoio::select! {
        report = serve(&settings, context, servers, &parts.admin.gossip, stop) => report?,
        failure = failed => return Err(RunError::Failed(failure)),
    };
    if let Some(control) = &parts.control {
        let times = stop_times(&settings.control);
        wait_transferred(control, times.handover).await;
        let elapsed = stopping.elapsed();
        hand_over_vote(control, times.vote_wait(elapsed), times.time_left(elapsed)).await;
    }
    endpoint.close();
    endpoint.wait_closed().await;
    // Waits for the disk, so the peers are told before.
    if let Some(control) = &parts.control {
        control.stop();
    }
    Ok(report)
}

/// Serves the metrics on an address of their own, if there is one.
///
/// The instance goes on without them where the address is one of its others or can't be used.
fn serve_metrics(settings: &Settings, metrics: &PrometheusHandle) {
    let Some(address) = settings.instance.metrics else { return };
    let others = [
        settings.instance.admin,
        settings.entry.listen,
        settings.forward.listen,
        settings.forward.ready,
        settings.control.operators,
    ];
    if others.contains(&Some(address)) {
        tracing::warn!(event = "metrics-unserved", %address, cause = "address is used otherwise");
    } else if let Err(error) = metrics_server::start(address, metrics.clone()) {
        tracing::warn!(event = "metrics-unserved", %address, cause = %error);
    }
}

/// Serves until a stop is requested, then until callers and operators have their responses.
///
/// Operators are served until the callers of the entry role have theirs.
async fn serve(
    settings: &Settings,
    context: Option<Rc<Context>>,
    servers: Vec<OperatorServer>,
    gossip: &Gossip,
    stop: StopRequest,
) -> Result<StopReport, RunError> {
    let callers = serve_callers(settings, context, &stop).await?;
    let times = stop_times(&settings.control).orders;
    let began = boot_now();
    let operators = stop_servers(servers, &stop, times).await;
    wait_logged(gossip, &stop, times.finish.saturating_sub(boot_now().since(began))).await;
    Ok(callers.and(operators))
}

/// Serves callers if the instance is an entry, and waits for a request to stop.
async fn serve_callers(
    settings: &Settings,
    context: Option<Rc<Context>>,
    stop: &StopRequest,
) -> Result<StopReport, RunError> {
    let Some(context) = context else {
        stop.wait().await;
        return Ok(StopReport::Complete);
    };
    let listen = settings.entry.listen.ok_or(RunError::NoListenAddress)?;
    Ok(EntryServer::listen(context, listen)?.serve(stop.clone()).await)
}

/// Waits until the control role fails, or forever if there is none.
async fn control_failure(control: Option<ControlNode>) -> ControlFailure {
    match control {
        Some(control) => control.failed().await,
        None => std::future::pending().await,
    }
}

/// Serves operators on the platform's paths, and discovery for forwarding entries, if configured.
///
/// Returns the server and the client for operators' calls about rollouts.
fn serve_operators(
    settings: &Settings,
    endpoint: &Endpoint,
    parts: &ControlPlane,
) -> Result<Option<(OperatorServer, RolloutClient)>, ListenError> {
    let (Some(address), Some(control)) = (settings.control.operators, &parts.control) else {
        return Ok(None);
    };
    let discovery = settings.platform.address.map(|list| {
        let handles = ControlHandles {
            control: control.clone(),
            watch: parts.watch.clone(),
            directory: parts.directory.clone(),
        };
        DiscoveryServer::start(settings, endpoint, handles, list)
    });
    let rollouts = RolloutServer::start(endpoint, control, &parts.watch, discovery);
    let rollouts = rollouts.client(parts.directory.clone());
    let operators = OperatorHandler {
        endpoint: endpoint.clone(),
        follower: parts.admin.follower.clone(),
        client: parts.client.clone(),
        directory: parts.directory.clone(),
        rollouts: RolloutRequests::new(rollouts.clone()),
    };
    let limits = Limits { max_body: 4 << 20, ..Limits::default() };
    let server = OperatorServer::start(address, limits, operators)?;
    tracing::info!(event = "operators-served", name = %endpoint.name(), %address);
    Ok(Some((server, rollouts)))
}

/// Returns what orders to targets need, if the instance has the control role.
fn target_orders(
    settings: &Settings,
    context: &Rc<Context>,
    parts: &ControlPlane,
) -> Option<TargetOrders> {
    let control = parts.control.clone()?;
    // A leader's lease is shorter than the election timeout of its followers.
    let lease = Duration::from_millis(settings.control.election_ms);
    let settings = OrderSettings { lease, ..OrderSettings::default() };
    let orders = OrderSender::start(control, context.client.clone(), settings);
    Some(TargetOrders { context: Rc::clone(context), orders })
}

/// Creates the context of the entry role and starts to follow the published state.
fn open_entry(settings: &Settings, endpoint: &Endpoint, parts: &ControlPlane) -> Rc<Context> {
    let dependencies = Dependencies {
        claims: ClaimStore::new(ClaimBackend::Control(parts.client.clone())),
        messenger: PeerMessenger::Quic(endpoint.clone()),
        lease: lease_settings(settings),
    };
    let context = Rc::new(Context::new(settings.clone(), dependencies));
    receive_entry_frames(&context, endpoint);
    monoio::spawn(document::follow(Rc::clone(&context), parts.watch.clone()));
    context
}

fn lease_settings(settings: &Settings) -> LeaseSettings {
    let grant = Duration::from_millis(settings.entry.grant_ms);
    LeaseSettings { grant_duration: grant, ..LeaseSettings::default() }
}

fn receive_entry_frames(context: &Rc<Context>, endpoint: &Endpoint) {
    let context = Rc::clone(context);
    endpoint.on_frame(FrameKind::Entry, move |from, frame| {
        if let Frame::Entry(message) = frame {
            lease::receive(&context, from, message);
        }
    });
}
