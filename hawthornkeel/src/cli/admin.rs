//! HTTP client for the admin address of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::ids::CallId;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::cli::error::CliError;
use crate::cli::error::one_line;
use crate::runtime;
use crate::target::call::Call;
use crate::target::connection::CallTimeouts;
use crate::target::connection::Connection;
use crate::target::error::CallError;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for a request; an order must be stored by a quorum before the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest response body, in bytes.
const MAX_RESPONSE: usize = 16 << 20;

/// Value of `ran` in the refusal of an order that changed nothing.
const NOT_RUN: &str = "not-run";

/// Response of an instance.
struct AdminResponse {
    status: StatusCode,
    body: Bytes,
}

/// Body of a refusal.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Refusal {
    title: String,
    ran: String,
    detail: String,
}

/// Sends an order to `path` and returns the body of the response.
///
/// # Errors
/// Fails if the order is refused or there is no response. The error says whether the order may have
/// been carried out.
pub fn post(admin: SocketAddr, path: &str, order: &impl Serialize) -> Result<Bytes, CliError> {
    let body = serde_json::to_vec(order)
        .map_err(|error| CliError::Failed(format!("the order can't be encoded: {error}")))?;
    call(admin, &Method::POST, path, Bytes::from(body))
}

/// Sends a GET request for `path` and returns the body of the response.
///
/// # Errors
/// Fails as [`post`] does.
pub fn get(admin: SocketAddr, path: &str) -> Result<Bytes, CliError> {
    call(admin, &Method::GET, path, Bytes::new())
}

fn call(admin: SocketAddr, method: &Method, path: &str, body: Bytes) -> Result<Bytes, CliError> {
    let call = Call { path: path.to_owned(), body, timeout: REQUEST_TIMEOUT, ..Call::default() };
    let exchange = runtime::block_on(exchange(admin, method, &call))
        .map_err(|error| CliError::Failed(format!("can't create the event loop: {error}")))?;
    match exchange {
        Ok(response) if response.status.is_success() => Ok(response.body),
        Ok(response) => Err(refusal_error(&response)),
        Err(error @ CallError::NotSent(_)) => {
            Err(CliError::Retry(format!("{admin} can't be reached: {error}")))
        }
        Err(error) => Err(CliError::Unknown(format!("no answer from {admin}: {error}"))),
    }
}

async fn exchange(
    admin: SocketAddr,
    method: &Method,
    call: &Call,
) -> Result<AdminResponse, CallError> {
    let request = call.encode(method, &admin.to_string())?;
    let timeouts = CallTimeouts::start(call.timeout, call.timeout);
    let mut connection = Connection::open(admin, CONNECT_TIMEOUT).await?;
    connection.send(request, &timeouts).await?;
    let id = CallId::default();
    let mut head = connection.read_head(id, MAX_RESPONSE, &timeouts).await?;
    let mut body = BytesMut::new();
    while let Some(chunk) = connection.next_chunk(&mut head.body, &timeouts).await? {
        body.extend_from_slice(&chunk);
    }
    Ok(AdminResponse { status: head.status, body: body.freeze() })
}

/// Returns the error for a refusal.
fn refusal_error(response: &AdminResponse) -> CliError {
    let refusal: Refusal = serde_json::from_slice(&response.body).unwrap_or_default();
    let mut text = format!("status {}", response.status.as_u16());
    for part in [&refusal.title, &refusal.detail] {
        if !part.is_empty() {
            text.push_str(": ");
            text.push_str(&one_line(part));
        }
    }
    match (response.status.is_client_error(), refusal.ran.as_str()) {
        (true, _) => CliError::Refused(text),
        (false, NOT_RUN) => CliError::Retry(text),
        (false, _) => CliError::Unknown(text),
    }
}
