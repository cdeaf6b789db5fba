//! Data centres that are cut off from each other silently, between real processes.

mod fleet;

use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use fleet::DOCUMENT;
use fleet::Fleet;
use fleet::KEY;
use fleet::TEST_TIMEOUT;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::ANSWERED;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::load_generator::LoadResult;
use hawthornkeel_fakes::thread::block_on;
use hawthornkeel_fakes::thread::eventually;

/// Requests at each entry, spread over some seconds.
const COUNT: u64 = 80;
/// Requests a second at each entry.
const RATE: f64 = 20.0;
/// Time within which a refusal without a quorum comes; a claim is waited for longer.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Time within which an accepted document is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);
/// Time within which a data centre that was taken out gets no new work.
const OUT_OF_SERVICE: Duration = Duration::from_secs(3);
/// Data centre that is cut off.
const APART: &str = "dc-2";
/// Instance of the data centre that is cut off, without the control role.
const LONE: usize = 5;

fn start() -> Fleet {
    let mut fleet = Fleet::prepare_with_network(6, 3);
    fleet.start_all();
    fleet.warm_up();
    fleet
}

/// Starts callers at every entry, with requests that may be repeated.
fn callers(fleet: &Fleet, round: u64) -> Vec<JoinHandle<LoadResult>> {
    let load = |at: usize| LoadProfile {
        address: fleet.instances[at].listen,
        path: "/v1/pipelines/draft".to_owned(),
        fields: format!("authorization: Bearer {KEY}\r\n"),
        rate: RATE,
        count: COUNT,
        first_number: (round * 100 + at as u64) * 1_000,
        ..LoadProfile::default()
    };
    let start =
        |load: LoadProfile| thread::spawn(|| block_on(load_generator::run(load)).unwrap().unwrap());
    (0..fleet.instances.len()).map(load).map(start).collect()
}

/// Waits for callers, each of whose requests must have got its own answer.
fn all_answered(fleet: &Fleet, callers: Vec<JoinHandle<LoadResult>>) {
    for (at, caller) in callers.into_iter().enumerate() {
        let seen = caller.join().unwrap();
        let answered = seen.count(ANSWERED);
        assert_eq!(answered, COUNT, "at {at}: {:?}\n{}", seen.outcomes, fleet.log(at));
    }
}

fn sign(fleet: &Fleet, at: usize, key: &str) -> fleet::HttpResponse {
    fleet.call(at, "release", key, "{\"lot\":1}").unwrap()
}

fn refused_not_run(answer: &fleet::HttpResponse) -> bool {
    answer.field("code") == "no-quorum" && answer.field("ran") == "not-run"
}

/// Sends signatures until one is refused for want of a quorum; returns the keys told not run.
fn sign_until_refused(fleet: &Fleet, at: usize) -> Vec<String> {
    let mut told = Vec::new();
    let refused = eventually(TEST_TIMEOUT, || {
        let key = format!("apart-{at}-{}", told.len());
        let answer = sign(fleet, at, &key);
        assert_ne!(answer.status, 200, "signed without a quorum");
        let not_run = answer.field("ran") == "not-run";
        told.extend(not_run.then_some(key));
        refused_not_run(&answer)
    });
    assert!(refused, "{}", fleet.log(at));
    told
}

#[test]
fn cut_off_centre_serves_what_it_can() {
    let fleet = start();
    let load = callers(&fleet, 1);
    let before = fleet.runs_in(APART);
    assert!(eventually(TEST_TIMEOUT, || fleet.runs_in(APART) > before));
    fleet.network().set_partitioned(APART, true);
    all_answered(&fleet, load);

    // Signatures on the cut-off side are refused, at once from then on, and none ran.
    let mut told = sign_until_refused(&fleet, LONE);
    let asked = Instant::now();
    let refused = sign(&fleet, LONE, "refused");
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    assert!(refused_not_run(&refused), "{refused:?}");
    assert!(refused.fields.contains("retry-after: "), "{refused:?}");
    told.push("refused".to_owned());
    let signed = sign(&fleet, 4, "together");
    assert_eq!(signed.status, 200, "{signed:?}");

    // Both sides go on with their own targets, also after the loss is known.
    let load = callers(&fleet, 2);
    fleet.submit(4, 2, 1, DOCUMENT);
    all_answered(&fleet, load);
    assert_eq!(fleet.version_at(LONE), Some(1));
    let leader = fleet.known_leader(0);
    let term = fleet.term_at(leader);

    // On return it catches up, without serving a lower version or disturbing the term.
    let load = callers(&fleet, 3);
    fleet.network().set_partitioned(APART, false);
    let healed = Instant::now();
    for at in [2, LONE] {
        let mut served = 1;
        let caught_up = eventually(TEST_TIMEOUT, || {
            let version = fleet.version_at(at).unwrap_or(served);
            assert!(version >= served, "{version} after {served}");
            served = version;
            served == 2
        });
        assert!(caught_up, "{}", fleet.log(at));
    }
    assert!(healed.elapsed() < IN_FORCE, "{:?}", healed.elapsed());
    all_answered(&fleet, load);
    let signed = || sign(&fleet, LONE, "back").status == 200;
    assert!(eventually(TEST_TIMEOUT, signed), "{}", fleet.log(LONE));
    assert_eq!(fleet.term_at(leader), term, "the term was disturbed");
    assert_eq!(fleet.known_leader(0), leader);
    for key in told {
        assert_eq!(fleet.runs("registry", &key), 0, "{key} was told not run");
    }
    for key in ["together", "back"] {
        assert_eq!(fleet.runs("registry", key), 1, "{key}");
    }
}

