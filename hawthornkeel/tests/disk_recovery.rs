//! Opening a data folder again: what was synced is there, torn ends are cut, damage stops it.

mod saves;

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use hawthornkeel::disk::Disk;
use hawthornkeel::disk::DiskError;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel::disk::Recovered;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::Save;
use tempfile::TempDir;

use crate::saves::cut;
use crate::saves::entries;
use crate::saves::hard;
use crate::saves::snapshot;

/// Opens a folder with small segments.
fn open(path: &Path) -> Result<(Disk, Recovered), DiskError> {
    Disk::open(path, DiskSettings { segment_bytes: 2_000, ..DiskSettings::default() })
}

fn indices(found: &Recovered) -> Vec<u64> {
    found.state.entries.iter().map(|e| e.index.0).collect()
}

fn files(path: &Path, prefix: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(path).unwrap().map(|e| e.unwrap().path());
    let named = |p: &PathBuf| p.file_name().unwrap().to_str().unwrap().starts_with(prefix);
    let mut files: Vec<_> = entries.filter(named).collect();
    files.sort();
    files
}

/// Writes one frame of three entries and one of a single entry to a fresh folder.
fn two_frames() -> (TempDir, PathBuf, usize) {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = open(folder.path()).unwrap();
    disk.write(&[hard(3), entries(1, 3)]).unwrap();
    let log = files(folder.path(), "log-").pop().unwrap();
    let length = fs::metadata(&log).unwrap().len() as usize;
    disk.write(&[entries(4, 4)]).unwrap();
    (folder, log, length)
}

#[test]
fn saves_come_back() {
    let folder = TempDir::new().unwrap();
    let (mut disk, first) = open(folder.path()).unwrap();
    assert_eq!(first.state, Default::default());
    for step in 0..40 {
        let from = step * 3 + 1;
        disk.write(&[hard(step), entries(from, from + 2), cut(from + 2)]).unwrap();
    }
    drop(disk);
    let (_, found) = open(folder.path()).unwrap();
    assert_eq!(found.id, first.id);
    assert_eq!(found.state.hard.term, Term(39));
    assert_eq!(indices(&found), Vec::from_iter(1..=120));
    assert!(files(folder.path(), "log-").len() > 3, "segments were not rolled");
}

#[test]
fn snapshot_drops_segments() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = open(folder.path()).unwrap();
    disk.write(&[hard(5)]).unwrap();
    for index in 1..=100 {
        disk.write(&[entries(index, index)]).unwrap();
    }
    let before = files(folder.path(), "log-").len();
    let retention = LogRetention::From(LogIndex(71));
    disk.write(&[Save::Snapshot { snapshot: snapshot(80), retention }]).unwrap();
    disk.write(&[entries(101, 101)]).unwrap();
    drop(disk);
    assert!(files(folder.path(), "log-").len() < before);
    let (_, found) = open(folder.path()).unwrap();
    assert_eq!(found.state.snapshot, Some(snapshot(80)));
    assert_eq!(found.state.hard.term, Term(5));
    let kept = indices(&found);
    assert!(kept[0] <= 71 && kept[0] > 1, "the log starts at {}", kept[0]);
    assert_eq!(kept, Vec::from_iter(kept[0]..=101));
}

#[test]
fn installed_snapshot_replaces_log() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = open(folder.path()).unwrap();
    disk.write(&[hard(2), entries(1, 10)]).unwrap();
    let save = Save::Snapshot { snapshot: snapshot(50), retention: LogRetention::Nothing };
    disk.write(&[save, entries(51, 52)]).unwrap();
    drop(disk);
    let (_, found) = open(folder.path()).unwrap();
    assert_eq!((indices(&found), found.state.hard.term), (vec![51, 52], Term(2)));
    assert_eq!(found.state.snapshot, Some(snapshot(50)));
}

#[test]
fn torn_tail_is_cut() {
    let (folder, log, length) = two_frames();
    let whole = fs::read(&log).unwrap();
    for end in length..whole.len() {
        fs::write(&log, &whole[..end]).unwrap();
        let (mut disk, found) = open(folder.path()).unwrap();
        assert_eq!(
            (indices(&found), found.truncated_bytes),
            (vec![1, 2, 3], (end - length) as u64)
        );
        disk.write(&[entries(4, 5)]).unwrap();
        drop(disk);
        assert_eq!(indices(&open(folder.path()).unwrap().1), vec![1, 2, 3, 4, 5]);
    }
}

#[test]
fn unwritten_sector_is_cut() {
    let (folder, log, length) = two_frames();
    let (mut disk, _) = open(folder.path()).unwrap();
    disk.write(&[entries(5, 30)]).unwrap();
    drop(disk);
    let whole = fs::read(&log).unwrap();
    for sector in length.div_ceil(512)..whole.len().div_ceil(512) {
        let mut torn = whole.clone();
        let end = whole.len().min((sector + 1) * 512);
        torn[sector * 512..end].fill(0);
        fs::write(&log, &torn).unwrap();
        assert_eq!(indices(&open(folder.path()).unwrap().1), vec![1, 2, 3, 4]);
    }
}

#[test]
fn bit_flip_stops() {
    let (folder, log, _) = two_frames();
    let whole = fs::read(&log).unwrap();
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x10;
        fs::write(&log, &flipped).unwrap();
        match open(folder.path()) {
            Err(DiskError::Damaged { file, offset, .. }) => {
                assert!(file == log && offset as usize <= at);
            }
            other => panic!("a flip at {at} gave {other:?}"),
        }
    }
}

#[test]
fn lost_sector_in_the_middle_stops() {
    let (folder, log, length) = two_frames();
    let (mut disk, _) = open(folder.path()).unwrap();
    disk.write(&[entries(5, 25)]).unwrap();
    disk.write(&[entries(26, 28)]).unwrap();
    drop(disk);
    let whole = fs::read(&log).unwrap();
    for start in [16, length] {
        let mut lost = whole.clone();
        lost[start..start + 512].fill(0);
        fs::write(&log, &lost).unwrap();
        let found = open(folder.path());
        assert!(matches!(found, Err(DiskError::Damaged { .. })), "{start}: {found:?}");
    }
}

#[test]
fn missing_files_stop() {
    let folder = TempDir::new().unwrap();
    let (mut disk, _) = open(folder.path()).unwrap();
    (1..=100).for_each(|i| disk.write(&[entries(i, i)]).unwrap());
    drop(disk);
    let logs = files(folder.path(), "log-");
    let identity = folder.path().join("identity");
    for file in [&logs[0], &logs[1], &identity] {
        let data = fs::read(file).unwrap();
        fs::remove_file(file).unwrap();
        match open(folder.path()) {
            Err(DiskError::Missing(missing)) => assert_eq!(&missing, file),
            other => panic!("without {file:?}: {other:?}"),
        }
        fs::write(file, data).unwrap();
    }
    assert!(open(folder.path()).is_ok());
}

#[test]
fn unknown_version_is_refused() {
    let (folder, log, _) = two_frames();
    let mut data = fs::read(&log).unwrap();
    data[8] = 2;
    let sum = crc32fast::hash(&data[..12]);
    data[12..16].copy_from_slice(&sum.to_le_bytes());
    fs::write(&log, &data).unwrap();
    let error = open(folder.path()).unwrap_err().to_string();
    assert!(error.ends_with("has format version 2, and this program reads version 1"), "{error}");
}
