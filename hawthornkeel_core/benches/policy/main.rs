//! Our policy beside a plain baseline on stand-in targets, on a virtual clock.
//!
//! Prints attainment, cost by stage and service by second, and fails on bounds taken from the
//! stated targets. `cargo bench -p hawthornkeel_core --bench policy [-- SEED [LOAD]]`.

mod entry;
mod faults;
mod flow;
mod plain;
mod sites;
mod stats;
mod target;
mod world;

use std::process::ExitCode;

use crate::entry::PolicyKind;
use crate::faults::Fault;
use crate::sites::POOLS;
use crate::stats::Stats;
use crate::world::FAULT_AT;
use crate::world::MEASURE_AT;
use crate::world::Run;
use crate::world::World;

/// Loads, as shares of what the targets bear.
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.3];
/// Attainment at 80% load with one fault at a time, at least.
const ATTAINMENT_MIN: f64 = 0.999;
/// Answers at 130% load as a share of what the targets can do, at least.
const OVERLOAD_MIN: f64 = 0.95;
/// Share of busy time whose result no caller got, at most.
const WASTE_MAX: f64 = 0.02;
/// Seed unless one is given.
const SEED: u64 = 1;

/// Runs one case.
fn run(kind: PolicyKind, load: f64, fault: Fault, seed: u64) -> Stats {
    World::new(Run { kind, load, fault, seed }).play()
}

/// Prints one case and returns the bounds that our policy breaks.
fn compare(load: f64, fault: Fault, seed: u64) -> Vec<String> {
    let ours = run(PolicyKind::Ours, load, fault, seed);
    let plain = run(PolicyKind::Plain, load, fault, seed);
    let from = FAULT_AT.since(MEASURE_AT).as_secs() as usize;
    let useful = Stats::of_can_do;
    println!(
        "{:>4.0}% {:<23} | {:>7.3}% {:>6.3} {:>6.2}% {:>6.1}% {:>3} s {:>3} | {:>7.3}% {:>6.3} {:>6.2}% {:>6.1}% {:>3} s {:>3}",
        load * 100.0,
        fault.name(),
        ours.attainment() * 100.0,
        useful(&ours),
        ours.waste() * 100.0,
        ours.worst(from) * 100.0,
        ours.to_level(from),
        ours.falls,
        plain.attainment() * 100.0,
        useful(&plain),
        plain.waste() * 100.0,
        plain.worst(from) * 100.0,
        plain.to_level(from),
        plain.falls,
    );
    if std::env::var_os("POLICY_DETAIL").is_some() {
        println!("      ours {:?}", ours.reasons);
        println!("      refused {} late {} failed {}", ours.refused, ours.late, ours.failed);
        println!("      {:?}", ours.refusals);
        println!("      by workspace {:?}", ours.by_workspace);
    }
    check(load, fault, &ours)
}

/// Returns the bounds that a run of our policy breaks.
fn check(load: f64, fault: Fault, ours: &Stats) -> Vec<String> {
    let mut broken = Vec::new();
    let mut bound = |holds: bool, text: String| {
        if !holds {
            broken.push(format!("{:.0}%, {}: {text}", load * 100.0, fault.name()));
        }
    };
    let attained = ours.attainment();
    if load <= 0.8 {
        bound(attained >= ATTAINMENT_MIN, format!("attainment {:.3}%", attained * 100.0));
    }
    if load > 1.0 {
        let part = ours.of_can_do();
        bound(part >= OVERLOAD_MIN, format!("answers {part:.3} of what targets can do"));
    }
    bound(ours.waste() < WASTE_MAX, format!("wasted work {:.2}%", ours.waste() * 100.0));
    bound(ours.falls == 0, format!("{} cold targets fell over", ours.falls));
    broken
}

/// Prints the cost by stage of both policies.
fn print_cost(load: f64, seed: u64) {
    println!(
        "\ncost by stage at {:.0}%, data centre gone: busy s, wasted s, repeated calls for each 1,000 answers",
        load * 100.0
    );
    let ours = run(PolicyKind::Ours, load, Fault::Centre, seed);
    let plain = run(PolicyKind::Plain, load, Fault::Centre, seed);
    for (stage, pool) in POOLS.iter().enumerate() {
        let row = |s: &Stats| {
            let scale = 1000.0 / s.answered.max(1) as f64;
            let cells = [s.busy[stage], s.wasted[stage], s.repeated[stage] as f64];
            cells.map(|c| format!("{:>8.1}", c * scale)).join(" ")
        };
        println!("{:<9} | ours {} | plain {}", pool.name, row(&ours), row(&plain));
    }
}

/// Prints the service by second around the loss of a data centre.
fn print_seconds(load: f64, seed: u64) {
    println!(
        "\nservice by second at {:.0}% while a data centre leaves (s 20) and returns (s 30), % answered",
        load * 100.0
    );
    for kind in [PolicyKind::Ours, PolicyKind::Plain] {
        let stats = run(kind, load, Fault::Centre, seed);
        let cells: Vec<String> =
            (18..45).map(|s| format!("{:.0}", stats.second(s) * 100.0)).collect();
        println!("{kind:?}: {}", cells.join(" "));
    }
}

fn main() -> ExitCode {
    let numbers: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let seed = numbers.first().copied().unwrap_or(SEED);
    let only = numbers.get(1).map(|percent| *percent as f64 / 100.0);
    println!(
        "seed {seed}; columns: attained, answers/what targets can do, wasted, worst second, time to level, cold falls"
    );
    println!("load fault                   | ours                                        | plain");
    let mut broken = Vec::new();
    for load in LOADS.into_iter().filter(|l| only.is_none_or(|o| o == *l)) {
        for fault in Fault::ALL {
            broken.extend(compare(load, fault, seed));
        }
    }
    print_cost(0.8, seed);
    print_seconds(0.8, seed);
    if broken.is_empty() {
        println!("\nall bounds hold");
        return ExitCode::SUCCESS;
    }
    println!("\nbroken bounds:");
    broken.iter().for_each(|b| println!("  {b}"));
    ExitCode::FAILURE
}
