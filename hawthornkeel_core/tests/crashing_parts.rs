//! Parts of prompts that end targets: what is rejected, what is not, and how it ends.

mod crash_simulation;

use hawthornkeel_core::fleet::ProcessId;
use hawthornkeel_core::quarantine::board::Board;
use hawthornkeel_core::quarantine::board::SETTLE_TIME;
use hawthornkeel_core::quarantine::evidence::Ending;
use hawthornkeel_core::quarantine::evidence::Evidence;
use hawthornkeel_core::quarantine::evidence::SoundRuns;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_core::quarantine::record::Suspicion;
use hawthornkeel_core::time::Instant;
use rstest::rstest;

use crate::crash_simulation::CRASHING_PART;
use crate::crash_simulation::Plan;
use crate::crash_simulation::Simulation;

/// Duration of a simulation in milliseconds.
const PLAYED_MS: u64 = 60_000;
/// Time after the fifth crash from which on requests count, in milliseconds.
const CONTACT_WINDOW_MS: u64 = 3_000;
/// Number of requests with a crashing part that may reach targets from then on.
const MAX_LATE_REQUESTS: usize = 3;

/// Time at which [`rejecting`] rejects, in milliseconds: the third end and the time to settle it.
const REJECTED_MS: u64 = 2_150;

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// Returns the number of requests with the crashing part that were sent too late.
fn late_requests(simulation: &Simulation) -> usize {
    let Some(fifth) = simulation.outcome.crashes.get(4) else { return 0 };
    let sent = simulation.outcome.crashing_sent.iter();
    sent.filter(|s| **s > fifth + CONTACT_WINDOW_MS).count()
}

// Where all engines were down at once, nothing was left to end after the part was suspected.
#[rstest]
fn crashing_part_is_rejected(#[values(0.5, 2.0, 6.0)] crashing_rate: f64) {
    for seed in 0..60 {
        let simulation =
            Simulation::play(Plan { seed, crashing_rate, ..Plan::default() }, PLAYED_MS);
        let outcome = &simulation.outcome;
        assert!(outcome.crashes.len() >= 3, "seed {seed}: {outcome:?}");
        assert!(late_requests(&simulation) <= MAX_LATE_REQUESTS, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_rejected, 0, "seed {seed}: {outcome:?}");
        assert_eq!(simulation.rejected(), [CRASHING_PART], "seed {seed}");
    }
}

#[rstest]
fn random_crashes_reject_nothing(#[values(4.0, 40.0)] sound_rate: f64) {
    for seed in 0..20 {
        let plan = Plan { seed, sound_rate, crash_chance: 0.1, ..Plan::default() };
        let simulation = Simulation::play(plan, PLAYED_MS);
        let outcome = &simulation.outcome;
        assert!(outcome.other_crashes > 10, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_rejected, 0, "seed {seed}: {outcome:?}");
        assert!(simulation.rejected().is_empty(), "seed {seed}: {:?}", simulation.rejected());
    }
}

#[test]
fn both_at_once_are_told_apart() {
    for seed in 0..20 {
        let plan = Plan { seed, crashing_rate: 2.0, crash_chance: 0.05, ..Plan::default() };
        let simulation = Simulation::play(plan, PLAYED_MS);
        let outcome = &simulation.outcome;
        assert!(late_requests(&simulation) <= MAX_LATE_REQUESTS, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_rejected, 0, "seed {seed}: {outcome:?}");
        assert_eq!(simulation.rejected(), [CRASHING_PART], "seed {seed}");
    }
}

#[rstest]
fn end_of_all_targets_rejects_nothing(#[values(300, 1_000, 30_000)] all_end: u64) {
    for seed in 0..20 {
        let plan = Plan { seed, all_end: Some(all_end), ..Plan::default() };
        let simulation = Simulation::play(plan, PLAYED_MS);
        assert_eq!(simulation.outcome.sound_rejected, 0, "seed {seed}");
        assert!(simulation.rejected().is_empty(), "seed {seed}: {:?}", simulation.rejected());
    }
}

/// Number of ends under a work after which it is to be known, and repeats of it that may reach engines
/// later than the contact window from then on, as the users' rule has it.
const KNOWN_ENDS: usize = 3;
const MAX_LATE_REPEATS: usize = 3;

/// Returns the number of repeats of the crashing work that were sent too late by entries in touch.
fn late_repeats(simulation: &Simulation) -> usize {
    let Some(third) = simulation.outcome.work_crashes.get(KNOWN_ENDS - 1) else { return 0 };
    let sent = simulation.outcome.work_sent.iter();
    sent.filter(|s| **s > third + CONTACT_WINDOW_MS).count()
}

