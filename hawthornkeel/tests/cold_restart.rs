//! Restart of a target under load from all entries.
//!
//! Guards against entries that keep sending at the rate of a warm target after its process has
//! restarted cold, which overloads it.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::Fleet;
use fleet::KEY;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::ANSWERED;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::thread::block_on;

/// Concurrent calls that a cold target can handle, one more than the document allows.
const COLD_CAPACITY: u32 = 2;
/// Minimum share of requests answered completely during a single fault.
const MIN_ATTAINMENT: f64 = 0.999;

#[test]
fn restarted_target_is_not_overloaded() {
    restart_under_load(25, 150, true);
}

#[test]
fn restarted_busy_target_is_not_overloaded() {
    restart_under_load(60, 360, true);
}

#[test]
fn unnamed_restart_is_not_overloaded() {
    restart_under_load(60, 360, false);
}

/// Restarts a target while `rate` requests per second are sent to each entry, `count` in total.
///
/// If `named`, answers of targets carry their incarnation, otherwise only their load reports do.
fn restart_under_load(rate: u64, count: u64, named: bool) {
    let mut fleet = Fleet::prepare(4, 2);
    for target in fleet.pool("writers") {
        let fields = format!(
            "{{\"floor_ms\":20,\"cold_bears\":{COLD_CAPACITY},\"warm_after\":4,\"named\":{named}}}"
        );
        target.thread.configure(&fields).unwrap();
    }
    fleet.start_all();
    fleet.warm_up();
    let load = |at: usize| LoadProfile {
        address: fleet.instances[at].listen,
        path: "/v1/pipelines/draft".to_owned(),
        fields: format!("authorization: Bearer {KEY}\r\n"),
        rate: rate as f64,
        count,
        first_number: at as u64 * 10_000,
        ..LoadProfile::default()
    };
    let start =
        |load: LoadProfile| thread::spawn(|| block_on(load_generator::run(load)).unwrap().unwrap());
    let callers: Vec<_> = (0..4).map(load).map(start).collect();
    let target = fleet.targets.iter().find(|t| t.listed.name == "writers-dc-0").unwrap();
    let before = target.thread.report().unwrap();
    // The load must be established before the restart.
    thread::sleep(Duration::from_secs(2));
    target.thread.restart().unwrap();
    let mut answered = 0;
    for caller in callers {
        answered += caller.join().unwrap().count(ANSWERED);
    }
    let after = target.thread.report().unwrap();
    assert_eq!(after.crashes, before.crashes, "the cold target was overloaded");
    let sent = 4 * count;
    assert!(answered as f64 >= MIN_ATTAINMENT * sent as f64, "{answered} of {sent} answered");
}
