//! Submissions of the environment document: races, retries and versions.

mod state_common;

use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::state::command::AcceptedSubmission;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Submit;
use hawthornkeel_core::state::command::SubmitOutcome;
use hawthornkeel_core::state::history::MAX_OPERATIONS;
use state_common::Driver;

fn submit(
    driver: &mut Driver,
    operator: &str,
    number: u64,
    expected: u64,
    text: &str,
) -> SubmitOutcome {
    let command = Command::Submit(Submit {
        operator: OperatorName::new(operator),
        operation: OperationNumber(number),
        expected: Version(expected),
        text: text.into(),
        hash: format!("hash of {text}").into(),
    });
    match driver.apply(command) {
        Outcome::Submit(outcome) => outcome,
        other => panic!("unexpected outcome of a submission: {other:?}"),
    }
}

fn accepted(version: u64) -> SubmitOutcome {
    SubmitOutcome::Accepted(Version(version))
}

fn conflict_with(operator: &str, number: u64, version: u64, text: &str) -> SubmitOutcome {
    SubmitOutcome::Conflict(AcceptedSubmission {
        operator: OperatorName::new(operator),
        operation: OperationNumber(number),
        version: Version(version),
        hash: format!("hash of {text}").into(),
    })
}

#[test]
fn reused_number_conflicts() {
    let mut driver = Driver::default();
    assert_eq!(submit(&mut driver, "mori", 1, 0, "a"), accepted(1));
    assert_eq!(submit(&mut driver, "ueda", 1, 0, "b"), conflict_with("mori", 1, 1, "a"));
    assert_eq!(submit(&mut driver, "ueda", 1, 1, "b"), conflict_with("mori", 1, 1, "a"));
    assert_eq!(submit(&mut driver, "mori", 1, 1, "c"), conflict_with("mori", 1, 1, "a"));
    assert_eq!(&*driver.state.published().text, "a");
}

#[test]
fn replaced_version_conflicts() {
    let mut driver = Driver::default();
    assert_eq!(submit(&mut driver, "mori", 1, 0, "a"), accepted(1));
    assert_eq!(submit(&mut driver, "mori", 2, 1, "b"), accepted(2));
    assert_eq!(submit(&mut driver, "ueda", 3, 1, "c"), conflict_with("mori", 2, 2, "b"));
    assert_eq!(&*driver.state.published().text, "b");
}

#[test]
fn retry_gets_first_outcome() {
    let mut driver = Driver::default();
    submit(&mut driver, "mori", 1, 0, "a");
    submit(&mut driver, "ueda", 2, 1, "b");
    driver.restore();
    assert_eq!(submit(&mut driver, "mori", 1, 0, "a"), accepted(1));
    let published = driver.state.published();
    assert_eq!((published.version, &*published.text), (Version(2), "b"));
    assert_eq!(published.index.0, 2, "a retry changes nothing");
}

#[test]
fn delayed_duplicate_stays_rejected() {
    let mut driver = Driver::default();
    submit(&mut driver, "mori", 1, 0, "a");
    assert_eq!(submit(&mut driver, "ueda", 2, 2, "early"), conflict_with("mori", 1, 1, "a"));
    submit(&mut driver, "mori", 3, 1, "b");
    assert_eq!(submit(&mut driver, "ueda", 2, 2, "early"), conflict_with("mori", 1, 1, "a"));
    assert_eq!(&*driver.state.published().text, "b");
}

#[test]
fn history_is_bounded() {
    let mut driver = Driver::default();
    // Numbers from three times the limit on are all encoded in the same number of bytes.
    let total = MAX_OPERATIONS as u64 * 3;
    for number in 0..total {
        assert_eq!(submit(&mut driver, "mori", number, number, "a"), accepted(number + 1));
    }
    let size = state_common::snapshot(&driver.state).len();
    for number in total..total + 100 {
        assert_eq!(submit(&mut driver, "mori", number, number, "a"), accepted(number + 1));
    }
    assert_eq!(state_common::snapshot(&driver.state).len(), size);
    let evicted = submit(&mut driver, "mori", 0, 0, "a");
    assert_eq!(evicted, conflict_with("mori", total + 99, total + 100, "a"));
}