#[test]
fn isolated_leader_acknowledges_nothing() {
    let fleet = start();
    let leader = fleet.leader();
    let other = (leader + 1) % 3;
    let first = sign(&fleet, other, "first");
    assert!(first.result().is_some(), "{first:?}");
    fleet.network().set_isolated(&fleet.instances[leader].name, true);

    // Neither a document nor a signature is accepted by the old leader.
    let lost = fleet.try_submit(leader, "lone", 7, 1, DOCUMENT);
    assert!(lost.as_ref().is_none_or(|l| !l.body.contains("\"accepted\"")), "{lost:?}");
    let told = sign_until_refused(&fleet, leader);

    // The others go on, and resends at any of them get the first outcome.
    fleet.submit(other, 2, 1, DOCUMENT);
    let resent = sign(&fleet, other + 3, "first");
    assert_eq!(resent.result(), first.result(), "{resent:?}");
    let draft = fleet.call(leader, "draft", "", "{\"text\":\"lot\"}").unwrap();
    assert_eq!(draft.status, 200, "{draft:?}\n{}", fleet.log(leader));
    let next = fleet.known_leader(other);
    assert_ne!(next, leader);
    let term = fleet.term_at(next);

    fleet.network().set_isolated(&fleet.instances[leader].name, false);
    let caught_up = || fleet.version_at(leader) == Some(2);
    assert!(eventually(TEST_TIMEOUT, caught_up), "{}", fleet.log(leader));
    // It may take a moment to find the new leader; no resend gets another outcome than the first.
    fleet.submit(leader, 2, 1, DOCUMENT);
    let mut resent = first.clone();
    let replayed = eventually(TEST_TIMEOUT, || {
        resent = sign(&fleet, leader, "first");
        resent.status == 200
    });
    assert!(replayed, "{}", fleet.log(leader));
    assert_eq!(resent.result(), first.result(), "{resent:?}");
    assert_eq!(fleet.term_at(next), term, "the term was disturbed");
    assert_eq!(fleet.runs("registry", "first"), 1);
    for key in told {
        assert_eq!(fleet.runs("registry", &key), 0, "{key} was told not run");
    }
}

#[test]
fn muted_leader_is_replaced() {
    let fleet = start();
    let leader = fleet.leader();
    let other = (leader + 1) % 3;
    // It still hears the others, which no longer hear it.
    fleet.network().set_outbound_blocked(&fleet.instances[leader].name, true);
    fleet.submit(other, 2, 1, DOCUMENT);
    assert_ne!(fleet.known_leader(other), leader);
    let told = sign_until_refused(&fleet, leader);
    let draft = fleet.call(leader, "draft", "", "{\"text\":\"lot\"}").unwrap();
    assert_eq!(draft.status, 200, "{draft:?}\n{}", fleet.log(leader));
    fleet.network().set_outbound_blocked(&fleet.instances[leader].name, false);
    let caught_up = || fleet.version_at(leader) == Some(2);
    assert!(eventually(TEST_TIMEOUT, caught_up), "{}", fleet.log(leader));
    for key in told {
        assert_eq!(fleet.runs("registry", &key), 0, "{key} was told not run");
    }
}

/// Takes the cut-off data centre out at `ordered`, whose side consists of `heard`.
fn take_out_apart(ordered: usize, heard: &[usize]) {
    let fleet = start();
    fleet.network().set_partitioned(APART, true);
    let out = fleet.send_order(ordered, "take-out", 5, APART).unwrap();
    assert_eq!(out.status, 200, "{out:?}");
    thread::sleep(OUT_OF_SERVICE);
    let before = fleet.runs_in(APART);
    for at in heard {
        let _ = fleet.call(*at, "draft", "", "{\"text\":\"lot\"}");
    }
    assert_eq!(fleet.runs_in(APART), before, "new work where the order was heard");
    // After the cut it holds everywhere.
    fleet.network().set_partitioned(APART, false);
    let held = || {
        let before = fleet.runs_in(APART);
        (0..6).for_each(|at| drop(fleet.call(at, "draft", "", "{\"text\":\"lot\"}")));
        fleet.runs_in(APART) == before
    };
    assert!(eventually(TEST_TIMEOUT, held), "{}", fleet.log(LONE));
}

#[test]
fn take_out_is_heard_in_the_cut_off_centre() {
    take_out_apart(LONE, &[2, LONE]);
}

#[test]
fn take_out_is_heard_by_the_others() {
    take_out_apart(3, &[0, 1, 3, 4]);
}
