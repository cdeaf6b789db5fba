//! Rollouts from an operator's order to their end, by control instances and entries that are processes.

mod forward_harness;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use rustix::process::Signal;

use crate::forward_harness::Harness;
use crate::forward_harness::TARGETS;
use crate::forward_harness::document::document;
use crate::forward_harness::operators::call;
use crate::forward_harness::requests::fields;
use crate::forward_harness::targets::FakeTargets;
use crate::forward_harness::waits::CONTROLS;
use crate::forward_harness::waits::eventually;
use crate::forward_harness::waits::leader;

/// Target of the old version and of the new one.
const OLD: &str = TARGETS[0];
const NEW: &str = TARGETS[1];
/// Time from the order by which a rollout must have ended.
const DURATION: Duration = Duration::from_secs(8);
/// Delay after which operators may learn of the end, as a leader may have to be elected.
const READ_SLACK: Duration = Duration::from_secs(3);
/// Bound on the requests to a bad version: share of all, and a number in addition.
const EXPOSURE: (f64, f64) = (0.1, 50.0);
/// Number of callers at each entry.
const CALLERS: usize = 3;

/// When the new version fails its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Never,
    FromStart,
    Later(Duration),
}

/// Starts three control instances and two entries with a target of each version.
fn start(net: u8) -> (Harness, FakeTargets) {
    let fakes = FakeTargets::default();
    for (at, version) in ["v1", "v2"].into_iter().enumerate() {
        fakes.lock().unwrap()[at].writer.version = Some(version);
    }
    let harness = Harness::with_fakes(net, 3, fakes.clone());
    assert_eq!(harness.replace_document(&document(1, "/lots/")), 200);
    harness.call_until(200, "/lots/warm", &fields("warm"));
    (harness, fakes)
}

/// Lets the target of the new version fail what it gets, or not.
fn set_failing(fakes: &FakeTargets, failing: bool) {
    let new = &mut fakes.lock().unwrap()[1];
    (new.refusing, new.may_have_run) = (failing, failing);
}

fn order(harness: &Harness) {
    let body = format!(r#"{{"service":"ledger","to":"v2","duration_s":{}}}"#, DURATION.as_secs());
    let length = body.len();
    let request = format!(
        "POST /Rollouts.Begin HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    eventually(harness, "no acknowledgement", || {
        let acknowledges =
            |at: &usize| call(harness.operators(*at), &request).is_some_and(|r| r.status == 200);
        (0..CONTROLS).find(acknowledges)
    });
}

/// Returns the state of the rollout, from the first instance that is certain.
fn state(harness: &Harness) -> Option<String> {
    let request =
        "GET /Rollouts.Read/ledger HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n";
    let states = (0..CONTROLS).filter_map(|at| call(harness.operators(at), request));
    states.filter(|r| r.status == 200).map(|r| r.body).next()
}

/// Sends requests until `end`; returns how many had an answer, and the others.
fn load(harness: &Harness, entry: usize, caller: usize, end: Instant) -> (usize, Vec<String>) {
    let client = harness.client();
    let (mut answered, mut others) = (0, Vec::new());
    while Instant::now() < end {
        let id = fields(&format!("load-{entry}-{caller}-{answered}-{}", others.len()));
        match client.try_call(entry, "GET", "/lots/wait-5/1", &id) {
            Some(response) if response.status == 200 => answered += 1,
            response => others.push(format!("{response:?}")),
        }
    }
    (answered, others)
}

// A good version was rolled back or not completed, a bad one was completed or got more than its bound,
// or a request was lost through the move; also with a leader that is lost halfway.
#[rstest]
#[case::good(251, Fault::Never, None)]
#[case::bad(252, Fault::FromStart, None)]
#[case::bad_late(253, Fault::Later(Duration::from_secs(4)), None)]
#[case::good_without_leader(254, Fault::Never, Some(Duration::from_secs(2)))]
#[case::bad_without_leader(250, Fault::Later(Duration::from_secs(3)), Some(Duration::from_secs(3)))]
fn ends_as_the_version_deserves(
    #[case] net: u8,
    #[case] fault: Fault,
    #[case] leader_lost: Option<Duration>,
) {
    let (harness, fakes) = start(net);
    let first = leader(&harness);
    set_failing(&fakes, fault == Fault::FromStart);
    order(&harness);
    let began = Instant::now();
    let before = (harness.request_count(OLD), harness.request_count(NEW));
    let end = began + DURATION + READ_SLACK;
    let (others, final_state, last_new) = thread::scope(|scope| {
        let callers: Vec<_> = (0..2 * CALLERS)
            .map(|at| {
                let harness = &harness;
                scope.spawn(move || load(harness, at % 2, at / 2, end))
            })
            .collect();
        let mut events: Vec<(Duration, bool)> =
            leader_lost.map(|at| (at, true)).into_iter().collect();
        if let Fault::Later(at) = fault {
            events.push((at, false));
        }
        for (at, kills) in events {
            thread::sleep((began + at).saturating_duration_since(Instant::now()));
            match kills {
                true => harness.signal(first, Signal::KILL),
                false => set_failing(&fakes, true),
            }
        }
        let ended = eventually(&harness, "the rollout does not end", || {
            state(&harness).filter(|s| !s.contains("running"))
        });
        assert!(began.elapsed() <= DURATION + READ_SLACK, "{:?}", began.elapsed());
        thread::sleep(Duration::from_secs(1));
        let (old, new) = (harness.request_count(OLD), harness.request_count(NEW));
        let counts = callers.into_iter().map(|c| c.join().unwrap());
        let others: Vec<String> = counts.flat_map(|(_, others)| others).collect();
        (others, ended, (old, new))
    });
    let total = (harness.request_count(OLD), harness.request_count(NEW));
    match fault {
        Fault::Never => {
            assert!(others.is_empty(), "{others:?}\n{}", harness.logs());
            assert!(final_state.contains("completed"), "{final_state}\n{}", harness.logs());
            assert_eq!(total.0, last_new.0, "old targets got work after the end");
        }
        Fault::FromStart | Fault::Later(_) => {
            assert!(final_state.contains("rolled_back"), "{final_state}\n{}", harness.logs());
            assert_eq!(total.1, last_new.1, "the bad version got work after the end");
            let (new, all) = (total.1 - before.1, total.0 + total.1 - before.0 - before.1);
            let bound = EXPOSURE.0 * all as f64 + EXPOSURE.1;
            assert!(new as f64 <= bound, "{new} of {all}");
            // Callers get a failure of the bad version itself where the retry budget is used up.
            let is_own = |r: &String| r.contains("status: 503") && r.contains("body: \"full\"");
            assert!(others.iter().all(is_own), "{others:?}\n{}", harness.logs());
            assert!(others.len() <= new, "{} others, {new} of the bad version", others.len());
        }
    }
}
