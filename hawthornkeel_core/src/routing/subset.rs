//! Deterministic subsets: which entries know a target.
//!
//! Entries are ranked for each target by rendezvous hashing, so that a change of one entry or
//! target moves only what belongs to it. Entries near the target come first; a few far ones know it
//! too, so that it can help out other data centres.

use xxhash_rust::xxh3::xxh3_64;

/// Share of a target's entries that are of its own data centre, while both kinds exist.
const NEAR_SHARE: f64 = 0.75;

/// Entry as the ranking sees it.
#[derive(Clone, Copy, Debug)]
pub struct RankedEntry {
    /// Hash of the entry's name.
    pub hash: u64,
    /// Whether the entry is in the target's data centre.
    pub near: bool,
}

/// Returns the hash of a name.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Mixes the hashes of an entry and a target into the entry's rank: higher goes first.
pub fn rank(entry: u64, target: u64) -> u64 {
    let mut mixed = entry ^ target.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Splits `places` between near and far entries of a target, given how many of each there are.
pub fn split_by_centre(places: usize, near: usize, far: usize) -> (usize, usize) {
    let wanted = (places as f64 * NEAR_SHARE).round() as usize;
    let for_near = wanted.max(places.saturating_sub(far)).min(near);
    (for_near, places.saturating_sub(for_near).min(far))
}

/// Tells whether the entry `own` is among the `places` entries that know `target`.
pub fn contains(own: RankedEntry, target: u64, entries: &[RankedEntry], places: usize) -> bool {
    let near = entries.iter().filter(|e| e.near).count();
    let (near_places, far_places) = split_by_centre(places, near, entries.len() - near);
    let places = if own.near { near_places } else { far_places };
    let own_rank = rank(own.hash, target);
    let rivals = entries.iter().filter(|e| e.near == own.near);
    let ahead = rivals.filter(|e| rank(e.hash, target) > own_rank);
    ahead.take(places).count() < places
}
