//! Choice of targets: sessions, failures, cold targets and unreachable data centres.

use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::table::pool::ColdLimit;
use hawthornkeel_core::time::Instant;

const COLD: ColdLimit = ColdLimit { duration: Duration::from_secs(3), rate: 18.0 };

fn listed(number: u16, cold_ms: u64) -> ListedTarget {
    ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: PoolName::new("engines"),
        address: ([10, 0, 0, 1], 8000 + number).into(),
        centre: CentreName::new(["a", "b", "c"][usize::from(number % 3)]),
        born: None,
        version: "v1".into(),
        slots: 64,
        leaving: false,
        cold_ms,
    }
}

fn balancer(count: u16) -> Balancer {
    let mut balancer = Balancer::default();
    let targets = (0..count).map(|n| listed(n, 0)).collect();
    balancer.update(at(0), &TargetList { targets, mark: 1 });
    balancer
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

fn query(pool: &PoolName, session: u64) -> TargetQuery<'_> {
    TargetQuery {
        pool,
        session,
        centre: None,
        tried: &[],
        cold: Some(COLD),
        entries: 8,
        version: None,
        rule: &VersionRule::Any,
    }
}

#[test]
fn sessions_keep_targets() {
    let pool = PoolName::new("engines");
    let (mut one, mut other) = (balancer(9), balancer(9));
    let mut loads = [0; 9];
    for session in 0..900 {
        let chosen = one.choose(at(0), &query(&pool, session)).unwrap();
        one.record_outcome(at(0), &chosen.name, TargetOutcome::Succeeded);
        // Another entry sends the same session to the same target.
        let same = other.choose(at(0), &query(&pool, session)).unwrap();
        other.record_outcome(at(0), &same.name, TargetOutcome::Succeeded);
        assert_eq!((&chosen.name, chosen.address), (&same.name, same.address));
        loads[usize::from(chosen.address.port() - 8000)] += 1;
    }
    assert!(loads.iter().all(|l| (60..140).contains(l)), "{loads:?}");
}

#[test]
fn dropped_choice_is_not_counted() {
    let pool = PoolName::new("engines");
    let mut balancer = balancer(9);
    let first = balancer.choose(at(0), &query(&pool, 7)).unwrap().name;
    // Callers disconnect while their requests are in flight, so no outcome is recorded.
    for _ in 0..200 {
        drop(balancer.choose(at(0), &query(&pool, 7)));
    }
    assert_eq!(balancer.choose(at(0), &query(&pool, 7)).unwrap().name, first);
    // Requests that are still in flight do count.
    let in_flight: Vec<_> =
        (0..60).map(|_| balancer.choose(at(0), &query(&pool, 7)).unwrap()).collect();
    assert!(in_flight.iter().any(|c| c.name != first));
}

#[test]
fn failing_target_avoided() {
    let pool = PoolName::new("engines");
    let mut balancer = balancer(9);
    let bad = TargetName::new("t4");
    let mut sent = 0;
    for session in 0..900 {
        let now = at(session * 20);
        let chosen = balancer.choose(now, &query(&pool, session)).unwrap();
        sent += u32::from(chosen.name == bad);
        let outcome =
            if chosen.name == bad { TargetOutcome::Failed } else { TargetOutcome::Succeeded };
        balancer.record_outcome(now, &chosen.name, outcome);
    }
    // An even share would be 100; some requests are still sent to detect its recovery.
    assert!((3..40).contains(&sent), "{sent}");
}

#[test]
fn cold_share_kept() {
    let pool = PoolName::new("engines");
    let mut balancers: Vec<Balancer> = (0..8).map(|_| balancer(1)).collect();
    for balancer in &mut balancers {
        balancer.update(at(0), &TargetList { targets: [listed(0, 3_000)].into(), mark: 2 });
    }
    let mut sent = Vec::new();
    for ms in 0..3_000 {
        for balancer in &mut balancers {
            match balancer.choose(at(ms), &query(&pool, ms)) {
                Ok(_) => sent.push(ms),
                Err(reason) => assert_eq!(reason, NoTarget::Cold),
            }
        }
    }
    let busiest = (0..2_000).map(|s| sent.iter().filter(|t| (s..s + 1_000).contains(*t)).count());
    let busiest = busiest.max().unwrap();
    // In any second, all entries together send the target's cold rate and one burst token each.
    assert!((12..=18 + 8).contains(&busiest), "{busiest}");
}

#[test]
fn new_target_counts_as_cold() {
    let pool = PoolName::new("engines");
    let mut balancer = balancer(1);
    let two = [listed(0, 0), listed(1, 0)].into();
    balancer.update(at(100), &TargetList { targets: two, mark: 2 });
    let chosen = |balancer: &mut Balancer, now, session| {
        let chosen = balancer.choose(now, &query(&pool, session)).unwrap();
        balancer.record_outcome(now, &chosen.name, TargetOutcome::Succeeded);
        chosen
    };
    let cold = (0..50).filter(|s| chosen(&mut balancer, at(200 + s), *s).cold).count();
    assert!(cold <= 1, "{cold}");
    let later = (0..50).filter(|s| chosen(&mut balancer, at(3_200 + s), *s).name.as_str() == "t1");
    assert!(later.count() > 15);
}

#[test]
fn centre_cut_off() {
    let pool = PoolName::new("engines");
    let mut balancer = balancer(9);
    for number in [1, 4] {
        balancer.record_outcome(
            at(0),
            &TargetName::new(&format!("t{number}")),
            TargetOutcome::Unreached,
        );
    }
    // The third target of the data centre was not tried, but is avoided like the other two.
    let chosen = (0..200).filter(|s| {
        let chosen = balancer.choose(at(10), &query(&pool, *s)).unwrap();
        balancer.record_outcome(at(10), &chosen.name, TargetOutcome::Abandoned);
        chosen.centre.as_str() == "b"
    });
    assert!(chosen.count() < 5);
}

#[test]
fn taken_out_gets_none() {
    let pool = PoolName::new("engines");
    let mut balancer = balancer(3);
    balancer.set_taken_out(at(0), vec![CentreName::new("a"), CentreName::new("b")]);
    for session in 0..50 {
        assert_eq!(balancer.choose(at(0), &query(&pool, session)).unwrap().name.as_str(), "t2");
    }
    balancer.set_taken_out(at(0), ["a", "b", "c"].map(CentreName::new).to_vec());
    assert_eq!(balancer.choose(at(0), &query(&pool, 1)).unwrap_err(), NoTarget::Empty);
}
