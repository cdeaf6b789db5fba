//! Selection of the instances that vote on the lease of a data centre.

use crate::names::CentreName;
use crate::names::InstanceName;
use crate::routing::router::EntryInfo;

/// Maximum number of voters for the lease of one data centre.
pub const MAX_VOTERS: usize = 5;

/// Returns the names of the voters of `centre`, selected from `entries`.
///
/// If the number of entries in the data centre is even, an entry of another data centre is added to
/// make it odd. With two local entries, a quorum then survives the loss of one of them, and the two
/// local entries are a quorum if the data centre is partitioned. If there is no other data centre,
/// one local entry is left out. The result is the same on all instances that know the same entries.
pub fn choose_voters(centre: &CentreName, entries: &[EntryInfo]) -> Vec<InstanceName> {
    let mut local = sorted_names(entries, |e| e.centre == *centre);
    local.truncate(MAX_VOTERS);
    if local.is_empty() || local.len() % 2 == 1 {
        return local;
    }
    let others = sorted_names(entries, |e| e.centre != *centre);
    let hash = xxhash_rust::xxh3::xxh3_64(centre.as_str().as_bytes());
    let count = u64::try_from(others.len()).unwrap_or(1).max(1);
    let index = usize::try_from(hash % count).unwrap_or(0);
    match others.get(index) {
        Some(other) => local.push(other.clone()),
        // An even number needs a larger quorum but tolerates no more failures.
        None => drop(local.pop()),
    }
    local
}

/// Returns the names of the entries for which `is_member` holds, sorted.
fn sorted_names(
    entries: &[EntryInfo],
    is_member: impl Fn(&&EntryInfo) -> bool,
) -> Vec<InstanceName> {
    let mut names: Vec<_> = entries.iter().filter(is_member).map(|e| e.id.name.clone()).collect();
    names.sort();
    names
}
