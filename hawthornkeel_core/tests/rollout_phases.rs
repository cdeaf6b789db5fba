//! Phases of rollouts: when the leader switches, completes and rolls back, and what a new leader does.

use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::rollout::controller::Action;
use hawthornkeel_core::rollout::controller::Input;
use hawthornkeel_core::rollout::controller::RolloutController;
use hawthornkeel_core::rollout::controller::RolloutSettings;
use hawthornkeel_core::rollout::message::CountRow;
use hawthornkeel_core::rollout::message::OutcomeCounts;
use hawthornkeel_core::rollout::message::RolloutGrant;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RollBackCause;
use hawthornkeel_core::rollout::record::RolloutChange;
use hawthornkeel_core::rollout::record::RolloutCommand;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutStep;
use hawthornkeel_core::rollout::record::Rollouts;
use hawthornkeel_core::time::Instant;
use hawthornkeel_core::time::WallTime;
use rstest::rstest;

const POOL: &str = "huvo11a";
const ID: LogIndex = LogIndex(7);

/// Leader with a rollout of 10 s, and one entry that reports the same number of arrivals each 100 ms.
struct Leader {
    controller: RolloutController,
    rollouts: Rollouts,
    now_ms: u64,
    commits: bool,
    per_report: u64,
    report: RolloutReport,
    proposals: Vec<(u64, RolloutChange)>,
    judged: Vec<String>,
    grant: Option<RolloutGrant>,
}

impl Leader {
    fn new(per_report: u64) -> Self {
        let order = RolloutOrder { pool: POOL.into(), version: "v2".into(), duration_ms: 10_000 };
        let mut rollouts = Rollouts::default();
        rollouts.apply(ID, WallTime::default(), &RolloutCommand::Begin(order));
        let report = RolloutReport {
            pool: POOL.into(),
            id: ID,
            process: 5,
            sequence: 0,
            phase: RolloutPhase::Trial,
            arrivals: 0,
            sent: 0,
            old_running: 3,
            rows: Vec::new(),
        };
        let mut leader = Self {
            controller: RolloutController::new(RolloutSettings::default()),
            rollouts,
            now_ms: 0,
            commits: true,
            per_report,
            report,
            proposals: Vec::new(),
            judged: Vec::new(),
            grant: None,
        };
        leader.tell_record();
        leader.targets(&[("v1", 60), ("v2", 60)]);
        leader
    }

    fn tell_record(&mut self) {
        let record = self.rollouts.records()[POOL].clone();
        let elapsed = Duration::from_millis(self.now_ms);
        self.input(Input::Record { record, elapsed });
    }

    /// Replaces the leader.
    fn replace(&mut self) {
        self.controller = RolloutController::new(RolloutSettings::default());
        self.tell_record();
        self.targets(&[("v1", 60), ("v2", 60)]);
    }

    fn targets(&mut self, versions: &[(&str, usize)]) {
        let versions = versions.iter().map(|(v, n)| ((*v).into(), *n)).collect();
        self.input(Input::Targets { pool: POOL.into(), versions });
    }

    fn input(&mut self, input: Input) {
        let is_report = matches!(input, Input::Report { .. });
        let mut grants = 0;
        for action in self.controller.handle(Instant::from_millis(self.now_ms), input) {
            match action {
                Action::Propose(step) => self.propose(step),
                Action::Judged { detail, .. } => self.judged.push(detail),
                Action::Grant(grant) => {
                    grants += 1;
                    self.grant = grant;
                }
            }
        }
        assert_eq!(grants, usize::from(is_report), "each report has one answer");
    }

    fn propose(&mut self, step: RolloutStep) {
        if !matches!(step.change, RolloutChange::Allow(_)) {
            self.proposals.push((self.now_ms, step.change.clone()));
        }
        if self.commits {
            let command = RolloutCommand::Advance(step);
            self.rollouts.apply(LogIndex(8), WallTime::default(), &command);
            self.tell_record();
        }
    }

