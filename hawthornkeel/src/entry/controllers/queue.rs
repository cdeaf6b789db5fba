//! Controller of waiting calls: gives each its turn, or its refusal when its time is over.

use std::rc::Rc;
use std::time::Duration;

use crate::entry::context::Context;
use crate::telemetry;

/// Longest pause between two looks at the queue.
const MAX_PAUSE: Duration = Duration::from_millis(50);
/// Shortest pause between two looks at the queue.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Runs until the process ends.
pub async fn run(context: Rc<Context>) {
    loop {
        let now = context.clock.now();
        let wake = context.router.borrow().next_wake(now);
        let pause = wake.since(now).clamp(MIN_PAUSE, MAX_PAUSE);
        monoio::time::sleep(pause).await;
        context.dispatch_queued();
        metrics::gauge!(telemetry::OPEN_REQUESTS).set(context.open_requests.get() as f64);
        metrics::gauge!(telemetry::WAITING_CALLS).set(context.waiting_calls.borrow().len() as f64);
    }
}
