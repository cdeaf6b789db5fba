//! Entry side of discovery: long-polls a control instance for documents, targets and entries.
//!
//! Another control instance is polled if one doesn't respond or its state is too old.

use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::table::pool::StageWorkload;
use hawthornkeel_core::table::pool::Workload;
use hawthornkeel_core::time::Instant;
use hawthornkeel_platform::document;
use indexmap::IndexSet;

use crate::clock::boot_now;
use crate::clock::millis;
use crate::forward::context::Context;
use crate::forward::rollouts;
use crate::forward::schedulers::Schedulers;
use crate::forward::target_calls::log_dropped;
use crate::peer::Frame;
use crate::peer::frame::Discover;
use crate::peer::frame::Discovered;
use crate::peer::frame::Presence;

/// Time for which a control instance holds a poll while there is nothing new, in milliseconds.
const LONG_POLL_MS: u32 = 600;
/// Timeout of a poll, in addition to the long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Minimum interval between polls.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Delay before the next control instance is polled after one didn't respond.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Age of the published state above which another control instance is polled.
const MAX_STATE_AGE: Duration = Duration::from_millis(1_600);

/// Polls the control instances until the process ends.
pub async fn run(context: Rc<Context>, schedulers: Schedulers) {
    let mut index = start_index(&context);
    let mut mark = None;
    // Control instance that answered the last poll.
    let mut answering: Option<InstanceName> = None;
    loop {
        let controls = context.directory.instances();
        let Some(control) = controls.get(index.checked_rem(controls.len()).unwrap_or_default())
        else {
            monoio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        context.polled_control.replace(Some(control.clone()));
        let sent = boot_now();
        let elapsed = || boot_now().since(sent);
        match poll(&context, control, mark).await {
            Some(update) => {
                let age = update.followed.age_ms.map(Duration::from_millis);
                rollouts::refresh(&context, control, &update.followed).await;
                let list_age = update.list_age_ms.map(Duration::from_millis);
                mark = apply(&context, &schedulers, update, sent).or(mark);
                if let Some(age) = list_age {
                    context.list_read.set(Some(sent.before(age)));
                }
                if answering.replace(control.clone()).as_ref() != Some(control) {
                    log_followed(&context, control);
                    context.repeat_evidence();
                    context.repeat_streams();
                }
                // Without a state yet, the instance may just be waiting for a leader.
                let is_stale = match age {
                    Some(age) => age > MAX_STATE_AGE,
                    None => elapsed() > Duration::from_millis(LONG_POLL_MS.into()) / 2,
                };
                if is_stale {
                    index = index.wrapping_add(1);
                }
                monoio::time::sleep(MIN_POLL_INTERVAL.saturating_sub(elapsed())).await;
            }
            None => {
                answering = None;
                index = index.wrapping_add(1);
                monoio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Logs that this entry follows the state of another control instance than before.
fn log_followed(context: &Context, control: &InstanceName) {
    let state = context.watch.current().unwrap_or_default();
    let (index, version) = (state.index, state.version);
    let age_ms = context.watch.age().map(millis);
    tracing::info!(event = "state-followed", source = %control, %index, %version, age_ms);
}

/// Returns the index of the first control instance to poll, hashed to spread the entries.
fn start_index(context: &Context) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(context.endpoint.name().as_str().as_bytes());
    usize::try_from(hash >> 33).unwrap_or_default()
}

async fn poll(context: &Context, control: &InstanceName, mark: Option<u64>) -> Option<Discovered> {
    // The first poll returns at once, so that the entry knows targets and entries early.
    let wait_ms = if mark.is_some() { LONG_POLL_MS } else { 0 };
    let frame = Frame::Discover(Discover {
        after: context.watch.index(),
        list_mark: mark,
        entries_mark: Some(context.serving_entries.borrow().mark),
        records_mark: Some(context.quarantine.records_mark()),
        limits_mark: Some(context.limits_mark.get()),
        limits: context.balancer.borrow().limit_reports(boot_now()),
        presence: (!context.stop.is_begun()).then(|| presence(context, false)),
        wait_ms,
    });
    let timeout = RESPONSE_TIMEOUT + Duration::from_millis(wait_ms.into());
    match context.endpoint.call(control, &frame, timeout).await {
        Ok(Frame::Discovered(update)) => Some(*update),
        Ok(_) => None,
        Err(error) => {
            tracing::info!(event = "survey-failed", %control, %error);
            None
        }
    }
}

/// Applies an update; returns the mark of the target list if it contains one.
fn apply(
    context: &Context,
    schedulers: &Schedulers,
    update: Discovered,
    sent: Instant,
) -> Option<u64> {
    let Discovered { followed, target_list: listing, control_instances: controls, .. } = update;
    let now = boot_now();
    context.directory.update(controls);
    let old_index = context.watch.index();
    context.watch.merge(followed, sent);
    let changed = context.watch.index() != old_index;
    if changed {
        apply_document(context, schedulers);
    }
    if context.serving_entries.borrow_mut().merge(update.entries, update.entries_mark) {
        let serving = context.serving_entries.borrow();
        tracing::info!(event = "entries-known", count = serving.entries.len());
        let serves = |name: &InstanceName| serving.entries.iter().any(|e| e.name == *name);
        context.helpers.borrow_mut().retain(serves);
    }
    context.apply_subject_records(update.subject_records.as_deref(), update.records_mark);
    let mark = listing.as_ref().map(|l| l.mark);
    if let Some(listing) = listing {
        let dropped = context.balancer.borrow_mut().update(now, &listing);
        log_dropped(&dropped);
        let is_listed = |a: &std::net::SocketAddr| listing.targets.iter().any(|t| t.address == *a);
        context.http_client.retain(is_listed);
        context.update_links();
    }
    context.update_trials();
    // Limits hold for targets that the list names.
    context.apply_limits(update.limits.as_deref(), update.limits_mark);
    if changed || mark.is_some() {
        schedulers.update_workers();
    }
    mark
}

/// Applies the document in the published state to this entry.
fn apply_document(context: &Context, schedulers: &Schedulers) {
    context.balancer.borrow_mut().set_taken_out(boot_now(), context.watch.taken_out());
    let Some(published) = context.watch.current() else { return };
    let current = context.table.borrow().as_ref().map(|t| t.version);
    if published.text.is_empty() || current == Some(published.version) {
        return;
    }
    match document::decode(published.text.as_bytes()) {
        Ok(table) => {
            let (version, routes) = (table.version, table.len());
            tracing::info!(event = "routes-in-force", %version, routes);
            let stage_workload = |work: &Workload| match work {
                Workload::Stages(workload) => Some(*workload),
                Workload::Requests | Workload::Engine(_) => None,
            };
            let pools = table
                .pools
                .iter()
                .filter_map(|(n, p)| Some((n.clone(), stage_workload(&p.workload)?)));
            let pools: Vec<(PoolName, StageWorkload)> = pools.collect();
            let in_force: IndexSet<&RouteName> = table.routes().map(|r| &r.name).collect();
            context.stop.retain(|name| in_force.contains(name));
            context.hedging.borrow_mut().retain(|name| in_force.contains(name));
            *context.table.borrow_mut() = Some(Rc::new(table));
            schedulers.set_pools(pools);
        }
        Err(invalid) => {
            tracing::error!(event = "document-unreadable", version = %published.version, %invalid);
        }
    }
}

/// Returns what this entry tells control instances about itself.
fn presence(context: &Context, leaving: bool) -> Presence {
    Presence { centre: context.centre().clone(), draining: leaving }
}

/// Tells the control instance that this entry polls that it stops; that one tells the others.
pub fn announce_stop(context: &Context) {
    let Some(control) = context.polled_control.borrow().clone() else { return };
    let frame = Frame::Present(presence(context, true));
    if let Err(error) = context.endpoint.send(&control, &frame) {
        tracing::info!(event = "presence-unsent", %control, %error);
    }
}
