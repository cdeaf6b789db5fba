//! Which versions of a pool's targets may get a request while the pool is in a rollout or has had
//! one.

use std::rc::Rc;

use indexmap::IndexSet;
use xxhash_rust::xxh3::Xxh3Default;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::LogIndex;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::TargetName;

/// Minimum number of targets of a trial: with a single one, a broken target can't be told from a bad
/// version.
const MIN_TRIAL_TARGETS: usize = 2;
/// Shares of sessions are counted in thousandths.
const PERMILLE: u32 = 1_000;

/// Rule on the versions that may get a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// These targets of the new version, else other versions.
    Trial {
        /// New version.
        version: SoftwareVersion,
        /// Targets that take part in the trial.
        targets: Rc<IndexSet<TargetName>>,
    },
    /// Other versions than this one; any if no target of another one is usable.
    Others {
        /// New version.
        version: SoftwareVersion,
    },
    /// This version, else others.
    Only {
        /// New version.
        version: SoftwareVersion,
    },
    /// None of these versions.
    Without {
        /// Replaced versions.
        versions: Rc<[SoftwareVersion]>,
    },
    /// Not this version, unless the list names targets of no other one.
    RolledBack {
        /// Version that was rolled back.
        version: SoftwareVersion,
    },
}

/// Order in which a rule prefers targets.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Preference {
    /// The rule sends the request there.
    First,
    /// No preferred target can get the request at the moment.
    Second,
    /// Only if there are no other targets; see [`VersionRule`].
    LastResort,
}

impl VersionRule {
    /// Returns whether a request may go to another version if the one that is asked for has no usable
    /// target.
    pub fn falls_back(&self) -> bool {
        match self {
            Self::Trial { .. } | Self::Others { .. } | Self::Only { .. } => true,
            Self::Any | Self::Without { .. } | Self::RolledBack { .. } => false,
        }
    }

    /// Returns the preference for a target, or `None` if it must not get the request.
    pub fn preference(&self, name: &TargetName, version: &SoftwareVersion) -> Option<Preference> {
        match self {
            Self::Any => Some(Preference::First),
            Self::Trial { version: new, .. } if new != version => Some(Preference::Second),
            Self::Trial { targets, .. } if targets.contains(name) => Some(Preference::First),
            Self::Trial { .. } => Some(Preference::LastResort),
            Self::Others { version: new } | Self::RolledBack { version: new } => {
                let is_other = new != version;
                Some(if is_other { Preference::First } else { Preference::LastResort })
            }
            Self::Only { version: new } if new == version => Some(Preference::First),
            Self::Only { .. } => Some(Preference::Second),
            Self::Without { versions } => {
                (!versions.contains(version)).then_some(Preference::First)
            }
        }
    }
}

/// Returns whether a session belongs to the share of a trial.
///
/// A larger share contains all sessions of a smaller one.
pub fn is_in_share(session: u64, rollout: LogIndex, permille: u32) -> bool {
    let hash = xxh3_64_with_seed(&session.to_le_bytes(), rollout.0);
    hash % u64::from(PERMILLE) < u64::from(permille)
}

/// Puts targets of the new version into the order in which trials use them, which is the same at all
/// entries.
pub fn sort_for_trial(pool: &PoolName, version: &SoftwareVersion, targets: &mut [TargetName]) {
    targets.sort_by_cached_key(|target| {
        let mut hasher = Xxh3Default::new();
        for part in [pool.as_str(), version.as_str(), target.as_str()] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        (hasher.digest(), target.clone())
    });
}

/// Returns the targets of a trial with a share of the sessions, from all targets in trial order: as
/// many as the share would load normally.
pub fn trial_targets(sorted: &[TargetName], permille: u32) -> IndexSet<TargetName> {
    let permille = usize::try_from(permille.min(PERMILLE)).unwrap_or_default();
    let share = sorted.len().saturating_mul(permille).div_ceil(PERMILLE as usize);
    sorted.iter().take(share.max(MIN_TRIAL_TARGETS)).cloned().collect()
}
