//! Planned stop of a server: each request that was begun gets a response before the process ends.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use hawthornkeel_core::stop::StopTimes;
use monoio::time::sleep;
use monoio::time::timeout;

use crate::clock::boot_now;
use crate::http::close::OpenConnections;
use crate::http::close::Phase;
use crate::http::server::ShutdownSignals;
use crate::stop::StopReport;
use crate::stop::StopRequest;

/// Interval at which the phase of a stop and further requests to stop are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for the tasks of aborted connections to end.
const ABORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Stops a server in phases and returns once `serving`, its future, has completed.
///
/// The times count from this call, by the clock that runs while the machine is suspended. A second
/// request to stop skips to the final responses.
pub async fn planned_stop(
    serving: impl Future<Output = ()>,
    signals: &ShutdownSignals,
    open: &OpenConnections,
    stop: &StopRequest,
    times: &StopTimes,
) -> StopReport {
    let mut serving = pin!(serving);
    let broken_before = open.broken();
    let began = boot_now();
    let reserve = times.end.saturating_sub(times.finish);
    let mut skipped = Duration::ZERO;
    let mut finish_began = None;
    signals.drain.set();
    loop {
        let elapsed = boot_now().since(began) + skipped;
        if stop.count() > 1 && elapsed < times.finish {
            skipped += times.finish.saturating_sub(elapsed);
            continue;
        }
        if elapsed >= times.drain {
            signals.stop.set();
        }
        if elapsed >= times.finish && finish_began.is_none() {
            log_open_connections("stop-finishes", open);
            signals.finish.set();
            finish_began = Some(elapsed);
        }
        // Final responses get their time even if the process was suspended until now.
        if finish_began.is_some_and(|at| elapsed.saturating_sub(at) >= reserve) {
            break;
        }
        monoio::select! {
            () = &mut serving => return report(open, broken_before),
            () = sleep(POLL_INTERVAL) => {}
        }
    }
    log_open_connections("stop-aborts", open);
    signals.abort.set();
    let _ = timeout(ABORT_TIMEOUT, serving).await;
    report(open, broken_before)
}

/// Reports the connections that closed with something incomplete, of which `before` did so earlier.
fn report(open: &OpenConnections, before: usize) -> StopReport {
    match open.broken().saturating_sub(before) {
        0 => StopReport::Complete,
        count => StopReport::Aborted(count),
    }
}

/// Logs the numbers of open connections by phase.
fn log_open_connections(event: &'static str, open: &OpenConnections) {
    tracing::info!(
        event,
        idle = open.count(Phase::Idle),
        receiving = open.count(Phase::Receiving),
        handling = open.count(Phase::Handling),
        responding = open.count(Phase::Responding),
    );
}
