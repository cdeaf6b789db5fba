//! Which process of a target a connection leads to: a restart in between gets no call.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use hawthornkeel_core::ids::Incarnation;
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

/// Header with the incarnation of a target's process, which its answers may carry.
pub const INCARNATION: &str = "x-incarnation";

/// Which process of a target may get a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ExpectedProcess {
    /// Any.
    #[default]
    Any,
    /// The one of this incarnation.
    Incarnation(Incarnation),
    /// The one that recent connections led to, as far as their loss tells.
    Unchanged,
}

/// Incarnation that a target named on a call, known as soon as the head of its answer is.
#[derive(Clone, Debug, Default)]
pub struct ReportedIncarnation {
    incarnation: Rc<Cell<Option<Incarnation>>>,
}

impl ReportedIncarnation {
    /// Returns the incarnation, if the target named any.
    pub fn get(&self) -> Option<Incarnation> {
        self.incarnation.get()
    }

    /// Notes what an answer's head names.
    pub(crate) fn set(&self, incarnation: Option<Incarnation>) {
        self.incarnation.set(incarnation.or(self.get()));
    }
}

/// Returns the incarnation that an answer names.
pub(crate) fn incarnation(headers: &HeaderMap) -> Option<Incarnation> {
    let text = headers.get(INCARNATION)?.to_str().ok()?;
    text.trim().parse().ok().map(Incarnation)
}

impl Client {
    /// Opens a connection that leads to the process that `call` is for.
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
                let proved = self.verify_process(address, connection, call, *timeouts).await?;
                match proved {
                    Some(connection) => Ok(connection),
                    // The target keeps no connection, so that the next moment is left to chance.
                    None => self.connect_unchecked(address, timeouts).await,
                }
            }
            // Looked at last: an ended process closes its connections before the next one accepts.
            ExpectedProcess::Unchanged if self.pool().is_lost(address).await => {
                Err(CallError::Restarted)
            }
            ExpectedProcess::Unchanged => Ok(connection),
        }
    }

    /// Checks that `connection` leads to the process that `call` is for, asking where need be.
    ///
    /// Returns the connection, where it can be used on.
    pub(crate) async fn verify_process(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        timeouts: CallTimeouts,
    ) -> Result<Option<Connection>, CallError> {
        let ExpectedProcess::Incarnation(wanted) = call.expected_process else {
            return Ok(Some(connection));
        };
        let (kept, named) = match connection.incarnation {
            Some(named) => (Some(connection), Some(named)),
            None => self.ask(address, connection, call, timeouts).await.map_err(not_sent)?,
        };
        match named {
            Some(named) if named != wanted => {
                call.reported.set(Some(named));
                Err(CallError::Restarted)
            }
            // A target that names no process here is called as it always was.
            _ => Ok(kept),
        }
    }

    /// Asks for the incarnation at the other end of a connection by its load report.
    async fn ask(
        &self,
        address: SocketAddr,
        connection: Connection,
        call: &Call,
        timeouts: CallTimeouts,
    ) -> Result<(Option<Connection>, Option<Incarnation>), CallError> {
        let ask = Call { path: load::PATH.to_owned(), ..call.clone() };
        let request = ask.encode(&Method::GET, &address.to_string())?;
        let mut open = self.send(connection, call, request, timeouts).await?;
        let body = client::read_to_end(&mut open).await?;
        let PendingResponse { mut connection, head, .. } = open;
        let report: Option<LoadReport> = serde_json::from_slice(&body).ok();
        let reported = report.and_then(|r| r.incarnation);
        connection.incarnation = connection.incarnation.or(reported);
        let named = connection.incarnation;
        Ok((head.reusable.then_some(connection), named))
    }
}

/// Returns the error of a call that was held back as its connection failed before.
fn not_sent(error: CallError) -> CallError {
    CallError::NotSent(error.to_string())
}
