//! Deterministic subsetting: which entries send to a target.
//!
//! Entries are ranked per target by rendezvous hashing, so that adding or removing an entry or a
//! target moves only its own connections. Entries in the target's data centre are preferred. A few
//! far ones are included as well, so that the target can take load from other data centres.

use xxhash_rust::xxh3::xxh3_64;

/// Fraction of a target's entries that are in its own data centre, while there are both kinds.
const NEAR_FRACTION: f64 = 0.75;

/// Entry as seen by the ranking.
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

/// Mixes the hashes of an entry and a target into the entry's rank; higher ranks are preferred.
pub fn rank(entry: u64, target: u64) -> u64 {
    let mut mixed = entry ^ target.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Splits the `places` of a target's subset into those for near and for far entries.
///
/// `near` and `far` are the numbers of entries of each kind.
pub fn split_by_centre(places: usize, near: usize, far: usize) -> (usize, usize) {
    let wanted = (places as f64 * NEAR_FRACTION).round() as usize;
    let for_near = wanted.max(places.saturating_sub(far)).min(near);
    (for_near, places.saturating_sub(for_near).min(far))
}

/// Returns whether `own` is among the `places` entries in the subset of `target`.
pub fn contains(own: RankedEntry, target: u64, entries: &[RankedEntry], places: usize) -> bool {
    let near = entries.iter().filter(|e| e.near).count();
    let (near_places, far_places) = split_by_centre(places, near, entries.len() - near);
    let places = if own.near { near_places } else { far_places };
    let own_rank = rank(own.hash, target);
    let rivals = entries.iter().filter(|e| e.near == own.near);
    let ahead = rivals.filter(|e| rank(e.hash, target) > own_rank);
    ahead.take(places).count() < places
}
