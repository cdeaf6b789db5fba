//! Cases of the bench and the bounds that they are checked against.

use hawthornkeel_core::routing::RouterSettings;

use crate::entry::PolicyKind;
use crate::report::Row;
use crate::schedule::Schedule;
use crate::simulation::FAULT_START;
use crate::simulation::MEASURE_START;
use crate::simulation::RunConfig;
use crate::simulation::Simulation;
use crate::stats::Stats;
use crate::topology::DEADLINE;
use crate::topology::ENTRIES;
use crate::topology::POOLS;

/// Lowest attainment at up to 80% load with one fault.
const MIN_ATTAINMENT: f64 = 0.999;
/// Lowest share of the targets' capacity that is answered under overload.
const MIN_OVERLOAD_ANSWERS: f64 = 0.95;
/// Limit of the share of busy time whose result no caller received.
const MAX_WASTE: f64 = 0.02;

/// Load, fault schedule and seed of a run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub load: f64,
    pub schedule: Schedule,
    pub seed: u64,
}

impl Case {
    /// Runs the case with a policy.
    pub fn run(self, kind: PolicyKind) -> Stats {
        let Self { load, schedule, seed } = self;
        Simulation::new(RunConfig { kind, load, schedule, seed }).run()
    }

    /// Returns the load and the faults as printed in tables.
    pub fn label(self) -> String {
        format!("{:>4.0}% {}", self.load * 100.0, self.schedule.label())
    }

    /// Runs the case with both policies and prints a row of the table.
    pub fn compare(self) -> Row {
        let (router, baseline) = (self.run(PolicyKind::Router), self.run(PolicyKind::Baseline));
        println!("{:<29} | {} | {}", self.label(), format_cells(&router), format_cells(&baseline));
        if std::env::var_os("POLICY_DETAIL").is_some() {
            println!("      router {:?}", router.reasons);
            println!(
                "      refused {} late {} failed {}",
                router.refused, router.late, router.failed
            );
            println!("      {:?}", router.refusals);
            println!("      by workspace {:?}", router.by_workspace);
        }
        Row { case: self, router, baseline }
    }

    /// Returns the bounds that a run of the router violates.
    pub fn violations(self, router: &Stats) -> Vec<String> {
        let single = self.schedule.is_single();
        let violations =
            if single { self.check_single_fault(router) } else { self.check_recovery(router) };
        violations.into_iter().map(|text| format!("{}: {text}", self.label().trim())).collect()
    }

    /// Checks a run with at most one fault.
    fn check_single_fault(self, router: &Stats) -> Vec<String> {
        let mut violations = check_common(router);
        let attained = router.attainment();
        if self.load <= 0.8 && attained < MIN_ATTAINMENT {
            violations.push(format!("attainment {:.3}%", attained * 100.0));
        }
        let share = router.capacity_share();
        if self.load > 1.0 && share < MIN_OVERLOAD_ANSWERS {
            violations.push(format!("answers are {share:.3} of the targets' capacity"));
        }
        violations
    }

    /// Checks a run with several faults.
    ///
    /// The backlog is at most one deadline of arrivals and is drained by the spare capacity. Retries
    /// of calls that may have run are paid from retry budgets: one for each pool at each entry, and
    /// a new one whenever an entry restarts.
    fn check_recovery(self, router: &Stats) -> Vec<String> {
        let mut violations = check_common(router);
        let ends = self.schedule.end().since(FAULT_START).as_secs() as usize;
        let seconds = router.recovery_seconds(fault_second()).saturating_sub(ends);
        let max_seconds = DEADLINE.as_secs_f64() * self.load / (1.0 - self.load);
        if seconds as f64 > max_seconds {
            violations.push(format!(
                "recovered {seconds} s after the last fault, at most {max_seconds:.0} s"
            ));
        }
        let settings = RouterSettings::default();
        let entry_runs = ENTRIES + self.schedule.entry_restarts();
        for (stage, pool) in POOLS.iter().enumerate() {
            let (first_calls, retries) =
                (router.first_calls[stage] as f64, router.budgeted_retries[stage] as f64);
            let budget =
                first_calls * settings.retry_share + entry_runs as f64 * settings.retry_burst;
            if retries > budget {
                violations.push(format!(
                    "{retries} retries of calls to {} that may have run, at most {budget:.0}",
                    pool.name
                ));
            }
        }
        violations
    }
}

/// Checks the bounds that apply to all faults.
fn check_common(router: &Stats) -> Vec<String> {
    let mut violations = Vec::new();
    if router.waste() >= MAX_WASTE {
        violations.push(format!("wasted work {:.2}%", router.waste() * 100.0));
    }
    if router.crashes > 0 {
        violations.push(format!("{} cold targets crashed", router.crashes));
    }
    violations
}

/// Returns the second of the measurement in which the faults start.
pub fn fault_second() -> usize {
    FAULT_START.since(MEASURE_START).as_secs() as usize
}

/// Formats the figures of a run as cells of the table.
fn format_cells(stats: &Stats) -> String {
    format!(
        "{:>7.3}% {:>6.3} {:>6.2}% {:>6.1}% {:>3} s {:>3}",
        stats.attainment() * 100.0,
        stats.capacity_share(),
        stats.waste() * 100.0,
        stats.worst_second(fault_second()) * 100.0,
        stats.recovery_seconds(fault_second()),
        stats.crashes,
    )
}
