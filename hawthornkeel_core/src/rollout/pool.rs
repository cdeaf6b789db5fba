//! What an entry knows of the last rollout of one pool.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::LogIndex;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::TargetName;
use crate::rollout::controller::RolloutSettings;
use crate::rollout::counts::OutcomeTable;
use crate::rollout::message::RolloutGrant;
use crate::rollout::record::RolloutPhase;
use crate::rollout::record::RolloutRecord;
use crate::rollout::sessions::TrialSessions;
use crate::rollout::versions;
use crate::rollout::versions::VersionRule;
use crate::time::Instant;

/// Bounds on the interval between reports that a grant asks for.
const REPORT_BOUNDS: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(5));

/// What the leader lets an entry send.
#[derive(Clone, Copy, Debug)]
struct Grant {
    share_permille: u32,
    limit: u64,
    expires: Instant,
}

/// What an entry knows of the last rollout of one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolRollout {
    pub(super) pool: PoolName,
    pub(super) id: LogIndex,
    pub(super) version: SoftwareVersion,
    pub(super) phase: RolloutPhase,
    replaced: Rc<[SoftwareVersion]>,
    /// Targets of the new version that the list names, in trial order.
    listed: Vec<TargetName>,
    trial: Rc<IndexSet<TargetName>>,
    grant: Option<Grant>,
    /// Interval between reports that the leader asks for in a phase.
    interval: Option<(RolloutPhase, Duration)>,
    /// Report that the last grant answers.
    answered: u64,
    pub(super) sequence: u64,
    pub(super) next_report: Instant,
    pub(super) arrivals: u64,
    pub(super) sent: u64,
    pub(super) outcomes: OutcomeTable,
    sessions: TrialSessions,
}

impl PoolRollout {
    /// Creates the knowledge of a rollout that was just learned; the first report is due at once.
    pub(super) fn new(now: Instant, record: &RolloutRecord) -> Self {
        Self {
            pool: record.order.pool.clone(),
            id: record.id,
            version: record.order.version.clone(),
            phase: record.phase,
            replaced: record.replaced.as_slice().into(),
            listed: Vec::new(),
            trial: Rc::default(),
            grant: None,
            interval: None,
            answered: 0,
            sequence: 0,
            next_report: now,
            arrivals: 0,
            sent: 0,
            outcomes: OutcomeTable::default(),
            sessions: TrialSessions::default(),
        }
    }

    /// Applies a record of the same rollout; returns whether its phase changed.
    pub(super) fn update(&mut self, now: Instant, record: &RolloutRecord) -> bool {
        if order_of(record.phase) < order_of(self.phase) {
            return false;
        }
        self.replaced = record.replaced.as_slice().into();
        self.advance(now, record.phase)
    }

    /// Enters a later phase; returns whether it is another one.
    fn advance(&mut self, now: Instant, phase: RolloutPhase) -> bool {
        if order_of(phase) <= order_of(self.phase) {
            return false;
        }
        self.phase = phase;
        self.next_report = now;
        self.sessions.clear();
        true
    }

    /// Sets the targets of the new version that the list names.
    pub(super) fn set_targets(&mut self, listed: Vec<TargetName>) {
        self.listed = listed;
        versions::sort_for_trial(&self.pool, &self.version, &mut self.listed);
        self.update_trial();
    }

    fn update_trial(&mut self) {
        let share = self.grant.map_or(0, |g| g.share_permille);
        let trial = versions::trial_targets(&self.listed, share);
        if *self.trial != trial {
            self.trial = Rc::new(trial);
        }
    }

    /// Returns the rule for a request that goes on with no stream.
    pub(super) fn rule(&self, now: Instant, session: u64) -> VersionRule {
        let version = || self.version.clone();
        match self.phase {
            RolloutPhase::Trial if self.is_in_trial(now, session) => {
                VersionRule::Trial { version: version(), targets: Rc::clone(&self.trial) }
            }
            RolloutPhase::Trial => VersionRule::Others { version: version() },
            RolloutPhase::Switching => VersionRule::Only { version: version() },
            RolloutPhase::Completed | RolloutPhase::RolledBack => self.stream_rule(),
        }
    }

    /// Returns the rule for a request that goes on with a stream, beside that the version which began
    /// the stream goes on with it.
    pub(super) fn stream_rule(&self) -> VersionRule {
        match self.phase {
            RolloutPhase::Trial | RolloutPhase::Switching => VersionRule::Any,
            RolloutPhase::Completed => VersionRule::Without { versions: Rc::clone(&self.replaced) },
            RolloutPhase::RolledBack => VersionRule::RolledBack { version: self.version.clone() },
        }
    }

    fn is_in_trial(&self, now: Instant, session: u64) -> bool {
        self.grant.is_some_and(|grant| {
            now < grant.expires
                && self.sent < grant.limit
                && versions::is_in_share(session, self.id, grant.share_permille)
                && !self.sessions.has_left(session)
        })
    }

    /// Records a request of a session that is sent by a rule.
    pub(super) fn record_sent(
        &mut self,
        rule: &VersionRule,
        version: &SoftwareVersion,
        session: u64,
    ) {
        let is_new = *version == self.version;
        self.sent = self.sent.saturating_add(u64::from(is_new));
        match rule {
            VersionRule::Trial { .. } if is_new => self.sessions.enter(session),
            VersionRule::Others { .. } if !is_new => self.sessions.leave(session),
            _ => {}
        }
    }

    /// Applies the answer to a report that was sent at `sent`; returns whether it tells that this
    /// entry does not know the latest record.
    pub(super) fn apply_grant(
        &mut self,
        now: Instant,
        sent: Instant,
        sequence: u64,
        grant: Option<RolloutGrant>,
    ) -> bool {
        if sequence <= self.answered {
            return false;
        }
        self.answered = sequence;
        let Some(grant) = grant else {
            self.grant = None;
            return true;
        };
        let is_ahead = order_of(grant.phase) > order_of(self.phase);
        if grant.phase != RolloutPhase::Completed {
            // The versions that a completed rollout has replaced are known from its record only.
            self.advance(now, grant.phase);
        }
        let report = Duration::from_millis(grant.report_ms.into());
        self.interval = Some((grant.phase, report.clamp(REPORT_BOUNDS.0, REPORT_BOUNDS.1)));
        self.grant = Some(Grant {
            share_permille: grant.share_permille,
            limit: grant.limit,
            expires: sent + Duration::from_millis(grant.ttl_ms.into()),
        });
        self.update_trial();
        is_ahead
    }

    /// Returns whether a grant has expired since this was last asked.
    pub(super) fn take_expired(&mut self, now: Instant) -> bool {
        let expired = self.grant.is_some_and(|g| now >= g.expires);
        if expired {
            self.grant = None;
        }
        expired && self.phase == RolloutPhase::Trial
    }

    /// Returns the interval between reports in the current phase.
    pub(super) fn report_interval(&self, settings: &RolloutSettings) -> Duration {
        let asked = self.interval.filter(|(phase, _)| *phase == self.phase);
        let usual = match self.phase {
            RolloutPhase::Switching => settings.switch_interval,
            _ => settings.report_interval,
        };
        asked.map_or(usual, |(_, interval)| interval)
    }
}

/// Returns the position of a phase in the course of a rollout.
fn order_of(phase: RolloutPhase) -> u8 {
    match phase {
        RolloutPhase::Trial => 0,
        RolloutPhase::Switching => 1,
        RolloutPhase::Completed | RolloutPhase::RolledBack => 2,
    }
}
