//! Entry's side of rollouts: which versions requests go to, grants, counts and reports.

#![allow(clippy::indexing_slicing, clippy::unwrap_used)]

use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::RouteName;
use hawthornkeel_core::names::SoftwareVersion;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::rollout::counts::Answer;
use hawthornkeel_core::rollout::counts::latency_bucket;
use hawthornkeel_core::rollout::entry::EntryRollouts;
use hawthornkeel_core::rollout::entry::GrantReply;
use hawthornkeel_core::rollout::message::LATENCY_BUCKETS;
use hawthornkeel_core::rollout::message::RolloutGrant;
use hawthornkeel_core::rollout::message::RolloutView;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Log position of the rollout of most tests.
const ID: LogIndex = LogIndex(40);

/// Entry with its targets: names begin with their version.
struct Entry {
    rollouts: EntryRollouts,
    balancer: Balancer,
}

fn pool() -> PoolName {
    PoolName::new("ledger")
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

fn view(id: LogIndex, phase: RolloutPhase) -> RolloutView {
    let (pool, version) = (pool(), "new".into());
    let order = RolloutOrder { pool, version, duration_ms: 10_000 };
    let replaced = vec!["old".into()];
    let record = RolloutRecord { order, id, phase, replaced, ..RolloutRecord::default() };
    RolloutView { index: id, leader: None, records: vec![record] }
}

/// Returns a grant in the trial of a share and a limit, for 1.5 s.
fn grant(share_permille: u32, limit: u64) -> RolloutGrant {
    let phase = RolloutPhase::Trial;
    RolloutGrant { phase, share_permille, limit, ttl_ms: 1_500, report_ms: 500 }
}

impl Entry {
    /// Creates an entry with targets, given as version, number and whether they are leaving, that
    /// knows a rollout.
    fn new(phase: RolloutPhase, targets: &[(&str, u16, bool)]) -> Self {
        let mut entry = Self { rollouts: EntryRollouts::new(7), balancer: Balancer::default() };
        entry.rollouts.apply(at(0), &view(ID, phase));
        entry.set_targets(targets);
        entry
    }

    fn set_targets(&mut self, targets: &[(&str, u16, bool)]) {
        let listed = targets.iter().flat_map(|(version, count, leaving)| {
            (0..*count).map(move |n| ListedTarget {
                name: TargetName::new(&format!("{version}-{n}")),
                pool: pool(),
                address: ([127, 0, 0, 1], 8_000 + n).into(),
                centre: CentreName::new("a"),
                born: None,
                version: SoftwareVersion::new(version),
                slots: 4,
                leaving: *leaving,
                cold_ms: 0,
            })
        });
        self.balancer.update(at(0), &TargetList { targets: listed.collect(), mark: 1 });
        self.rollouts.set_targets(self.balancer.listed_targets());
    }

    /// Sends a report at `ms` and applies the answer to it.
    fn take_grant(&mut self, ms: u64, grant: RolloutGrant) {
        let sequence = self.report(ms);
        self.apply_grant(ms, sequence, Some(grant));
    }

    fn report(&mut self, ms: u64) -> u64 {
        self.rollouts.report(at(ms), &pool(), 0, 0.5).unwrap().sequence
    }

    fn apply_grant(&mut self, ms: u64, sequence: u64, grant: Option<RolloutGrant>) {
        let reply = GrantReply { pool: &pool(), id: ID, sequence, sent: at(ms), grant };
        self.rollouts.apply_grant(at(ms), &reply);
        self.rollouts.set_targets(self.balancer.listed_targets());
    }

    fn choose(&mut self, ms: u64, session: u64) -> Result<ChosenTarget, NoTarget> {
        let rule = self.rollouts.rule(at(ms), &pool(), session);
        self.choose_by(ms, session, &rule, &[])
    }

    fn choose_by(
        &mut self,
        ms: u64,
        session: u64,
        rule: &VersionRule,
        tried: &[TargetName],
    ) -> Result<ChosenTarget, NoTarget> {
        let query = TargetQuery {
            pool: &pool(),
            session,
            centre: None,
            tried,
            cold: None,
            entries: 1,
            version: None,
            rule,
        };
        self.balancer.choose(at(ms), &query)
    }

    /// Sends a request of a session to a target if that may get it now.
    fn send(&mut self, ms: u64, session: u64, to: &ChosenTarget) -> bool {
        let rule = self.rollouts.rule(at(ms), &pool(), session);
        let allowed = self.balancer.allows(at(ms), &pool(), &rule, to);
        if allowed {
            self.rollouts.record_sent(&pool(), &rule, &to.version, session);
        }
        allowed
    }

    /// Chooses the target of a request and sends it; returns the version, if one may get it.
    fn serve(&mut self, ms: u64, session: u64) -> Option<String> {
        let target = self.choose(ms, session).ok()?;
        self.send(ms, session, &target).then(|| target.version.to_string())
    }

    /// Returns the versions that requests of many sessions go to, and `None` if some go nowhere.
    fn versions(&mut self, ms: u64) -> IndexSet<Option<String>> {
        (0..200).map(|session| self.serve(ms, session)).collect()
    }

    fn sent(&mut self) -> u64 {
        self.rollouts.report(at(0), &pool(), 0, 0.5).unwrap().sent
    }
}

// Requests went to versions that the state of the rollout does not let them go to, or nowhere.
#[rstest]
#[case::trial(RolloutPhase::Trial, Some(1_000), &[("old", 4, false), ("new", 4, false)], &["new"])]
#[case::no_grant(RolloutPhase::Trial, None, &[("old", 4, false), ("new", 4, false)], &["old"])]
#[case::no_share(RolloutPhase::Trial, Some(0), &[("old", 4, false), ("new", 4, false)], &["old"])]
#[case::none_new(RolloutPhase::Trial, Some(1_000), &[("old", 4, false)], &["old"])]
#[case::new_leaves(RolloutPhase::Trial, Some(1_000), &[("old", 4, false), ("new", 4, true)], &["old"])]
#[case::none_old(RolloutPhase::Trial, None, &[("new", 4, false)], &["new"])]
#[case::old_leaves(RolloutPhase::Trial, None, &[("old", 4, true), ("new", 4, false)], &["new"])]
#[case::switch(RolloutPhase::Switching, None, &[("old", 4, false), ("new", 1, false)], &["new"])]
#[case::switch_none_new(RolloutPhase::Switching, None, &[("old", 4, false), ("new", 2, true)], &["old"])]
#[case::completed(RolloutPhase::Completed, None, &[("old", 4, false), ("new", 1, false), ("next", 4, false)], &["new", "next"])]
#[case::replaced(RolloutPhase::Completed, None, &[("old", 4, false)], &[])]
#[case::rolled_back(RolloutPhase::RolledBack, None, &[("old", 1, false), ("new", 4, false)], &["old"])]
#[case::back_old_leaves(RolloutPhase::RolledBack, None, &[("old", 1, true), ("new", 4, false)], &[])]
#[case::back_none_old(RolloutPhase::RolledBack, None, &[("new", 4, false)], &["new"])]
fn versions_follow_the_phase(
    #[case] phase: RolloutPhase,
    #[case] share: Option<u32>,
    #[case] targets: &[(&str, u16, bool)],
    #[case] expected: &[&str],
) {
    let mut entry = Entry::new(phase, targets);
    if let Some(share) = share {
        entry.take_grant(0, grant(share, 1_000));
    }
    let expected = expected.iter().map(|v| Some((*v).to_owned()));
    let expected: IndexSet<_> = match expected.len() {
        0 => [None].into(),
        _ => expected.collect(),
    };
    assert_eq!(entry.versions(100), expected);
}

// An entry that was cut off kept calling old targets that had stopped.
#[test]
fn unreachable_versions_are_passed_over() {
    for (phase, down, expected) in
        [(RolloutPhase::Trial, "old", "new"), (RolloutPhase::Switching, "new", "old")]
    {
        let mut entry = Entry::new(phase, &[("old", 2, false), ("new", 2, false)]);
        for n in 0..2 {
            let name = TargetName::new(&format!("{down}-{n}"));
            entry.balancer.record_outcome(at(0), &name, TargetOutcome::Unreached);
        }
        assert_eq!(entry.versions(100), [Some(expected.to_owned())].into());
        // They are tried again once their pause is over.
        assert_eq!(entry.versions(300), [Some(down.to_owned())].into());
    }
}

// A retry had nowhere to go once all targets of the version that its rule asks for were tried.
#[test]
fn retries_go_to_old_targets() {
    let mut entry = Entry::new(RolloutPhase::Switching, &[("old", 1, false), ("new", 1, false)]);
    let rule = entry.rollouts.rule(at(0), &pool(), 1);
    let retry = entry.choose_by(0, 1, &rule, &["new-0".into()]).unwrap();
    assert_eq!((retry.name.as_str(), entry.send(0, 1, &retry)), ("old-0", true));
    // In the trial they may not go to the new version beyond the grant.
    let mut entry = Entry::new(RolloutPhase::Trial, &[("old", 1, false), ("new", 1, false)]);
    let rule = entry.rollouts.rule(at(0), &pool(), 1);
    assert_eq!(entry.choose_by(0, 1, &rule, &["old-0".into()]).unwrap_err(), NoTarget::Tried);
}

// A request that was chosen before a suspension, a switch or a roll-back was sent after it.
#[test]
fn rule_holds_when_sent() {
    let targets = [("old", 2, false), ("new", 2, false)];
    let mut entry = Entry::new(RolloutPhase::Trial, &targets);
    entry.take_grant(0, grant(1_000, 100));
    let chosen = entry.choose(1_499, 1).unwrap();
    assert!(entry.send(1_499, 1, &chosen));
    assert!(!entry.send(1_500, 1, &chosen));
    assert!(!entry.send(60_000, 1, &chosen));
    assert!(entry.rollouts.take_expired(at(60_000), &pool()));
    assert!(!entry.rollouts.take_expired(at(60_000), &pool()));
    let old = entry.choose(60_000, 1).unwrap();
    entry.rollouts.apply(at(60_000), &view(ID, RolloutPhase::Switching));
    assert!(!entry.send(60_000, 1, &old) && entry.send(60_000, 1, &chosen));
    entry.rollouts.apply(at(60_000), &view(ID, RolloutPhase::RolledBack));
    assert!(entry.send(60_000, 1, &old) && !entry.send(60_000, 1, &chosen));
}

// Requests that were chosen beside each other, and answers that came late, passed the limit.
#[test]
fn limit_is_never_exceeded() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut entry = Entry::new(RolloutPhase::Trial, &[("old", 3, false), ("new", 3, false)]);
        let (mut waiting, mut answers) = (Vec::new(), Vec::new());
        let (mut last, mut limit, mut sent) = (0, 0, 0);
        for ms in 0..400 {
            match rng.random_range(0..6) {
                0 => {
                    let sequence = entry.report(ms);
                    answers.push((sequence, rng.random_range(0..30), ms));
                }
                1 if !answers.is_empty() => {
                    let answer = answers.swap_remove(rng.random_range(0..answers.len()));
                    let (sequence, granted, sent_at) = answer;
                    if sequence > last {
                        (last, limit) = (sequence, granted);
                    }
                    entry.apply_grant(sent_at, sequence, Some(grant(900, granted)));
                }
                2 | 3 => {
                    let session = rng.random_range(0..1_000);
                    waiting.push((session, entry.choose(ms, session).unwrap()));
                }
                _ if !waiting.is_empty() => {
                    let at = rng.random_range(0..waiting.len());
                    let (session, to): (u64, ChosenTarget) = waiting.swap_remove(at);
                    let is_new = to.version.as_str() == "new";
                    if entry.send(ms, session, &to) && is_new {
                        assert!(sent < limit, "seed {seed}: {sent} of {limit}");
                        sent += 1;
                    }
                }
                _ => {}
            }
        }
        assert_eq!(entry.sent(), sent);
    }
}

