//! Claims under random commands: at most one grant at a time, and equal state on all replicas.

mod state_common;

use bytes::Bytes;
use hawthornkeel_core::ids::OperationNumber;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::OperatorName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::state::command::CentreOrder;
use hawthornkeel_core::state::command::CentreState;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::SettleOutcome;
use hawthornkeel_core::state::command::Settlement;
use hawthornkeel_core::state::command::Submit;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use state_common::Driver;
use state_common::claim;
use state_common::claimant;
use state_common::settle;
use state_common::snapshot;

/// Maximum clock step in milliseconds; short enough that no key expires during a run.
const STEP_MS: u64 = 600;

fn settlement() -> impl Strategy<Value = Settlement> {
    prop_oneof![
        proptest::strategy::Just(Settlement::Released),
        proptest::strategy::Just(Settlement::Unknown),
        vec(any::<u8>(), 1..3).prop_map(|answer| Settlement::Done(Bytes::from(answer))),
    ]
}

fn claim_command() -> impl Strategy<Value = Command> {
    let parts = (0..2_u32, 0..3_u128, 0..2_u16);
    prop_oneof![
        parts.clone().prop_map(|(key, request, attempt)| claim(
            &key.to_string(),
            1,
            &claimant(request, attempt)
        )),
        (parts, settlement()).prop_map(|((key, request, attempt), settlement)| settle(
            &key.to_string(),
            &claimant(request, attempt),
            settlement
        )),
    ]
}

fn order_command() -> impl Strategy<Value = Command> {
    let submit =
        (0..3_u8, 0..6_u64, 0..4_u64, 0..3_u8).prop_map(|(operator, number, version, text)| {
            let text = text.to_string();
            Command::Submit(Submit {
                operator: OperatorName::new(&operator.to_string()),
                operation: OperationNumber(number),
                expected: Version(version),
                hash: text.as_str().into(),
                text: text.into(),
            })
        });
    let centre = (0..3_u8, 0..6_u64, any::<bool>()).prop_map(|(operator, number, taken_out)| {
        Command::Centre(CentreOrder {
            operator: OperatorName::new(&operator.to_string()),
            operation: OperationNumber(number),
            centre: CentreName::new("yatsushiro"),
            state: if taken_out { CentreState::TakenOut } else { CentreState::InService },
        })
    });
    let fence = proptest::strategy::Just(Command::Fence(TargetName::new("engine-1")));
    prop_oneof![submit, centre, fence]
}

/// What callers have been told about one key.
#[derive(Clone, Default)]
struct Observed {
    holder: Option<RequestId>,
    attempt: u16,
    unknown: bool,
    answer: Option<Bytes>,
}

proptest! {
    #[test]
    fn one_grant_at_a_time(commands in vec((0..STEP_MS, claim_command()), 1..80)) {
        let mut driver = Driver::default();
        let mut observed = vec![Observed::default(); 2];
        for (step, command) in commands {
            driver.now += step;
            let outcome = driver.apply(command.clone());
            let (key, by) = match &command {
                Command::Claim(claim) => (&claim.key, &claim.claimant),
                Command::Settle(settle) => (&settle.key, &settle.claimant),
                other => panic!("unexpected command: {other:?}"),
            };
            let observed = &mut observed[key.key.parse::<usize>().unwrap()];
            match (command.clone(), outcome) {
                (_, Outcome::Claim(ClaimOutcome::Granted)) => {
                    let other = observed.holder.is_some_and(|h| {
                        (h, observed.attempt) != (by.request, by.attempt.0)
                    });
                    prop_assert!(!other, "granted to a second claimant");
                    prop_assert!(!observed.unknown, "granted after unknown was reported");
                    prop_assert!(observed.answer.is_none(), "granted after an answer");
                    observed.holder = Some(by.request);
                    observed.attempt = by.attempt.0;
                }
                (_, Outcome::Claim(ClaimOutcome::Unknown)) => observed.unknown = true,
                (_, Outcome::Claim(ClaimOutcome::Done(answer))) => {
                    prop_assert_eq!(Some(answer), observed.answer.clone());
                }
                (Command::Settle(settle), Outcome::Settle(SettleOutcome::Recorded)) => {
                    match settle.settlement {
                        Settlement::Released => {
                            prop_assert!(!observed.unknown, "released after unknown was reported");
                            prop_assert!(observed.answer.is_none(), "released after an answer");
                            observed.holder = None;
                        }
                        Settlement::Done(answer) => observed.answer = Some(answer),
                        Settlement::Unknown => observed.unknown = true,
                    }
                }
                _ => {}
            }
        }
    }

    #[test]
    fn replicas_agree(
        commands in vec(
            (any::<u16>(), any::<bool>(), prop_oneof![claim_command(), order_command()]),
            1..80,
        ),
    ) {
        let mut continuous = Driver::default();
        let mut restored = Driver::default();
        let mut published = continuous.state.published();
        for (at, restore, command) in commands {
            continuous.now = u64::from(at) * 1_000;
            restored.now = continuous.now;
            prop_assert_eq!(continuous.apply(command.clone()), restored.apply(command));
            if restore {
                restored.restore();
            }
            let next = continuous.state.published();
            prop_assert!(next.version >= published.version && next.index >= published.index);
            prop_assert!(next == published || next.index > published.index);
            published = next;
        }
        prop_assert_eq!(continuous.state.published(), restored.state.published());
        prop_assert_eq!(snapshot(&continuous.state), snapshot(&restored.state));
    }
}
