//! Cases of the second review that are shown with the project's own processes.
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cold_runner;
mod core_replaced;
mod fleet;
mod slow_runner;

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let case = std::env::args().nth(1).unwrap_or_default();
    let run = || match case.as_str() {
        "cold-runner" => cold_runner::run(trouble),
        "core-replaced" => core_replaced::run(trouble),
        "slow-runner" => slow_runner::run(trouble),
        _ => 2,
    };
    std::process::exit(std::panic::catch_unwind(run).unwrap_or(2));
}
