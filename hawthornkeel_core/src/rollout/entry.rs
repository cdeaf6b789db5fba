//! Entry's side of rollouts: which versions its requests may go to, what the leader has granted it,
//! and what it reports.

use indexmap::IndexMap;

use crate::fleet::ListedTarget;
use crate::ids::LogIndex;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::TargetName;
use crate::rollout::controller::RolloutSettings;
use crate::rollout::counts::Answer;
use crate::rollout::message::RolloutGrant;
use crate::rollout::message::RolloutReport;
use crate::rollout::message::RolloutView;
use crate::rollout::pool::PoolRollout;
use crate::rollout::record::RolloutPhase;
use crate::rollout::versions::VersionRule;
use crate::time::Instant;

/// Part of the interval between reports by which two reports may be closer or further apart.
const JITTER: f64 = 0.1;

/// Rollout as an entry has it in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownRollout {
    /// Pool.
    pub pool: PoolName,
    /// Rollout.
    pub id: LogIndex,
    /// New version.
    pub version: SoftwareVersion,
    /// Phase.
    pub phase: RolloutPhase,
}

/// Change that an entry has learned of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutNews {
    /// A rollout that this entry did not know.
    Learned(KnownRollout),
    /// A rollout has entered another phase.
    Moved(KnownRollout),
}

/// Answer to a report.
#[derive(Clone, Debug)]
pub struct GrantReply<'a> {
    /// Pool of the report.
    pub pool: &'a PoolName,
    /// Rollout of the report.
    pub id: LogIndex,
    /// Number of the report.
    pub sequence: u64,
    /// Time at which the report was sent.
    pub sent: Instant,
    /// Grant; `None` if no such rollout goes on.
    pub grant: Option<RolloutGrant>,
}

/// What the answer to a report tells beside the grant.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GrantEffect {
    /// Whether this entry does not know the latest record.
    pub is_behind: bool,
    /// Rollout, if it has entered another phase.
    pub moved: Option<KnownRollout>,
}

/// Rollouts of all pools as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct EntryRollouts {
    settings: RolloutSettings,
    /// Random number of this entry's process.
    process: u64,
    /// Log position of the last view.
    index: Option<LogIndex>,
    pools: IndexMap<PoolName, PoolRollout>,
}

impl EntryRollouts {
    /// Creates the knowledge of an entry that has just started; `process` is a random number.
    pub fn new(process: u64) -> Self {
        Self { process, ..Self::default() }
    }

    /// Returns the log position of the last view, `None` before the first.
    pub fn index(&self) -> Option<LogIndex> {
        self.index
    }

    /// Returns whether no rollout is known, so that requests may go to any version.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Returns the rollouts that are running.
    pub fn running(&self) -> impl Iterator<Item = KnownRollout> {
        self.pools.values().filter(|p| p.phase.is_running()).map(known)
    }

    /// Applies the rollouts that a control instance knows, and returns what is new.
    ///
    /// Records that are older than the known ones change nothing, as control instances may lag.
    pub fn apply(&mut self, now: Instant, view: &RolloutView) -> Vec<RolloutNews> {
        self.index = self.index.max(Some(view.index));
        let mut news = Vec::new();
        for record in &view.records {
            match self.pools.get_mut(&record.order.pool) {
                Some(rollout) if rollout.id == record.id => {
                    if rollout.update(now, record) {
                        news.push(RolloutNews::Moved(known(rollout)));
                    }
                }
                Some(rollout) if rollout.id > record.id => {}
                _ => {
                    let rollout = PoolRollout::new(now, record);
                    news.push(RolloutNews::Learned(known(&rollout)));
                    self.pools.insert(record.order.pool.clone(), rollout);
                }
            }
        }
        news
    }

