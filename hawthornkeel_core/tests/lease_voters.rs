//! Selection of the voters for a data centre's lease.

use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::voters::choose_voters;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::routing::router::EntryInfo;
use rstest::rstest;

/// Returns `count` entries in each of three data centres.
fn entries(count: usize) -> Vec<EntryInfo> {
    (0..count * 3)
        .map(|at| EntryInfo {
            id: MemberId { name: InstanceName::new(&format!("entry-{at}")), boot: 0 },
            centre: format!("dc-{}", at % 3).as_str().into(),
        })
        .collect()
}

/// Returns the number of voters in the data centre `dc-1`.
fn local_votes(voters: &[InstanceName], all: &[EntryInfo]) -> usize {
    let local =
        |v: &&InstanceName| all.iter().any(|e| e.id.name == **v && e.centre.as_str() == "dc-1");
    voters.iter().filter(local).count()
}

#[rstest]
#[case(2, 3)]
#[case(3, 3)]
#[case(4, 5)]
#[case(5, 5)]
#[case(40, 5)]
fn voter_count_is_odd(#[case] count: usize, #[case] expected: usize) {
    let all = entries(count);
    let voters = choose_voters(&"dc-1".into(), &all);
    assert_eq!(voters.len(), expected);
    let majority = voters.len() / 2 + 1;
    assert!(local_votes(&voters, &all) >= majority, "an isolated data centre has a quorum");
    let survivors = voters.len() - 1;
    assert!(survivors >= majority, "a quorum survives the loss of one instance");
}

#[test]
fn choice_is_deterministic() {
    let all = entries(2);
    let mut shuffled = all.clone();
    shuffled.reverse();
    assert_eq!(choose_voters(&"dc-1".into(), &all), choose_voters(&"dc-1".into(), &shuffled));
}

#[rstest]
#[case(1, 1)]
#[case(2, 1)]
#[case(3, 3)]
#[case(4, 3)]
#[case(8, 5)]
fn single_centre_count_is_odd(#[case] count: usize, #[case] expected: usize) {
    let mut all = entries(count);
    all.retain(|e| e.centre.as_str() == "dc-1");
    assert_eq!(choose_voters(&"dc-1".into(), &all).len(), expected);
}
