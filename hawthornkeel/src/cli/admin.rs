//! HTTP client of an instance's admin address.

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

/// Time for a connection to open.
const CONNECT: Duration = Duration::from_secs(3);

/// Time for an order to be stored by a quorum and answered.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Answer, in bytes at most.
const MAX_ANSWER: usize = 16 << 20;

/// Value of `ran` in a refusal of an order that changed nothing.
const NOT_RUN: &str = "not-run";

/// Answer of an instance.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

/// What a refusal says.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Refusal {
    title: String,
    ran: String,
    detail: String,
}

/// Sends an order to `path` and returns the answer to it.
///
/// # Errors
/// Fails where there is no answer or a refusal, and tells whether the order may have been taken.
pub fn post(admin: SocketAddr, path: &str, order: &impl Serialize) -> Result<Bytes, CliError> {
    let body = serde_json::to_vec(order)
        .map_err(|error| CliError::Failed(format!("the order can't be encoded: {error}")))?;
    call(admin, &Method::POST, path, Bytes::from(body))
}

/// Gets `path`.
///
/// # Errors
/// Fails as [`post`] does.
pub fn get(admin: SocketAddr, path: &str) -> Result<Bytes, CliError> {
    call(admin, &Method::GET, path, Bytes::new())
}

fn call(admin: SocketAddr, method: &Method, path: &str, body: Bytes) -> Result<Bytes, CliError> {
    let call = Call { path: path.to_owned(), body, timeout: TIMEOUT, ..Call::default() };
    let exchange = runtime::block_on(exchange(admin, method, &call))
        .map_err(|error| CliError::Failed(format!("no event loop: {error}")))?;
    match exchange {
        Ok(answer) if answer.status.is_success() => Ok(answer.body),
        Ok(answer) => Err(refused(&answer)),
        Err(error @ CallError::NotSent(_)) => {
            Err(CliError::Retry(format!("{admin} can't be reached: {error}")))
        }
        Err(error) => Err(CliError::Unknown(format!("no answer from {admin}: {error}"))),
    }
}

async fn exchange(admin: SocketAddr, method: &Method, call: &Call) -> Result<Answer, CallError> {
    let request = call.encode(method, &admin.to_string())?;
    let timeouts = CallTimeouts::start(call.timeout, call.timeout);
    let mut connection = Connection::open(admin, CONNECT).await?;
    connection.send(request, &timeouts).await?;
    let id = CallId::default();
    let mut head = connection.read_head(id, MAX_ANSWER, &timeouts).await?;
    let mut body = BytesMut::new();
    while let Some(piece) = connection.next_chunk(&mut head.body, &timeouts).await? {
        body.extend_from_slice(&piece);
    }
    Ok(Answer { status: head.status, body: body.freeze() })
}

/// Returns the error that a refusal stands for.
fn refused(answer: &Answer) -> CliError {
    let refusal: Refusal = serde_json::from_slice(&answer.body).unwrap_or_default();
    let mut text = format!("status {}", answer.status.as_u16());
    for part in [&refusal.title, &refusal.detail] {
        if !part.is_empty() {
            text.push_str(": ");
            text.push_str(&one_line(part));
        }
    }
    match (answer.status.is_client_error(), refusal.ran.as_str()) {
        (true, _) => CliError::Refused(text),
        (false, NOT_RUN) => CliError::Retry(text),
        (false, _) => CliError::Unknown(text),
    }
}
