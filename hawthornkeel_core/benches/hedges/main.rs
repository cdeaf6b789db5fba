//! Benefit and cost of hedged calls to one pool, simulated on a virtual clock with and without them.
//!
//! `cargo bench -p hawthornkeel_core --bench hedges`; fails if hedges waste more than 2% of the
//! work, if attainment is below 99.9%, or, while all targets are slow, below that without hedges.

#![allow(missing_docs)]

#[path = "../../tests/common/mod.rs"]
mod common;
mod simulation;

use std::process::ExitCode;
use std::time::Duration;

use hawthornkeel_core::routing::RouterSettings;

use crate::simulation::Fault;
use crate::simulation::Simulation;
use crate::simulation::Totals;

/// Lowest share of requests answered in full unless all targets are slow.
const MIN_ATTAINMENT: f64 = 0.999;
/// Largest share of the work that hedges may add to the wasted work.
const MAX_WASTED: f64 = 0.02;
/// Cases of the table.
const CASES: [(&str, Fault); 4] = [
    ("no fault", Fault::None),
    ("one call in 200 takes 20 times as long", Fault::SlowCalls),
    ("one of 8 targets slows tenfold for 30 s", Fault::SlowTarget),
    ("all targets slow tenfold for 10 s", Fault::SlowPool),
];

fn main() -> ExitCode {
    println!("| case | hedges | p50 | p99 | p99.9 | worst | attainment | hedged | wasted |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut bounds_hold = true;
    for (name, fault) in CASES {
        let off = Simulation::new(settings(false), fault).run();
        print_row(name, false, &off);
        let on = Simulation::new(settings(true), fault).run();
        print_row(name, true, &on);
        let min_attainment =
            if fault == Fault::SlowPool { off.attainment() } else { MIN_ATTAINMENT };
        bounds_hold &=
            on.attainment() >= min_attainment && on.wasted() - off.wasted() <= MAX_WASTED;
    }
    if bounds_hold { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn settings(on: bool) -> RouterSettings {
    let set = RouterSettings::default();
    match on {
        true => set,
        false => RouterSettings { hedge_share: 0.0, hedge_burst: 0.0, ..set },
    }
}

fn print_row(name: &str, on: bool, totals: &Totals) {
    let at = |q: f64| Duration::from_micros(totals.times.value_at_quantile(q)).as_millis();
    println!(
        "| {name} | {} | {} ms | {} ms | {} ms | {} ms | {:.3}% | {:.2}% | {:.2}% |",
        if on { "on" } else { "off" },
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0),
        totals.attainment() * 100.0,
        totals.hedges as f64 * 100.0 / totals.requests as f64,
        totals.wasted() * 100.0,
    );
}
