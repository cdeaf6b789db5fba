//! Planned stop of a control instance: it transfers its leadership while operators get responses.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornkeel_config::settings::Control;
use hawthornkeel_core::replica::HandoverEnd;
use hawthornkeel_core::request::refusal::RunStatus;
use hawthornkeel_core::stop::ControlStop;
use hawthornkeel_core::stop::StopTimes;
use http::Method;
use monoio::task::JoinHandle;

use crate::clock::boot_now;
use crate::control::gossip::Gossip;
use crate::control::node::ControlNode;
use crate::http::close::OpenConnections;
use crate::http::message::Head;
use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Handler;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;
use crate::http::server::ShutdownSignals;
use crate::http::signal::Signal;
use crate::http::stop::planned_stop;
use crate::stop::StopReport;
use crate::stop::StopRequest;

/// Interval at which requests to stop and the leadership are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// `Retry-After` of the final response to a request in progress.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Server of operators, which is stopped with its instance.
pub struct OperatorServer {
    serving: JoinHandle<()>,
    signals: ShutdownSignals,
    open: OpenConnections,
}

impl OperatorServer {
    /// Listens on `address` and starts to serve.
    ///
    /// # Errors
    /// Returns an error if the address can't be bound.
    pub fn start<H: Handler>(
        address: SocketAddr,
        limits: Limits,
        handler: H,
    ) -> Result<Self, ListenError> {
        let server = Server::bind(address, limits)?;
        let (signals, open) = (server.shutdown_signals(), server.open_connections());
        let handler = FinalResponse { handler, finish: signals.finish.clone() };
        let serving = monoio::spawn(server.serve(handler));
        Ok(Self { serving, signals, open })
    }

    /// Stops after a request to stop, and returns once all connections have ended.
    pub async fn stop(self, stop: StopRequest, times: StopTimes) -> StopReport {
        let Self { serving, signals, open } = self;
        planned_stop(serving, &signals, &open, &stop, &times).await
    }
}

/// Handler that ends requests in progress with a response of its own once a stop demands it.
struct FinalResponse<H> {
    handler: H,
    finish: Signal,
}

impl<H: Handler> Handler for FinalResponse<H> {
    async fn handle(&self, request: Request) -> Response {
        let Head { method, path, .. } = request.head.clone();
        if self.finish.is_set() {
            return final_response(RunStatus::NotRun);
        }
        let ran = if method == Method::GET { RunStatus::NotRun } else { RunStatus::Unknown };
        monoio::select! {
            response = self.handler.handle(request) => response,
            () = self.finish.wait() => {
                tracing::info!(event = "order-unfinished", %method, path, %ran);
                final_response(ran)
            }
        }
    }

    fn max_body(&self, head: &Head) -> Option<usize> {
        self.handler.max_body(head)
    }
}

fn final_response(ran: RunStatus) -> Response {
    Problem::new(Code::Stopping, ran).with_retry_after(RETRY_AFTER).into_response()
}

/// Returns the times of the stop of an instance with these settings.
pub fn stop_times(settings: &Control) -> ControlStop {
    let grace = Duration::from_secs_f64(settings.grace_s);
    ControlStop::within(grace, Duration::from_millis(settings.election_ms))
}

/// Stops all `servers` within `times` and returns the sum of their reports.
pub async fn stop_servers(
    servers: Vec<OperatorServer>,
    stop: &StopRequest,
    times: StopTimes,
) -> StopReport {
    let stopping: Vec<_> =
        servers.into_iter().map(|server| monoio::spawn(server.stop(stop.clone(), times))).collect();
    let mut report = StopReport::Complete;
    for server in stopping {
        report = report.and(server.await);
    }
    report
}

/// Transfers the leadership once a stop is requested, and again whenever this instance is elected.
///
/// A transfer ends after `election_timeout`, after which the next one may begin.
pub async fn keep_transferring(
    control: ControlNode,
    stop: StopRequest,
    election_timeout: Duration,
) {
    stop.wait().await;
    while !control.has_ended() {
        control.transfer_leadership();
        monoio::time::sleep(election_timeout).await;
    }
}

/// Waits until the orders that this instance holds in memory are in the log.
///
/// Ends after `limit`, or once `stop` was requested again.
pub async fn wait_logged(gossip: &Gossip, stop: &StopRequest, limit: Duration) {
    let skipped = async {
        while stop.count() < 2 {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    };
    monoio::select! {
        _ = monoio::time::timeout(limit, gossip.commit_all()) => {}
        () = skipped => {}
    }
    let count = gossip.uncommitted();
    if count > 0 {
        tracing::warn!(event = "take-outs-unlogged", count);
    }
}

/// Waits up to `limit` until this instance doesn't lead and the next leader has been told.
pub async fn wait_transferred(control: &ControlNode, limit: Duration) {
    let mut waited = Duration::ZERO;
    while control.lead().is_leader && control.has_successors() && waited < limit {
        monoio::time::sleep(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
    // Leaves time to send the transfer message before the endpoint is closed.
    monoio::time::sleep(POLL_INTERVAL).await;
}

/// Asks for the vote of this instance to be handed over, and waits until a learner has it.
///
/// Ends after `limit` under one leader, and after `left` in any case.
pub async fn hand_over_vote(control: &ControlNode, limit: Duration, left: Duration) {
    control.withdraw();
    let begun = boot_now();
    let mut handover = control.begin_handover(limit, begun + left);
    let end = loop {
        if let Some(end) = control.handover_ended(&mut handover) {
            break end;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    };
    let (waited_ms, outcome) = (boot_now().since(begun).as_millis(), end);
    let handed_over = end == HandoverEnd::HandedOver;
    if end == HandoverEnd::TimedOut {
        let leader = control.lead().leader;
        let leader = leader.as_ref().map(tracing::field::display);
        tracing::warn!(event = "vote-withdrawn", handed_over, %outcome, leader, waited_ms);
    } else {
        tracing::info!(event = "vote-withdrawn", handed_over, %outcome, waited_ms);
    }
}
