//! Rollouts at an entry that is a process, with a control instance whose answers the tests set.

mod control_standin;
mod forward_harness;

use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RolloutPhase;
use indexmap::IndexSet;
use rstest::rstest;

use crate::control_standin::Mood;
use crate::control_standin::Standin;
use crate::forward_harness::Harness;
use crate::forward_harness::HttpResponse;
use crate::forward_harness::TARGETS;
use crate::forward_harness::requests::fields;
use crate::forward_harness::targets::FakeTargets;
use crate::forward_harness::waits::eventually;

/// Targets of the old and of the new version.
const OLD: &str = TARGETS[0];
const NEW: &str = TARGETS[1];
/// Time within which a single entry serves after its start, which a silent control instance may
/// lengthen by 300 ms. The rest is for busy machines.
const START_TIME: Duration = Duration::from_secs(5);

/// Starts one entry with two targets of each version, which follows a control instance of the test.
fn start(net: u8, mood: Mood) -> (Harness, Standin) {
    let fakes = FakeTargets::default();
    for (at, version) in ["old", "new"].into_iter().enumerate() {
        fakes.lock().unwrap()[at].writer.version = Some(version);
    }
    let mut harness = Harness::with_fakes(net, 1, fakes);
    harness.kill(0);
    harness.leave_one_entry();
    let operators = harness.operators(0);
    let address = SocketAddr::new(operators.ip(), operators.port() - 2);
    let targets = harness.targets();
    let listed = |(at, version): (usize, &'static str)| {
        let target = move |n: u8| ListedTarget {
            name: format!("{version}-{n}").as_str().into(),
            pool: "ledger".into(),
            address: targets[at],
            centre: "a".into(),
            born: None,
            version: version.into(),
            slots: 8,
            leaving: false,
            cold_ms: 0,
        };
        (0..2).map(target)
    };
    let targets = [(0, "old"), (1, "new")].into_iter().flat_map(listed).collect();
    let standin = Standin::start(address, mood, targets);
    harness.call_until(200, "/lots/warm", &fields("warm"));
    (harness, standin)
}

/// Starts an entry in the trial of a version, with a grant.
fn start_trial(net: u8, share_permille: u32, limit: u64) -> (Harness, Standin) {
    let (harness, standin) = start(net, Mood::Answering);
    standin.grant(RolloutPhase::Trial, share_permille, limit);
    standin.publish(RolloutPhase::Trial);
    wait_for_report(&harness, &standin, |r| r.sequence > 2);
    (harness, standin)
}

/// Waits for a report that comes from now on.
fn wait_for_report(harness: &Harness, standin: &Standin, is_it: impl Fn(&RolloutReport) -> bool) {
    let before = standin.with(|script| script.reports.len());
    eventually(harness, "no such report", || {
        standin.with(|script| script.reports[before..].iter().any(&is_it)).then_some(())
    });
}

/// Sends requests of different sessions and checks that each has an answer.
fn call_all(harness: &Harness, label: &str, count: usize) {
    for n in 0..count {
        let response = harness.call("GET", "/lots/1", &fields(&format!("{label}-{n}")), "");
        assert_eq!(response.status, 200, "{response:?}\n{}", harness.logs());
    }
}

/// Sends requests beside each other until `end`; returns the number of answers and of others.
fn load(harness: &Harness, end: Instant) -> Vec<JoinHandle<(usize, usize)>> {
    let caller = |at: usize| {
        let client = harness.client();
        thread::spawn(move || {
            let (mut answered, mut others) = (0, 0);
            while Instant::now() < end {
                let id = fields(&format!("load-{at}-{answered}-{others}"));
                match client.try_call(0, "GET", "/lots/wait-5/1", &id) {
                    Some(response) if response.status == 200 => answered += 1,
                    _ => others += 1,
                }
            }
            (answered, others)
        })
    };
    (0..4).map(caller).collect()
}

/// Returns the version that wrote the events of a response, if it is one.
fn version(response: &HttpResponse) -> Option<&str> {
    let versions = response.body.lines().filter_map(|l| l.strip_prefix("data: "));
    let versions: IndexSet<&str> = versions.collect();
    versions.first().copied().filter(|_| versions.len() == 1)
}

// A trial took other shares than granted, went over its limit, or was reported wrongly.
#[rstest]
#[case::share(241, 200, 1_000, 30..150)]
#[case::limit(242, 1_000, 25, 25..26)]
#[case::nothing(243, 1_000, 0, 0..1)]
fn trial_keeps_to_its_grant(
    #[case] net: u8,
    #[case] share: u32,
    #[case] limit: u64,
    #[case] expected: std::ops::Range<usize>,
) {
    let (harness, standin) = start_trial(net, share, limit);
    let before = harness.request_count(NEW);
    call_all(&harness, "trial", 400);
    let sent = harness.request_count(NEW) - before;
    assert!(expected.contains(&sent), "{sent}");
    let is_counted = |r: &RolloutReport| r.arrivals == 400 && r.sent == sent as u64;
    wait_for_report(&harness, &standin, is_counted);
    let rows = standin.last_report().unwrap().rows;
    let answers = |new: bool| -> u64 {
        rows.iter().filter(|r| r.target.is_some() == new).map(|r| r.counts.answers).sum()
    };
    assert_eq!((answers(true), answers(false)), (sent as u64, 400 - sent as u64), "{rows:?}");
}

