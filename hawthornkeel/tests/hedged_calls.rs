//! One of two targets of a pool slows down: the other answers, and the slow run is cancelled.

mod fleet;

use fleet::Fleet;
use fleet::TEST_TIMEOUT;
use fleet::get;
use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::platform::Instance as ListedInstance;
use hawthornkeel_fakes::platform::InstanceList;
use hawthornkeel_fakes::platform::InstanceState;
use hawthornkeel_fakes::record::Outcome;
use hawthornkeel_fakes::thread::TargetThread;
use hawthornkeel_fakes::thread::eventually;

/// Usual time of a call, in milliseconds: long enough that jitter alone makes no hedge due.
const USUAL_MS: u64 = 100;
/// Time of a call at a slow target, in milliseconds: under the deadline of 8 s.
const SLOW_MS: u64 = 6_000;
/// Time of a call that may not be repeated, in milliseconds: beyond that of a hedge.
const SIGN_MS: u64 = 2_000;

/// Starts a fleet with two targets of the pool, both warm at the first entry.
fn start(pool: &str) -> Fleet {
    let mut fleet = Fleet::prepare(3, 1);
    let thread = TargetThread::start(Behaviour::default()).unwrap();
    let name = format!("{pool}-second");
    let listed = ListedInstance {
        name,
        address: thread.address.to_string(),
        pool: pool.to_owned(),
        data_centre: "dc-0".to_owned(),
        state: InstanceState::Live,
    };
    fleet.targets.push(fleet::Target { thread, listed });
    let instances = fleet.targets.iter().map(|t| t.listed.clone()).collect();
    fleet.platform.set(&InstanceList { instances, ..InstanceList::default() }).unwrap();
    fleet.start_all();
    take(&fleet, pool, USUAL_MS);
    let mut lot = 0;
    let warm = || {
        // Calls with the same prompt would keep to one of the targets.
        lot += 1;
        let answer = fleet.call(0, "warm", "", &format!("{{\"lot\":{lot}}}"));
        answer.is_some_and(|a| a.status == 200) && is_warm(&fleet, pool)
    };
    assert!(eventually(TEST_TIMEOUT, warm), "not warm:\n{}", fleet.log(0));
    fleet
}

/// Makes calls to the targets of a pool take `millis` milliseconds.
fn take(fleet: &Fleet, pool: &str, millis: u64) {
    for target in fleet.pool(pool) {
        target.thread.configure(&format!("{{\"floor_ms\":{millis}}}")).unwrap();
    }
}

/// Returns the first entry's log line of its last choice of a target in a pool.
fn last_route(fleet: &Fleet, pool: &str) -> String {
    let name = format!("pool={pool} ");
    let log = fleet.log(0);
    let last = log.lines().rev().find(|l| l.contains("event=route ") && l.contains(&name));
    last.unwrap_or_default().to_owned()
}

/// Tells whether the last choice in a pool was one of two warm targets.
fn is_warm(fleet: &Fleet, pool: &str) -> bool {
    last_route(fleet, pool).contains("reason=near candidates=2")
}

/// Returns the target that the last call to a pool went to.
fn last_called<'a>(fleet: &'a Fleet, pool: &str) -> &'a fleet::Target {
    let route = last_route(fleet, pool);
    let is_called = |t: &&fleet::Target| route.contains(&format!("target={} ", t.listed.name));
    fleet.pool(pool).find(is_called).unwrap()
}

/// Returns the value of a metric of the first entry, zero where it was never counted.
fn metric(fleet: &Fleet, name: &str) -> u64 {
    let page = get(fleet.instances[0].admin, "/metrics").unwrap().body;
    let line = page.lines().find_map(|l| l.strip_prefix(name)).unwrap_or_default();
    line.trim().parse().unwrap_or_default()
}

#[test]
fn slow_target_is_beaten_by_the_other_and_its_run_cancelled() {
    let fleet = start("readers");
    // The next call with this prompt goes to the same target, by its prefix.
    fleet.call(0, "draft", "", "{\"lot\":1}").unwrap();
    let slow = last_called(&fleet, "readers");
    let before = slow.thread.report().unwrap().runs.len();
    slow.thread.configure(&format!("{{\"floor_ms\":{SLOW_MS}}}")).unwrap();
    let new_runs = || slow.thread.report().unwrap().runs.split_off(before);
    let cancelled = || new_runs().iter().any(|r| r.outcome == Outcome::Cancelled);
    let beaten = eventually(TEST_TIMEOUT, || {
        let answer = fleet.call(0, "draft", "", "{\"lot\":1}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(0));
        cancelled()
    });
    assert!(beaten, "no run was cancelled: {:?}\n{}", new_runs(), fleet.log(0));
    let whole = new_runs().iter().filter(|r| r.outcome == Outcome::Done).count();
    assert_eq!(whole, 0, "a slow call was waited for\n{}", fleet.log(0));
    assert!(metric(&fleet, "hawthornkeel_hedges_total{stage=\"read\"}") > 0);
    assert!(metric(&fleet, "hawthornkeel_wasted_millis_total{stage=\"read\"}") > 0);
}

#[test]
fn stage_that_may_not_be_repeated_is_never_hedged() {
    let fleet = start("registry");
    take(&fleet, "registry", SIGN_MS);
    let answer = fleet.call(0, "release", "slow-sign", "{\"lot\":1}").unwrap();
    assert_eq!(answer.status, 200, "{answer:?}\n{}", fleet.log(0));
    assert_eq!(fleet.runs("registry", "slow-sign"), 1, "{}", fleet.log(0));
    assert_eq!(metric(&fleet, "hawthornkeel_hedges_total{stage=\"sign\"}"), 0);
}