    /// Runs until a time.
    fn run(&mut self, until_ms: u64) -> &mut Self {
        while self.now_ms < until_ms {
            self.now_ms += 10;
            if self.controller.next_tick().is_some_and(|t| t <= Instant::from_millis(self.now_ms)) {
                self.input(Input::Tick);
            }
            if self.now_ms.is_multiple_of(100) {
                self.report.sequence += 1;
                self.report.arrivals += self.per_report;
                self.report.phase = self.phase();
                let report = self.report.clone();
                self.input(Input::Report { from: "e1".into(), report });
            }
        }
        self
    }

    fn phase(&self) -> RolloutPhase {
        self.rollouts.records()[POOL].phase
    }

    fn first(&self, of: fn(&RolloutChange) -> bool) -> Option<u64> {
        self.proposals.iter().find(|(_, c)| of(c)).map(|(ms, _)| *ms)
    }
}

fn row(target: Option<&str>, answers: u64, failures: u64) -> CountRow {
    CountRow {
        route: "a".into(),
        centre: "x".into(),
        target: target.map(Into::into),
        counts: OutcomeCounts { answers, failures, ..OutcomeCounts::default() },
    }
}

fn is_switch(change: &RolloutChange) -> bool {
    matches!(change, RolloutChange::Switch(_))
}

fn is_complete(change: &RolloutChange) -> bool {
    matches!(change, RolloutChange::Complete)
}

/// The switch begins once the exposure covers what is left: at half of the time where the slack of 50
/// covers everything, at the latest 800 ms before the deadline.
#[rstest]
#[case::little_traffic(0, 9_200, 9_200)]
#[case::covered_by_slack(1, 5_000, 7_000)]
#[case::busy(40, 9_000, 9_200)]
fn switch_time(#[case] per_report: u64, #[case] earliest_ms: u64, #[case] latest_ms: u64) {
    let mut leader = Leader::new(per_report);
    leader.run(10_000);
    let at = leader.first(is_switch).unwrap();
    assert!((earliest_ms..=latest_ms + 50).contains(&at), "{at}");
    let (_, change) = leader.proposals.iter().find(|(_, c)| is_switch(c)).unwrap();
    assert_eq!(*change, RolloutChange::Switch(vec!["v1".into()]));
}

/// Old requests are finished before the old targets are stopped, but not beyond the deadline.
#[rstest]
#[case::still_running(3, 100, 9_700, 9_750)]
#[case::finished(0, 100, 9_200, 9_400)]
#[case::few_responses(0, 10, 9_700, 9_750)]
fn completion_time(
    #[case] running: u32,
    #[case] answers: u64,
    #[case] from_ms: u64,
    #[case] to_ms: u64,
) {
    let mut leader = Leader::new(40);
    leader.report.old_running = running;
    leader.report.rows = vec![row(Some("t1"), answers, 0)];
    leader.run(10_000);
    let at = leader.first(is_complete).unwrap();
    assert!((from_ms..=to_ms).contains(&at), "{at}");
    assert_eq!(leader.phase(), RolloutPhase::Completed);
    // Entries learn of the end by their next report.
    assert_eq!(leader.grant.unwrap().phase, RolloutPhase::Completed);
    assert!(leader.controller.next_tick().is_none());
    let enough = format!("enough={}", answers >= 40);
    assert!(leader.judged.iter().all(|d| d.contains(&enough)), "{:?}", leader.judged);
}

#[test]
fn steps_repeated_until_applied() {
    let mut leader = Leader::new(40);
    leader.commits = false;
    leader.run(12_000);
    let switches: Vec<u64> =
        leader.proposals.iter().filter(|(_, c)| is_switch(c)).map(|(ms, _)| *ms).collect();
    assert_eq!(switches.len(), 2, "{switches:?}");
    assert!(switches.windows(2).all(|w| (350..=500).contains(&(w[1] - w[0]))), "{switches:?}");
    let late = RolloutChange::RollBack(RollBackCause::DeadlinePassed);
    assert!(leader.proposals.iter().filter(|(_, c)| *c == late).count() >= 4);
}

