//! Judgement of a new version by the responses of its targets, compared with the old versions.
//!
//! Entries report totals by route, data centre and target. Their increments are gathered into slices of
//! [`SLICE`]; in each, the bad responses of a new target are compared with the share of bad responses of
//! the old versions on the same route in the same data centre ([`counts`](crate::rollout::counts)). The
//! logarithms of the likelihood ratios are added up over the whole pool and over each route, and tested
//! with each single target left out ([`sequential`](crate::rollout::sequential)).
//!
//! A test for one route needs more evidence, because there are several of them; a fault on all routes
//! shows in the test of the pool after fewer responses. The error bound is divided among faults, scopes
//! and begins by the constants below.
//!
//! At the smallest base rate of 0.02, the test of the pool finds a fault from the start after these numbers
//! of responses (mean, and 99th percentile, of 2,000 simulations each):
//!
//! | failing | all targets | 3 targets, the worst left out | one route of 5, the worst left out |
//! |---|---|---|---|
//! | 10 % | 122, 305 | 249, 533 | 297, 614 |
//! | 30 % | 20, 50 | 42, 84 | 50, 100 |
//! | 100 % | 3, 3 | 6, 11 | 8, 13 |

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::RouteName;
use crate::names::TargetName;
use crate::rollout::message::CountRow;
use crate::rollout::message::OutcomeCounts;
use crate::rollout::message::RolloutReport;
use crate::rollout::record::RollBackCause;
use crate::rollout::sequential::ALTERNATIVES;
use crate::rollout::sequential::Delta;
use crate::rollout::sequential::Test;
use crate::rollout::sequential::log_ratio;
use crate::rollout::tally::Counts;
use crate::rollout::tally::Fault;
use crate::rollout::tally::Group;
use crate::time::Instant;

/// Length of a slice.
pub const SLICE: Duration = Duration::from_millis(500);
/// Bound on the probability that a good version is rolled back. The other half of the stated 0.001 is
/// left to leaders that begin the tests again and to the error of the base rates.
const ERROR_BOUND: f64 = 0.000_5;
/// Part of the bound for each of the two faults.
const FAULT_PART: f64 = 0.5;
/// Part of the bound for the test of the whole pool; its routes share the rest.
const POOL_PART: f64 = 0.7;
/// Part of the bound for faults from the start; the slices in which a fault may begin share the rest.
const START_PART: f64 = 0.7;
/// Slow responses of each new target that don't count, because its caches are empty at first. They are
/// not simply the first ones to arrive, as quicker ones that were sent later overtake them.
const FIRST_SLOW: f64 = 3.0;
/// Responses of the new version below which the log says that they were too few: with fewer, a version
/// that fails 30 % of its requests may pass.
const FEW_ANSWERS: f64 = 40.0;

type RowKey = (RouteName, CentreName, Option<TargetName>);
type ProcessKey = (InstanceName, u64);
/// Fault that is tested, and the route, or `None` for the pool.
type Scope = (Fault, Option<usize>);
/// Contributions of the open slice, one for each alternative.
type Deltas = IndexMap<Scope, [Delta; ALTERNATIVES.len()]>;

/// Test that is closest to its threshold, or furthest beyond it.
#[derive(Clone, Copy, Debug)]
struct Closest {
    scope: Scope,
    statistic: f64,
    threshold: f64,
}

impl Closest {
    fn margin(&self) -> f64 {
        self.statistic - self.threshold
    }
}

/// Judgement of one rollout.
#[derive(Clone, Debug)]
pub struct Judge {
    /// Number of slices in which a fault may begin.
    slices: f64,
    slice_from: Instant,
    processes: IndexMap<ProcessKey, IndexMap<RowKey, OutcomeCounts>>,
    routes: IndexSet<RouteName>,
    groups: IndexMap<(usize, CentreName), Group>,
    /// Targets of the new version, and how many of their slow responses are still to be ignored.
    targets: IndexMap<TargetName, f64>,
    tests: IndexMap<Scope, [Test; ALTERNATIVES.len()]>,
    old: Counts,
    new: Counts,
    changed: bool,
    closest: Option<Closest>,
}

impl Judge {
    /// Creates the judgement of a rollout that lasts for `duration`.
    pub fn new(now: Instant, duration: Duration) -> Self {
        Self {
            slices: (duration.as_secs_f64() / SLICE.as_secs_f64()).ceil().max(1.0),
            slice_from: now,
            processes: IndexMap::new(),
            routes: IndexSet::new(),
            groups: IndexMap::new(),
            targets: IndexMap::new(),
            tests: IndexMap::new(),
            old: Counts::default(),
            new: Counts::default(),
            changed: false,
            closest: None,
        }
    }

    /// Counts what a report adds to those before it of the same process. Outdated reports must not be
    /// passed in.
    pub fn record(&mut self, from: &InstanceName, report: &RolloutReport) {
        let key = (from.clone(), report.process);
        let known = self.processes.swap_remove(&key);
        let is_first = known.is_none();
        let mut rows = known.unwrap_or_default();
        for row in &report.rows {
            let id = (row.route.clone(), row.centre.clone(), row.target.clone());
            let before = rows.entry(id).or_default();
            if *before != row.counts {
                self.add(row, &Counts::between(before, &row.counts), is_first);
                before.clone_from(&row.counts);
            }
        }
        self.processes.insert(key, rows);
    }

