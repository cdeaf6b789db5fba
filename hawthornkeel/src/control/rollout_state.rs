//! Rollouts in the state that a control instance has applied.

use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::rollout::message::RolloutView;
use hawthornkeel_core::rollout::record::RolloutRecord;

use crate::clock::wall_now;
use crate::control::node::ControlNode;

impl ControlNode {
    /// Returns the rollouts as applied at this instance, with the log position of its published state.
    pub fn rollout_view(&self) -> RolloutView {
        RolloutView {
            index: self.published().index,
            leader: self.lead().leader,
            records: self.rollouts(),
        }
    }

    /// Returns the last rollout of each pool, as applied at this instance.
    pub fn rollouts(&self) -> Vec<RolloutRecord> {
        self.inner.state.borrow().rollouts().records().values().cloned().collect()
    }

    /// Returns the last rollout of a pool, as applied at this instance.
    pub fn rollout(&self, pool: &PoolName) -> Option<RolloutRecord> {
        self.inner.state.borrow().rollouts().records().get(pool).cloned()
    }

    /// Returns the time since the order of a rollout as the wall clock tells it, up to its duration.
    pub fn rollout_age(&self, record: &RolloutRecord) -> Duration {
        let state = self.inner.state.borrow();
        state.elapsed_since(record.began, wall_now()).min(record.order.duration())
    }

    /// Returns the names of the other members of the group, voters and learners.
    pub fn other_members(&self) -> Vec<InstanceName> {
        let members = self.status().members;
        let own = self.inner.endpoint.name();
        let mut names: Vec<_> = members.0.into_iter().map(|m| m.node.name).collect();
        names.retain(|name| name != own);
        names.sort();
        names.dedup();
        names
    }
}