// The same request ended engine after engine, and took the sound ones of its session with it.
#[rstest]
fn crashing_work_is_rejected(
    #[values(0.1, 1.0, 8.0)] work_rate: f64,
    #[values(0.0, 0.05)] crash_chance: f64,
) {
    for seed in 0..20 {
        let plan = Plan { seed, work_rate, crash_chance, ..Plan::default() };
        let simulation = Simulation::play(plan, 2 * PLAYED_MS);
        let outcome = &simulation.outcome;
        assert!(!outcome.work_crashes.is_empty(), "seed {seed}: {outcome:?}");
        assert!(late_repeats(&simulation) <= MAX_LATE_REPEATS, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_rejected, 0, "seed {seed}: {outcome:?}");
    }
}

// Entries that have just started, were cut off or did not hear of it sent the request on.
#[test]
fn crashing_work_is_rejected_by_changing_entries() {
    for seed in 0..40 {
        let plan = Plan {
            seed,
            work_rate: 4.0,
            restart_chance: 0.05,
            cut_chance: 0.02,
            loss: 0.1,
            ..Plan::default()
        };
        let simulation = Simulation::play(plan, 2 * PLAYED_MS);
        let outcome = &simulation.outcome;
        assert!(late_repeats(&simulation) <= MAX_LATE_REPEATS, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_rejected, 0, "seed {seed}: {outcome:?}");
    }
}

/// Records evidence and judges it.
fn judge(board: &mut Board, millis: u64, evidence: &Evidence) {
    board.record(at(millis), evidence);
    board.settle(at(millis) + SETTLE_TIME);
}

fn runs(subject: Subject) -> SoundRuns {
    SoundRuns { subject, thousandths: 0, age_ms: None }
}

/// Returns the report of an entry that has seen 100 sound runs, without evidence about a part.
fn evidence() -> Evidence {
    Evidence {
        reporter: "e".into(),
        endings: Vec::new(),
        sound: Vec::new(),
        all_thousandths: 100_000,
        relayed: false,
    }
}

/// Returns evidence that a process ended under one request with some parts.
fn ending(process: u64, parts: &[Subject]) -> Evidence {
    let subjects = parts.iter().map(|p| runs(*p)).collect();
    let process = ProcessId(process);
    let ending = Ending { process, request: process.0 as u32, begun: true, subjects, age_ms: 0 };
    Evidence { endings: vec![ending], ..evidence() }
}

/// Returns evidence of a sound run.
fn sound(subject: Subject, runs: u32) -> Evidence {
    let sound = SoundRuns { subject, thousandths: runs * 1_000, age_ms: Some(0) };
    Evidence { sound: vec![sound], ..evidence() }
}

/// Returns a board on which the parts were rejected at [`REJECTED_MS`].
fn rejecting(parts: &[Subject]) -> Board {
    let mut board = Board::default();
    for n in 0..3 {
        judge(&mut board, n * 1_000, &ending(n, parts));
    }
    assert_eq!(board.suspicion(parts), Suspicion::Rejected);
    board
}

#[test]
fn evidence_of_five_entries_adds_up() {
    let mut board = Board::default();
    for n in 0..5 {
        let mut evidence = ending(n, &[Subject::Part(7)]);
        evidence.reporter = format!("e{n}").as_str().into();
        judge(&mut board, n * 700, &evidence);
    }
    assert_eq!(board.suspicion(&[Subject::Part(7)]), Suspicion::Rejected);
}

#[test]
fn one_process_counts_once() {
    let mut board = Board::default();
    for n in 0..20 {
        let mut evidence = ending(1, &[Subject::Part(7)]);
        evidence.endings[0].request = n as u32;
        judge(&mut board, n * 1_000, &evidence);
    }
    assert_eq!(board.suspicion(&[Subject::Part(7)]), Suspicion::Clear);
}

#[test]
fn many_requests_at_once_blame_none() {
    let mut board = Board::default();
    for n in 0..8 {
        for request in 0..8 {
            let mut evidence = ending(n, &[Subject::Part(request)]);
            evidence.endings[0].request = request as u32;
            board.record(at(n * 1_000 + request), &evidence);
        }
        board.settle(at(n * 1_000) + SETTLE_TIME * 2);
    }
    assert_eq!(board.suspects().count(), 0);
}

// Where half of all runs ended with their targets, three ends in a row blamed a sound part.
#[test]
fn frequent_ends_take_more_evidence() {
    let mut board = Board::default();
    for n in 0..24 {
        let part = Subject::Part(if n % 6 == 0 { 7 } else { 1_000 + n });
        let evidence = Evidence { all_thousandths: 20_000, ..ending(n, &[part]) };
        judge(&mut board, n * 300, &evidence);
    }
    assert_eq!(board.suspects().count(), 0);
}

