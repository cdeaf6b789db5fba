//! Presence of entries at control instances: reports, cuts between control instances and stops.

use hawthornkeel_core::fleet::presence::PresenceTable;
use hawthornkeel_core::fleet::presence::entries_mark;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::time::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn name(number: usize) -> InstanceName {
    InstanceName::new(&format!("e{number}"))
}

fn centre() -> CentreName {
    CentreName::new("a")
}

/// Control instances that exchange reports each second, each of which polled by its own entries.
struct Group {
    tables: Vec<PresenceTable>,
    round: usize,
}

impl Group {
    fn new(count: usize) -> Self {
        Self { tables: (0..count).map(|_| PresenceTable::new(at(0))).collect(), round: 0 }
    }

    /// Lets every instance hear its entries and send its reports to those that it reaches.
    fn exchange(&mut self, millis: u64, entries: usize, reaches: impl Fn(usize, usize) -> bool) {
        let count = self.tables.len();
        for entry in 0..entries {
            self.tables[entry % count].hear(at(millis), &name(entry), &centre());
        }
        self.round += 1;
        for from in 0..count {
            let (direct, all) = (
                self.tables[from].direct_reports(at(millis)),
                self.tables[from].all_reports(at(millis)),
            );
            let turn = (from + 1 + self.round % (count - 1)) % count;
            for to in (0..count).filter(|to| *to != from && reaches(from, *to)) {
                self.tables[to].merge(at(millis), if to == turn { &all } else { &direct });
            }
        }
        for table in &mut self.tables {
            table.expire(at(millis));
        }
    }

    fn counts(&self, millis: u64) -> Vec<usize> {
        self.tables.iter().map(|t| t.serving(at(millis)).len()).collect()
    }
}

#[test]
fn each_knows_all() {
    let mut group = Group::new(5);
    group.exchange(0, 195, |_, _| true);
    assert_eq!(group.counts(0), [195; 5]);
    let marks: Vec<u64> = group.tables.iter().map(|t| entries_mark(&t.serving(at(0)))).collect();
    assert!(marks.iter().all(|m| *m == marks[0]), "they agree");
}

#[test]
fn cut_between_two_hides_nobody() {
    let mut group = Group::new(5);
    let cut = |a: usize, b: usize| (a, b) != (0, 1) && (a, b) != (1, 0);
    for second in 0..30 {
        group.exchange(second * 1_000, 195, cut);
        assert!(second < 4 || group.counts(second * 1_000) == [195; 5], "second {second}");
    }
}

#[test]
fn dead_entry_is_forgotten() {
    let mut group = Group::new(5);
    group.exchange(0, 10, |_, _| true);
    // Entry 9 dies. Reports that are passed on must not keep it alive.
    for second in 1..8 {
        group.exchange(second * 1_000, 9, |_, _| true);
        let expected = if second < 4 { 10 } else { 9 };
        assert_eq!(group.counts(second * 1_000), [expected; 5], "second {second}");
    }
}

#[test]
fn stopped_entry_stays_away() {
    let (mut one, mut other) = (PresenceTable::new(at(0)), PresenceTable::new(at(0)));
    one.hear(at(0), &name(1), &centre());
    other.merge(at(0), &one.all_reports(at(0)));
    let old = other.all_reports(at(100));
    assert!(one.leave(at(200), &name(1)));
    assert!(other.merge(at(210), &one.direct_reports(at(210))));
    assert!(other.serving(at(210)).is_empty(), "the stop is passed on");
    one.merge(at(220), &old);
    assert!(one.serving(at(220)).is_empty(), "an older report does not bring it back");
    assert!(one.hear(at(900), &name(1), &centre()), "but its next start does");
    other.merge(at(910), &one.direct_reports(at(910)));
    assert_eq!(other.serving(at(910)).len(), 1);
}
