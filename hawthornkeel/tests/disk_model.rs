//! Random saves and reopenings, against a model of what the folder must hold.

mod saves;

use hawthornkeel::disk::Disk;
use hawthornkeel::disk::DiskSettings;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::LogRetention;
use hawthornkeel_core::replica::PersistedState;
use hawthornkeel_core::replica::Save;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tempfile::TempDir;

use crate::saves::cut;
use crate::saves::entries;
use crate::saves::hard;
use crate::saves::snapshot;

/// What the folder must hold, and the first entry that it may have dropped up to.
#[derive(Default)]
struct Model {
    stored: PersistedState,
    kept: u64,
}

impl Model {
    fn last(&self) -> u64 {
        let base = self.stored.snapshot.as_ref().map_or(0, |s| s.index.0);
        self.stored.entries.last().map_or(base, |e| e.index.0)
    }

    /// Draws a save that a replica could ask for.
    fn draw(&self, rng: &mut StdRng) -> Save {
        let base = self.stored.snapshot.as_ref().map_or(0, |s| s.index.0);
        let last = self.last();
        match rng.random_range(0..12) {
            0 => hard(rng.random_range(0..1000)),
            1 if last > base => cut(rng.random_range(base + 1..=last)),
            2 if last > base => {
                let index = rng.random_range(base + 1..=last);
                let retention =
                    LogRetention::From(LogIndex(index.saturating_sub(5).max(self.kept) + 1));
                Save::Snapshot { snapshot: snapshot(index), retention }
            }
            3 if rng.random_bool(0.2) => {
                let snapshot = snapshot(last + rng.random_range(1..50));
                Save::Snapshot { snapshot, retention: LogRetention::Nothing }
            }
            _ => entries(last + 1, last + rng.random_range(1..6)),
        }
    }

    fn apply(&mut self, save: &Save) {
        match save {
            Save::Log { hard, truncate, entries } => {
                self.stored.hard = hard.unwrap_or(self.stored.hard);
                if let Some(from) = truncate {
                    self.stored.entries.retain(|e| e.index < *from);
                }
                self.stored.entries.extend(entries.iter().cloned());
            }
            Save::Snapshot { snapshot, retention } => {
                self.stored.snapshot = Some(snapshot.clone());
                match retention {
                    LogRetention::From(index) => self.kept = index.0 - 1,
                    LogRetention::Nothing => {
                        self.stored.entries.clear();
                        self.kept = snapshot.index.0;
                    }
                }
            }
        }
    }

    /// Checks what was found; entries that may be dropped may be there or not.
    fn check(&self, found: &PersistedState, seed: u64) {
        assert_eq!((found.hard, &found.snapshot), (self.stored.hard, &self.stored.snapshot));
        let wanted = self.stored.entries.iter().filter(|e| e.index.0 > self.kept);
        let kept = found.entries.iter().filter(|e| e.index.0 > self.kept);
        assert!(kept.eq(wanted), "seed {seed}: other entries after {}", self.kept);
        let older = found.entries.iter().filter(|e| e.index.0 <= self.kept);
        assert!(older.clone().all(|e| self.stored.entries.contains(e)), "seed {seed}");
    }
}

#[test]
fn folder_holds_what_was_saved() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let folder = TempDir::new().unwrap();
        let settings = DiskSettings { segment_bytes: 600, ..DiskSettings::default() };
        let mut model = Model::default();
        for _ in 0..6 {
            let (mut disk, found) = Disk::open(folder.path(), settings).unwrap();
            model.check(&found.state, seed);
            for _ in 0..rng.random_range(1..25) {
                let mut group = Vec::new();
                for _ in 0..rng.random_range(1..4) {
                    let save = model.draw(&mut rng);
                    model.apply(&save);
                    group.push(save);
                }
                disk.write(&group).unwrap();
            }
        }
    }
}