// Callers lost requests as their pool moved, or old targets got some after they had been reported free.
#[test]
fn no_request_is_lost_by_the_move() {
    let (harness, standin) = start_trial(244, 100, 1_000);
    let callers = load(&harness, Instant::now() + Duration::from_secs(3));
    thread::sleep(Duration::from_millis(500));
    standin.grant(RolloutPhase::Switching, 1_000, 1_000);
    standin.publish(RolloutPhase::Switching);
    let is_free = |r: &RolloutReport| r.phase == RolloutPhase::Switching && r.old_running == 0;
    wait_for_report(&harness, &standin, is_free);
    let before = harness.request_count(OLD);
    standin.publish(RolloutPhase::Completed);
    harness.set_target(OLD, |t| (t.refusing, t.may_have_run) = (true, true));
    let counts = callers.into_iter().map(|c| c.join().unwrap());
    let (answered, others) = counts.fold((0, 0), |sum, c| (sum.0 + c.0, sum.1 + c.1));
    assert!(answered > 100 && others == 0, "{answered} {others}\n{}", harness.logs());
    assert_eq!(harness.request_count(OLD), before);
    harness.wait_for_log("event=rollout-moved");
    // Nothing is reported any more.
    let reports = standin.with(|script| script.reports.len());
    call_all(&harness, "after", 50);
    assert_eq!(standin.with(|script| script.reports.len()), reports);
}

// A version that was rolled back still got requests, whichever instance told the entry of it first.
#[rstest]
#[case::by_the_leader(247, true)]
#[case::by_the_poll(248, false)]
fn roll_back_stops_sends(#[case] net: u8, #[case] by_leader: bool) {
    let (harness, standin) = start_trial(net, 1_000, 100_000);
    let callers = load(&harness, Instant::now() + Duration::from_secs(3));
    thread::sleep(Duration::from_millis(300));
    assert!(harness.request_count(NEW) > 0, "{}", harness.logs());
    match by_leader {
        true => standin.grant(RolloutPhase::RolledBack, 0, 0),
        false => standin.publish(RolloutPhase::RolledBack),
    }
    let count = || standin.with(|script| script.reports.len());
    let mut reports = 0;
    eventually(&harness, "reports go on", || {
        thread::sleep(Duration::from_millis(300));
        (std::mem::replace(&mut reports, count()) == count()).then_some(())
    });
    let before = harness.request_count(NEW);
    let others: usize = callers.into_iter().map(|c| c.join().unwrap().1).sum();
    assert_eq!((harness.request_count(NEW), others), (before, 0), "{}", harness.logs());
}

// A stream went on at another version, broke off with its grant, or went on at one that was rolled back.
#[test]
fn streams_keep_their_version() {
    let (harness, standin) = start_trial(249, 500, 100_000);
    for target in [OLD, NEW] {
        harness.set_target(target, |t| t.writer.breaks_after = Some(3));
    }
    let ask = |id: String, extra: String| {
        let client = harness.client();
        thread::spawn(move || {
            let fields = fields(&id) + &extra;
            (id, client.try_call(0, "GET", "/events/written/1", &fields).unwrap())
        })
    };
    let asked: Vec<_> = (0..16).map(|n| ask(format!("stream-{n}"), String::new())).collect();
    thread::sleep(Duration::from_millis(100));
    // They break off and are resumed without a grant.
    standin.grant(RolloutPhase::Trial, 0, 0);
    let begun: Vec<_> = asked.into_iter().map(|a| a.join().unwrap()).collect();
    let written: Vec<_> = begun.iter().map(|(_, r)| version(r)).collect();
    assert!(written.iter().all(Option::is_some), "{begun:?}\n{}", harness.logs());
    assert!(written.contains(&Some("old")) && written.contains(&Some("new")), "{written:?}");
    let resumed = harness.logs().matches("event=stream-resumed").count();
    assert!(resumed >= 16, "{resumed}\n{}", harness.logs());
    standin.publish(RolloutPhase::RolledBack);
    harness.wait_for_log("phase=RolledBack");
    for (id, first) in &begun {
        let extra = format!("Resumes: {id}\r\nLast-Event-Id: 3\r\n");
        let (_, again) = ask(format!("on-{id}"), extra).join().unwrap();
        match version(first) {
            Some("new") => {
                assert_eq!(again.status, 503, "{again:?}");
                assert!(again.body.contains("stream-software-gone"), "{again:?}");
            }
            _ => assert_eq!(version(&again), Some("old"), "{again:?}"),
        }
    }
}

// A control instance that has no rollouts, or says nothing of them, kept an entry from serving.
#[rstest]
#[case::answering(251, Mood::Answering)]
#[case::older_build(252, Mood::Refusing)]
#[case::silent(253, Mood::Silent)]
fn entry_serves_without_rollouts(#[case] net: u8, #[case] mood: Mood) {
    let begun = Instant::now();
    let (harness, standin) = start(net, mood);
    assert!(begun.elapsed() < START_TIME, "{:?}", begun.elapsed());
    call_all(&harness, "without", 100);
    assert!(harness.request_count(OLD) > 20 && harness.request_count(NEW) > 20);
    let (queries, reports) = standin.with(|script| (script.queries, script.reports.len()));
    assert_eq!(reports, 0);
    // One query for the published state, and none for each request or poll.
    if mood == Mood::Answering {
        assert_eq!(queries, 1);
    }
}

// An entry that had started anew sent requests to the new version before it was told of the rollout.
#[test]
fn restarted_entry_asks_first() {
    let (mut harness, standin) = start_trial(254, 1_000, 0);
    let before = harness.request_count(NEW);
    let process = standin.last_report().unwrap().process;
    harness.kill(1);
    harness.spawn(1);
    harness.call_until(200, "/lots/warm", &fields("again"));
    call_all(&harness, "restarted", 50);
    assert_eq!(harness.request_count(NEW), before, "{}", harness.logs());
    wait_for_report(&harness, &standin, |r| r.process != process && r.arrivals >= 50);
}
