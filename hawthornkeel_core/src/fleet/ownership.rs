//! Owners of stage schedulers: which entries run one, in the order in which they are tried.
//!
//! Designed for hundreds of entries during a partition: if each entry that can't reach the owners
//! of a data centre ran a scheduler of its own, dozens of them would call the same few targets at
//! once, and those on the far side could not reach any.

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::ServingEntry;
use crate::fleet::reachability::Reachability;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::stages::job::SchedulerName;

/// Maximum number of owners tried, this entry not counted.
const MAX_OWNERS: usize = 3;

/// What an entry knows of the entries that may own schedulers.
#[derive(Clone, Copy, Debug)]
pub struct OwnerView<'a> {
    /// This entry.
    pub own: &'a InstanceName,
    /// Data centre of this entry.
    pub centre: &'a CentreName,
    /// Entries that serve callers.
    pub entries: &'a [ServingEntry],
    /// Entries and data centres that don't respond.
    pub reachability: &'a Reachability,
}

/// Returns the entries to try as owner of a scheduler, in order; none if it can't be reached.
///
/// The order is rendezvous hashing, so entries with the same view agree on it and few schedulers
/// move when an entry joins or leaves. A scheduler of one data centre is owned by an entry there.
/// Entries that have just started come last, as two schedulers call the same targets for a while
/// whenever ownership moves.
pub fn owners(scheduler: &SchedulerName, view: &OwnerView<'_>) -> Vec<InstanceName> {
    let wanted = scheduler.centre.as_ref();
    let remote = wanted.filter(|c| *c != view.centre);
    if remote.is_some_and(|c| view.reachability.is_cut_off(c)) {
        return Vec::new();
    }
    let is_local = |e: &&ServingEntry| wanted.is_none_or(|c| e.centre == *c);
    let has_local = view.entries.iter().any(|e| is_local(&e));
    let eligible = view.entries.iter().filter(|e| !has_local || is_local(e));
    let rank =
        |e: &ServingEntry| (!e.settled, xxh3_64(format!("{scheduler}/{}", e.name).as_bytes()));
    let mut ranked: Vec<_> = eligible.map(|e| (rank(e), &e.name)).collect();
    ranked.sort();
    let mut owners: Vec<InstanceName> = ranked.into_iter().map(|(_, n)| n.clone()).collect();
    owners.retain(|o| o == view.own || !view.reachability.is_suspect(o));
    owners.truncate(MAX_OWNERS);
    let may_own = remote.is_none() || !has_local;
    if may_own && !owners.contains(view.own) {
        owners.push(view.own.clone());
    }
    owners
}
