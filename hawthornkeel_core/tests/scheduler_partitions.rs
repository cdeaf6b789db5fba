//! Assignment of requests and targets to schedulers.

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::time::Instant;

fn pool() -> PoolName {
    PoolName::new("readers")
}

fn centre(name: &str) -> CentreName {
    CentreName::new(name)
}

/// Returns a balancer with `count` targets that are spread evenly over data centres a, b and c.
fn balancer(count: u16) -> Balancer {
    let listed = |number: u16| ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: pool(),
        address: ([10, 0, 0, 1], 8000 + number).into(),
        centre: centre(["a", "b", "c"][usize::from(number % 3)]),
        born: None,
        version: "v1".into(),
        slots: 1,
        leaving: false,
        cold_ms: 0,
    };
    let mut balancer = Balancer::default();
    let targets = (0..count).map(listed).collect();
    balancer.update(Instant::from_millis(1_000), &TargetList { targets, mark: 1 });
    balancer
}

#[test]
fn small_pools_use_one_scheduler() {
    let balancer = balancer(8);
    let scheduler = balancer.scheduler_for(&pool(), Some(&centre("a")), "request");
    assert_eq!((scheduler.centre.clone(), scheduler.part), (None, 0));
    assert_eq!(balancer.workers(&scheduler).len(), 8);
    assert_eq!(balancer.alternative_centre(&[&pool()], Some(&centre("a")), "request"), None);
}

#[test]
fn large_pools_stay_local() {
    let balancer = balancer(15);
    for request in ["one", "two", "three"] {
        let scheduler = balancer.scheduler_for(&pool(), Some(&centre("b")), request);
        assert_eq!(scheduler.centre, Some(centre("b")));
        let workers = balancer.workers(&scheduler);
        assert!(workers.len() == 5 && workers.iter().all(|w| w.centre == centre("b")));
        let alternative = balancer.alternative_centre(&[&pool()], Some(&centre("b")), request);
        assert!(alternative.is_some_and(|c| c != centre("b")));
    }
}

#[test]
fn many_targets_are_partitioned() {
    let balancer = balancer(60);
    let scheduler = |n: u32| balancer.scheduler_for(&pool(), Some(&centre("a")), &n.to_string());
    let parts: std::collections::BTreeSet<u16> = (0..200).map(|n| scheduler(n).part).collect();
    assert_eq!(parts.len(), 4);
    let mut workers: Vec<_> = (0..200).map(scheduler).flat_map(|s| balancer.workers(&s)).collect();
    workers.sort_by(|a, b| a.name.cmp(&b.name));
    workers.dedup();
    assert_eq!(workers.len(), 20);
}

#[test]
fn taken_out_centre_is_avoided() {
    let mut balancer = balancer(15);
    balancer.set_taken_out(Instant::from_millis(2_000), vec![centre("b")]);
    for number in 0..100 {
        let request = number.to_string();
        let scheduler = balancer.scheduler_for(&pool(), Some(&centre("b")), &request);
        assert!(scheduler.centre.is_some_and(|c| c != centre("b")));
        let alternative = balancer.alternative_centre(&[&pool()], Some(&centre("a")), &request);
        assert_eq!(alternative, Some(centre("c")));
    }
}
