//! Admission: whether a request may start, by fair shares and measured stage times.

use std::time::Duration;

use crate::document::Workspace;
use crate::ids::RequestId;
use crate::names::PoolName;
use crate::names::WorkspaceName;
use crate::routing::router::Router;
use crate::routing::types::Admission;
use crate::routing::types::Reason;
use crate::routing::types::RequestPlan;
use crate::time::Instant;

/// Share of the spare time that waits may fill for a workspace at twice its fair share.
const GREEDY_SHARE: f64 = 0.8;
/// Shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest time that a refused caller is told to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// What an entry keeps of one workspace.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceState {
    pub weight: f64,
    limit: u32,
    active: u32,
}

impl Default for WorkspaceState {
    fn default() -> Self {
        let mut state = Self { weight: 1.0, limit: 0, active: 0 };
        state.apply(&Workspace::default());
        state
    }
}

impl WorkspaceState {
    /// Takes the document's weight and limit.
    pub fn apply(&mut self, workspace: &Workspace) {
        self.weight = f64::from(workspace.weight.max(1));
        self.limit = workspace.max_requests;
    }
}

/// Admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    workspace: WorkspaceName,
    pools: Vec<PoolName>,
    /// Stages that have been answered.
    done: usize,
}

impl Router {
    /// Decides whether a request may start; an admitted one ends with `finish_request`.
    pub fn admit(&mut self, now: Instant, plan: &RequestPlan) -> Admission {
        let excess = match self.excess(&plan.workspace) {
            Some(excess) => excess,
            None => return refused(Reason::WorkspaceLimit, RETRY_AFTER_MIN),
        };
        let work = self.work_time(plan);
        let wait = self.backlog_time(plan);
        let left = plan.deadline.since(now);
        let spare = left.saturating_sub(work);
        let allowed = spare.mul_f64(self.wait_share(excess));
        if (work > left || wait > allowed) && !self.may_try(now, plan) {
            let reason = if work > left { Reason::Deadline } else { Reason::LaterStage };
            return refused(reason, wait.saturating_sub(allowed));
        }
        self.enter(plan);
        Admission::Admitted
    }

    /// Notes the end of an admitted request, however it ended.
    pub fn finish_request(&mut self, _now: Instant, request: RequestId) {
        let Some(admitted) = self.requests.swap_remove(&request) else {
            return;
        };
        for pool in admitted.pools.iter().skip(admitted.done) {
            self.uncommit(pool);
        }
        if let Some(state) = self.workspaces.get_mut(&admitted.workspace) {
            state.active = state.active.saturating_sub(1);
        }
    }

    /// Notes that a stage of an admitted request was answered.
    pub(crate) fn stage_done(&mut self, request: RequestId, stage: usize) {
        let Some(admitted) = self.requests.get_mut(&request) else {
            return;
        };
        let from = admitted.done;
        admitted.done = from.max(stage + 1);
        let count = admitted.done - from;
        let passed: Vec<PoolName> = admitted.pools.iter().skip(from).take(count).cloned().collect();
        for pool in passed {
            self.uncommit(&pool);
        }
    }

    /// Returns the weight of a workspace.
    pub(crate) fn weight(&self, workspace: &WorkspaceName) -> f64 {
        self.workspaces.get(workspace).map_or(1.0, |w| w.weight)
    }

    /// Returns the part by which a workspace is above its fair share; `None` where it is at its limit.
    ///
    /// The share is one among all workspaces of the document, so that a lone one leaves room for
    /// those that come next.
    fn excess(&self, name: &WorkspaceName) -> Option<f64> {
        let default = WorkspaceState::default();
        let own = self.workspaces.get(name).unwrap_or(&default);
        if own.active >= own.limit {
            return None;
        }
        let weights = self.weights.max(own.weight);
        let fair = (self.requests.len() as f64 + 1.0) * own.weight / weights;
        Some((f64::from(own.active) / fair - 1.0).clamp(0.0, 1.0))
    }

    /// Returns the share of the spare time that waits may fill, which falls with the excess.
    fn wait_share(&self, excess: f64) -> f64 {
        let most = self.settings.wait_share;
        most - (most - GREEDY_SHARE).max(0.0) * excess
    }

    /// Returns the time that a request's stages take, by measure.
    fn work_time(&self, plan: &RequestPlan) -> Duration {
        let pools = plan.pools.iter().filter_map(|p| self.pools.get(p));
        pools.map(|p| p.median()).sum::<Duration>().max(plan.floor)
    }

    /// Returns the longest time that admitted requests keep one of the pools busy.
    fn backlog_time(&self, plan: &RequestPlan) -> Duration {
        let pools = plan.pools.iter().filter_map(|p| self.pools.get(p));
        let ahead = pools.map(|p| p.wait_for(p.committed.saturating_sub(p.capacity) as f64));
        ahead.max().unwrap_or_default()
    }

    /// Tells whether a request may start although measured times are too long.
    fn may_try(&mut self, now: Instant, plan: &RequestPlan) -> bool {
        let left = plan.deadline.since(now);
        let slow = |n: &&PoolName| self.pools.get(*n).is_some_and(|p| p.median() >= left / 2);
        let Some(name) = plan.pools.iter().find(slow) else {
            return false;
        };
        self.pools.get_mut(name).is_some_and(|p| p.may_try(now))
    }

    /// Takes in an admitted request.
    fn enter(&mut self, plan: &RequestPlan) {
        for name in &plan.pools {
            if let Some(pool) = self.pools.get_mut(name) {
                pool.committed += 1;
            }
        }
        self.workspaces.entry(plan.workspace.clone()).or_default().active += 1;
        let (workspace, pools) = (plan.workspace.clone(), plan.pools.clone());
        self.requests.insert(plan.request, Admitted { workspace, pools, done: 0 });
    }

    /// Notes that an admitted request no longer needs a pool.
    fn uncommit(&mut self, pool: &PoolName) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.committed = pool.committed.saturating_sub(1);
        if pool.is_over() {
            self.drop_removed();
        }
    }
}

/// Returns a refusal with a bounded time to come back.
fn refused(reason: Reason, after: Duration) -> Admission {
    Admission::Refused { reason, retry_after: after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
}
