//! Submissions of the environment document: races, resends and versions.

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

fn submit(driver: &mut Driver, who: &str, number: u64, expected: u64, text: &str) -> SubmitOutcome {
    let command = Command::Submit(Submit {
        operator: OperatorName::new(who),
        operation: OperationNumber(number),
        expected: Version(expected),
        text: text.into(),
        hash: format!("hash of {text}").into(),
    });
    match driver.apply(command) {
        Outcome::Submit(outcome) => outcome,
        other => panic!("not a submission's outcome: {other:?}"),
    }
}

fn accepted(version: u64) -> SubmitOutcome {
    SubmitOutcome::Accepted(Version(version))
}

fn lost_to(who: &str, number: u64, version: u64, text: &str) -> SubmitOutcome {
    SubmitOutcome::Conflict(AcceptedSubmission {
        operator: OperatorName::new(who),
        operation: OperationNumber(number),
        version: Version(version),
        hash: format!("hash of {text}").into(),
    })
}

#[test]
fn equal_numbers_have_one_winner() {
    let mut driver = Driver::default();
    assert_eq!(submit(&mut driver, "mori", 1, 0, "a"), accepted(1));
    assert_eq!(submit(&mut driver, "ueda", 1, 0, "b"), lost_to("mori", 1, 1, "a"));
    assert_eq!(submit(&mut driver, "ueda", 1, 1, "b"), lost_to("mori", 1, 1, "a"));
    assert_eq!(submit(&mut driver, "mori", 1, 1, "c"), lost_to("mori", 1, 1, "a"));
    assert_eq!(&*driver.state.published().text, "a");
}

#[test]
fn equal_versions_have_one_winner() {
    let mut driver = Driver::default();
    assert_eq!(submit(&mut driver, "mori", 1, 0, "a"), accepted(1));
    assert_eq!(submit(&mut driver, "mori", 2, 1, "b"), accepted(2));
    assert_eq!(submit(&mut driver, "ueda", 3, 1, "c"), lost_to("mori", 2, 2, "b"));
    assert_eq!(&*driver.state.published().text, "b");
}

#[test]
fn resend_gets_first_outcome() {
    let mut driver = Driver::default();
    submit(&mut driver, "mori", 1, 0, "a");
    submit(&mut driver, "ueda", 2, 1, "b");
    driver.restore();
    assert_eq!(submit(&mut driver, "mori", 1, 0, "a"), accepted(1));
    let published = driver.state.published();
    assert_eq!((published.version, &*published.text), (Version(2), "b"));
    assert_eq!(published.index.0, 2, "a resend changes nothing");
}

#[test]
fn delayed_copy_of_loser_never_wins() {
    let mut driver = Driver::default();
    submit(&mut driver, "mori", 1, 0, "a");
    assert_eq!(submit(&mut driver, "ueda", 2, 2, "early"), lost_to("mori", 1, 1, "a"));
    submit(&mut driver, "mori", 3, 1, "b");
    assert_eq!(submit(&mut driver, "ueda", 2, 2, "early"), lost_to("mori", 1, 1, "a"));
    assert_eq!(&*driver.state.published().text, "b");
}

#[test]
fn history_is_bounded() {
    let mut driver = Driver::default();
    // From three times the bound on, every number is encoded in as many bytes.
    let total = MAX_OPERATIONS as u64 * 3;
    for number in 0..total {
        assert_eq!(submit(&mut driver, "mori", number, number, "a"), accepted(number + 1));
    }
    let size = state_common::snapshot(&driver.state).len();
    for number in total..total + 100 {
        assert_eq!(submit(&mut driver, "mori", number, number, "a"), accepted(number + 1));
    }
    assert_eq!(state_common::snapshot(&driver.state).len(), size);
    let forgotten = submit(&mut driver, "mori", 0, 0, "a");
    assert_eq!(forgotten, lost_to("mori", total + 99, total + 100, "a"));
}