#[test]
fn one_probe_for_all() {
    let mut board = rejecting(&[Subject::Part(7)]);
    assert!(!board.lend_probe(at(REJECTED_MS + 19_999), Subject::Part(7)));
    assert!(board.lend_probe(at(REJECTED_MS + 20_000), Subject::Part(7)));
    assert!(!board.lend_probe(at(REJECTED_MS + 20_001), Subject::Part(7)));
    // The next ones are due after eight times the time each.
    assert!(!board.lend_probe(at(REJECTED_MS + 179_999), Subject::Part(7)));
    assert!(board.lend_probe(at(REJECTED_MS + 180_000), Subject::Part(7)));
    assert!(!board.lend_probe(at(REJECTED_MS + 1_459_999), Subject::Part(7)));
    assert!(board.lend_probe(at(REJECTED_MS + 1_460_000), Subject::Part(7)));
}

// Probes alone sent four more requests to targets within five minutes.
#[test]
fn probes_stay_rare() {
    let mut board = rejecting(&[Subject::Part(7)]);
    let lent = (0..3_600).filter(|s| board.lend_probe(at(s * 1_000), Subject::Part(7))).count();
    assert!(lent <= MAX_LATE_REPEATS, "{lent} probes in an hour");
}

#[test]
fn sound_probe_ends_the_rejection() {
    let mut board = rejecting(&[Subject::Part(7)]);
    assert!(board.lend_probe(at(REJECTED_MS + 20_000), Subject::Part(7)));
    let changes = board.record(at(23_000), &sound(Subject::Part(7), 1));
    assert_eq!(changes.len(), 1);
    assert_eq!(board.suspicion(&[Subject::Part(7)]), Suspicion::Clear);
    // What ended before no longer counts.
    judge(&mut board, 24_000, &ending(9, &[Subject::Part(7)]));
    assert_eq!(board.suspicion(&[Subject::Part(7)]), Suspicion::Clear);
}

#[test]
fn companion_runs_without_the_part() {
    let (part, companion) = (Subject::Part(7), Subject::Part(8));
    let mut board = rejecting(&[part, companion]);
    assert_eq!(board.suspicion(&[companion]), Suspicion::Suspected);
    board.record(at(4_000), &sound(companion, 1));
    assert_eq!(board.suspicion(&[companion]), Suspicion::Clear);
    assert_eq!(board.suspicion(&[part, companion]), Suspicion::Rejected);
    assert_eq!(board.suspicion(&[part]), Suspicion::Rejected);
}

#[test]
fn part_known_to_be_sound_needs_more() {
    let mut board = Board::default();
    board.record(at(0), &sound(Subject::Part(7), 3));
    for n in 1..=3 {
        judge(&mut board, n * 700, &ending(n, &[Subject::Part(7)]));
    }
    assert_eq!(board.suspicion(&[Subject::Part(7)]), Suspicion::Clear);
    for n in 4..=8 {
        judge(&mut board, n * 700, &ending(n, &[Subject::Part(7)]));
    }
    assert_eq!(board.suspicion(&[Subject::Part(7)]), Suspicion::Rejected);
}

#[test]
fn records_reach_an_empty_board() {
    let (board, mut other) = (rejecting(&[Subject::Part(7)]), Board::default());
    let records = board.records(at(2_500));
    assert_eq!(board.missing_in(at(2_500), &other.records(at(2_500))).len(), 1);
    other.merge(at(2_600), &records);
    assert_eq!(other.suspicion(&[Subject::Part(7)]), Suspicion::Rejected);
    assert_eq!(other.mark(), board.mark());
    assert!(board.missing_in(at(2_700), &other.records(at(2_700))).is_empty());
}

#[test]
fn exchanges_do_not_delay_a_probe() {
    let (mut one, mut other) = (rejecting(&[Subject::Part(7)]), Board::default());
    for n in 0..1_000 {
        let records = one.records(at(2_000 + n * 10));
        other.merge(at(2_005 + n * 10), &records);
        let records = other.records(at(2_005 + n * 10));
        one.merge(at(2_010 + n * 10), &records);
    }
    assert!(one.probe_at(Subject::Part(7)).is_some_and(|due| due <= at(REJECTED_MS + 20_250)));
    assert!(other.probe_at(Subject::Part(7)).is_some_and(|due| due <= at(REJECTED_MS + 20_250)));
}
