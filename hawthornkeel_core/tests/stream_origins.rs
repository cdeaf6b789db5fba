//! Origins of streams: how long they are kept, who holds them, and what the list alone tells.

use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::fleet::TargetRun;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::streams::origin::StreamKey;
use hawthornkeel_core::streams::origin::StreamOrigin;
use hawthornkeel_core::streams::origin::StreamSource;
use hawthornkeel_core::streams::origin::Unproved;
use hawthornkeel_core::streams::origin::Writer;
use hawthornkeel_core::streams::table::GENERATION;
use hawthornkeel_core::streams::table::OriginTable;
use hawthornkeel_core::streams::versions::VersionHistory;
use hawthornkeel_core::time::Instant;

fn at(seconds: f64) -> Instant {
    Instant::from_millis(1_000_000) + Duration::from_secs_f64(seconds)
}

fn source(version: &str) -> StreamSource {
    let origin = StreamOrigin { pool: "engines".into(), version: version.into() };
    StreamSource { origin, unproved: None }
}

/// Returns a list with one target of each version.
fn list(versions: &[&str]) -> TargetList {
    let target = |(n, version): (usize, &&str)| ListedTarget {
        name: format!("i-{n}").as_str().into(),
        pool: "engines".into(),
        address: ([10, 0, 0, 1], 8_000 + n as u16).into(),
        centre: "a".into(),
        born: None,
        version: (**version).into(),
        slots: 8,
        leaving: false,
        cold_ms: 0,
    };
    let targets: Vec<ListedTarget> = versions.iter().enumerate().map(target).collect();
    TargetList { targets: Arc::from(targets), mark: 1 }
}

/// Returns a history of lists that were read every 500 ms from 0 s on.
fn history(lists: &[(f64, &[&str])], end: f64) -> VersionHistory {
    let mut history = VersionHistory::default();
    let steps = (end * 2.0) as usize;
    for step in 0..=steps {
        let seconds = step as f64 / 2.0;
        let current = lists.iter().rfind(|(from, _)| *from <= seconds);
        if let Some((_, versions)) = current {
            history.observe(at(seconds), &list(versions));
        }
    }
    history
}

/// Returns the time in milliseconds for which a version has been the only one.
fn sole(history: &VersionHistory, seconds: f64) -> Option<(String, u32)> {
    let sole = history.sole_version(at(seconds), &PoolName::new("engines"))?;
    Some((sole.version.as_str().to_owned(), sole.sole_ms))
}

#[test]
fn record_lasts_a_generation() {
    let mut table = OriginTable::default();
    let (stream, generation) = (StreamKey(1), GENERATION.as_secs_f64());
    table.record(at(0.0), StreamKey(0), &source("v1"));
    table.record(at(generation * 0.9), stream, &source("v1"));
    table.record(at(generation * 1.8), StreamKey(2), &source("v2"));
    assert_eq!(table.source(stream), Some(source("v1")));
    table.record(at(generation * 2.9), StreamKey(3), &source("v2"));
    table.record(at(generation * 4.0), StreamKey(4), &source("v2"));
    assert_eq!(table.source(stream), None);
}

#[test]
fn record_of_a_running_stream_is_renewed() {
    let mut table = OriginTable::default();
    for n in 0..40 {
        let now = at(n as f64 * GENERATION.as_secs_f64() / 2.0);
        table.record(now, StreamKey(1), &source("v1"));
        table.record(now, StreamKey(100 + n), &source("v2"));
        assert_eq!(table.source(StreamKey(1)), Some(source("v1")));
    }
    assert!(table.len() < 10, "{}", table.len());
}

// Two attempts under one identity are no origin at all.
#[test]
fn contradicting_records_tell_nothing() {
    let mut table = OriginTable::default();
    table.record(at(0.0), StreamKey(1), &source("v1"));
    table.record(at(0.1), StreamKey(1), &source("v2"));
    assert_eq!(table.source(StreamKey(1)), None);
    table.record(at(0.2), StreamKey(1), &source("v1"));
    assert_eq!(table.source(StreamKey(1)), None);
}

#[test]
fn table_is_bounded() {
    let mut table = OriginTable::default();
    (0..2_000_000).for_each(|n| table.record(at(1.0), StreamKey(n), &source("v1")));
    assert!(table.len() <= 500_000, "{}", table.len());
    assert!(table.source(StreamKey(1_999_999)).is_some());
}

