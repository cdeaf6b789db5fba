//! Choice of the instances that vote on the lease of a data centre.

use crate::names::CentreName;
use crate::names::InstanceName;
use crate::routing::router::EntryInfo;

/// Voters of one data centre's lease, at most.
pub const MAX_VOTERS: usize = 5;

/// Returns the names of the voters of `centre` among `entries`, in order.
///
/// An even number of own entries is made odd by one entry of another data centre: with two own
/// entries, one of them and the other data centre's still make a majority when the second is lost,
/// and the two own ones make one when the data centre is cut off. Where there is no other data
/// centre, one own entry is left out. All instances that know the same entries return the same
/// names.
pub fn choose_voters(centre: &CentreName, entries: &[EntryInfo]) -> Vec<InstanceName> {
    let mut own = names(entries, |e| e.centre == *centre);
    own.truncate(MAX_VOTERS);
    if own.is_empty() || own.len() % 2 == 1 {
        return own;
    }
    let others = names(entries, |e| e.centre != *centre);
    let number = xxhash_rust::xxh3::xxh3_64(centre.as_str().as_bytes());
    let count = u64::try_from(others.len()).unwrap_or(1).max(1);
    let at = usize::try_from(number % count).unwrap_or(0);
    match others.get(at) {
        Some(other) => own.push(other.clone()),
        // Of an even number one more must agree, without one more that may be lost.
        None => drop(own.pop()),
    }
    own
}

fn names(entries: &[EntryInfo], belongs: impl Fn(&&EntryInfo) -> bool) -> Vec<InstanceName> {
    let mut names: Vec<_> = entries.iter().filter(belongs).map(|e| e.id.name.clone()).collect();
    names.sort();
    names
}
