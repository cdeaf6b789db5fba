//! A target that restarts cold under load from every entry.

mod fleet;

use std::thread;
use std::time::Duration;

use fleet::Fleet;
use fleet::KEY;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::ANSWERED;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::thread::block_on;

/// Calls that a cold target bears at once, one more than the document allows.
const BEARS: u32 = 2;
/// Share of requests that are to be answered in full with one fault at a time.
const ATTAINMENT: f64 = 0.999;

#[test]
fn restarted_target_is_not_overrun() {
    restart_under_load(25, 150, true);
}

#[test]
fn restarted_busy_target_is_not_overrun() {
    restart_under_load(60, 360, true);
}

#[test]
fn restarted_target_with_unnamed_answers_is_not_overrun() {
    restart_under_load(60, 360, false);
}

/// Restarts a target while each entry sends `rate` requests a second, `count` in all.
///
/// The answers of the targets name their incarnations, or only their load reports do.
fn restart_under_load(rate: u64, count: u64, named: bool) {
    let mut fleet = Fleet::prepare(4, 2);
    for target in fleet.pool("writers") {
        let fields = format!(
            "{{\"floor_ms\":20,\"cold_bears\":{BEARS},\"warm_after\":4,\"named\":{named}}}"
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
    // The load has to stand before the restart comes.
    thread::sleep(Duration::from_secs(2));
    target.thread.restart().unwrap();
    let mut answered = 0;
    for caller in callers {
        answered += caller.join().unwrap().count(ANSWERED);
    }
    let after = target.thread.report().unwrap();
    assert_eq!(after.crashes, before.crashes, "the cold target fell over");
    let sent = 4 * count;
    assert!(answered as f64 >= ATTAINMENT * sent as f64, "{answered} of {sent} answered");
}
