//! Entry side of what entries follow: asks one control instance after the other for what changed.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::table::pool::StageWorkload;
use hawthornkeel_core::table::pool::Workload;
use hawthornkeel_platform::document;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::desks::Desks;
use crate::peer::Frame;
use crate::peer::frame::Discover;
use crate::peer::frame::Discovered;
use crate::peer::frame::Presence;

/// Time for which a control instance holds a survey while there is nothing new, in milliseconds.
const HOLD_MS: u32 = 600;
/// Time for a control instance to answer beyond the hold.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// Shortest time between two surveys.
const PACE: Duration = Duration::from_millis(60);
/// Pause after a control instance that did not answer, before the next is asked.
const PAUSE: Duration = Duration::from_millis(40);
/// Age of an answer from which on another control instance is asked.
const MAX_AGE: Duration = Duration::from_millis(1_600);
/// Time between two words to control that this entry serves.
const PRESENCE: Duration = Duration::from_millis(1_000);

/// Follows control until the process ends.
pub async fn follow(context: Rc<Context>, desks: Desks) {
    let mut at = start(&context);
    let mut mark = None;
    loop {
        let controls = context.directory.controls();
        let Some(control) = controls.get(at.checked_rem(controls.len()).unwrap_or_default()) else {
            monoio::time::sleep(PAUSE).await;
            continue;
        };
        let asked = Instant::now();
        match ask(&context, control, mark).await {
            Some(surveyed) => {
                let age = surveyed.followed.age_ms.map(Duration::from_millis);
                mark = absorb(&context, &desks, surveyed, asked).or(mark);
                if age.is_none_or(|a| a > MAX_AGE) {
                    at = at.wrapping_add(1);
                }
                monoio::time::sleep(PACE.saturating_sub(asked.elapsed())).await;
            }
            None => {
                at = at.wrapping_add(1);
                monoio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Returns the position to begin with, so that entries spread over the control instances.
fn start(context: &Context) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(context.endpoint.name().as_str().as_bytes());
    usize::try_from(hash >> 33).unwrap_or_default()
}

async fn ask(context: &Context, control: &InstanceName, mark: Option<u64>) -> Option<Discovered> {
    let after = context.watch.index();
    let entries = context.roster.borrow().entries.len();
    // The first answer must come at once, to be ready as soon as possible.
    let wait_ms = if after.is_some() { HOLD_MS } else { 0 };
    let frame = Frame::Discover(Discover { after, list_mark: mark, entry_count: entries, wait_ms });
    let timeout = ANSWER_TIME + Duration::from_millis(wait_ms.into());
    match context.endpoint.call(control, &frame, timeout).await {
        Ok(Frame::Discovered(surveyed)) => Some(*surveyed),
        Ok(_) => None,
        Err(error) => {
            tracing::info!(event = "survey-failed", %control, %error);
            None
        }
    }
}

/// Takes in an answer; returns the mark of the list that came with it.
fn absorb(context: &Context, desks: &Desks, surveyed: Discovered, asked: Instant) -> Option<u64> {
    let Discovered { followed, target_list: listing, control_instances: controls, entries, .. } =
        surveyed;
    let now = boot_now();
    context.directory.learn(controls);
    let before = context.watch.index();
    let waited = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
    let mut followed = followed;
    // The answer may have been on its way for that long.
    followed.age_ms = followed.age_ms.map(|a| a.saturating_add(waited));
    context.watch.absorb(followed);
    let changed = context.watch.index() != before;
    if changed {
        take_document(context, desks);
    }
    if context.roster.borrow_mut().set(entries) {
        tracing::info!(event = "entries-known", count = context.roster.borrow().entries.len());
    }
    let mark = listing.as_ref().map(|l| l.mark);
    if let Some(listing) = listing {
        context.board.borrow_mut().update(now, &listing);
        let used = |a: &std::net::SocketAddr| listing.targets.iter().any(|t| t.address == *a);
        context.exchanges.keep_only(used);
    }
    if changed || mark.is_some() {
        desks.set_makers();
    }
    mark
}

/// Puts the document that the published state holds into force here.
fn take_document(context: &Context, desks: &Desks) {
    context.board.borrow_mut().set_taken_out(boot_now(), context.watch.taken_out());
    let Some(published) = context.watch.current() else { return };
    let known = context.table.borrow().as_ref().map(|t| t.version);
    if published.text.is_empty() || known == Some(published.version) {
        return;
    }
    match document::decode(published.text.as_bytes()) {
        Ok(table) => {
            let (version, routes) = (table.version, table.len());
            tracing::info!(event = "routes-in-force", %version, routes);
            let pieces = |work: &Workload| match work {
                Workload::Stages(pieces) => Some(*pieces),
                Workload::Requests | Workload::Engine(_) => None,
            };
            let pools =
                table.pools.iter().filter_map(|(n, p)| Some((n.clone(), pieces(&p.workload)?)));
            let pools: Vec<(PoolName, StageWorkload)> = pools.collect();
            *context.table.borrow_mut() = Some(Rc::new(table));
            desks.set_pools(pools);
        }
        Err(invalid) => {
            tracing::error!(event = "document-unreadable", version = %published.version, %invalid);
        }
    }
}

/// Tells the control instances that this entry serves, until it stops.
pub async fn tell_presence(context: Rc<Context>) {
    loop {
        let stopping = context.stopping.get();
        send_presence(&context, stopping);
        if stopping {
            return;
        }
        monoio::time::sleep(PRESENCE).await;
    }
}

/// Tells the control instances whether this entry is about to stop.
pub fn send_presence(context: &Context, leaving: bool) {
    let presence = Presence { centre: context.centre().clone(), draining: leaving };
    for control in context.directory.others() {
        let frame = Frame::Present(presence.clone());
        if let Err(error) = context.endpoint.send(&control, &frame) {
            tracing::info!(event = "presence-unsent", %control, %error);
        }
    }
}
