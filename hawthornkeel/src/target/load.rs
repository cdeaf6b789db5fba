//! Load reports of targets.

use std::net::SocketAddr;

use hawthornkeel_core::ids::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::target::call::Call;
use crate::target::client::Client;
use crate::target::error::CallError;

/// Path of the load report.
pub const PATH: &str = "/load";

/// Load reported by a target; it lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Incarnation of the target's process, if it reports one.
    pub incarnation: Option<Incarnation>,
    /// Number of running calls.
    pub running: u32,
    /// Number of queued calls.
    pub waiting: u32,
    /// Whether the target is cold, if it reports that.
    pub cold: Option<bool>,
}

impl Client {
    /// Requests the load report of the target at `address`, with the ID and timeouts of `call`.
    ///
    /// # Errors
    /// Returns a [`CallError`] if there is no valid report.
    pub async fn load(&self, address: SocketAddr, call: &Call) -> Result<LoadReport, CallError> {
        let call = Call { path: PATH.to_owned(), ..call.clone() };
        let response = self.get(address, &call).await?;
        serde_json::from_slice(&response.body)
            .map_err(|_| CallError::Malformed("load report can't be parsed"))
    }
}
