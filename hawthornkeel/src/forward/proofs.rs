//! Proof of the software of a process: the list of targets lags, so that a process may have started
//! anew under its name and address, with other software than the list still names.
//!
//! A list that names no starts of processes is of a platform on which each start has a name of its
//! own, so there the name tells all. Otherwise a list that was read later than a connection was
//! opened, by more than it may lag, names the process behind that connection. Until then the process
//! itself tells when it started.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::fleet::TargetRun;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::streams::origin::StreamSource;
use hawthornkeel_core::streams::origin::Unproved;
use hawthornkeel_core::streams::origin::Writer;
use hawthornkeel_core::time::Instant as BootInstant;
use hawthornkeel_platform::reports;

use crate::forward::context::Context;
use crate::forward::exchange_error::ExchangeError;
use crate::forward::http_client::TargetResponse;
use crate::forward::internal_request::InternalRequest;
use crate::forward::target_calls::CallKind;

/// Time to wait for the report of a target.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which the time of the list is looked at.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time to wait for a list, in addition to the time by which it may lag.
const MAX_LIST_WAIT: Duration = Duration::from_millis(1_500);

impl Context {
    /// Returns what the software of a stream rests on, whose connection was opened at a time.
    pub(super) fn unproved_writer(&self, run: &TargetRun, opened: BootInstant) -> Option<Unproved> {
        let is_proved =
            run.born.is_none() || self.list_covers(opened) && self.balancer.borrow().lists(run);
        (!is_proved).then(|| Unproved { writer: Writer::from(run), opened })
    }

    /// Returns whether the software of a stream is what the list said, once the list can tell.
    pub(super) async fn proves_source(&self, source: &StreamSource) -> bool {
        let Some(Unproved { writer, opened }) = source.unproved else { return true };
        self.wait_for_list(opened).await && !self.balancer.borrow().contradicts(&writer)
    }

    /// Returns whether no target of a pool has other software than an origin, once the list shows the
    /// targets as they were at a time.
    pub(super) async fn is_sole_origin(&self, origin: &StreamOrigin, at: BootInstant) -> bool {
        let names_starts = self.balancer.borrow().names_starts(&origin.pool);
        (!names_starts || self.wait_for_list(at).await) && self.balancer.borrow().lists_only(origin)
    }

    /// Returns whether the process behind a connection that was opened at a time is the listed one.
    pub(super) async fn proves_process(&self, run: &TargetRun, opened: BootInstant) -> bool {
        if self.unproved_writer(run, opened).is_none() {
            return true;
        }
        match self.reported_start(run).await {
            Some(reported) => run.born == Some(reported),
            None => self.wait_for_list(opened).await && self.balancer.borrow().lists(run),
        }
    }

    /// Passes on the answer that goes on with a stream if the process that gives it is the listed one.
    ///
    /// # Errors
    /// Returns the error of the exchange, or `Unproved`.
    pub(super) async fn check_writer(
        &self,
        run: &TargetRun,
        result: Result<TargetResponse, ExchangeError>,
    ) -> Result<TargetResponse, ExchangeError> {
        let response = result?;
        if response.status.is_success() && !self.proves_process(run, response.opened()).await {
            return Err(ExchangeError::Unproved);
        }
        Ok(response)
    }

    /// Asks a target when its process started. The answer holds for each connection to it that was
    /// opened before and still goes on.
    async fn reported_start(&self, run: &TargetRun) -> Option<u64> {
        let request = InternalRequest {
            address: run.address,
            path: reports::PATH,
            body: None,
            fields: &[],
            deadline: Instant::now() + REPORT_TIMEOUT,
        };
        let report = self.call_target(run, CallKind::Report, &request).await.ok()?;
        reports::decode_born(&report.body)
    }

    /// Waits until the list covers a time; returns whether it does.
    async fn wait_for_list(&self, time: BootInstant) -> bool {
        let until = Instant::now() + self.list_lag() + MAX_LIST_WAIT;
        while !self.list_covers(time) {
            if Instant::now() >= until {
                return false;
            }
            monoio::time::sleep(LIST_POLL_INTERVAL).await;
        }
        true
    }

    /// Returns whether the list shows the targets as they were at a time, or later.
    fn list_covers(&self, time: BootInstant) -> bool {
        self.list_read.get().is_some_and(|read| read >= time + self.list_lag())
    }

    fn list_lag(&self) -> Duration {
        Duration::from_millis(self.settings.forward.list_lag_ms)
    }
}
