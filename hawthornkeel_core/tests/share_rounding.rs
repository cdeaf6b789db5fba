//! Rounding of shares to whole calls keeps an entry's total close to its fair share.

mod common;

use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;

use common::at;
use common::document;
use common::member;
use common::target;
use common::warm_router;

/// Concurrent calls of a target.
const LIMIT: u32 = 8;
/// Data centres with one target and two entries each.
const CENTRES: [&str; 4] = ["a", "b", "c", "d"];

/// Returns the targets of a run. Their names, and so their order in the subsets, vary by run.
fn targets(run: usize) -> Vec<TargetInfo> {
    CENTRES.iter().map(|c| target(&format!("{run}-{c}"), c)).collect()
}

/// Returns two entries of each data centre; `e0` is in `a`.
fn entries() -> Vec<EntryInfo> {
    let one = |i: usize| EntryInfo {
        id: member(&format!("e{i}")),
        centre: CENTRES[i % CENTRES.len()].into(),
    };
    (0..2 * CENTRES.len()).map(one).collect()
}

#[test]
fn entry_gets_its_fair_total_of_full_targets() {
    for run in 0..20 {
        let targets = targets(run);
        let settings = RouterSettings::default();
        let mut router = warm_router(&document(LIMIT, &[("w", 1)]), &targets, settings);
        router.set_entries(at(0), &entries());
        let full = LoadReport { running: LIMIT, ..LoadReport::default() };
        targets.iter().for_each(|t| router.report_load(at(1), &t.name, full));
        let limit = |t: &TargetInfo| router.status(&t.name).map_or(0, |s| s.limit);
        let limits: Vec<u32> = targets.iter().map(limit).collect();
        let sum: u32 = limits.iter().sum();
        assert!((3..=5).contains(&sum), "{limits:?} of a fair total of 4");
    }
}