    /// Sets the targets that may be part of a trial, from which each running rollout takes those of
    /// its pool and version.
    ///
    /// All entries must pass the same targets, so what single entries know of them does not count.
    pub fn set_targets<'a>(&mut self, listed: impl Iterator<Item = &'a ListedTarget> + Clone) {
        for rollout in self.pools.values_mut().filter(|p| p.phase.is_running()) {
            let is_new = |t: &&ListedTarget| t.pool == rollout.pool && t.version == rollout.version;
            let targets: Vec<TargetName> =
                listed.clone().filter(is_new).map(|t| t.name.clone()).collect();
            rollout.set_targets(targets);
        }
    }

    /// Returns the versions that a request may go to which goes on with no stream.
    pub fn rule(&self, now: Instant, pool: &PoolName, session: u64) -> VersionRule {
        self.pools.get(pool).map_or(VersionRule::Any, |p| p.rule(now, session))
    }

    /// Returns the versions that a request may go to which goes on with a stream, of which the one
    /// that began the stream goes on with it.
    pub fn stream_rule(&self, pool: &PoolName) -> VersionRule {
        self.pools.get(pool).map_or(VersionRule::Any, PoolRollout::stream_rule)
    }

    /// Counts a request that was admitted for a pool for the first time.
    pub fn record_arrival(&mut self, pool: &PoolName) {
        if let Some(rollout) = self.running_mut(pool) {
            rollout.arrivals = rollout.arrivals.saturating_add(1);
        }
    }

    /// Counts a request of a session that is now sent to a target with some version by a rule; returns
    /// whether the pool is in a rollout.
    pub fn record_sent(
        &mut self,
        pool: &PoolName,
        rule: &VersionRule,
        version: &SoftwareVersion,
        session: u64,
    ) -> bool {
        let rollout = self.running_mut(pool);
        rollout.map(|r| r.record_sent(rule, version, session)).is_some()
    }

    /// Counts a response of a target with some version; returns whether the pool is in a rollout.
    pub fn record_answer(
        &mut self,
        pool: &PoolName,
        version: &SoftwareVersion,
        answer: &Answer<'_>,
    ) -> bool {
        let Some(rollout) = self.running_mut(pool) else { return false };
        match *version == rollout.version {
            true => rollout.outcomes.record_new(answer),
            false => rollout.outcomes.record_old(answer),
        }
        true
    }

    /// Returns the time at which the next report about a rollout is due, `None` if it does not run.
    pub fn next_report(&self, pool: &PoolName, id: LogIndex) -> Option<Instant> {
        let rollout = self.pools.get(pool).filter(|p| p.id == id && p.phase.is_running())?;
        Some(rollout.next_report)
    }

    /// Returns a report about a running rollout. The next one is due after the interval between
    /// reports, which `jitter`, from zero to one, makes shorter or longer.
    ///
    /// `old_running` is the number of this entry's requests that run at other versions.
    pub fn report(
        &mut self,
        now: Instant,
        pool: &PoolName,
        old_running: u32,
        jitter: f64,
    ) -> Option<RolloutReport> {
        let (process, settings) = (self.process, self.settings);
        let rollout = self.running_mut(pool)?;
        let factor = 1.0 + JITTER * (2.0 * jitter.clamp(0.0, 1.0) - 1.0);
        rollout.next_report = now + rollout.report_interval(&settings).mul_f64(factor);
        rollout.sequence += 1;
        Some(RolloutReport {
            pool: pool.clone(),
            id: rollout.id,
            process,
            sequence: rollout.sequence,
            phase: rollout.phase,
            arrivals: rollout.arrivals,
            sent: rollout.sent,
            old_running,
            rows: rollout.outcomes.rows(),
        })
    }

    /// Applies the answer to a report. Answers to reports before the last one that was answered change
    /// nothing.
    pub fn apply_grant(&mut self, now: Instant, reply: &GrantReply<'_>) -> GrantEffect {
        let rollout = self.running_mut(reply.pool).filter(|r| r.id == reply.id);
        let Some(rollout) = rollout else { return GrantEffect::default() };
        let before = rollout.phase;
        let is_behind = rollout.apply_grant(now, reply.sent, reply.sequence, reply.grant);
        let moved = (rollout.phase != before).then(|| known(rollout));
        GrantEffect { is_behind, moved }
    }

    /// Returns whether the grant of a pool has expired since this was last asked, during its trial.
    pub fn take_expired(&mut self, now: Instant, pool: &PoolName) -> bool {
        self.running_mut(pool).is_some_and(|r| r.take_expired(now))
    }

    fn running_mut(&mut self, pool: &PoolName) -> Option<&mut PoolRollout> {
        self.pools.get_mut(pool).filter(|p| p.phase.is_running())
    }
}

fn known(rollout: &PoolRollout) -> KnownRollout {
    KnownRollout {
        pool: rollout.pool.clone(),
        id: rollout.id,
        version: rollout.version.clone(),
        phase: rollout.phase,
    }
}
