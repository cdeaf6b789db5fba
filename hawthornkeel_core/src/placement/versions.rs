//! Targets and rollouts: which targets a rule on versions leaves for a request.

use std::cell::Cell;
use std::rc::Rc;

use crate::fleet::ListedTarget;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::placement::balancer::Balancer;
use crate::placement::balancer::Target;
use crate::placement::choice::ChosenTarget;
use crate::placement::choice::TargetQuery;
use crate::rollout::versions::Preference;
use crate::rollout::versions::VersionRule;
use crate::time::Instant;

/// Order in which targets are chosen: a lower rank comes first, whatever the score.
///
/// Where another version may get the request, unreachable targets come last, so that they don't hide
/// those of that version.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    is_unreachable: bool,
    preference: Preference,
}

impl Rank {
    /// Rank of all targets where no rule applies.
    const FIRST: Self = Self { is_unreachable: false, preference: Preference::First };

    /// Returns whether a target of this rank is chosen in place of one of the version that the rule
    /// asks for.
    pub(super) fn is_fall_back(self, rule: &VersionRule) -> bool {
        matches!(rule, VersionRule::Only { .. }) && self.preference == Preference::Second
    }
}

/// Requests that run at targets which the list no longer names.
#[derive(Clone, Debug, Default)]
pub(super) struct Departed(Vec<(PoolName, SoftwareVersion, Rc<Cell<u32>>)>);

impl Departed {
    /// Keeps count of the requests that run at targets that have left.
    pub(super) fn add(&mut self, targets: impl Iterator<Item = Target>) {
        self.0.retain(|(_, _, running)| running.get() > 0);
        let running = targets.filter(|t| t.in_flight.get() > 0).map(|t| {
            let ListedTarget { pool, version, .. } = t.listed;
            (pool, version, t.in_flight)
        });
        self.0.extend(running);
    }
}

impl Balancer {
    /// Returns the targets that all entries with the same list and document count alike: those that the
    /// platform does not take out of service.
    pub fn listed_targets(&self) -> impl Iterator<Item = &ListedTarget> + Clone {
        let listed = self.targets.values().map(|t| &t.listed);
        listed.filter(|t| !t.leaving && !self.taken_out.contains(&t.centre))
    }

    /// Returns the number of this entry's requests that run at targets of a pool with other versions
    /// than one.
    pub fn running_at_others(&self, pool: &PoolName, version: &SoftwareVersion) -> u32 {
        let listed = self.targets.values().map(|t| (&t.listed, t.in_flight.get()));
        let listed = listed.map(|(l, count)| (&l.pool, &l.version, count));
        let departed = self.departed.0.iter().map(|(p, v, running)| (p, v, running.get()));
        let others = listed.chain(departed).filter(|(p, v, _)| *p == pool && *v != version);
        others.fold(0, |sum, (_, _, count)| sum.saturating_add(count))
    }

    /// Returns whether a target that was chosen for a request may get it now.
    pub fn allows(
        &self,
        now: Instant,
        pool: &PoolName,
        rule: &VersionRule,
        to: &ChosenTarget,
    ) -> bool {
        match (rule, rule.preference(&to.name, &to.version)) {
            (_, None) => false,
            (VersionRule::Only { version }, Some(Preference::Second)) => {
                to.fall_back || !self.has_usable(now, pool, |v| v == version)
            }
            (_, Some(Preference::First | Preference::Second)) => true,
            (_, Some(Preference::LastResort)) => self.opens_last_resort(now, pool, rule),
        }
    }

    /// Returns the rank of a target under the rule of a query, or `None` if it must not get the
    /// request.
    pub(super) fn rank(
        &self,
        now: Instant,
        index: usize,
        query: &TargetQuery<'_>,
        last_resort: bool,
    ) -> Option<Rank> {
        if *query.rule == VersionRule::Any {
            return Some(Rank::FIRST);
        }
        let (name, target) = self.targets.get_index(index)?;
        let preference = query.rule.preference(name, &target.listed.version)?;
        let is_closed = preference == Preference::LastResort && !last_resort;
        let is_unreachable = query.rule.falls_back() && target.is_unreachable(now);
        (!is_closed).then_some(Rank { is_unreachable, preference })
    }

    /// Returns whether a rule leaves no other targets than those of last resort.
    pub(super) fn opens_last_resort(
        &self,
        now: Instant,
        pool: &PoolName,
        rule: &VersionRule,
    ) -> bool {
        match rule {
            VersionRule::Any | VersionRule::Only { .. } | VersionRule::Without { .. } => false,
            VersionRule::Trial { version, .. } | VersionRule::Others { version } => {
                !self.has_usable(now, pool, |v| v != version)
            }
            VersionRule::RolledBack { version } => {
                let mut of_pool = self.targets.values().filter(|t| t.listed.pool == *pool);
                of_pool.all(|t| t.listed.version == *version)
            }
        }
    }

    /// Returns whether a target of a pool with one of some versions may get work and can be reached.
    fn has_usable(
        &self,
        now: Instant,
        pool: &PoolName,
        is_one: impl Fn(&SoftwareVersion) -> bool,
    ) -> bool {
        let is_usable = |t: &Target| self.is_usable(t) && !t.is_unreachable(now);
        let mut of_pool = self.targets.values().filter(|t| t.listed.pool == *pool);
        of_pool.any(|t| is_one(&t.listed.version) && is_usable(t))
    }
}

impl Target {
    /// Returns whether a call has lately not reached it.
    fn is_unreachable(&self, now: Instant) -> bool {
        self.health.is_unreached() && self.health.is_paused(now)
    }
}
