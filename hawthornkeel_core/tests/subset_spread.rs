//! Each target is in the subsets of a few entries, and changes move few targets between subsets.

mod common;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::routing::shares;
use hawthornkeel_core::routing::shares::CentreCount;
use hawthornkeel_core::routing::subset;
use hawthornkeel_core::routing::subset::RankedEntry;
use rstest::rstest;

use common::at;
use common::member;

const CENTRES: usize = 8;
const ENTRIES: usize = 420;
const TARGETS: usize = 12_000;
const POOLS: usize = 20;
const PLACES: usize = 8;

/// Returns entries as name hash and data centre.
fn entries(count: usize) -> Vec<(u64, usize)> {
    (0..count).map(|i| (subset::name_hash(&format!("entry{i}")), i % CENTRES)).collect()
}

/// Returns the name hashes of the entries that send to a target.
fn senders(entries: &[(u64, usize)], target: usize) -> Vec<u64> {
    let hash = subset::name_hash(&format!("target{target}"));
    let ranked = |e: &(u64, usize)| RankedEntry { hash: e.0, near: e.1 == target % CENTRES };
    let all: Vec<RankedEntry> = entries.iter().map(ranked).collect();
    all.iter().filter(|own| subset::contains(**own, hash, &all, PLACES)).map(|r| r.hash).collect()
}

#[test]
fn target_is_in_few_subsets() {
    let entries = entries(ENTRIES);
    let mut by_entry = indexmap::IndexMap::<u64, usize>::new();
    for target in 0..1_500 {
        let known = senders(&entries, target);
        assert_eq!(known.len(), PLACES);
        known.into_iter().for_each(|e| *by_entry.entry(e).or_default() += 1);
    }
    let mean = 1_500 * PLACES / ENTRIES;
    let most = by_entry.values().max().unwrap();
    assert!(*most < 3 * mean, "{most} targets at one entry, {mean} on average");
}

#[test]
fn removed_entry_moves_only_its_own_targets() {
    let all = entries(ENTRIES);
    let fewer = &all[..ENTRIES - 1];
    let gone = all[ENTRIES - 1].0;
    for target in 0..300 {
        let (before, after) = (senders(&all, target), senders(fewer, target));
        let kept = before.iter().filter(|e| after.contains(e)).count();
        let expected = before.len() - usize::from(before.contains(&gone));
        assert_eq!(kept, expected, "target {target}");
    }
}

#[test]
fn entry_has_enough_targets_in_every_pool() {
    let pool = |i: usize| Pool { name: format!("pool{i}").as_str().into(), ..Pool::default() };
    let document = Document { pools: (0..POOLS).map(pool).collect(), ..Document::default() };
    let centre = |i: usize| format!("dc{}", i % CENTRES).as_str().into();
    let info = |i: usize| EntryInfo { id: member(&format!("entry{i}")), centre: centre(i) };
    let target = |i: usize| TargetInfo {
        name: format!("target{i}").as_str().into(),
        pool: format!("pool{}", (i / CENTRES) % POOLS).as_str().into(),
        centre: centre(i),
        ..TargetInfo::default()
    };
    let list: Vec<TargetInfo> = (0..TARGETS).map(target).collect();
    let all: Vec<EntryInfo> = (0..ENTRIES).map(info).collect();
    let settings = RouterSettings::default();
    let mut router = Router::new(settings, LeaseSettings::default(), info(17));
    router.apply_document(&document);
    router.set_entries(at(0), &all);
    router.update_targets(at(0), &list);
    let known: Vec<usize> = document.pools.iter().map(|p| router.subset_size(&p.name)).collect();
    assert!(known.iter().all(|k| *k >= 8), "{known:?}");
    let sum: usize = known.iter().sum();
    assert!(sum < 400, "{sum} targets of {TARGETS}");
}

#[rstest]
#[case(&[(2, 3), (2, 3), (2, 2), (2, 2)])]
#[case(&[(3, 10), (3, 0), (2, 5)])]
#[case(&[(1, 1)])]
#[case(&[(0, 4), (4, 0)])]
fn shares_add_up_for_targets_and_entries(#[case] sizes: &[(usize, usize)]) {
    let count =
        |(entries, targets): &(usize, usize)| CentreCount { entries: *entries, targets: *targets };
    let counts: Vec<CentreCount> = sizes.iter().map(count).collect();
    let entries: usize = counts.iter().map(|c| c.entries).sum();
    let targets: usize = counts.iter().map(|c| c.targets).sum();
    for (t, from) in counts.iter().enumerate().filter(|(_, c)| c.targets > 0) {
        let of = |(e, to): (usize, &CentreCount)| {
            shares::target_share(&counts, t, e, entries) * to.entries as f64
        };
        let sum: f64 = counts.iter().enumerate().map(of).sum();
        assert!((sum - 1.0).abs() < 1e-9, "{sum} of a target of {from:?}");
    }
    let fair = targets as f64 / entries as f64;
    for (e, _) in counts.iter().enumerate().filter(|(_, c)| c.entries > 0) {
        let of = |(t, from): (usize, &CentreCount)| {
            shares::target_share(&counts, t, e, entries) * from.targets as f64
        };
        let sum: f64 = counts.iter().enumerate().map(of).sum();
        assert!((sum - fair).abs() < 1e-9, "{sum} for an entry, {fair} is fair");
    }
}