    fn add(&mut self, row: &CountRow, counts: &Counts, is_first: bool) {
        let (route, _) = self.routes.insert_full(row.route.clone());
        let group = self.groups.entry((route, row.centre.clone())).or_default();
        self.changed = true;
        match &row.target {
            None => {
                self.old.add(counts, 1.0);
                if is_first { group.add_old_totals(counts) } else { group.add_old(counts) }
            }
            Some(name) => {
                self.new.add(counts, 1.0);
                let entry = self.targets.entry(name.clone());
                let target = entry.index();
                entry.or_insert(FIRST_SLOW);
                group.add_new(target, counts);
            }
        }
    }

    /// Tests the version. `usable` is the number of its targets that may get work. Returns why it is
    /// bad, if it is.
    pub fn evaluate(&mut self, now: Instant, usable: usize) -> Option<RollBackCause> {
        if !self.changed {
            return None;
        }
        let (deltas, ignored) = self.deltas();
        // One target alone can't tell whether it is the target or the version.
        self.closest = self.closest(&deltas, usable > 1 || self.targets.len() > 1);
        if now.since(self.slice_from) >= SLICE {
            self.close_slice(&deltas);
            self.targets.values_mut().zip(ignored).for_each(|(left, new)| *left = new);
            self.slice_from = now;
        }
        match self.closest.filter(|c| c.margin() >= 0.0)?.scope.0 {
            Fault::Failures => Some(RollBackCause::Failures),
            Fault::Slow => Some(RollBackCause::Slow),
        }
    }

    fn close_slice(&mut self, deltas: &Deltas) {
        for (scope, deltas) in deltas {
            let tests = self.tests.entry(*scope).or_default();
            for (test, delta) in tests.iter_mut().zip(deltas) {
                test.commit(delta);
            }
        }
        self.groups.values_mut().for_each(Group::close_slice);
        self.changed = false;
    }

    /// Returns what the open slice adds to the tests, and how many slow responses of each target are
    /// still to be ignored after it.
    fn deltas(&self) -> (Deltas, Vec<f64>) {
        let mut deltas = Deltas::new();
        let mut wholes: IndexMap<usize, Group> = IndexMap::new();
        for ((route, _), group) in &self.groups {
            wholes.entry(*route).or_default().add_base(group);
        }
        let mut ignored: Vec<f64> = self.targets.values().copied().collect();
        for ((route, _), group) in self.groups.iter().filter(|(_, g)| !g.targets.is_empty()) {
            let Some(whole) = wholes.get(route) else { continue };
            for fault in [Fault::Failures, Fault::Slow] {
                let Some(base) = group.base(fault, whole) else { continue };
                for (target, counts) in &group.targets {
                    let (mut bad, mut all) = counts.tally(fault, base.slow_from);
                    if let (Fault::Slow, Some(left)) = (fault, ignored.get_mut(*target)) {
                        let first = left.min(bad);
                        (bad, all, *left) = (bad - first, all - first, *left - first);
                    }
                    let ratio = |shift| log_ratio(bad, all, base.rate, shift);
                    add_ratios(&mut deltas, (fault, None), *target, ratio);
                    add_ratios(&mut deltas, (fault, Some(*route)), *target, ratio);
                }
            }
        }
        (deltas, ignored)
    }

    /// Returns the test that is closest to its threshold, or furthest beyond it.
    fn closest(&self, deltas: &Deltas, leave_out: bool) -> Option<Closest> {
        let mut all = Vec::new();
        let none = <[Test; ALTERNATIVES.len()]>::default();
        for (scope, deltas) in deltas {
            let tests = self.tests.get(scope).unwrap_or(&none);
            for ((test, delta), (_, part)) in tests.iter().zip(deltas).zip(ALTERNATIVES) {
                let value = test.value(delta, leave_out);
                let bound = part * self.bound(*scope);
                let start = -(bound * START_PART).ln();
                let later = -(bound * (1.0 - START_PART) / self.slices).ln();
                for (statistic, threshold) in [(value.sum, start), (value.cusum, later)] {
                    all.push(Closest { scope: *scope, statistic, threshold });
                }
            }
        }
        all.into_iter().max_by(|a, b| a.margin().total_cmp(&b.margin()))
    }

    /// Returns the part of the error bound for all tests of a scope.
    fn bound(&self, scope: Scope) -> f64 {
        let part = match scope.1 {
            None => POOL_PART,
            Some(_) => (1.0 - POOL_PART) / self.routes.len().max(1) as f64,
        };
        ERROR_BOUND * FAULT_PART * part
    }

    /// Returns whether too few responses of the new version came to judge it.
    pub fn has_few_answers(&self) -> bool {
        self.new.answers < FEW_ANSWERS
    }

    /// Returns what was counted and concluded, as text of key=value pairs.
    pub fn detail(&self) -> String {
        let (old, new) = (&self.old, &self.new);
        let mut text = format!(
            "old_answers={} old_failures={} new_answers={} new_failures={} new_targets={} enough={}",
            old.answers,
            old.failures,
            new.answers,
            new.failures,
            self.targets.len(),
            !self.has_few_answers(),
        );
        if let Some(Closest { scope: (fault, route), statistic, threshold }) = self.closest {
            let test = match fault {
                Fault::Failures => "failures",
                Fault::Slow => "slow",
            };
            let route = route.and_then(|r| self.routes.get_index(r));
            let route = route.map_or("all", RouteName::as_str);
            text += &format!(
                " test={test} route={route} statistic={statistic:.2} threshold={threshold:.2}"
            );
        }
        text
    }
}

fn add_ratios(deltas: &mut Deltas, scope: Scope, target: usize, ratio: impl Fn(f64) -> f64) {
    let deltas = deltas.entry(scope).or_default();
    for (delta, (shift, _)) in deltas.iter_mut().zip(ALTERNATIVES) {
        delta.add(target, ratio(shift));
    }
}
