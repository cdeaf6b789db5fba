//! Controller of load: polls the targets' own reports, which lag, and watches idle connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::routing::types::LoadReport;
use hawthornkeel_core::routing::types::TargetInfo;

use crate::entry::context::Context;
use crate::target::call::Call;

/// Time between two polls of a target.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// Time for one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at the idle connections.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Polls until the process ends.
pub async fn run(context: Rc<Context>) {
    loop {
        for target in known_targets(&context) {
            monoio::spawn(poll(Rc::clone(&context), target));
        }
        monoio::time::sleep(POLL_PAUSE).await;
    }
}

/// Watches the idle connections until the process ends.
///
/// A target may close them for being idle, so one that has named its incarnation is asked for it at
/// once. One that never has is taken for restarted where it closes a connection right after its use.
pub async fn watch_connections(context: Rc<Context>) {
    loop {
        monoio::time::sleep(WATCH_PAUSE).await;
        for lost in context.client.reap_lost().await {
            if let Some(target) = target_at(&context, lost.address) {
                take_lost(&context, target, lost.recent);
            }
        }
    }
}

fn target_at(context: &Context, address: SocketAddr) -> Option<TargetInfo> {
    let address = address.to_string();
    let targets = context.targets.borrow();
    targets.iter().find(|t| *t.address == *address).cloned()
}

/// Takes the loss of an idle connection to a target.
fn take_lost(context: &Rc<Context>, target: TargetInfo, recent: bool) {
    let now = context.clock.now();
    let mut router = context.router.borrow_mut();
    let named = router.status(&target.name).is_some_and(|s| s.incarnation.is_some());
    tracing::debug!(event = "connection-lost", target = %target.name, named, recent);
    if recent && !named {
        router.connection_lost(now, &target.name);
    }
    drop(router);
    monoio::spawn(poll(Rc::clone(context), target));
}

/// Returns the targets that this entry sends to: a few of each pool in a large fleet.
fn known_targets(context: &Context) -> Vec<TargetInfo> {
    let router = context.router.borrow();
    let targets = context.targets.borrow();
    targets.iter().filter(|t| router.in_subset(&t.name)).cloned().collect()
}

async fn poll(context: Rc<Context>, target: TargetInfo) {
    let Ok(address) = target.address.parse::<SocketAddr>() else {
        return;
    };
    let id = CallId { request: RequestId(rand::random()), ..CallId::default() };
    let call =
        Call { id, timeout: POLL_TIMEOUT, progress_timeout: POLL_TIMEOUT, ..Call::default() };
    // A target without a report is routed to by what its answers show.
    let Ok(report) = context.client.load(address, &call).await else {
        return;
    };
    let report = LoadReport {
        incarnation: report.incarnation,
        running: report.running,
        waiting: report.waiting,
        ..LoadReport::default()
    };
    let now = context.clock.now();
    context.router.borrow_mut().report_load(now, &target.name, report);
    context.dispatch_queued();
}
