//! Owners of stage schedulers at hundreds of entries: partitions, mass kills and restarts.

use std::collections::BTreeSet;

use hawthornkeel_core::fleet::ServingEntry;
use hawthornkeel_core::fleet::ownership::OwnerView;
use hawthornkeel_core::fleet::ownership::owners;
use hawthornkeel_core::fleet::reachability::Reachability;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::time::Instant;

/// Number of entries.
const ENTRIES: usize = 195;
/// Data centres.
const CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn entries() -> Vec<ServingEntry> {
    let entry = |n: usize| ServingEntry {
        name: InstanceName::new(&format!("entry-{n}")),
        centre: CentreName::new(CENTRES[n % CENTRES.len()]),
        settled: true,
    };
    (0..ENTRIES).map(entry).collect()
}

fn scheduler(centre: Option<&str>) -> SchedulerName {
    SchedulerName { pool: PoolName::new("portal"), centre: centre.map(CentreName::new), part: 0 }
}

/// Calls the owners of a scheduler in their order until one responds; returns it, if any.
///
/// Records who responded as an entry does. Fails if a caller has to wait for too many owners.
fn call(
    view: &OwnerView<'_>,
    name: &SchedulerName,
    reachability: &mut Reachability,
    responds: impl Fn(&ServingEntry) -> bool,
) -> Option<InstanceName> {
    for owner in owners(name, view) {
        let entry = view.entries.iter().find(|e| e.name == owner).unwrap();
        if owner == *view.own || responds(entry) {
            reachability.record_response(at(10), &entry.centre);
            return Some(owner);
        }
        reachability.suspect(at(20), &entry.name, &entry.centre);
        if owners(name, view).is_empty() {
            break;
        }
    }
    None
}

/// Returns the owners that the entries find for a scheduler, each after several calls.
fn found(
    name: &SchedulerName,
    reaches: impl Fn(&ServingEntry, &ServingEntry) -> bool,
) -> BTreeSet<InstanceName> {
    let entries = entries();
    let mut found = BTreeSet::new();
    for own in &entries {
        let mut reachability = Reachability::default();
        for _ in 0..4 {
            let known = reachability.clone();
            let view = OwnerView {
                own: &own.name,
                centre: &own.centre,
                entries: &entries,
                reachability: &known,
            };
            let responds = |e: &ServingEntry| reaches(own, e);
            found.extend(call(&view, name, &mut reachability, responds));
        }
    }
    found
}

#[test]
fn all_agree_on_owner() {
    for name in [scheduler(Some("a")), scheduler(Some("e")), scheduler(None)] {
        assert_eq!(found(&name, |_, _| true).len(), 1, "{name}");
    }
}

#[test]
fn partition_adds_no_owners() {
    let reaches = |from: &ServingEntry, to: &ServingEntry| {
        (from.centre.as_str() == "d") == (to.centre.as_str() == "d")
    };
    for centre in CENTRES {
        let name = scheduler(Some(centre));
        assert_eq!(found(&name, reaches).len(), 1, "{name}: only entries there call its targets");
    }
}

#[test]
fn killed_entries_are_replaced() {
    // Half of all entries are killed at once, so each of the others finds many of them silent.
    let number = |e: &ServingEntry| e.name.as_str()[6..].parse::<usize>().unwrap();
    let alive = |e: &ServingEntry| (number(e) / CENTRES.len()).is_multiple_of(2);
    let reaches = |_: &ServingEntry, to: &ServingEntry| alive(to);
    let found = found(&scheduler(Some("b")), reaches);
    let serving = entries().iter().filter(|e| found.contains(&e.name) && alive(e)).count();
    assert!(serving >= 1 && found.len() <= 3, "{found:?}");
}

#[test]
fn mass_kill_is_no_partition() {
    let mut reachability = Reachability::default();
    let (centre, name) = (CentreName::new("b"), |n: usize| InstanceName::new(&format!("e-{n}")));
    for number in 0..5 {
        reachability.suspect(at(number as u64), &name(number), &centre);
    }
    assert!(reachability.is_cut_off(&centre));
    reachability.record_response(at(100), &centre);
    assert!(!reachability.is_cut_off(&centre), "another entry there responds");
    reachability.suspect(at(200), &name(10), &centre);
    assert!(!reachability.is_cut_off(&centre), "one silent entry is no partition");
    reachability.suspect(at(201), &name(11), &centre);
    assert_eq!(reachability.cut_off(), std::slice::from_ref(&centre));
    reachability.clear(&name(10));
    assert!(!reachability.is_cut_off(&centre));
}

#[test]
fn centre_without_entries_has_owner() {
    let entries: Vec<_> = entries().into_iter().filter(|e| e.centre.as_str() != "c").collect();
    let reachability = Reachability::default();
    let first = |own: &ServingEntry| {
        let view = OwnerView {
            own: &own.name,
            centre: &own.centre,
            entries: &entries,
            reachability: &reachability,
        };
        owners(&scheduler(Some("c")), &view).remove(0)
    };
    let found: BTreeSet<InstanceName> = entries.iter().map(first).collect();
    assert_eq!(found.len(), 1, "its targets are called by one entry of another data centre");
}
