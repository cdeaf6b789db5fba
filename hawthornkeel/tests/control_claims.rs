//! Claims through several instances during leader failover.

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
use support::cluster::InstanceSpec;
use support::operator::leader;
use support::operator::wait_for;
use support::run;
use support::wait_until;

const TIMEOUT: Duration = Duration::from_secs(2);

fn three_centres() -> Cluster {
    let spec = |(name, centre)| InstanceSpec { name, centre, control: true };
    let controls = [("c1", "east"), ("c2", "west"), ("c3", "south")];
    let mut cluster = Cluster::new(controls.into_iter().map(spec).collect());
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

/// Proposes a claim until it has an outcome, like an entry whose caller resends its request.
async fn propose_claim(plane: &ControlPlane, command: Command) -> ClaimOutcome {
    let mut outcome = None;
    wait_for("the outcome of a claim", async || {
        outcome = plane.client.propose(command.clone(), TIMEOUT).await.ok();
        outcome.is_some()
    })
    .await;
    match outcome {
        Some(Outcome::Claim(outcome)) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn claim_resent_elsewhere() {
    let cluster = three_centres();
    run(async {
        let (a, b) = (cluster.start_local("a", "east"), cluster.start_local("b", "west"));
        assert_eq!(propose_claim(&a, claim(1, claimant("a", 1))).await, ClaimOutcome::Granted);
        // The reply was lost: the instance resends its claim, and the caller retries at another.
        assert_eq!(propose_claim(&a, claim(1, claimant("a", 1))).await, ClaimOutcome::Granted);
        let held = ClaimOutcome::Held(claimant("a", 1));
        assert_eq!(propose_claim(&b, claim(1, claimant("b", 2))).await, held);
        let settlement = Settlement::Done("answer".into());
        let settle = Settle { key: key(1), claimant: claimant("a", 1), settlement };
        a.client.propose(Command::Settle(settle), TIMEOUT).await.unwrap();
        let done = ClaimOutcome::Done("answer".into());
        assert_eq!(propose_claim(&b, claim(1, claimant("b", 2))).await, done);
    });
}

#[test]
fn claims_granted_once() {
    const KEYS: u64 = 300;
    let mut cluster = three_centres();
    run(async {
        let granted = Rc::new(RefCell::new(vec![0_u32; KEYS as usize]));
        let decided = Rc::new(Cell::new(0));
        let plane = cluster.start_local("a", "east");
        let old_leader = leader(&plane).await;
        for (name, centre) in [("a", "east"), ("b", "west"), ("c", "south")] {
            let (granted, decided) = (granted.clone(), decided.clone());
            let plane = cluster.start_local(name, centre);
            monoio::spawn(async move {
                for number in 0..KEYS {
                    let command = claim(number, claimant(name, number.into()));
                    if propose_claim(&plane, command).await == ClaimOutcome::Granted {
                        granted.borrow_mut()[number as usize] += 1;
                    }
                    decided.set(decided.get() + 1);
                }
            });
        }
        wait_until("some claims", || decided.get() > KEYS / 3).await;
        cluster.kill(old_leader.as_str());
        wait_until("all claims", || decided.get() == 3 * KEYS).await;
        assert!(granted.borrow().iter().all(|g| *g == 1), "{:?}", granted.borrow());
    });
}
