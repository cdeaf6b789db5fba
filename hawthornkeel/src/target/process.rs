//! Checks which process of a target a connection leads to, so that a call meant for one process
//! does not reach the next one after a restart.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::ids::RequestId;
use http::HeaderMap;
use http::Method;

use crate::target::call::Call;
use crate::target::client;
use crate::target::client::Client;
use crate::target::client::PendingResponse;
use crate::target::connection::CallTimeouts;
use crate::target::connection::Connection;
use crate::target::error::CallError;
use crate::target::load;
use crate::target::load::LoadReport;

/// Header of a response with the incarnation of the target's process; optional.
pub const INCARNATION: &str = "x-incarnation";

/// Process of a target that may receive a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ExpectedProcess {
    /// Any process.
    #[default]
    Any,
    /// The process with this incarnation.
    Incarnation(Incarnation),
    /// The process of recent connections; their loss is taken as a restart.
    Unchanged,
}

/// Incarnation that a target reports on a call, known once the head of its response is read.
#[derive(Clone, Debug, Default)]
pub struct ReportedIncarnation {
    incarnation: Rc<Cell<Option<Incarnation>>>,
}

impl ReportedIncarnation {
    /// Returns the incarnation, if the target reported one.
    pub fn get(&self) -> Option<Incarnation> {
        self.incarnation.get()
    }

    /// Records the incarnation from the head of a response.
    pub(crate) fn set(&self, incarnation: Option<Incarnation>) {
        self.incarnation.set(incarnation.or(self.get()));
    }
}

/// Returns the incarnation in the headers of a response.
pub(crate) fn incarnation(headers: &HeaderMap) -> Option<Incarnation> {
    let text = headers.get(INCARNATION)?.to_str().ok()?;
    text.trim().parse().ok().map(Incarnation)
}

impl Client {
    /// Opens a connection to the process that `call` expects.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        call: &Call,
        timeouts: &CallTimeouts,
    ) -> Result<Connection, CallError> {
        let connection = self.connect_unchecked(address, timeouts).await?;
        match call.expected_process {
            ExpectedProcess::Any => Ok(connection),
            ExpectedProcess::Incarnation(_) => {
                let verified = self.verify_process(address, connection, call, *timeouts).await?;
                match verified {
                    Some(connection) => Ok(connection),
                    // The target closes each connection after one exchange, so a restart before the
                    // next connection is not detected.
                    None => self.connect_unchecked(address, timeouts).await,
                }
            }
            // Checked after connecting: the connections of a process that has ended are closed
            // before the next process accepts any.
            ExpectedProcess::Unchanged if self.pool().is_lost(address).await => {
                Err(CallError::Restarted)
            }
            ExpectedProcess::Unchanged => Ok(connection),
        }
    }

    /// Checks that `connection` leads to the process that `call` expects, with a request for the
    /// load report if the incarnation is not known.
    ///
    /// Returns the connection if it can still be used.
    pub(crate) async fn verify_process(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        timeouts: CallTimeouts,
    ) -> Result<Option<Connection>, CallError> {
        let ExpectedProcess::Incarnation(expected) = call.expected_process else {
            return Ok(Some(connection));
        };
        let (reusable, incarnation) = match connection.incarnation {
            Some(incarnation) => (Some(connection), Some(incarnation)),
            None => self
                .query_incarnation(address, connection, call, timeouts)
                .await
                .map_err(not_sent)?,
        };
        match incarnation {
            Some(incarnation) if incarnation != expected => {
                call.reported.set(Some(incarnation));
                Err(CallError::Restarted)
            }
            // A target that does not report its incarnation is called without the check.
            _ => Ok(reusable),
        }
    }

    /// Requests the load report for the incarnation of the process at the other end.
    async fn query_incarnation(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        timeouts: CallTimeouts,
    ) -> Result<(Option<Connection>, Option<Incarnation>), CallError> {
        // With the ID of the call, a late copy of the report would be taken for the call's response.
        let id = CallId { request: RequestId(rand::random()), ..CallId::default() };
        let query = Call { id, path: load::PATH.to_owned(), ..call.clone() };
        let request = query.encode(&Method::GET, &address.to_string())?;
        let mut open = self.send(connection, &query, request, timeouts).await?;
        let body = client::read_to_end(&mut open).await?;
        let PendingResponse { mut connection, head, .. } = open;
        let report: Option<LoadReport> = serde_json::from_slice(&body).ok();
        let reported = report.and_then(|r| r.incarnation);
        connection.incarnation = connection.incarnation.or(reported);
        let incarnation = connection.incarnation;
        Ok((head.reusable.then_some(connection), incarnation))
    }
}

/// Returns the error of a call that was not sent because the check of its connection failed.
fn not_sent(error: CallError) -> CallError {
    CallError::NotSent(error.to_string())
}
