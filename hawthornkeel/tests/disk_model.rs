//! Randomized saves and restarts, checked against a model of the data folder.

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

use crate::saves::entries;
use crate::saves::hard_state;
use crate::saves::snapshot;
use crate::saves::truncate;

/// Expected state of the folder.
#[derive(Default)]
struct Model {
    state: PersistedState,
    /// Last index up to which entries may have been dropped.
    dropped_to: u64,
}

impl Model {
    fn last(&self) -> u64 {
        let base = self.state.snapshot.as_ref().map_or(0, |s| s.index.0);
        self.state.entries.last().map_or(base, |e| e.index.0)
    }

    /// Generates a random save that a replica could request.
    fn random_save(&self, rng: &mut StdRng) -> Save {
        let base = self.state.snapshot.as_ref().map_or(0, |s| s.index.0);
        let last = self.last();
        match rng.random_range(0..12) {
            0 => hard_state(rng.random_range(0..1000)),
            1 if last > base => truncate(rng.random_range(base + 1..=last)),
            2 if last > base => {
                let index = rng.random_range(base + 1..=last);
                let retention =
                    LogRetention::From(LogIndex(index.saturating_sub(5).max(self.dropped_to) + 1));
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
                self.state.hard = hard.unwrap_or(self.state.hard);
                if let Some(from) = truncate {
                    self.state.entries.retain(|e| e.index < *from);
                }
                self.state.entries.extend(entries.iter().cloned());
            }
            Save::Snapshot { snapshot, retention } => {
                self.state.snapshot = Some(snapshot.clone());
                match retention {
                    LogRetention::From(index) => self.dropped_to = index.0 - 1,
                    LogRetention::Nothing => {
                        self.state.entries.clear();
                        self.dropped_to = snapshot.index.0;
                    }
                }
            }
        }
    }

    /// Checks the recovered state, in which droppable entries may be present or not.
    fn check(&self, recovered: &PersistedState, seed: u64) {
        assert_eq!((recovered.hard, &recovered.snapshot), (self.state.hard, &self.state.snapshot));
        let expected = self.state.entries.iter().filter(|e| e.index.0 > self.dropped_to);
        let retained = recovered.entries.iter().filter(|e| e.index.0 > self.dropped_to);
        assert!(retained.eq(expected), "seed {seed}: entries after {} differ", self.dropped_to);
        let older = recovered.entries.iter().filter(|e| e.index.0 <= self.dropped_to);
        assert!(older.clone().all(|e| self.state.entries.contains(e)), "seed {seed}");
    }
}

#[test]
fn recovery_matches_model() {
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let folder = TempDir::new().unwrap();
        let settings = DiskSettings { segment_bytes: 600, ..DiskSettings::default() };
        let mut model = Model::default();
        for _ in 0..6 {
            let (mut disk, recovered) = Disk::open(folder.path(), settings).unwrap();
            model.check(&recovered.state, seed);
            for _ in 0..rng.random_range(1..25) {
                let mut group = Vec::new();
                for _ in 0..rng.random_range(1..4) {
                    let save = model.random_save(&mut rng);
                    model.apply(&save);
                    group.push(save);
                }
                disk.write(&group).unwrap();
            }
        }
    }
}