// Entries chose trials of their own, or of too few targets to tell a broken one from a bad version.
#[rstest]
#[case(1, 50, 1)]
#[case(9, 50, 2)]
#[case(60, 50, 3)]
#[case(61, 50, 4)]
fn trials_agree(#[case] count: u16, #[case] share: u32, #[case] expected: usize) {
    let names = |entry: &mut Entry| -> IndexSet<TargetName> {
        let chosen = (0..20_000).map(|session| entry.choose(0, session).unwrap());
        chosen.filter(|c| c.version.as_str() == "new").map(|c| c.name).collect()
    };
    let mut one = Entry::new(RolloutPhase::Trial, &[("old", 2, false), ("new", count, false)]);
    let mut other = Entry::new(RolloutPhase::Trial, &[("new", count, false), ("old", 2, false)]);
    one.take_grant(0, grant(share, 100_000));
    other.take_grant(0, grant(share, 100_000));
    // What a single entry knows of a target changes no trial.
    other.balancer.record_outcome(at(0), &"new-0".into(), TargetOutcome::Failed);
    let (one, other) = (names(&mut one), names(&mut other));
    assert_eq!(one.len(), expected, "{one:?}");
    assert_eq!(one, other);
}

// Sessions moved to and fro as grants ran out and came back.
#[test]
fn sessions_move_at_most_twice() {
    let mut entry = Entry::new(RolloutPhase::Trial, &[("old", 3, false), ("new", 3, false)]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut seen: IndexMap<u64, Vec<String>> = IndexMap::new();
    let mut entered = 0;
    for ms in (0..60_000).step_by(20) {
        if rng.random_bool(0.02) {
            let sent = entry.sent();
            entry.take_grant(ms, grant(rng.random_range(0..500), sent + rng.random_range(0..20)));
        }
        let session = rng.random_range(0..50);
        let version = entry.serve(ms, session).unwrap();
        entered += usize::from(version == "new");
        seen.entry(session).or_default().push(version);
    }
    entry.rollouts.apply(at(60_000), &view(ID, RolloutPhase::Switching));
    for (session, versions) in &mut seen {
        let into = versions.windows(2).filter(|w| w[0] == "old" && w[1] == "new").count();
        assert!(into <= 1, "{session}: {versions:?}");
        assert_eq!(entry.serve(60_000, *session).as_deref(), Some("new"));
    }
    assert!(entered > 20, "{entered}");
}

// A new process went on with the grants and counts of the one before, or sent without any.
#[test]
fn restarted_entry_begins_anew() {
    let targets = [("old", 2, false), ("new", 2, false)];
    let mut entry = Entry::new(RolloutPhase::Trial, &targets);
    entry.take_grant(0, grant(1_000, 100));
    entry.rollouts.record_arrival(&pool());
    assert_eq!(entry.versions(0).len(), 2);
    entry.rollouts = EntryRollouts::new(8);
    assert_eq!(entry.rollouts.index(), None);
    entry.rollouts.apply(at(0), &view(ID, RolloutPhase::Trial));
    entry.rollouts.set_targets(entry.balancer.listed_targets());
    assert_eq!(entry.versions(0), [Some("old".to_owned())].into());
    let report = entry.rollouts.report(at(0), &pool(), 0, 0.5).unwrap();
    assert_eq!((report.process, report.sequence, report.arrivals, report.sent), (8, 1, 0, 0));
}

// A control instance that lags took an entry back to an earlier phase or rollout.
#[test]
fn older_records_change_nothing() {
    let mut entry = Entry::new(RolloutPhase::Switching, &[("old", 2, false), ("new", 2, false)]);
    let later = LogIndex(ID.0 + 5);
    for (id, phase) in [(ID, RolloutPhase::Trial), (LogIndex(3), RolloutPhase::RolledBack)] {
        assert!(entry.rollouts.apply(at(0), &view(id, phase)).is_empty());
        assert_eq!(entry.versions(0), [Some("new".to_owned())].into());
    }
    entry.rollouts.apply(at(0), &view(ID, RolloutPhase::RolledBack));
    assert_eq!(entry.rollouts.next_report(&pool(), ID), None);
    // Another rollout of the pool lifts the roll-back.
    assert_eq!(entry.rollouts.apply(at(0), &view(later, RolloutPhase::Switching)).len(), 1);
    assert_eq!(entry.versions(0), [Some("new".to_owned())].into());
}

// Requests that still ran at old targets were forgotten with the list that no longer named them.
#[test]
fn running_requests_are_counted() {
    let mut entry = Entry::new(RolloutPhase::Trial, &[("old", 2, false), ("new", 2, false)]);
    let running: Vec<_> = (0..5).map(|session| entry.choose(0, session).unwrap()).collect();
    let count = |entry: &Entry| entry.balancer.running_at_others(&pool(), &"new".into());
    assert_eq!(count(&entry), 5);
    entry.set_targets(&[("new", 2, false)]);
    assert_eq!(count(&entry), 5);
    drop(running);
    assert_eq!(count(&entry), 0);
}

// Reports of all entries came at the same time, or the switch was reported as slowly as the trial.
#[test]
fn reports_are_due() {
    let mut entry = Entry::new(RolloutPhase::Trial, &[]);
    assert_eq!(entry.rollouts.next_report(&pool(), ID), Some(at(0)));
    for (jitter, ms) in [(0.0, 450), (0.5, 500), (1.0, 550)] {
        entry.rollouts.report(at(0), &pool(), 0, jitter).unwrap();
        assert_eq!(entry.rollouts.next_report(&pool(), ID), Some(at(ms)));
    }
    entry.rollouts.apply(at(100), &view(ID, RolloutPhase::Switching));
    assert_eq!(entry.rollouts.next_report(&pool(), ID), Some(at(100)));
    entry.rollouts.report(at(100), &pool(), 0, 0.5).unwrap();
    assert_eq!(entry.rollouts.next_report(&pool(), ID), Some(at(250)));
}

// Responses of targets whose caches are empty made a version look slow.
#[test]
fn outcomes_are_counted() {
    let mut entry = Entry::new(RolloutPhase::Trial, &[("old", 1, false), ("new", 1, false)]);
    let (route, centre, target) = (RouteName::new("r"), CentreName::new("a"), "new-0".into());
    let mut record = |version: &str, cold: bool, failed: bool| {
        let latency = Duration::from_millis(5);
        let (route, centre, target, born) = (&route, &centre, &target, None);
        let answer = Answer { route, centre, target, born, cold, failed, latency };
        entry.rollouts.record_answer(&pool(), &version.into(), &answer);
    };
    (0..5).for_each(|n| record("new", false, n == 0));
    record("new", true, false);
    (0..5).for_each(|_| record("old", false, false));
    let rows = entry.rollouts.report(at(0), &pool(), 0, 0.5).unwrap().rows;
    let sums = rows.iter().map(|row| {
        let (counts, target) = (&row.counts, row.target.as_ref().map(TargetName::as_str));
        (target, counts.answers, counts.failures, counts.latencies[1])
    });
    assert_eq!(sums.collect::<Vec<_>>(), [(Some("new-0"), 6, 1, 2), (None, 5, 0, 5)]);
    let bucket = |ms: u64| latency_bucket(Duration::from_millis(ms));
    assert_eq!([0, 3, 4, 5, 6, 8, 1_000_000].map(bucket), [0, 0, 1, 1, 2, 3, LATENCY_BUCKETS - 1]);
}
