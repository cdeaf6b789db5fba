//! Which desk does a pool's work for a request, and which targets it has.

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

/// Returns a board with `count` targets in turn over the data centres a, b and c.
fn board(count: u16) -> Balancer {
    let listed = |number: u16| ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: pool(),
        address: ([10, 0, 0, 1], 8000 + number).into(),
        centre: centre(["a", "b", "c"][usize::from(number % 3)]),
        slots: 1,
        leaving: false,
        cold_ms: 0,
    };
    let mut board = Balancer::default();
    let targets = (0..count).map(listed).collect();
    board.update(Instant::from_millis(1_000), &TargetList { targets, mark: 1 });
    board
}

#[test]
fn small_pools_keep_one_desk() {
    let board = board(8);
    let desk = board.scheduler_for(&pool(), Some(&centre("a")), "request");
    assert_eq!((desk.centre.clone(), desk.part), (None, 0));
    assert_eq!(board.workers(&desk).len(), 8);
    assert_eq!(board.alternative_centre(&[&pool()], Some(&centre("a")), "request"), None);
}

#[test]
fn large_pools_stay_near() {
    let board = board(15);
    for request in ["one", "two", "three"] {
        let desk = board.scheduler_for(&pool(), Some(&centre("b")), request);
        assert_eq!(desk.centre, Some(centre("b")));
        let makers = board.workers(&desk);
        assert!(makers.len() == 5 && makers.iter().all(|m| m.centre == centre("b")));
        let other = board.alternative_centre(&[&pool()], Some(&centre("b")), request);
        assert!(other.is_some_and(|o| o != centre("b")));
    }
}

#[test]
fn many_targets_share_desks() {
    let board = board(60);
    let desk = |n: u32| board.scheduler_for(&pool(), Some(&centre("a")), &n.to_string());
    let parts: std::collections::BTreeSet<u16> = (0..200).map(|n| desk(n).part).collect();
    assert_eq!(parts.len(), 4);
    let mut makers: Vec<_> = (0..200).map(desk).flat_map(|d| board.workers(&d)).collect();
    makers.sort_by(|a, b| a.name.cmp(&b.name));
    makers.dedup();
    assert_eq!(makers.len(), 20);
}

#[test]
fn lost_centre_is_avoided() {
    let mut board = board(15);
    board.set_taken_out(Instant::from_millis(2_000), vec![centre("b")]);
    for number in 0..100 {
        let request = number.to_string();
        let desk = board.scheduler_for(&pool(), Some(&centre("b")), &request);
        assert!(desk.centre.is_some_and(|c| c != centre("b")));
        let other = board.alternative_centre(&[&pool()], Some(&centre("a")), &request);
        assert_eq!(other, Some(centre("c")));
    }
}
