//! Dispatches queued calls when their turn comes and rejects them when their wait expires.

use std::rc::Rc;
use std::time::Duration;

use crate::entry::context::Context;
use crate::telemetry;

/// Maximum interval between checks of the queue.
const MAX_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between checks of the queue.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

/// Runs until the process ends.
pub async fn run(context: Rc<Context>) {
    loop {
        let now = context.clock.now();
        let next_wake = context.router.borrow().next_wake(now);
        let interval = next_wake.since(now).clamp(MIN_INTERVAL, MAX_INTERVAL);
        monoio::time::sleep(interval).await;
        context.dispatch_queued();
        metrics::gauge!(telemetry::OPEN_REQUESTS).set(context.open_requests.get() as f64);
        metrics::gauge!(telemetry::WAITING_CALLS).set(context.waiting_calls.borrow().len() as f64);
    }
}
