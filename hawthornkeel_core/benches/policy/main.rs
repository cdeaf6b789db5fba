//! Compares the router with a simple baseline on simulated targets and a virtual clock.
//!
//! Prints attainment, cost by stage and the share answered by second, and fails if the router
//! violates a bound of its service objectives. `cargo bench -p hawthornkeel_core --bench policy [-- SEED [LOAD]] [--report DIR]`
//! also writes a Markdown table and a plot of each case into DIR; LOAD is in percent.

mod baseline;
mod case;
mod entry;
mod faults;
mod network;
mod report;
mod requests;
mod schedule;
mod simulation;
mod stats;
mod target;
mod topology;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::case::Case;
use crate::entry::PolicyKind;
use crate::faults::Fault;
use crate::schedule::Schedule;
use crate::stats::Stats;
use crate::topology::POOLS;

/// Offered loads as shares of the sustainable rate.
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.3];
/// Load of cases with two simultaneous faults or repeated faults.
const COMPOUND_LOAD: f64 = 0.8;
const DEFAULT_SEED: u64 = 1;

/// Prints the cost by stage for both policies.
fn print_stage_costs(load: f64, seed: u64) {
    println!(
        "\ncost by stage at {:.0}% load, data centre isolated: busy s, wasted s, repeated calls per 1,000 answers",
        load * 100.0
    );
    let case = Case { load, schedule: Schedule::single(Fault::CentreIsolated), seed };
    let router = case.run(PolicyKind::Router);
    let baseline = case.run(PolicyKind::Baseline);
    for (stage, pool) in POOLS.iter().enumerate() {
        let row = |s: &Stats| {
            let scale = 1000.0 / s.answered.max(1) as f64;
            let cells = [s.busy[stage], s.wasted[stage], s.repeated_calls[stage] as f64];
            cells.map(|c| format!("{:>8.1}", c * scale)).join(" ")
        };
        println!("{:<9} | router {} | baseline {}", pool.name, row(&router), row(&baseline));
    }
}

/// Prints the number of lease and grant messages that the router sends.
fn print_messages(seed: u64) {
    let case = Case { load: 0.8, schedule: Schedule::single(Fault::ColdRestart), seed };
    let stats = case.run(PolicyKind::Router);
    let seconds = simulation::total_time().as_secs_f64();
    let cold = stats.reasons.get("cold_grant").copied().unwrap_or(0);
    let lease = stats.lease_messages as f64 / seconds;
    let grants = stats.grant_messages as f64 / cold.max(1) as f64;
    println!(
        "\nlease messages: {lease:.0} per second in {} data centres; grant messages: {grants:.1} for each \
         of {cold} cold calls",
        topology::CENTRES
    );
}

/// Prints the share answered by second around the isolation of a data centre.
fn print_seconds(load: f64, seed: u64) {
    println!(
        "\n% answered by second at {:.0}% load; a data centre is isolated from second 20 to 30",
        load * 100.0
    );
    for kind in [PolicyKind::Router, PolicyKind::Baseline] {
        let stats =
            Case { load, schedule: Schedule::single(Fault::CentreIsolated), seed }.run(kind);
        let cells: Vec<String> =
            (18..45).map(|s| format!("{:.0}", stats.answered_share(s) * 100.0)).collect();
        println!("{kind:?}: {}", cells.join(" "));
    }
}

/// Returns the cases for a seed, for all loads or only one.
fn cases(seed: u64, only_load: Option<f64>) -> Vec<Case> {
    let wanted = |load: &f64| only_load.is_none_or(|o| o == *load);
    let singles = LOADS.into_iter().filter(wanted).flat_map(|load| {
        Fault::ALL.map(Schedule::single).map(|schedule| Case { load, schedule, seed })
    });
    let compound = Schedule::compound().into_iter().filter(|_| wanted(&COMPOUND_LOAD));
    let compound = compound.map(|schedule| Case { load: COMPOUND_LOAD, schedule, seed });
    singles.chain(compound).collect()
}

/// Returns the numeric arguments and the report directory.
fn parse_arguments() -> (Vec<u64>, Option<PathBuf>) {
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
    let (numbers, report) = parse_arguments();
    let seed = numbers.first().copied().unwrap_or(DEFAULT_SEED);
    let only_load = numbers.get(1).map(|percent| *percent as f64 / 100.0);
    println!(
        "seed {seed}; columns: attained, answers/what targets can do, wasted, worst second, time to level, cold falls"
    );
    println!(
        "load fault                    | router                                      | baseline"
    );
    let rows: Vec<_> = cases(seed, only_load).into_iter().map(Case::compare).collect();
    let violations: Vec<String> = rows.iter().flat_map(|r| r.case.violations(&r.router)).collect();
    print_stage_costs(0.8, seed);
    print_seconds(0.8, seed);
    print_messages(seed);
    if let Some(dir) = report
        && let Err(error) = report::write(&dir, seed, &rows, &violations)
    {
        println!("failed to write the report: {error}");
        return ExitCode::FAILURE;
    }
    if violations.is_empty() {
        println!("\nall bounds hold");
        return ExitCode::SUCCESS;
    }
    println!("\nbroken bounds:");
    violations.iter().for_each(|v| println!("  {v}"));
    ExitCode::FAILURE
}
