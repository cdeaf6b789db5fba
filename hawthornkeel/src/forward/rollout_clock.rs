//! Time since the orders of rollouts, as a member of the control group knows it.

use std::time::Duration;

use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;

/// Time since a member was last known to have applied everything, up to which a record that it
/// applies counts as new.
///
/// Longer than the interval at which a leader confirms the state of the other members, 700 ms.
const MAX_LAG: Duration = Duration::from_secs(1);

/// Times of the orders of rollouts; time is passed in.
#[derive(Clone, Debug, Default)]
pub struct RolloutClock {
    orders: IndexMap<PoolName, (LogIndex, Instant)>,
    /// Time at which this member had applied everything that was acknowledged until then.
    current_at: Option<Instant>,
}

impl RolloutClock {
    /// Records an applied rollout; `wall_age` is the time since its order by the wall clock.
    ///
    /// A member that was cut off or restarted applies a record late, so that only the wall clock tells
    /// its age. The order can't be older than the time at which the member lacked nothing.
    pub fn observe(&mut self, now: Instant, record: &RolloutRecord, wall_age: Duration) {
        let pool = &record.order.pool;
        if self.orders.get(pool).is_some_and(|(id, _)| *id == record.id) {
            return;
        }
        let age = match self.current_at.map(|at| now.since(at)) {
            Some(lag) if lag <= MAX_LAG => Duration::ZERO,
            Some(lag) => wall_age.min(lag),
            None => wall_age,
        };
        self.orders.insert(pool.clone(), (record.id, now.before(age)));
    }

    /// Records that this member had applied everything that was acknowledged until `at`.
    pub fn set_current(&mut self, at: Instant) {
        self.current_at = self.current_at.max(Some(at));
    }

    /// Returns the time since the order of an observed rollout.
    pub fn elapsed(&self, now: Instant, record: &RolloutRecord) -> Option<Duration> {
        let (id, at) = self.orders.get(&record.order.pool)?;
        (*id == record.id).then(|| now.since(*at))
    }
}
