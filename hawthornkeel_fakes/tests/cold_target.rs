//! Tests of the capacity of a cold fake target: it crashes above it and warms up below it.

use hawthornkeel_fakes::behaviour::Behaviour;
use hawthornkeel_fakes::load_generator;
use hawthornkeel_fakes::load_generator::ANSWERED;
use hawthornkeel_fakes::load_generator::LoadProfile;
use hawthornkeel_fakes::record::Report;
use hawthornkeel_fakes::thread;
use hawthornkeel_fakes::thread::TargetThread;

/// Sends `count` concurrent calls and returns the number of complete responses.
fn burst(target: TargetThread, count: u64) -> u64 {
    let load = LoadProfile { address: target.address, rate: 1e6, count, ..LoadProfile::default() };
    thread::block_on(load_generator::run(load)).unwrap().unwrap().count(ANSWERED)
}

fn start() -> TargetThread {
    let behaviour =
        Behaviour { floor_ms: 100, cold_capacity: Some(2), warm_after: 4, ..Behaviour::default() };
    TargetThread::start(behaviour).unwrap()
}

#[test]
fn crashes_above_capacity() {
    let target = start();
    assert_eq!(burst(target, 3), 0);
    let report = target.report().unwrap();
    assert_eq!((report.crashes, report.incarnation, report.running), (1, 2, 0));
    assert_eq!(report.cold_peak, 3);
}

#[test]
fn cold_after_restart() {
    let target = start();
    assert_eq!((burst(target, 2), burst(target, 2)), (2, 2));
    // Four responses make it warm.
    assert_eq!(burst(target, 8), 8);
    target.restart().unwrap();
    assert_eq!(burst(target, 3), 0);
    let report: Report = target.report().unwrap();
    assert_eq!((report.crashes, report.incarnation, report.peak), (1, 3, 8));
}
