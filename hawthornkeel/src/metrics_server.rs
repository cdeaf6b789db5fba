//! Server of the metrics address, for collectors that may give no orders.

use std::net::SocketAddr;

use http::Method;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::http::message::Request;
use crate::http::message::Response;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";
/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";
/// Maximum number of open connections of collectors.
const MAX_CONNECTIONS: usize = 16;

/// Starts to serve the metrics on an address, until the process ends.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn start(address: SocketAddr, metrics: PrometheusHandle) -> Result<(), ListenError> {
    let limits = Limits { max_connections: MAX_CONNECTIONS, max_body: 0, ..Limits::default() };
    let server = Server::bind(address, limits)?;
    monoio::spawn(server.serve(move |request: Request| {
        let response = respond(&request, &metrics);
        async move { response }
    }));
    Ok(())
}

fn respond(request: &Request, metrics: &PrometheusHandle) -> Response {
    let head = &request.head;
    if head.method != Method::GET || head.path != METRICS_PATH {
        return Problem::not_run(Code::NotFound).into_response();
    }
    metrics_page(metrics)
}

/// Returns the response with all metrics.
pub fn metrics_page(metrics: &PrometheusHandle) -> Response {
    Response::full(StatusCode::OK, METRICS_TYPE, metrics.render())
}
