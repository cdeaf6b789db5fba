//! Time of a routing decision by the number of targets that an entry knows.
//!
//! `cargo bench -p hawthornkeel_core --bench decision`; the goal is less than 5 us at 1,500 targets.

#![allow(missing_docs)]

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::LoadReport;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;

use common::answered;
use common::at;
use common::document;
use common::request;
use common::sent;
use common::target;
use common::warm_router;

/// Numbers of targets in the pool.
const SIZES: [usize; 3] = [10, 100, 1_500];

/// Creates a router with warm targets, three quarters of them in its own data centre.
fn router(size: usize) -> Router {
    let centre = |i: usize| if i % 4 == 3 { "b" } else { "a" };
    let targets: Vec<TargetInfo> = (0..size).map(|i| target(&format!("t{i}"), centre(i))).collect();
    warm_router(&document(16, &[("w", 1)]), &targets, RouterSettings::default())
}

/// Measures a call that is sent and answered.
fn send(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_and_finish");
    for size in SIZES {
        let mut router = router(size);
        let call = request(1, "w");
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                let permit = sent(router.choose(at(1), black_box(&call)));
                router.finish_call(at(1), permit, answered());
            });
        });
    }
    group.finish();
}

/// Measures a call with a prompt prefix and one excluded target.
fn send_with_exclusion(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_with_prefix_and_excluded");
    for size in SIZES {
        let mut router = router(size);
        let mut call = request(1, "w");
        (call.prefix_hash, call.excluded) = (Some(7), vec!["t0".into()]);
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                let permit = sent(router.choose(at(1), black_box(&call)));
                router.finish_call(at(1), permit, answered());
            });
        });
    }
    group.finish();
}

/// Measures a call that is queued and cancelled.
fn wait(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_and_wait");
    for size in SIZES {
        let mut router = router(size);
        let mut number = 10;
        while let Decision::Send { .. } = router.choose(at(1), &request(number, "w")) {
            number += 1;
        }
        let call = request(1, "w");
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                let decision = router.choose(at(1), black_box(&call));
                assert!(matches!(decision, Decision::Wait { .. }));
                router.cancel(at(1), call.call);
            });
        });
    }
    group.finish();
}

/// Measures the handling of a load report.
fn report(criterion: &mut Criterion) {
    let mut router = router(1_500);
    let load = LoadReport { running: 3, ..LoadReport::default() };
    criterion.bench_function("load_report", |b| {
        b.iter(|| router.report_load(at(1), black_box(&"t7".into()), load));
    });
}

/// Creates a balancer that knows a pool of targets.
fn balancer(size: u16) -> Balancer {
    let listed = |number: u16| ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: PoolName::new("pool"),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        centre: CentreName::new("a"),
        born: None,
        version: "v1".into(),
        slots: 16,
        leaving: false,
        cold_ms: 0,
    };
    let mut balancer = Balancer::default();
    balancer.update(at(0), &TargetList { targets: (0..size).map(listed).collect(), mark: 1 });
    balancer
}

/// Measures the choice of a target for a forwarded request with a session.
fn forward(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_forwarded");
    let pool = PoolName::new("pool");
    for size in [90, 1_500] {
        let mut balancer = balancer(size);
        let mut session = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                session += 1;
                let query = TargetQuery {
                    pool: &pool,
                    session,
                    centre: None,
                    tried: &[],
                    cold: None,
                    entries: 83,
                    version: None,
                    rule: &VersionRule::Any,
                };
                balancer.choose(at(1), black_box(&query)).map(|c| c.cold)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = decisions;
    config = Criterion::default()
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500))
        .sample_size(50);
    targets = send, send_with_exclusion, wait, report, forward
}
criterion_main!(decisions);
