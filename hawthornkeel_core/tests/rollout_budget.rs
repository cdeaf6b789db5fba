//! Budget of rollouts: entries never send more to a version on trial than its share of the arrivals.

mod rollout_harness;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::rollout::budget::Budget;
use hawthornkeel_core::rollout::budget::Reserve;
use hawthornkeel_core::rollout::controller::RolloutSettings;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::time::Instant;
use rollout_harness::Plan;
use rollout_harness::Way;
use rollout_harness::run;
use rollout_harness::runs;
use rstest::rstest;

const RESERVE: Reserve = Reserve { expected: 1e9, switching: 0.0 };

/// Guards against grants that are counted once too few after a loss, a restart or a change of leader.
#[rstest]
#[case::usual(0.05)]
#[case::all_sessions(1.0)]
fn lossy_fleets_keep_budget(#[case] eagerness: f64, #[values(12_000, 30_000)] duration_ms: u64) {
    let runs = runs(25);
    let plan = Plan { is_lossy: true, eagerness, ..Plan::new(Way::Sound, duration_ms) };
    let mut sent = 0;
    for seed in 0..runs {
        let outcome = run(seed, plan);
        assert_eq!(outcome.over_budget, 0, "seed {seed}: {outcome:?}");
        sent += outcome.trial_sent;
    }
    println!("| lossy {eagerness} {duration_ms} | {runs} | {} sent in a trial |", sent / runs);
    assert!(sent > 40 * runs, "hardly anything was granted: {sent} in {runs} runs");
}

fn report(process: u64, sequence: u64, arrivals: u64, sent: u64) -> RolloutReport {
    RolloutReport {
        pool: "huvo11a".into(),
        id: LogIndex(7),
        process,
        sequence,
        phase: RolloutPhase::Trial,
        arrivals,
        sent,
        old_running: 0,
        rows: Vec::new(),
    }
}

/// Budget at 10 s, with a name for its only entry.
struct Fixture {
    budget: Budget,
    entry: InstanceName,
}

impl Fixture {
    fn new(recorded: u64) -> Self {
        let budget = Budget::new(at(10_000), RolloutSettings::default(), recorded);
        Self { budget, entry: "e1".into() }
    }

    fn grant(&mut self, ms: u64, report: &RolloutReport) -> u64 {
        self.budget.record(at(ms), &self.entry, report);
        self.budget.grant(at(ms), &self.entry, report, RESERVE)
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn nothing_granted_before_allowance() {
    let mut fixture = Fixture::new(0);
    assert_eq!(fixture.grant(10_000, &report(1, 1, 100, 0)), 0);
    let block = fixture.budget.block(RESERVE).unwrap();
    assert!((1..=50).contains(&block), "{block}");
    fixture.budget.set_recorded(block);
    assert_eq!(fixture.grant(10_500, &report(1, 2, 100, 0)), 1);
}

/// A new leader can't know what was granted before it, so that the whole allowance counts.
#[test]
fn new_leader_inherits_allowance() {
    let mut fixture = Fixture::new(40);
    assert_eq!(fixture.budget.charged(), 40);
    assert_eq!(fixture.grant(10_100, &report(1, 5, 10_000, 30)), 30);
    fixture.budget.set_recorded(41);
    // An allowance that this leader has not asked for comes from the one before.
    assert_eq!(fixture.budget.charged(), 41);
    let block = fixture.budget.block(RESERVE).unwrap();
    fixture.budget.set_recorded(block);
    // Grants of the leader before may be in use for 1.5 s.
    assert_eq!(fixture.grant(11_499, &report(1, 6, 10_000, 30)), 30);
    assert_eq!(fixture.grant(11_500, &report(1, 7, 10_000, 30)), 31);
    assert_eq!(fixture.budget.charged(), 42);
}

/// Guards against budgets that run dry because entries without traffic keep their grants.
#[test]
fn unused_grants_return() {
    let mut fixture = Fixture::new(0);
    fixture.budget.block(RESERVE);
    fixture.budget.set_recorded(16);
    assert_eq!(fixture.grant(10_000, &report(1, 1, 1_000, 0)), 1);
    assert_eq!(fixture.budget.charged(), 1);
    // The reports of the quiet entry are not answered with a grant, as another takes the budget.
    for sequence in 2..20 {
        fixture.budget.record(
            at(10_000 + 500 * sequence),
            &fixture.entry,
            &report(1, sequence, 1_000, 0),
        );
    }
    assert_eq!(fixture.budget.charged(), 0);
}

/// A report that was sent while a grant was in use may arrive long after its end.
#[test]
fn late_reports_return_nothing() {
    let mut fixture = Fixture::new(0);
    fixture.budget.block(RESERVE);
    fixture.budget.set_recorded(16);
    assert_eq!(fixture.grant(10_000, &report(1, 1, 1_000, 0)), 1);
    fixture.budget.record(at(30_000), &fixture.entry, &report(1, 3, 1_000, 0));
    assert_eq!(fixture.budget.charged(), 1);
    // The predecessor of a restarted process may have used its grant.
    fixture.budget.record(at(30_000), &fixture.entry, &report(2, 9, 0, 0));
    assert_eq!(fixture.budget.charged(), 1);
}

#[test]
fn copies_count_once() {
    let mut fixture = Fixture::new(0);
    fixture.budget.block(RESERVE);
    fixture.budget.set_recorded(16);
    let (first, second) = (report(1, 1, 100, 0), report(1, 2, 110, 1));
    assert_eq!(fixture.grant(10_000, &first), 1);
    assert_eq!(fixture.grant(10_500, &second), 2);
    assert_eq!(fixture.grant(10_600, &second), 2);
    assert_eq!(fixture.grant(10_700, &first), 2);
    assert_eq!((fixture.budget.charged(), fixture.budget.arrivals()), (2, 110));
}

/// Streams go on beyond the limit; what they send is taken from the budget once it is reported.
#[test]
fn requests_beyond_limit_count() {
    let mut fixture = Fixture::new(0);
    fixture.budget.block(RESERVE);
    fixture.budget.set_recorded(16);
    fixture.grant(10_000, &report(1, 1, 100, 0));
    assert_eq!(fixture.grant(10_500, &report(1, 2, 100, 30)), 30);
    assert_eq!(fixture.budget.charged(), 30);
    assert!(fixture.budget.block(RESERVE).is_some_and(|b| b >= 30));
}

/// The exposure that the last part of the rollout needs is not spent in the trial.
#[test]
fn reserve_of_switch_is_kept() {
    let mut fixture = Fixture::new(0);
    fixture.budget.block(RESERVE);
    fixture.budget.record(at(10_000), &fixture.entry, &report(1, 1, 10_000, 0));
    let reserve = Reserve { expected: 12_000.0, switching: 1_150.0 };
    let mut last = 0;
    while let Some(block) = fixture.budget.block(reserve) {
        fixture.budget.set_recorded(block);
        for sequence in last + 2..last + 60 {
            let report = report(1, sequence, 10_000, fixture.budget.charged());
            fixture.budget.record(at(10_000), &fixture.entry, &report);
            fixture.budget.grant(at(10_000), &fixture.entry, &report, reserve);
        }
        last += 60;
    }
    // 0.1 * 12,000 + 50 - 1,150
    assert_eq!(fixture.budget.charged(), 100);
}
