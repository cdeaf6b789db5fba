//! Documents with versions chosen by operators: the highest version is current.

use std::sync::Arc;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Replace;
use hawthornkeel_core::state::command::TimestampedCommand;
use hawthornkeel_core::time::WallTime;
use rstest::rstest;

fn replace(state: &mut State, index: u64, version: u64, text: &str) -> Outcome {
    let command = Command::Replace(Replace {
        version: Version(version),
        text: Arc::from(text),
        hash: Arc::from(format!("hash of {text}")),
    });
    state.apply(
        LogIndex(index),
        &TimestampedCommand { timestamp: WallTime::from_millis(index), command },
    )
}

#[rstest]
#[case::lower(4, "old")]
#[case::same(5, "other")]
#[case::duplicate(5, "five")]
fn not_higher_ignored(#[case] version: u64, #[case] text: &str) {
    let mut state = State::default();
    assert_eq!(replace(&mut state, 1, 5, "five"), Outcome::Replace(Version(5)));
    assert_eq!(replace(&mut state, 2, version, text), Outcome::Replace(Version(5)));
    let published = state.published();
    assert_eq!((&*published.text, published.index), ("five", LogIndex(1)));
}

#[test]
fn version_gaps() {
    let mut state = State::default();
    for (index, version) in [(1, 3), (2, 9), (3, 7), (4, 40)] {
        replace(&mut state, index, version, &version.to_string());
    }
    let published = state.published();
    assert_eq!((published.version, &*published.text), (Version(40), "40"));
    assert_eq!(published.index, LogIndex(4));
}
