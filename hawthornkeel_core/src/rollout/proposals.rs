//! Steps that were proposed and are not applied yet.

use std::mem::discriminant;
use std::time::Duration;

use crate::rollout::record::RolloutChange;
use crate::time::Instant;

/// Time after which a step is proposed again.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(400);

/// Latest proposal of each kind.
#[derive(Clone, Debug, Default)]
pub struct Proposals {
    latest: Vec<(RolloutChange, Instant)>,
}

impl Proposals {
    /// Returns whether a change of this kind was proposed.
    pub fn contains(&self, change: &RolloutChange) -> bool {
        self.latest.iter().any(|(c, _)| discriminant(c) == discriminant(change))
    }

    /// Returns whether a change is to be proposed now, and remembers that it is.
    pub fn is_due(&mut self, now: Instant, change: &RolloutChange) -> bool {
        let same = |c: &RolloutChange| discriminant(c) == discriminant(change);
        if self.latest.iter().any(|(c, at)| same(c) && now.since(*at) < PROPOSE_INTERVAL) {
            return false;
        }
        self.latest.retain(|(c, _)| !same(c));
        self.latest.push((change.clone(), now));
        true
    }

    /// Forgets the proposal of an allowance up to the one that was applied.
    pub fn applied(&mut self, change: &RolloutChange) {
        if let RolloutChange::Allow(applied) = change {
            let is_open = |c: &RolloutChange| !matches!(c, RolloutChange::Allow(a) if a <= applied);
            self.latest.retain(|(c, _)| is_open(c));
        }
    }
}
