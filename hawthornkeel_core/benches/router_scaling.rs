//! Memory and time of a router by the size of the fleet, for docs/CAPACITY.md.
//!
//! `cargo bench -p hawthornkeel_core --bench router_scaling`. Memory is the growth of the process's
//! resident set, read from `/proc/self/statm`.

use std::time::Duration;
use std::time::Instant as StdInstant;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::document::Workspace;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::RequestPlan;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;

const CENTRES: usize = 8;
const ENTRIES: usize = 420;
const POOLS: usize = 20;
const WORKSPACES: usize = 1_600;
const PAGE_BYTES: usize = 4_096;
/// Routers held at the same time, so that the growth far exceeds the allocator's granularity.
const ROUTERS: usize = 8;

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn centre(index: usize) -> CentreName {
    CentreName::new(&format!("dc{}", index % CENTRES))
}

fn entry(index: usize) -> EntryInfo {
    let id = MemberId { name: format!("entry{index}").as_str().into(), boot: 1 };
    EntryInfo { id, centre: centre(index) }
}

fn target(index: usize) -> TargetInfo {
    TargetInfo {
        name: format!("target{index}").as_str().into(),
        address: format!("10.0.0.1:{index}").into(),
        pool: format!("pool{}", (index / CENTRES) % POOLS).as_str().into(),
        centre: centre(index),
        ..TargetInfo::default()
    }
}

fn document(workspaces: usize) -> Document {
    let pool = |i: usize| Pool { name: format!("pool{i}").as_str().into(), ..Pool::default() };
    let workspace = |i: usize| Workspace {
        name: format!("workspace{i}").as_str().into(),
        ..Workspace::default()
    };
    Document {
        pools: (0..POOLS).map(pool).collect(),
        workspaces: (0..workspaces).map(workspace).collect(),
        ..Document::default()
    }
}

/// Creates a router with the given targets, entries and document.
fn router(list: &[TargetInfo], entries: &[EntryInfo], document: &Document) -> Router {
    let mut router = Router::new(RouterSettings::default(), LeaseSettings::default(), entry(17));
    router.apply_document(document);
    router.set_entries(Instant::ZERO, entries);
    router.update_targets(Instant::ZERO, list);
    router
}

/// Returns the mean growth of the resident set by a router that `build` creates, in bytes.
fn memory_growth(build: impl Fn() -> Router) -> usize {
    let before = resident_bytes();
    let routers: Vec<Router> = (0..ROUTERS).map(|_| build()).collect();
    let bytes = resident_bytes().saturating_sub(before) / ROUTERS;
    drop(routers);
    bytes
}

/// Returns the mean time of a run of `work`.
fn mean_time(mut work: impl FnMut()) -> Duration {
    const RUNS: u32 = 5;
    let start = StdInstant::now();
    (0..RUNS).for_each(|_| work());
    start.elapsed() / RUNS
}

fn main() {
    println!("workspaces | bytes of a router");
    for count in [0, WORKSPACES, 10 * WORKSPACES] {
        let large_document = document(count);
        println!("{count:>10} | {:>17}", memory_growth(|| router(&[], &[], &large_document)));
    }
    let entries: Vec<EntryInfo> = (0..ENTRIES).map(entry).collect();
    let small_document = document(0);
    println!("\nlisted targets | bytes of a router | time of a list | time of an entry list");
    for count in [0, 3_000, 6_000, 12_000] {
        let list: Vec<TargetInfo> = (0..count).map(target).collect();
        let bytes = memory_growth(|| router(&list, &entries, &small_document));
        let mut router_under_test = router(&list, &entries, &small_document);
        let list_time = mean_time(|| router_under_test.update_targets(Instant::ZERO, &list));
        let entry_list_time = mean_time(|| router_under_test.set_entries(Instant::ZERO, &entries));
        println!("{count:>14} | {bytes:>17} | {list_time:>14.2?} | {entry_list_time:>21.2?}");
    }
    println!("\nadmitted requests | time of admit and finish");
    let large_document = document(WORKSPACES);
    let mut router_under_test = router(&[], &[], &large_document);
    for count in [10_u128, 1_000, 10_000] {
        let plan = |i: u128| RequestPlan {
            request: RequestId(i),
            workspace: format!("workspace{}", i % WORKSPACES as u128).as_str().into(),
            deadline: Instant::from_millis(8_000),
            ..RequestPlan::default()
        };
        for i in 0..count {
            router_under_test.admit(Instant::ZERO, &plan(i));
        }
        let extra = plan(count);
        let time = mean_time(|| {
            for _ in 0..1_000 {
                router_under_test.admit(Instant::ZERO, &extra);
                router_under_test.finish_request(Instant::ZERO, extra.request);
            }
        });
        println!("{count:>17} | {:>22.2?}", time / 1_000);
    }
}
