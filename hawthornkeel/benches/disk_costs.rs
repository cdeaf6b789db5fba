//! Costs of the data folder: syncs with and without groups, recovery and snapshots.
//!
//! `cargo bench -p hawthornkeel --bench disk_costs` writes under the target folder.

use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hawthornkeel::disk::Disk;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel::disk::DiskWriter;
use hawthornkeel::disk::WriterEvent;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::replica::Entry;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::Members;
use hawthornkeel_core::replica::Payload;
use hawthornkeel_core::replica::Save;
use hawthornkeel_core::replica::SaveSeq;
use hawthornkeel_core::replica::Snapshot;
use tempfile::TempDir;

/// Size of a command, in bytes: about that of a claim.
const COMMAND_BYTES: usize = 200;

fn entry(index: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(vec![index as u8 | 1; COMMAND_BYTES]));
    Entry { index: LogIndex(index), term: Term(1), payload }
}

fn save(index: u64) -> Save {
    Save::Log { hard: None, truncate: None, entries: vec![entry(index)] }
}

fn folder() -> TempDir {
    TempDir::new_in(env!("CARGO_TARGET_TMPDIR")).unwrap()
}

fn open(path: &Path, group_saves: usize) -> Disk {
    Disk::open(path, DiskSettings { group_saves, ..DiskSettings::default() }).unwrap().0
}

/// Hands saves to a writer as long as `waiting` at most are not synced, and prints the rate.
fn measure_syncs(group_saves: usize, waiting: u64, count: u64) {
    let folder = folder();
    let (sender, reports) = mpsc::channel();
    let disk = open(folder.path(), group_saves);
    let writer = DiskWriter::start(disk, move |r| sender.send(r).unwrap()).unwrap();
    let start = Instant::now();
    let (mut sent, mut synced, mut syncs) = (0, 0, 0);
    let mut times = Vec::new();
    let mut latencies = Vec::new();
    while synced < count {
        while sent < count && sent < synced + waiting {
            sent += 1;
            times.push(Instant::now());
            writer.save(SaveSeq(sent), save(sent));
        }
        let WriterEvent::Synced(seq) = reports.recv().unwrap() else { panic!("a write failed") };
        syncs += 1;
        let now = Instant::now();
        latencies.extend((synced..seq.0).map(|i| now - times[i as usize]));
        synced = seq.0;
    }
    let rate = count as f64 / start.elapsed().as_secs_f64();
    latencies.sort();
    let at = |share: usize| latencies[latencies.len() * share / 100].as_secs_f64() * 1e3;
    println!(
        "{group_saves:>5} {waiting:>8} {rate:>10.0} {:>8.1} {:>8.2} {:>8.2}",
        count as f64 / f64::from(syncs),
        at(50),
        at(99)
    );
}

fn measure_recovery(count: u64) {
    const GROUP: u64 = 100;
    let folder = folder();
    let mut disk = open(folder.path(), 256);
    for group in 0..count / GROUP {
        let saves: Vec<_> = (1..=GROUP).map(|i| save(group * GROUP + i)).collect();
        disk.write(&saves).unwrap();
    }
    drop(disk);
    let start = Instant::now();
    let (_, found) = Disk::open(folder.path(), DiskSettings::default()).unwrap();
    let time = start.elapsed();
    assert_eq!(found.state.entries.len() as u64, count);
    println!("{count:>9} {:>9.1}", time.as_secs_f64() * 1e3);
}

fn measure_snapshot(megabytes: usize) {
    let folder = folder();
    let mut disk = open(folder.path(), 256);
    let data = Bytes::from(vec![7; megabytes << 20]);
    let snapshot = |index| Save::Snapshot {
        snapshot: Snapshot {
            index: LogIndex(index),
            term: Term(1),
            members: Members::default(),
            data: data.clone(),
        },
        retention: LogRetention::From(LogIndex(index)),
    };
    let start = Instant::now();
    disk.write(&[snapshot(1)]).unwrap();
    let write = start.elapsed();
    drop(disk);
    let start = Instant::now();
    let (_, found) = Disk::open(folder.path(), DiskSettings::default()).unwrap();
    let read: Duration = start.elapsed();
    assert!(found.state.snapshot.is_some());
    println!("{megabytes:>5} {:>9.1} {:>9.1}", write.as_secs_f64() * 1e3, read.as_secs_f64() * 1e3);
}

fn main() {
    println!("saves of one entry of {COMMAND_BYTES} B; group and waiting: saves at most");
    println!("group  waiting    saves/s   a sync   p50 ms   p99 ms");
    for (group, waiting, count) in
        [(1, 1, 500), (1, 64, 500), (256, 64, 10_000), (256, 256, 30_000), (256, 1024, 50_000)]
    {
        measure_syncs(group, waiting, count);
    }
    println!("\nrecovery of the log\n  entries        ms");
    [10_000, 100_000, 400_000].into_iter().for_each(measure_recovery);
    println!("\nsnapshot\n   MB  write ms   open ms");
    [1, 16, 64].into_iter().for_each(measure_snapshot);
}
