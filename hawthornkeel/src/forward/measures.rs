//! Metrics of forwarded requests, with labels that the document and the fleet bound.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::SoftwareVersion;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::placement::hedging::HedgeDenial;
use hawthornkeel_core::table::access::Denied;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::request::IncomingRequest;
use crate::telemetry;

/// Interval at which the state of an entry is measured.
const STATE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between log lines about the loads that targets state.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Records the end of a request.
pub(super) fn request_ended(request: &IncomingRequest, outcome: &str) {
    let (route, outcome) = (request.route.name.to_string(), outcome.to_owned());
    metrics::histogram!(telemetry::FORWARDED_SECONDS, "route" => route.clone())
        .record(request.started.elapsed());
    metrics::counter!(telemetry::FORWARDED, "route" => route, "outcome" => outcome).increment(1);
}

/// Records that the stages of a request are done.
pub(super) fn stages_done(request: &IncomingRequest, time: Duration) {
    let route = request.route.name.to_string();
    metrics::histogram!(telemetry::STAGED_SECONDS, "route" => route).record(time);
}

/// Records that the response to a request begins.
pub(super) fn response_began(request: &IncomingRequest, time: Duration) {
    let route = request.route.name.to_string();
    metrics::histogram!(telemetry::RESPONSE_SECONDS, "route" => route).record(time);
}

/// Records a request that was not admitted to a route.
pub(super) fn request_denied(denied: Denied) {
    let reason = match denied {
        Denied::NoRoute => "no-route",
        Denied::NoKey => "no-key",
        Denied::Unsure => "unsure",
    };
    metrics::counter!(telemetry::DENIED, "reason" => reason).increment(1);
}

/// Records whether the retry budget of a pool granted a repeat.
pub(super) fn retry_asked(pool: &PoolName, granted: bool) {
    let (pool, granted) = (pool.to_string(), if granted { "yes" } else { "no" });
    metrics::counter!(telemetry::RETRY_GRANTS, "pool" => pool, "granted" => granted).increment(1);
}

/// Records a hedge that was sent.
pub(super) fn hedge_sent(pool: &PoolName) {
    metrics::counter!(telemetry::FORWARD_HEDGES, "pool" => pool.to_string()).increment(1);
}

/// Records a hedge whose response was the first complete one.
pub(super) fn hedge_won(pool: &PoolName) {
    metrics::counter!(telemetry::HEDGES_WON, "pool" => pool.to_string()).increment(1);
}

/// Records a hedge that was due and not sent.
pub(super) fn hedge_denied(pool: &PoolName, denial: HedgeDenial) {
    let (pool, reason) = (pool.to_string(), denial.as_str());
    metrics::counter!(telemetry::HEDGES_DENIED, "pool" => pool, "reason" => reason).increment(1);
}

/// Records a request that is sent to a target of a pool in a rollout.
pub(super) fn rollout_sent(pool: &PoolName, version: &SoftwareVersion) {
    let (pool, version) = (pool.to_string(), version.to_string());
    metrics::counter!(telemetry::ROLLOUT_SENT, "pool" => pool, "version" => version).increment(1);
}

/// Records a failure that a target of a pool in a rollout reports.
pub(super) fn rollout_failure(pool: &PoolName, version: &SoftwareVersion) {
    let (pool, version) = (pool.to_string(), version.to_string());
    metrics::counter!(telemetry::ROLLOUT_FAILURES, "pool" => pool, "version" => version)
        .increment(1);
}

/// Records a call that ran pieces of a pool.
pub(super) fn pieces_called(pool: &PoolName, succeeded: bool, time: Duration) {
    let outcome = if succeeded { "succeeded" } else { "failed" };
    let pool = pool.to_string();
    metrics::histogram!(telemetry::PIECES_SECONDS, "pool" => pool, "outcome" => outcome)
        .record(time);
}

/// Measures the state of an entry, without end.
pub(super) async fn keep_state(context: Rc<Context>) -> Infallible {
    let mut logged = Instant::now();
    loop {
        monoio::time::sleep(STATE_INTERVAL).await;
        if logged.elapsed() >= LOAD_LOG_INTERVAL {
            logged = Instant::now();
            context.load_counts.log();
        }
        if let Some(table) = &*context.table.borrow() {
            metrics::gauge!(telemetry::DOCUMENT_VERSION).set(table.version.0 as f64);
        }
        if let Some(age) = context.watch.age() {
            metrics::gauge!(telemetry::DOCUMENT_AGE).set(age.as_secs_f64());
        }
        let entries = context.serving_entries.borrow().entries.len();
        metrics::gauge!(telemetry::SERVING_ENTRIES).set(entries as f64);
        let rejected = context.quarantine.rejected_count();
        metrics::gauge!(telemetry::REJECTED_PARTS).set(rejected as f64);
    }
}

impl Context {
    /// Records the outcome of an attempt for the choice of targets, and counts it.
    pub(super) fn record_outcome(
        &self,
        pool: &PoolName,
        target: &ChosenTarget,
        outcome: TargetOutcome,
    ) {
        self.balancer.borrow_mut().record_outcome(boot_now(), &target.name, outcome);
        let (pool, centre) = (pool.to_string(), target.centre.to_string());
        if target.cold {
            metrics::counter!(telemetry::COLD_ATTEMPTS, "pool" => pool.clone()).increment(1);
        }
        let labels = [("pool", pool), ("centre", centre), ("outcome", outcome.as_str().to_owned())];
        metrics::counter!(telemetry::ATTEMPTS, &labels).increment(1);
    }
}
