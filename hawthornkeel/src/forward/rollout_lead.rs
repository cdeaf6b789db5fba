//! What an instance knows of rollouts while it leads: their controller, and what it was told.

use std::time::Duration;

use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Term;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::SoftwareVersion;
use hawthornkeel_core::rollout::controller::Action;
use hawthornkeel_core::rollout::controller::Input;
use hawthornkeel_core::rollout::controller::RolloutController;
use hawthornkeel_core::rollout::controller::RolloutSettings;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Time from an order within which an entry that reads rollouts has reported.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of usable targets of a pool, by version.
type Versions = IndexMap<SoftwareVersion, usize>;

/// Controller of rollouts during one term of this instance as leader.
pub struct RolloutLead {
    /// Term.
    pub term: Term,
    /// Controller.
    pub controller: RolloutController,
    known: IndexMap<PoolName, Known>,
}

/// What the controller was told of a pool.
struct Known {
    record: RolloutRecord,
    versions: Option<Versions>,
    /// Mark of the list that the targets were counted in.
    mark: Option<u64>,
    /// Entries that have reported about the rollout.
    reporters: IndexSet<InstanceName>,
    /// Time from which the reports are counted.
    began: Instant,
    /// Whether entries that don't report were looked for.
    checked: bool,
}

impl Known {
    fn is_check_due(&self, now: Instant) -> bool {
        let is_running = self.record.phase.is_running();
        !self.checked && is_running && now.since(self.began) >= REPORT_TIMEOUT
    }
}

/// Entries of a pool that have not reported about its rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SilentEntries {
    /// Pool.
    pub pool: PoolName,
    /// Rollout.
    pub id: LogIndex,
    /// Entries.
    pub entries: Vec<InstanceName>,
}

impl RolloutLead {
    /// Creates the controller for a term.
    pub fn new(term: Term, settings: RolloutSettings) -> Self {
        Self { term, controller: RolloutController::new(settings), known: IndexMap::new() }
    }

    /// Tells the controller what has changed: records, with the time since their orders, and targets.
    ///
    /// Without a list nothing is told about targets: none were looked for yet.
    pub fn update(
        &mut self,
        now: Instant,
        records: Vec<(RolloutRecord, Duration)>,
        list: Option<&TargetList>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for (record, elapsed) in records {
            let pool = record.order.pool.clone();
            let is_new_record = self.learn(now, &record);
            if is_new_record {
                actions.extend(self.controller.handle(now, Input::Record { record, elapsed }));
            }
            let (Some(list), Some(known)) = (list, self.known.get_mut(&pool)) else { continue };
            if !is_new_record && known.mark == Some(list.mark) {
                continue;
            }
            known.mark = Some(list.mark);
            let versions = usable_targets(list, &pool);
            if is_new_record || known.versions.as_ref() != Some(&versions) {
                known.versions = Some(versions.clone());
                actions.extend(self.controller.handle(now, Input::Targets { pool, versions }));
            }
        }
        actions
    }

    /// Notes a record, and returns whether it is another one than before.
    fn learn(&mut self, now: Instant, record: &RolloutRecord) -> bool {
        match self.known.get_mut(&record.order.pool) {
            Some(known) if known.record == *record => false,
            Some(known) if known.record.id == record.id => {
                known.record = record.clone();
                true
            }
            _ => {
                let known = Known {
                    record: record.clone(),
                    versions: None,
                    mark: None,
                    reporters: IndexSet::new(),
                    began: now,
                    checked: false,
                };
                self.known.insert(record.order.pool.clone(), known);
                true
            }
        }
    }

    /// Passes a report to the controller.
    pub fn report(
        &mut self,
        now: Instant,
        from: InstanceName,
        report: RolloutReport,
    ) -> Vec<Action> {
        if let Some(known) = self.known.get_mut(&report.pool)
            && known.record.id == report.id
        {
            known.reporters.insert(from.clone());
        }
        self.controller.handle(now, Input::Report { from, report })
    }

    /// Returns whether the entries that don't report about a rollout are to be looked for.
    pub fn is_check_due(&self, now: Instant) -> bool {
        self.known.values().any(|known| known.is_check_due(now))
    }

    /// Returns, once for each running rollout, the entries of `serving` that should have reported about
    /// it and have not: those of older builds, whose requests no limit of the trial bounds.
    pub fn silent_entries(&mut self, now: Instant, serving: &[InstanceName]) -> Vec<SilentEntries> {
        let due = self.known.iter_mut().filter(|(_, known)| known.is_check_due(now));
        due.map(|(pool, known)| {
            known.checked = true;
            let is_silent = |name: &&InstanceName| !known.reporters.contains(*name);
            let entries = serving.iter().filter(is_silent).cloned().collect();
            SilentEntries { pool: pool.clone(), id: known.record.id, entries }
        })
        .filter(|silent| !silent.entries.is_empty())
        .collect()
    }
}

/// Counts the targets of a pool that are listed and don't leave.
fn usable_targets(list: &TargetList, pool: &PoolName) -> Versions {
    let mut versions = Versions::new();
    for target in list.targets.iter().filter(|t| t.pool == *pool && !t.leaving) {
        *versions.entry(target.version.clone()).or_default() += 1;
    }
    versions.sort_keys();
    versions
}