#[test]
fn no_targets_at_switch() {
    let mut leader = Leader::new(40);
    leader.targets(&[("v1", 60), ("v2", 0)]);
    leader.run(9_100);
    assert_eq!(leader.phase(), RolloutPhase::Trial);
    leader.run(9_300);
    assert_eq!(leader.rollouts.records()[POOL].cause, Some(RollBackCause::NoTargets));
}

/// A list that is incomplete for a moment must not stop the old targets.
#[rstest]
#[case::for_a_moment(1_500, RolloutPhase::Trial)]
#[case::for_good(5_000, RolloutPhase::Completed)]
fn old_versions_gone(#[case] gone_ms: u64, #[case] phase: RolloutPhase) {
    let mut leader = Leader::new(40);
    leader.report.old_running = 0;
    leader.run(1_000).targets(&[("v2", 60)]);
    leader.run(1_000 + gone_ms).targets(&[("v1", 60), ("v2", 60)]);
    leader.run(8_000);
    assert_eq!(leader.phase(), phase);
}

#[rstest]
#[case::in_trial(8_000, RolloutPhase::RolledBack)]
#[case::switching(9_400, RolloutPhase::Completed)]
fn deadline_without_leader(#[case] lost_ms: u64, #[case] phase: RolloutPhase) {
    let mut leader = Leader::new(40);
    leader.run(lost_ms).now_ms = 11_000;
    leader.replace();
    leader.run(11_100);
    assert_eq!(leader.phase(), phase);
    let late = (phase == RolloutPhase::RolledBack).then_some(RollBackCause::DeadlinePassed);
    assert_eq!(leader.rollouts.records()[POOL].cause, late);
}

/// Failing all requests at two targets ends the rollout, at whichever leader the totals arrive.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
fn verdict_from_totals(#[case] is_replaced: bool) {
    let mut leader = Leader::new(40);
    leader.run(3_000);
    let totals = [row(None, 900, 3), row(Some("t1"), 20, 20), row(Some("t2"), 20, 20)];
    // The leader that gets the first totals is lost before its verdict is recorded.
    leader.commits = !is_replaced;
    leader.report.rows = totals.into();
    leader.run(3_400);
    if is_replaced {
        assert_eq!(leader.phase(), RolloutPhase::Trial);
        // Nothing more is granted meanwhile.
        assert_eq!(leader.grant.unwrap().limit, leader.report.sent);
        leader.commits = true;
        leader.replace();
        leader.run(3_800);
    }
    assert_eq!(leader.rollouts.records()[POOL].cause, Some(RollBackCause::Failures));
    assert_eq!(leader.grant.unwrap().phase, RolloutPhase::RolledBack);
    assert!(leader.judged.iter().any(|d| d.contains("test=failures")), "{:?}", leader.judged);
}

/// Two pools are judged on their own, and reports of unknown rollouts are told so.
#[test]
fn two_pools() {
    let mut leader = Leader::new(40);
    let order = RolloutOrder { pool: "other".into(), version: "w2".into(), duration_ms: 60_000 };
    leader.rollouts.apply(LogIndex(9), WallTime::default(), &RolloutCommand::Begin(order));
    let record = leader.rollouts.records()["other"].clone();
    leader.input(Input::Record { record, elapsed: Duration::ZERO });
    leader.run(10_000);
    assert_eq!(leader.phase(), RolloutPhase::Completed);
    assert_eq!(leader.rollouts.records()["other"].phase, RolloutPhase::Trial);
    assert!(leader.controller.summary(&"other".into()).is_some());
    let unknown = RolloutReport { id: LogIndex(8), ..leader.report.clone() };
    leader.input(Input::Report { from: "e1".into(), report: unknown });
    assert_eq!(leader.grant, None);
}
