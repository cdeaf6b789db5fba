//! Cases of the bench, and the bounds that they are held to.

use hawthornkeel_core::routing::RouterSettings;

use crate::entry::PolicyKind;
use crate::report::Row;
use crate::schedule::Schedule;
use crate::sites::DEADLINE;
use crate::sites::ENTRIES;
use crate::sites::POOLS;
use crate::stats::Stats;
use crate::world::FAULT_AT;
use crate::world::MEASURE_AT;
use crate::world::Run;
use crate::world::World;

/// Attainment at 80% load with one fault at a time, at least.
const ATTAINMENT_MIN: f64 = 0.999;
/// Answers at 130% load as a share of what the targets can do, at least.
const OVERLOAD_MIN: f64 = 0.95;
/// Share of busy time whose result no caller got, at most.
const WASTE_MAX: f64 = 0.02;

/// Case of the bench.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub load: f64,
    pub schedule: Schedule,
    pub seed: u64,
}

impl Case {
    /// Runs the case under a policy.
    pub fn run(self, kind: PolicyKind) -> Stats {
        let Self { load, schedule, seed } = self;
        World::new(Run { kind, load, schedule, seed }).play()
    }

    /// Returns the case's load and faults, as tables name them.
    pub fn name(self) -> String {
        format!("{:>4.0}% {}", self.load * 100.0, self.schedule.name())
    }

    /// Runs the case under both policies and prints it.
    pub fn compare(self) -> Row {
        let (ours, plain) = (self.run(PolicyKind::Ours), self.run(PolicyKind::Plain));
        println!("{:<29} | {} | {}", self.name(), cells(&ours), cells(&plain));
        if std::env::var_os("POLICY_DETAIL").is_some() {
            println!("      ours {:?}", ours.reasons);
            println!("      refused {} late {} failed {}", ours.refused, ours.late, ours.failed);
            println!("      {:?}", ours.refusals);
            println!("      by workspace {:?}", ours.by_workspace);
        }
        Row { case: self, ours, plain }
    }

    /// Returns the bounds that a run of our policy breaks.
    pub fn broken(self, ours: &Stats) -> Vec<String> {
        let single = self.schedule.is_single();
        let broken = if single { self.check(ours) } else { self.check_return(ours) };
        broken.into_iter().map(|text| format!("{}: {text}", self.name().trim())).collect()
    }

    /// Returns the bounds that a run of our policy breaks under one fault.
    fn check(self, ours: &Stats) -> Vec<String> {
        let mut broken = check_always(ours);
        let attained = ours.attainment();
        if self.load <= 0.8 && attained < ATTAINMENT_MIN {
            broken.push(format!("attainment {:.3}%", attained * 100.0));
        }
        let part = ours.of_can_do();
        if self.load > 1.0 && part < OVERLOAD_MIN {
            broken.push(format!("answers {part:.3} of what targets can do"));
        }
        broken
    }

    /// Returns the bounds that a run of our policy breaks under several faults.
    ///
    /// Waiting work is no older than the deadline, and the spare capacity works it off. Repeated
    /// calls that may have run come from the budgets, of which each run of an entry has one a pool.
    fn check_return(self, ours: &Stats) -> Vec<String> {
        let mut broken = check_always(ours);
        let ends = self.schedule.end().since(FAULT_AT).as_secs() as usize;
        let after = ours.to_level(fault_second()).saturating_sub(ends);
        let most = DEADLINE.as_secs_f64() * self.load / (1.0 - self.load);
        if after as f64 > most {
            broken.push(format!("level {after} s after the last fault, at most {most:.0} s"));
        }
        let set = RouterSettings::default();
        let runs = ENTRIES + self.schedule.restarts();
        for (stage, pool) in POOLS.iter().enumerate() {
            let (firsts, reruns) = (ours.firsts[stage] as f64, ours.reruns[stage] as f64);
            let budget = firsts * set.retry_share + runs as f64 * set.retry_burst;
            if reruns > budget {
                broken
                    .push(format!("{reruns} repeated calls to {}, at most {budget:.0}", pool.name));
            }
        }
        broken
    }
}

/// Returns the bounds that a run of our policy breaks whatever the faults.
fn check_always(ours: &Stats) -> Vec<String> {
    let mut broken = Vec::new();
    if ours.waste() >= WASTE_MAX {
        broken.push(format!("wasted work {:.2}%", ours.waste() * 100.0));
    }
    if ours.falls > 0 {
        broken.push(format!("{} cold targets fell over", ours.falls));
    }
    broken
}

/// Returns the second of the measure in which faults start.
pub fn fault_second() -> usize {
    FAULT_AT.since(MEASURE_AT).as_secs() as usize
}

/// Returns the cells of a run in the table.
fn cells(stats: &Stats) -> String {
    format!(
        "{:>7.3}% {:>6.3} {:>6.2}% {:>6.1}% {:>3} s {:>3}",
        stats.attainment() * 100.0,
        stats.of_can_do(),
        stats.waste() * 100.0,
        stats.worst(fault_second()) * 100.0,
        stats.to_level(fault_second()),
        stats.falls,
    )
}
