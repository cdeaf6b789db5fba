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

/// Load that a target reports, with a lag.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Incarnation of the target's process, where it names one.
    pub incarnation: Option<Incarnation>,
    /// Calls being run.
    pub running: u32,
    /// Calls waiting to be run.
    pub waiting: u32,
    /// Whether the target says that it is cold, where it says so at all.
    pub cold: Option<bool>,
}

impl Client {
    /// Asks the target at `address` for its load, with the identity and times of `call`.
    ///
    /// # Errors
    /// Fails as [`CallError`] says.
    pub async fn load(&self, address: SocketAddr, call: &Call) -> Result<LoadReport, CallError> {
        let call = Call { path: PATH.to_owned(), ..call.clone() };
        let answer = self.get(address, &call).await?;
        serde_json::from_slice(&answer.body)
            .map_err(|_| CallError::Malformed("load report can't be parsed"))
    }
}
