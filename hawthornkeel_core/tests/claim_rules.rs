//! Rules of claims: which attempt may run a non-idempotent stage, and what other attempts get.

mod state_common;

use bytes::Bytes;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::state::claims::CLAIM_WINDOW;
use hawthornkeel_core::state::claims::MAX_ANSWER;
use hawthornkeel_core::state::claims::MAX_ANSWERS;
use hawthornkeel_core::state::claims::MAX_CLAIMS;
use hawthornkeel_core::state::clock::MAX_STEP;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::ClaimKey;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::state::command::Claimant;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::SettleOutcome;
use hawthornkeel_core::state::command::Settlement;
use rstest::rstest;
use state_common::Driver;
use state_common::SETTLE_MS;
use state_common::claimant;
use state_common::done;

const YEAR_MS: u64 = 365 * 24 * 3600 * 1000;

/// Advances the clock by `millis` in steps of at most [`MAX_STEP`], so that all of it counts.
fn advance(driver: &mut Driver, millis: u64) {
    let step = u64::try_from(MAX_STEP.as_millis()).unwrap();
    let end = driver.now + millis;
    while driver.now < end {
        driver.now = end.min(driver.now + step);
        driver.settle("unrelated", &claimant(999, 0), Settlement::Unknown);
    }
}

#[test]
fn retried_claim_granted_to_same_attempt_only() {
    let mut driver = Driver::default();
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 0)), ClaimOutcome::Granted);
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 0)), ClaimOutcome::Granted);
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 1)), ClaimOutcome::Held(claimant(1, 0)));
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Held(claimant(1, 0)));
    let elsewhere = Claimant { instance: InstanceName::new("entry-2"), ..claimant(1, 0) };
    assert_eq!(driver.claim("lot-7", 1, &elsewhere), ClaimOutcome::Held(claimant(1, 0)));
}

#[test]
fn different_keys_do_not_collide() {
    let mut driver = Driver::default();
    // The last two would be hashed as equal bytes without the length prefix of the workspace.
    let keys = [
        ("ab", "c", 0),
        ("a", "bc", 0),
        ("a", "b", 0),
        ("a", "b", 1),
        ("ab", "x", 0),
        ("a", "\0x", 98),
    ];
    for (number, (workspace, key, stage)) in keys.into_iter().enumerate() {
        let key = ClaimKey {
            workspace: WorkspaceName::new(workspace),
            key: key.into(),
            stage: StageIndex(stage),
        };
        let claimant = claimant(number as u128, 0);
        let claim = Claim { key, digest: 1, claimant, settle_ms: SETTLE_MS };
        let outcome = driver.apply(Command::Claim(claim));
        assert_eq!(outcome, Outcome::Claim(ClaimOutcome::Granted), "{workspace} {stage}");
    }
}

#[test]
fn different_body_is_mismatch() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    assert_eq!(driver.claim("lot-7", 2, &claimant(2, 0)), ClaimOutcome::Mismatch);
    driver.settle("lot-7", &claimant(1, 0), done("signed"));
    assert_eq!(driver.claim("lot-7", 2, &claimant(2, 0)), ClaimOutcome::Mismatch);
}

#[test]
fn answer_is_replayed() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    let first = driver.settle("lot-7", &claimant(1, 0), done("signed"));
    assert_eq!(first, SettleOutcome::Recorded);
    let again = driver.settle("lot-7", &claimant(1, 0), done("signed"));
    assert_eq!(again, SettleOutcome::Recorded);
    let other = driver.settle("lot-7", &claimant(1, 0), done("not signed"));
    assert_eq!(other, SettleOutcome::Refused);
    let released = driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    assert_eq!(released, SettleOutcome::Refused);
    let replayed = ClaimOutcome::Done(Bytes::from_static(b"signed"));
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), replayed);
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 0)), replayed);
}

#[test]
fn released_key_can_be_reclaimed() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    assert_eq!(driver.claim("lot-7", 2, &claimant(2, 0)), ClaimOutcome::Granted);
    let late = driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    assert_eq!(late, SettleOutcome::Refused, "another attempt owns the claim now");
    assert_eq!(driver.claim("lot-7", 2, &claimant(3, 0)), ClaimOutcome::Held(claimant(2, 0)));
}

#[rstest]
#[case::claim_first(true)]
#[case::release_first(false)]
fn delayed_claim_after_release_not_granted(#[case] claimed: bool) {
    let mut driver = Driver::default();
    if claimed {
        driver.claim("lot-7", 1, &claimant(1, 0));
    }
    let released = driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    assert_eq!(released, SettleOutcome::Recorded);
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 0)), ClaimOutcome::Released);
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Granted);
}

#[test]
fn overdue_claim_stays_unknown() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.now += SETTLE_MS;
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Unknown);
    let released = driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    assert_eq!(released, SettleOutcome::Refused, "unknown has already been reported");
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 0)), ClaimOutcome::Unknown);
    driver.settle("lot-7", &claimant(1, 0), done("signed"));
    let replayed = ClaimOutcome::Done(Bytes::from_static(b"signed"));
    assert_eq!(driver.claim("lot-7", 1, &claimant(3, 0)), replayed);
}

#[test]
fn overdue_claim_can_be_released_before_next_claim() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.now += 5 * SETTLE_MS;
    let released = driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    assert_eq!(released, SettleOutcome::Recorded);
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Granted);
}

