//! Memory and time of a router at the size of the letter, for docs/CAPACITY.md.
//!
//! `cargo bench -p hawthornkeel_core --bench slopes`. Memory is the growth of the process's
//! resident set, read from `/proc/self/statm`.

use std::time::Duration;
use std::time::Instant as Clock;

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
/// Routers kept at once, so that the growth is well above the allocator's steps.
const ROUTERS: usize = 8;

fn resident() -> usize {
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

/// Builds a router that knows the fleet.
fn router(list: &[TargetInfo], entries: &[EntryInfo], document: &Document) -> Router {
    let mut router = Router::new(RouterSettings::default(), LeaseSettings::default(), entry(17));
    router.apply_document(document);
    router.set_entries(Instant::ZERO, entries);
    router.update_targets(Instant::ZERO, list);
    router
}

/// Returns the growth in bytes of one router built by `build`.
fn growth(build: impl Fn() -> Router) -> usize {
    let before = resident();
    let kept: Vec<Router> = (0..ROUTERS).map(|_| build()).collect();
    let bytes = resident().saturating_sub(before) / ROUTERS;
    drop(kept);
    bytes
}

/// Returns the time that one run of `work` takes.
fn timed(mut work: impl FnMut()) -> Duration {
    const RUNS: u32 = 5;
    let start = Clock::now();
    (0..RUNS).for_each(|_| work());
    start.elapsed() / RUNS
}

fn main() {
    println!("workspaces | bytes of a router");
    for count in [0, WORKSPACES, 10 * WORKSPACES] {
        let many = document(count);
        println!("{count:>10} | {:>17}", growth(|| router(&[], &[], &many)));
    }
    let entries: Vec<EntryInfo> = (0..ENTRIES).map(entry).collect();
    let few = document(0);
    println!("\nlisted targets | bytes of a router | time of a list | time of an entry list");
    for count in [0, 3_000, 6_000, 12_000] {
        let list: Vec<TargetInfo> = (0..count).map(target).collect();
        let bytes = growth(|| router(&list, &entries, &few));
        let mut one = router(&list, &entries, &few);
        let listed = timed(|| one.update_targets(Instant::ZERO, &list));
        let entered = timed(|| one.set_entries(Instant::ZERO, &entries));
        println!("{count:>14} | {bytes:>17} | {listed:>14.2?} | {entered:>21.2?}");
    }
    println!("\nadmitted requests | time of admit and leave");
    let many = document(WORKSPACES);
    let mut one = router(&[], &[], &many);
    for count in [10_u128, 1_000, 10_000] {
        let plan = |i: u128| RequestPlan {
            request: RequestId(i),
            workspace: format!("workspace{}", i % WORKSPACES as u128).as_str().into(),
            deadline: Instant::from_millis(8_000),
            ..RequestPlan::default()
        };
        for i in 0..count {
            one.admit(Instant::ZERO, &plan(i));
        }
        let extra = plan(count);
        let time = timed(|| {
            for _ in 0..1_000 {
                one.admit(Instant::ZERO, &extra);
                one.finish_request(Instant::ZERO, extra.request);
            }
        });
        println!("{count:>17} | {:>22.2?}", time / 1_000);
    }
}
