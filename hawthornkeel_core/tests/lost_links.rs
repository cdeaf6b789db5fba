//! Links from an entry to the targets of a pool: when most of them count as lost, and as restored.

use std::net::SocketAddr;
use std::time::Duration;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::placement::links::LinkChange;
use hawthornkeel_core::placement::links::LinkEvidence;
use hawthornkeel_core::placement::links::Links;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

/// Interval at which an entry asks for due probes.
const STEP: Duration = Duration::from_millis(25);

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index))
}

fn pool() -> PoolName {
    PoolName::from("models")
}

fn links(targets: u16) -> Links {
    let (mut links, pool) = (Links::default(), pool());
    let centres = ["a", "b", "c"].map(CentreName::from);
    let centre = |target: u16| &centres[usize::from(target) % centres.len()];
    links.set_targets((0..targets).map(|t| (&pool, centre(t), address(t))));
    links
}

/// Entry whose links to targets work or not, on a virtual clock.
struct Entry {
    links: Links,
    now: Instant,
    probes: Vec<SocketAddr>,
    changes: Vec<(Instant, LinkChange)>,
}

impl Entry {
    fn new(targets: u16) -> Self {
        let now = Instant::from_millis(10_000);
        Self { links: links(targets), now, probes: Vec::new(), changes: Vec::new() }
    }

    fn record(&mut self, target: u16, evidence: LinkEvidence) {
        let change = self.links.record(self.now, address(target), evidence);
        self.changes.extend(change.map(|c| (self.now, c)));
    }

    /// Carries out probes for a time; `works` tells which links do.
    fn run(&mut self, time: Duration, works: impl Fn(u16) -> bool) {
        let until = self.now + time;
        while self.now < until {
            for probed in self.links.due_probes(self.now) {
                let target = probed.port() - 1_000;
                self.probes.push(probed);
                let evidence =
                    if works(target) { LinkEvidence::Connected } else { LinkEvidence::Failed };
                self.record(target, evidence);
                self.links.end_probe(probed);
            }
            self.now = self.now + STEP;
        }
    }
}

// A cut entry refused its callers until it had met each target.
#[rstest]
#[case(1)]
#[case(3)]
#[case(9)]
#[case(60)]
fn one_failure_finds_lost_links(#[case] targets: u16) {
    let mut entry = Entry::new(targets);
    entry.record(0, LinkEvidence::Failed);
    entry.run(Duration::from_millis(200), |_| false);
    assert!(entry.links.is_lost(&pool()), "{:?}", entry.changes);
    assert!(entry.probes.len() <= 12, "{} probes", entry.probes.len());
}

#[rstest]
#[case(3, 1)]
#[case(9, 4)]
#[case(60, 20)]
fn ended_targets_leave_links(#[case] targets: u16, #[case] ended: u16) {
    let mut entry = Entry::new(targets);
    for target in 0..ended {
        entry.record(target, LinkEvidence::Failed);
        entry.run(Duration::from_millis(50), |t| t >= ended);
    }
    entry.run(Duration::from_secs(5), |t| t >= ended);
    assert!(!entry.links.is_lost(&pool()), "{:?}", entry.changes);
}

#[test]
fn silence_starts_check() {
    let mut entry = Entry::new(9);
    for _ in 0..10 {
        entry.record(3, LinkEvidence::Silent);
        entry.run(Duration::from_millis(100), |_| true);
    }
    assert_eq!(entry.probes, [address(3)], "at most one probe a second");
    entry.record(3, LinkEvidence::Silent);
    entry.run(Duration::from_millis(1_000), |_| false);
    assert!(entry.links.is_lost(&pool()));
}

#[test]
fn links_return_by_few_probes() {
    let mut entry = Entry::new(9);
    entry.record(0, LinkEvidence::Failed);
    entry.run(Duration::from_secs(10), |_| false);
    let before = entry.probes.len();
    assert!(before <= 70, "{before} probes in 10 s");
    entry.run(Duration::from_secs(2), |_| true);
    assert!(!entry.links.is_lost(&pool()), "{:?}", entry.changes);
}

// Links that come and go each second moved all requests with them.
#[test]
fn unsteady_links_are_avoided() {
    let mut entry = Entry::new(9);
    entry.record(0, LinkEvidence::Failed);
    for _ in 0..20 {
        entry.run(Duration::from_secs(1), |_| false);
        entry.run(Duration::from_secs(1), |_| true);
        if !entry.links.is_lost(&pool()) {
            entry.record(0, LinkEvidence::Failed);
        }
    }
    let losses = entry.changes.iter().filter(|(_, c)| matches!(c, LinkChange::Lost(_))).count();
    assert!(losses <= 3, "{:?}", entry.changes);
}

#[test]
fn few_reached_targets_count_as_lost() {
    let mut entry = Entry::new(9);
    entry.record(0, LinkEvidence::Failed);
    entry.run(Duration::from_secs(1), |t| t == 8);
    assert!(entry.links.is_lost(&pool()));
    entry.run(Duration::from_secs(5), |t| t == 8);
    assert!(entry.links.is_lost(&pool()), "{:?}", entry.changes);
}

// Entries that reach only the targets of one data centre, as the others are cut off, turned work away.
#[rstest]
#[case(9)]
#[case(60)]
fn cut_off_centres_leave_links(#[case] targets: u16) {
    for first in 0..targets {
        let mut entry = Entry::new(targets);
        entry.record(first, LinkEvidence::Failed);
        entry.run(Duration::from_secs(3), |t| t % 3 == 0);
        assert!(!entry.links.is_lost(&pool()) || first % 3 == 0, "{first}: {:?}", entry.changes);
    }
}
