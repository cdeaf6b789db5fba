//! Claims through several instances while leaders change.

mod support;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel::control::start::ControlPlane;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::state::command::Claim;
use hawthornkeel_core::state::command::ClaimKey;
use hawthornkeel_core::state::command::ClaimOutcome;
use hawthornkeel_core::state::command::Claimant;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::Outcome;
use hawthornkeel_core::state::command::Settle;
use hawthornkeel_core::state::command::Settlement;
use support::cluster::Cluster;
use support::cluster::Spec;
use support::operator::leader;
use support::operator::wait_for;
use support::run;
use support::until;

const TIMEOUT: Duration = Duration::from_secs(2);

fn three() -> Cluster {
    let spec = |(name, centre)| Spec { name, centre, control: true };
    let places = [("c1", "east"), ("c2", "west"), ("c3", "south")];
    let mut cluster = Cluster::new(places.into_iter().map(spec).collect());
    cluster.start_all();
    cluster
}

fn key(number: u64) -> ClaimKey {
    let key = format!("key-{number}").into();
    ClaimKey { workspace: "acme".into(), key, stage: StageIndex(0) }
}

fn claimant(instance: &str, request: u128) -> Claimant {
    Claimant { instance: instance.into(), request: RequestId(request), attempt: AttemptNumber(0) }
}

fn claim(number: u64, claimant: Claimant) -> Command {
    Command::Claim(Claim { key: key(number), digest: number, claimant, settle_ms: 600_000 })
}

/// Claims like an entry whose caller resends until told an outcome.
async fn decide(parts: &ControlPlane, command: Command) -> ClaimOutcome {
    let mut decided = None;
    wait_for("a claim's outcome", async || {
        decided = parts.client.propose(command.clone(), TIMEOUT).await.ok();
        decided.is_some()
    })
    .await;
    match decided {
        Some(Outcome::Claim(outcome)) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn resent_elsewhere() {
    let cluster = three();
    run(async {
        let (a, b) = (cluster.join("a", "east"), cluster.join("b", "west"));
        assert_eq!(decide(&a, claim(1, claimant("a", 1))).await, ClaimOutcome::Granted);
        // The answer was lost: the same claim again, and the caller's resend at another instance.
        assert_eq!(decide(&a, claim(1, claimant("a", 1))).await, ClaimOutcome::Granted);
        let held = ClaimOutcome::Held(claimant("a", 1));
        assert_eq!(decide(&b, claim(1, claimant("b", 2))).await, held);
        let settlement = Settlement::Done("answer".into());
        let settle = Settle { key: key(1), claimant: claimant("a", 1), settlement };
        a.client.propose(Command::Settle(settle), TIMEOUT).await.unwrap();
        let done = ClaimOutcome::Done("answer".into());
        assert_eq!(decide(&b, claim(1, claimant("b", 2))).await, done);
    });
}

#[test]
fn granted_once() {
    const KEYS: u64 = 300;
    let mut cluster = three();
    run(async {
        let granted = Rc::new(RefCell::new(vec![0_u32; KEYS as usize]));
        let decided = Rc::new(Cell::new(0));
        let parts = cluster.join("a", "east");
        let old = leader(&parts).await;
        for (name, centre) in [("a", "east"), ("b", "west"), ("c", "south")] {
            let (granted, decided) = (granted.clone(), decided.clone());
            let parts = cluster.join(name, centre);
            monoio::spawn(async move {
                for number in 0..KEYS {
                    let command = claim(number, claimant(name, number.into()));
                    if decide(&parts, command).await == ClaimOutcome::Granted {
                        granted.borrow_mut()[number as usize] += 1;
                    }
                    decided.set(decided.get() + 1);
                }
            });
        }
        until("some claims", || decided.get() > KEYS / 3).await;
        cluster.kill(old.as_str());
        until("all claims", || decided.get() == 3 * KEYS).await;
        assert!(granted.borrow().iter().all(|g| *g == 1), "{:?}", granted.borrow());
    });
}