#[test]
fn batches_hold_all_records() {
    let mut table = OriginTable::default();
    (0..100).for_each(|n| {
        let version = if n % 3 == 0 { "v1" } else { "v2" };
        table.record(at(0.0), StreamKey(n), &source(version));
    });
    let mut other = OriginTable::default();
    let batches = table.batches(at(1.0));
    assert_eq!(batches.len(), 2);
    batches.iter().for_each(|batch| other.record_batch(at(1.0), batch));
    assert!((0..100).all(|n| other.source(StreamKey(n)) == table.source(StreamKey(n))));
}

#[test]
fn workspaces_have_streams_of_their_own() {
    let key = |workspace: &str| StreamKey::new(Some(&workspace.into()), "attempt");
    assert_ne!(key("a"), key("b"));
    assert_eq!(key("a"), key("a"));
}

#[test]
fn holders_are_spread_and_stay() {
    let names: Vec<InstanceName> = (0..22).map(|n| format!("c-{n}").as_str().into()).collect();
    let held = |name: &InstanceName, all: &[InstanceName]| {
        (0..2_200).filter(|n| StreamKey(n * 7_919).holders(all).contains(&name)).count()
    };
    assert!(names.iter().all(|name| (200..400).contains(&held(name, &names))));
    // Without one instance, each stream keeps two of its holders at least.
    let fewer: Vec<InstanceName> = names.iter().skip(1).cloned().collect();
    for n in 0..2_200 {
        let (before, after) = (StreamKey(n).holders(&names), StreamKey(n).holders(&fewer));
        assert!(before.iter().filter(|name| after.contains(name)).count() >= 2);
    }
}

#[test]
fn single_version_is_known_since_the_first_list() {
    let history = history(&[(0.0, &["v1", "v1"])], 30.0);
    assert_eq!(sole(&history, 30.0), Some(("v1".to_owned(), 30_000)));
}

#[test]
fn two_versions_tell_nothing() {
    let history = history(&[(0.0, &["v1"]), (10.0, &["v1", "v2"])], 30.0);
    assert_eq!(sole(&history, 30.0), None);
}

// The version that began a stream may just have left.
#[test]
fn only_version_left_counts_from_when_the_other_left() {
    let history = history(&[(0.0, &["v1"]), (10.0, &["v1", "v2"]), (20.0, &["v2"])], 21.0);
    assert_eq!(sole(&history, 21.0), Some(("v2".to_owned(), 1_500)));
}

#[test]
fn unread_list_tells_nothing() {
    let mut history = history(&[(0.0, &["v1"])], 30.0);
    assert_eq!(sole(&history, 34.0), None);
    // After a gap, another version may have come and gone.
    history.observe(at(40.0), &list(&["v1"]));
    assert_eq!(sole(&history, 40.0), Some(("v1".to_owned(), 0)));
}

fn run(born: u64) -> TargetRun {
    TargetRun { name: "i-1".into(), address: ([10, 0, 0, 1], 8_000).into(), born: Some(born) }
}

#[test]
fn restart_contradicts_the_writer() {
    let writer = Writer::from(&run(1));
    assert!(writer.is_contradicted_by(&run(2)));
    assert!(!writer.is_contradicted_by(&run(1)));
    let elsewhere = TargetRun { name: "i-2".into(), ..run(2) };
    assert!(!writer.is_contradicted_by(&elsewhere));
}

// An unproved record is as old on each instance, and one that was proved stays so.
#[test]
fn unproved_record_keeps_its_age() {
    let writer = Unproved { writer: Writer::from(&run(1)), opened: at(1.0) };
    let unproved = StreamSource { unproved: Some(writer), ..source("v1") };
    let (mut table, mut other) = (OriginTable::default(), OriginTable::default());
    table.record(at(1.5), StreamKey(1), &unproved);
    let batches = table.batches(at(2.0));
    other.record_batch(at(2.25), &batches[0]);
    let kept = other.source(StreamKey(1)).unwrap().unproved.unwrap();
    assert_eq!(kept.opened, at(1.25));
    other.record(at(3.0), StreamKey(1), &source("v1"));
    other.record(at(3.5), StreamKey(1), &unproved);
    assert_eq!(other.source(StreamKey(1)), Some(source("v1")));
}