#[test]
fn only_claimant_settles() {
    let mut driver = Driver::default();
    assert_eq!(driver.settle("lot-7", &claimant(1, 0), done("signed")), SettleOutcome::Refused);
    driver.claim("lot-7", 1, &claimant(1, 0));
    for settlement in [Settlement::Released, Settlement::Unknown, done("signed")] {
        let outcome = driver.settle("lot-7", &claimant(1, 1), settlement);
        assert_eq!(outcome, SettleOutcome::Refused);
    }
    assert_eq!(driver.claim("lot-7", 1, &claimant(1, 0)), ClaimOutcome::Granted);
}

#[test]
fn clock_step_back_does_not_extend_claim() {
    let mut driver = Driver { now: 100_000, ..Driver::default() };
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.now = 10_000;
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Held(claimant(1, 0)));
    driver.now += SETTLE_MS;
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Unknown);
    driver.now = 0;
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::Unknown);
}

#[test]
fn clock_a_year_ahead_keeps_keys() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.settle("lot-7", &claimant(1, 0), done("signed"));
    driver.now += YEAR_MS;
    driver.claim("lot-8", 1, &claimant(2, 0));
    driver.now -= YEAR_MS;
    let replayed = ClaimOutcome::Done(Bytes::from_static(b"signed"));
    assert_eq!(driver.claim("lot-7", 1, &claimant(3, 0)), replayed);
    driver.now += SETTLE_MS;
    assert_eq!(
        driver.claim("lot-8", 1, &claimant(3, 0)),
        ClaimOutcome::Unknown,
        "the clock advances again"
    );
}

#[test]
fn keys_expire_after_their_window() {
    let window = u64::try_from(CLAIM_WINDOW.as_millis()).unwrap();
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.settle("lot-7", &claimant(1, 0), done("signed"));
    advance(&mut driver, window - 1);
    let replayed = ClaimOutcome::Done(Bytes::from_static(b"signed"));
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), replayed);
    advance(&mut driver, 1);
    assert!(driver.state.claims().is_empty());
    assert_eq!(driver.state.claims().answer_bytes(), 0);
}

#[test]
fn reclaimed_key_gets_a_full_window() {
    let window = u64::try_from(CLAIM_WINDOW.as_millis()).unwrap();
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    driver.settle("lot-7", &claimant(1, 0), Settlement::Released);
    advance(&mut driver, window - 1);
    driver.claim("lot-7", 1, &claimant(2, 0));
    driver.settle("lot-7", &claimant(2, 0), done("signed"));
    driver.restore();
    advance(&mut driver, window - 1);
    let replayed = ClaimOutcome::Done(Bytes::from_static(b"signed"));
    assert_eq!(driver.claim("lot-7", 1, &claimant(3, 0)), replayed);
    advance(&mut driver, window);
    assert!(driver.state.claims().is_empty());
}

#[test]
fn oldest_answers_are_dropped() {
    let mut driver = Driver::default();
    let answer = Bytes::from(vec![b'a'; MAX_ANSWER]);
    let room = MAX_ANSWERS / MAX_ANSWER;
    for number in 0..=room {
        let by = claimant(number as u128, 0);
        driver.claim(&format!("lot-{number}"), 1, &by);
        driver.settle(&format!("lot-{number}"), &by, Settlement::Done(answer.clone()));
        if number == room / 2 {
            driver.restore();
        }
    }
    assert_eq!(driver.state.claims().answer_bytes(), MAX_ANSWERS);
    assert_eq!(driver.claim("lot-0", 1, &claimant(9_999, 0)), ClaimOutcome::DoneDropped);
    assert_eq!(driver.claim("lot-1", 1, &claimant(9_999, 0)), ClaimOutcome::Done(answer));
    let again = driver.settle("lot-0", &claimant(0, 0), done("signed"));
    assert_eq!(again, SettleOutcome::Recorded, "only the fact that it ran is stored");
}

#[test]
fn restored_answers_keep_their_order() {
    let mut driver = Driver::default();
    let answer = Bytes::from(vec![b'a'; MAX_ANSWER]);
    let room = MAX_ANSWERS / MAX_ANSWER;
    for number in 0..=room {
        driver.claim(&format!("lot-{number}"), 1, &claimant(number as u128, 0));
    }
    for number in (0..room).rev() {
        let by = claimant(number as u128, 0);
        driver.settle(&format!("lot-{number}"), &by, Settlement::Done(answer.clone()));
    }
    driver.restore();
    let by = claimant(room as u128, 0);
    driver.settle(&format!("lot-{room}"), &by, Settlement::Done(answer.clone()));
    let first = format!("lot-{}", room - 1);
    assert_eq!(driver.claim(&first, 1, &claimant(9_999, 0)), ClaimOutcome::DoneDropped);
    assert_eq!(driver.claim("lot-0", 1, &claimant(9_999, 0)), ClaimOutcome::Done(answer));
}

#[test]
fn large_answer_is_not_stored() {
    let mut driver = Driver::default();
    driver.claim("lot-7", 1, &claimant(1, 0));
    let answer = Bytes::from(vec![b'a'; MAX_ANSWER + 1]);
    driver.settle("lot-7", &claimant(1, 0), Settlement::Done(answer));
    assert_eq!(driver.claim("lot-7", 1, &claimant(2, 0)), ClaimOutcome::DoneDropped);
    assert_eq!(driver.state.claims().answer_bytes(), 0);
}

#[test]
fn claims_beyond_limit_are_not_stored() {
    let mut driver = Driver::default();
    for number in 0..MAX_CLAIMS {
        driver.claim(&number.to_string(), 1, &claimant(number as u128, 0));
    }
    assert_eq!(driver.claim("one-more", 1, &claimant(1, 0)), ClaimOutcome::Full);
    assert_eq!(driver.state.claims().len(), MAX_CLAIMS);
    assert_eq!(driver.claim("7", 1, &claimant(7, 0)), ClaimOutcome::Granted);
}
