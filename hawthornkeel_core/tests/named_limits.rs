//! Limits that targets name, kept by all entries together on a virtual clock.

mod notice_harness;

use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::limit::EntryView;
use hawthornkeel_core::placement::limit::LimitBounds;
use hawthornkeel_core::placement::limit::LimitTable;
use hawthornkeel_core::placement::limit::RequestRate;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::placement::notice::NoticeChange;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::notice_harness::Fleet;
use crate::notice_harness::at;

/// Step of the clock in milliseconds.
const STEP_MS: u64 = 20;
/// Duration of a simulation in milliseconds.
const PLAYED_MS: u64 = 60_000;
/// Time after the first naming from which on the limit binds, in milliseconds.
const CONTACT_WINDOW_MS: u64 = 3_000;
/// Time since it was told the limit from which on an entry's requests count, in milliseconds.
const TOLD_MS: u64 = 500;
/// Time until an answer arrives, in milliseconds.
const ANSWER_MS: u64 = 60;
/// Longest time until an entry knows that others have joined or left, in milliseconds.
const MAX_VIEW_DELAY_MS: u64 = 3_500;

fn limit(rate: u32) -> Notice {
    Notice { limit: Some(RequestRate(rate)), ..Notice::default() }
}

struct Entry {
    name: InstanceName,
    fleet: Fleet,
    /// Time at which it was told the limit first.
    told: Option<u64>,
    /// Answers on their way: when they arrive and when their requests were sent.
    answers: Vec<(u64, u64)>,
    /// Time at which it applies the current set of entries.
    view_due: Option<u64>,
}

struct Simulation {
    rate: RequestRate,
    random: StdRng,
    entries: Vec<Entry>,
    table: LimitTable,
    joined: usize,
    /// Times at which requests reached the target that count.
    arrivals: Vec<u64>,
}

impl Simulation {
    fn new(seed: u64, rate: u32, count: usize) -> Self {
        let mut simulation = Self {
            rate: RequestRate(rate),
            random: StdRng::seed_from_u64(seed),
            entries: Vec::new(),
            table: LimitTable::default(),
            joined: 0,
            arrivals: Vec::new(),
        };
        (0..count).for_each(|_| simulation.join(0));
        simulation.entries.iter_mut().for_each(|e| e.view_due = Some(0));
        simulation
    }

    fn join(&mut self, now: u64) {
        self.joined += 1;
        let name = format!("entry-{}", self.joined).as_str().into();
        let (fleet, told, answers) = (Fleet::new(1), None, Vec::new());
        self.entries.push(Entry { name, fleet, told, answers, view_due: None });
        self.spread_views(now);
    }

    fn leave(&mut self, now: u64) {
        let gone = self.random.random_range(0..self.entries.len());
        self.entries.remove(gone);
        self.spread_views(now);
    }

    /// Lets each entry learn of the current entries after a time of its own.
    fn spread_views(&mut self, now: u64) {
        for entry in &mut self.entries {
            entry.view_due = Some(now + self.random.random_range(0..MAX_VIEW_DELAY_MS));
        }
    }

    fn play(&mut self, changes: bool) {
        for now in (0..PLAYED_MS).step_by(STEP_MS as usize) {
            if changes && self.random.random_bool(0.004) {
                self.join(now);
            }
            if changes && self.entries.len() > 2 && self.random.random_bool(0.004) {
                self.leave(now);
            }
            self.step(now);
        }
    }

    fn step(&mut self, now: u64) {
        let names: Vec<InstanceName> = self.entries.iter().map(|e| e.name.clone()).collect();
        for entry in &mut self.entries {
            if entry.view_due.is_some_and(|due| due <= now) {
                let (own, entries, peak) = (entry.name.clone(), names.clone(), names.len());
                let view = EntryView { own, entries, peak };
                entry.fleet.balancer.set_entry_view(at(now), view);
                entry.view_due = None;
            }
            // As fast as the target lets it, but at most one a step.
            if let Ok(target) = entry.fleet.choose(now, self.random.random()) {
                if entry.told.is_some_and(|told| told + TOLD_MS <= now) {
                    self.arrivals.push(now);
                }
                entry.answers.push((now + ANSWER_MS, now));
                drop(target);
            }
            let due: Vec<(u64, u64)> =
                entry.answers.extract_if(.., |(arrives, _)| *arrives <= now).collect();
            for (_, sent) in due {
                let run = entry.fleet.run();
                let notice = limit(self.rate.0);
                entry.fleet.balancer.record_notice(at(now), &run, at(sent), notice);
                entry.told.get_or_insert(now);
            }
            // Half of the polls are lost.
            if now.is_multiple_of(600) && self.random.random_bool(0.5) {
                self.table.merge(at(now), &entry.fleet.balancer.limit_reports(at(now)));
                entry.fleet.balancer.learn_limits(at(now), &self.table.reports(at(now)));
            }
        }
    }

