//! Watches the links from this entry to the targets: checks them after a failure, and when answers
//! that are awaited stay out.

use std::cell::Cell;
use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::placement::links::LinkChange;
use hawthornkeel_core::placement::links::LinkEvidence;
use hawthornkeel_core::placement::links::Links;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::schedulers::Schedulers;
use crate::telemetry;

/// Interval at which awaited answers and due probes are checked.
const CALM_INTERVAL: Duration = Duration::from_millis(100);
/// The same while links are checked or lost.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time without anything received from a target, though an answer is awaited, after which its link
/// is checked.
///
/// A sound target may be silent for longer, but still accepts connections.
const SILENCE: Duration = Duration::from_millis(400);

/// Links from this entry to the targets; clones share them.
#[derive(Clone, Default)]
pub struct LinkWatch {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    links: RefCell<Links>,
    awaited: RefCell<IndexMap<SocketAddr, Rc<Awaited>>>,
    changes: RefCell<Vec<LinkChange>>,
}

/// Answers that are awaited from one target.
struct Awaited {
    count: Cell<u32>,
    /// Last time at which something was received or the first of them began.
    heard: Cell<Instant>,
}

/// Answer that is awaited until it is dropped.
pub struct AwaitedAnswer {
    watch: LinkWatch,
    address: SocketAddr,
    awaited: Rc<Awaited>,
}

impl AwaitedAnswer {
    /// Records that a part of the answer was received.
    pub fn record_heard(&self) {
        self.awaited.heard.set(Instant::now());
    }
}

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        let left = self.awaited.count.get().saturating_sub(1);
        self.awaited.count.set(left);
        if left == 0 {
            self.watch.inner.awaited.borrow_mut().swap_remove(&self.address);
        }
    }
}

impl LinkWatch {
    /// Records that an answer is awaited from a target.
    pub fn await_answer(&self, address: SocketAddr) -> AwaitedAnswer {
        let mut all = self.inner.awaited.borrow_mut();
        let new = || Awaited { count: Cell::new(0), heard: Cell::new(Instant::now()) };
        let awaited = Rc::clone(all.entry(address).or_insert_with(|| Rc::new(new())));
        awaited.count.set(awaited.count.get().saturating_add(1));
        AwaitedAnswer { watch: self.clone(), address, awaited }
    }

    /// Records what was seen of the link to a target.
    pub fn record(&self, address: SocketAddr, evidence: LinkEvidence) {
        let change = self.inner.links.borrow_mut().record(boot_now(), address, evidence);
        self.inner.changes.borrow_mut().extend(change);
    }

    /// Replaces the targets that may get work.
    pub fn set_targets<'a>(
        &self,
        targets: impl IntoIterator<Item = (&'a PoolName, &'a CentreName, SocketAddr)>,
    ) {
        self.inner.links.borrow_mut().set_targets(targets);
    }

    /// Returns whether most targets of a pool can't be reached from here.
    pub fn is_lost(&self, pool: &PoolName) -> bool {
        self.inner.links.borrow().is_lost(pool)
    }

    /// Returns whether the last connection to a target could not be opened.
    pub fn is_failed(&self, address: SocketAddr) -> bool {
        self.inner.links.borrow().is_failed(address)
    }

    /// Returns whether that may be so.
    pub fn is_doubtful(&self, pool: &PoolName) -> bool {
        self.inner.links.borrow().is_doubtful(pool)
    }

    fn interval(&self) -> Duration {
        if self.inner.links.borrow().is_watched() { WATCH_INTERVAL } else { CALM_INTERVAL }
    }

    fn record_silent(&self) {
        let awaited = self.inner.awaited.borrow();
        let silent = awaited.iter().filter(|(_, a)| a.heard.get().elapsed() >= SILENCE);
        let silent: Vec<SocketAddr> = silent.map(|(address, _)| *address).collect();
        drop(awaited);
        for address in silent {
            self.record(address, LinkEvidence::Silent);
        }
    }
}

/// Watches the links of an entry, without end.
pub async fn run(context: Rc<Context>, schedulers: Schedulers) -> Infallible {
    let watch = context.http_client.links().clone();
    loop {
        monoio::time::sleep(watch.interval()).await;
        watch.record_silent();
        let probes = watch.inner.links.borrow_mut().due_probes(boot_now());
        for address in probes {
            let client = context.http_client.clone();
            monoio::spawn(async move {
                client.probe(address).await;
                client.links().inner.links.borrow_mut().end_probe(address);
            });
        }
        for change in watch.inner.changes.take() {
            apply_change(&schedulers, &change);
        }
    }
}

fn apply_change(schedulers: &Schedulers, change: &LinkChange) {
    let (pool, is_lost) = match change {
        LinkChange::Lost(pool) => (pool, true),
        LinkChange::Restored(pool) => (pool, false),
    };
    let event = if is_lost { "links-lost" } else { "links-restored" };
    tracing::info!(event, %pool);
    metrics::counter!(telemetry::LINK_CHANGES, "pool" => pool.to_string(), "change" => event)
        .increment(1);
    if is_lost {
        schedulers.evict_jobs(pool);
    }
}
