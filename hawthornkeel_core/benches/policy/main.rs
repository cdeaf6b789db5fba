//! Our policy beside a plain baseline on stand-in targets, on a virtual clock.
//!
//! Prints attainment, cost by stage and service by second, and fails on bounds taken from the
//! stated targets. `cargo bench -p hawthornkeel_core --bench policy [-- SEED [LOAD]] [--report DIR]`
//! also writes a table in Markdown and a plot of each case into DIR.

mod case;
mod entry;
mod faults;
mod flow;
mod links;
mod plain;
mod report;
mod schedule;
mod sites;
mod stats;
mod target;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::case::Case;
use crate::entry::PolicyKind;
use crate::faults::Fault;
use crate::schedule::Schedule;
use crate::sites::POOLS;
use crate::stats::Stats;

/// Loads, as shares of what the targets bear.
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.3];
/// Load under two faults at once and faults that come twice.
const COMPOUND_LOAD: f64 = 0.8;
/// Seed unless one is given.
const SEED: u64 = 1;

/// Prints the cost by stage of both policies.
fn print_cost(load: f64, seed: u64) {
    println!(
        "\ncost by stage at {:.0}%, data centre gone: busy s, wasted s, repeated calls for each 1,000 answers",
        load * 100.0
    );
    let case = Case { load, schedule: Schedule::one(Fault::Centre), seed };
    let ours = case.run(PolicyKind::Ours);
    let plain = case.run(PolicyKind::Plain);
    for (stage, pool) in POOLS.iter().enumerate() {
        let row = |s: &Stats| {
            let scale = 1000.0 / s.answered.max(1) as f64;
            let cells = [s.busy[stage], s.wasted[stage], s.repeated[stage] as f64];
            cells.map(|c| format!("{:>8.1}", c * scale)).join(" ")
        };
        println!("{:<9} | ours {} | plain {}", pool.name, row(&ours), row(&plain));
    }
}

/// Prints the messages of leases and grants of our policy.
fn print_messages(seed: u64) {
    let case = Case { load: 0.8, schedule: Schedule::one(Fault::Cold), seed };
    let stats = case.run(PolicyKind::Ours);
    let seconds = world::whole_time().as_secs_f64();
    let cold = stats.reasons.get("cold_grant").copied().unwrap_or(0);
    let lease = stats.lease_messages as f64 / seconds;
    let grants = stats.grant_messages as f64 / cold.max(1) as f64;
    println!(
        "\nlease messages: {lease:.0} a second over {} data centres; grant messages: {grants:.1} for each \
         of {cold} cold calls",
        sites::CENTRES
    );
}

/// Prints the service by second around the loss of a data centre.
fn print_seconds(load: f64, seed: u64) {
    println!(
        "\nservice by second at {:.0}% while a data centre leaves (s 20) and returns (s 30), % answered",
        load * 100.0
    );
    for kind in [PolicyKind::Ours, PolicyKind::Plain] {
        let stats = Case { load, schedule: Schedule::one(Fault::Centre), seed }.run(kind);
        let cells: Vec<String> =
            (18..45).map(|s| format!("{:.0}", stats.second(s) * 100.0)).collect();
        println!("{kind:?}: {}", cells.join(" "));
    }
}

/// Returns the cases of a seed, all loads or one.
fn cases(seed: u64, only: Option<f64>) -> Vec<Case> {
    let wanted = |load: &f64| only.is_none_or(|o| o == *load);
    let singles = LOADS.into_iter().filter(wanted).flat_map(|load| {
        Fault::ALL.map(Schedule::one).map(|schedule| Case { load, schedule, seed })
    });
    let compound = Schedule::compound().into_iter().filter(|_| wanted(&COMPOUND_LOAD));
    let compound = compound.map(|schedule| Case { load: COMPOUND_LOAD, schedule, seed });
    singles.chain(compound).collect()
}

/// Returns the numbers of the command line and the directory of the report.
fn arguments() -> (Vec<u64>, Option<PathBuf>) {
    let mut numbers = Vec::new();
    let mut report = None;
    let mut rest = std::env::args().skip(1);
    while let Some(argument) = rest.next() {
        match argument.as_str() {
            "--report" => report = rest.next().map(PathBuf::from),
            other => numbers.extend(other.parse::<u64>().ok()),
        }
    }
    (numbers, report)
}

fn main() -> ExitCode {
    let (numbers, report) = arguments();
    let seed = numbers.first().copied().unwrap_or(SEED);
    let only = numbers.get(1).map(|percent| *percent as f64 / 100.0);
    println!(
        "seed {seed}; columns: attained, answers/what targets can do, wasted, worst second, time to level, cold falls"
    );
    println!("load fault                    | ours                                        | plain");
    let rows: Vec<_> = cases(seed, only).into_iter().map(Case::compare).collect();
    let broken: Vec<String> = rows.iter().flat_map(|r| r.case.broken(&r.ours)).collect();
    print_cost(0.8, seed);
    print_seconds(0.8, seed);
    print_messages(seed);
    if let Some(dir) = report
        && let Err(error) = report::write(&dir, seed, &rows, &broken)
    {
        println!("report not written: {error}");
        return ExitCode::FAILURE;
    }
    if broken.is_empty() {
        println!("\nall bounds hold");
        return ExitCode::SUCCESS;
    }
    println!("\nbroken bounds:");
    broken.iter().for_each(|b| println!("  {b}"));
    ExitCode::FAILURE
}
