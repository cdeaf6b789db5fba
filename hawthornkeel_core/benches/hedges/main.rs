//! What hedged calls bring and cost, on a virtual clock: one pool, with hedges and without.
//!
//! `cargo bench -p hawthornkeel_core --bench hedges`; fails where hedges waste 2% of the work, where
//! fewer are answered with them than without, or less than 99.9% while the targets bear the load.

#![allow(missing_docs)]

#[path = "../../tests/common/mod.rs"]
mod common;
mod site;

use std::process::ExitCode;
use std::time::Duration;

use hawthornkeel_core::routing::RouterSettings;

use crate::site::Fault;
use crate::site::Site;
use crate::site::Totals;

/// Share of requests answered in full that is the target.
const ATTAINMENT: f64 = 0.999;
/// Share of the work that may be wasted.
const WASTED: f64 = 0.02;
/// Cases in the order of the table.
const CASES: [(&str, Fault); 4] = [
    ("no fault", Fault::None),
    ("one call in 200 takes 20 times as long", Fault::Stray),
    ("one of 8 targets slows tenfold for 30 s", Fault::Target),
    ("all targets slow tenfold for 10 s", Fault::Stage),
];

fn main() -> ExitCode {
    println!("| case | hedges | p50 | p99 | p99.9 | worst | attainment | hedged | wasted |");
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut held = true;
    for (name, fault) in CASES {
        let off = Site::new(settings(false), fault).run();
        print_row(name, false, &off);
        let on = Site::new(settings(true), fault).run();
        print_row(name, true, &on);
        let wanted = if fault == Fault::Stage { off.attainment() } else { ATTAINMENT };
        held &= on.attainment() >= wanted && on.wasted() - off.wasted() <= WASTED;
    }
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