    /// Returns the most requests in one window after the limit binds.
    fn most_in_window(&self, bounds: &LimitBounds) -> usize {
        let window = u64::try_from(bounds.window.as_millis()).unwrap();
        let counted: Vec<u64> =
            self.arrivals.iter().copied().filter(|a| *a >= CONTACT_WINDOW_MS).collect();
        let within =
            |from: u64| counted.iter().filter(|a| **a >= from && **a < from + window).count();
        counted.iter().map(|from| within(*from)).max().unwrap_or(0)
    }
}

// All entries together send at most 1.5 times what the limit allows, and 5 more, in any 4 s.
#[rstest]
fn all_entries_keep_the_limit(
    #[values(200, 1_000, 1_800, 10_000)] rate: u32,
    #[values(1, 8, 40)] count: usize,
    #[values(false, true)] changes: bool,
) {
    let bounds = LimitBounds::default();
    let allowed = RequestRate(rate).per_second() * bounds.window.as_secs_f64() * bounds.factor;
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, rate, count);
        simulation.play(changes);
        let most = simulation.most_in_window(&bounds);
        assert!(most as f64 <= allowed + bounds.slack, "seed {seed}: {most} of {allowed} + 5");
        assert!(simulation.arrivals.len() >= 2, "seed {seed}: {:?}", simulation.arrivals);
    }
}

#[test]
fn limit_is_withdrawn_by_a_later_answer() {
    let mut fleet = Fleet::new(1);
    let run = fleet.run();
    let named = NoticeChange::Limited { limit: Some(RequestRate(1_000)) };
    assert_eq!(fleet.balancer.record_notice(at(50), &run, at(0), limit(1_000)), [named]);
    assert!(matches!(fleet.choose(60, 1), Err(NoTarget::Paused { .. })));
    // Its request was sent before the limit was heard.
    assert!(fleet.balancer.record_notice(at(70), &run, at(40), Notice::default()).is_empty());
    let withdrawn = NoticeChange::Limited { limit: None };
    assert_eq!(fleet.balancer.record_notice(at(90), &run, at(80), Notice::default()), [withdrawn]);
    assert!(fleet.choose(100, 1).is_ok());
}

#[test]
fn entry_learns_the_limit_from_others() {
    let (mut one, mut other) = (Fleet::new(1), Fleet::new(1));
    let run = one.run();
    one.balancer.record_notice(at(50), &run, at(0), limit(1_000));
    let reports = one.balancer.limit_reports(at(100));
    other.balancer.learn_limits(at(110), &reports);
    assert!(other.choose(120, 1).is_err());
    // It is heard of by others that it is withdrawn, too.
    one.balancer.record_notice(at(900), &run, at(800), Notice::default());
    other.balancer.learn_limits(at(950), &one.balancer.limit_reports(at(940)));
    assert!(other.choose(960, 1).is_ok());
}

#[test]
fn reports_age_out() {
    let mut fleet = Fleet::new(1);
    let run = fleet.run();
    fleet.balancer.record_notice(at(0), &run, at(0), limit(1_000));
    let mut table = LimitTable::default();
    let empty = table.mark();
    table.merge(at(100), &fleet.balancer.limit_reports(at(100)));
    assert_ne!(table.mark(), empty);
    table.merge(at(100) + Duration::from_secs(130), &[]);
    assert_eq!(table.mark(), empty);
    // An entry forgets what no other entry has heard of for a while.
    fleet.balancer.learn_limits(at(130_000), &table.reports(at(130_000)));
    assert!(fleet.choose(130_001, 1).is_ok());
}
