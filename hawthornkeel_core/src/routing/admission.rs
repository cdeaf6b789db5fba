//! Admission of requests by fair shares and measured stage times.

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

/// Fraction of the spare time that waiting may take for a workspace at twice its fair share.
const EXCESS_WAIT_SHARE: f64 = 0.8;
/// Minimum retry delay returned with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Maximum retry delay returned with a refusal.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// State that an entry keeps per workspace.
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
    /// Applies the weight and the limit of the document.
    pub fn apply(&mut self, workspace: &Workspace) {
        self.weight = f64::from(workspace.weight.max(1));
        self.limit = workspace.max_requests;
    }
}

/// Admitted request.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    workspace: WorkspaceName,
    pools: Vec<PoolName>,
    /// Number of leading stages that are finished.
    done: usize,
}

impl Router {
    /// Decides whether a request may start. An admitted one must be ended by `finish_request`.
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
        if (work > left || wait > allowed) && !self.allow_measurement(now, plan) {
            let reason = if work > left { Reason::Deadline } else { Reason::LaterStage };
            return refused(reason, wait.saturating_sub(allowed));
        }
        self.register(plan);
        Admission::Admitted
    }

    /// Records the end of an admitted request, whatever its outcome.
    pub fn finish_request(&mut self, _now: Instant, request: RequestId) {
        let Some(admitted) = self.requests.swap_remove(&request) else {
            return;
        };
        for pool in admitted.pools.iter().skip(admitted.done) {
            self.release_pool(pool);
        }
        if let Some(state) = self.workspaces.get_mut(&admitted.workspace) {
            state.active = state.active.saturating_sub(1);
        }
    }

    /// Records that a stage of an admitted request was answered.
    pub(crate) fn finish_stage(&mut self, request: RequestId, stage: usize) {
        let Some(admitted) = self.requests.get_mut(&request) else {
            return;
        };
        let from = admitted.done;
        admitted.done = from.max(stage + 1);
        let count = admitted.done - from;
        let passed: Vec<PoolName> = admitted.pools.iter().skip(from).take(count).cloned().collect();
        for pool in passed {
            self.release_pool(&pool);
        }
    }

    /// Returns the weight of a workspace.
    pub(crate) fn weight(&self, workspace: &WorkspaceName) -> f64 {
        self.workspaces.get(workspace).map_or(1.0, |w| w.weight)
    }

    /// Returns the fraction by which a workspace exceeds its fair share, capped at 1, or `None` if
    /// it is at its limit.
    ///
    /// The share is computed over all workspaces of the document, active or not, so that a single
    /// active workspace leaves room for the others.
    fn excess(&self, name: &WorkspaceName) -> Option<f64> {
        let default = WorkspaceState::default();
        let own = self.workspaces.get(name).unwrap_or(&default);
        if own.active >= own.limit {
            return None;
        }
        let weights = self.total_weight.max(own.weight);
        let fair = (self.requests.len() as f64 + 1.0) * own.weight / weights;
        Some((f64::from(own.active) / fair - 1.0).clamp(0.0, 1.0))
    }

    /// Returns the fraction of the spare time that waiting may take; it falls as `excess` grows.
    fn wait_share(&self, excess: f64) -> f64 {
        let most = self.settings.wait_share;
        most - (most - EXCESS_WAIT_SHARE).max(0.0) * excess
    }

    /// Returns the time needed by a request's stages, from measurements and the floor.
    fn work_time(&self, plan: &RequestPlan) -> Duration {
        let pools = plan.pools.iter().filter_map(|p| self.pools.get(p));
        pools.map(|p| p.median()).sum::<Duration>().max(plan.floor)
    }

    /// Returns the longest time for which admitted requests keep one of the pools busy.
    fn backlog_time(&self, plan: &RequestPlan) -> Duration {
        let pools = plan.pools.iter().filter_map(|p| self.pools.get(p));
        let ahead = pools.map(|p| p.queue_delay(p.outstanding.saturating_sub(p.capacity) as f64));
        ahead.max().unwrap_or_default()
    }

    /// Returns whether a request may start despite long measured times, to measure a slow pool.
    fn allow_measurement(&mut self, now: Instant, plan: &RequestPlan) -> bool {
        let left = plan.deadline.since(now);
        let slow = |n: &&PoolName| self.pools.get(*n).is_some_and(|p| p.median() >= left / 2);
        let Some(name) = plan.pools.iter().find(slow) else {
            return false;
        };
        self.pools.get_mut(name).is_some_and(|p| p.allow_measurement(now))
    }

    /// Registers an admitted request.
    fn register(&mut self, plan: &RequestPlan) {
        for name in &plan.pools {
            if let Some(pool) = self.pools.get_mut(name) {
                pool.outstanding += 1;
            }
        }
        self.workspaces.entry(plan.workspace.clone()).or_default().active += 1;
        let (workspace, pools) = (plan.workspace.clone(), plan.pools.clone());
        self.requests.insert(plan.request, AdmittedRequest { workspace, pools, done: 0 });
    }

    /// Records that an admitted request no longer needs a pool.
    fn release_pool(&mut self, pool: &PoolName) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        pool.outstanding = pool.outstanding.saturating_sub(1);
        if pool.is_obsolete() {
            self.drop_obsolete();
        }
    }
}

/// Returns a refusal with a bounded retry delay.
fn refused(reason: Reason, after: Duration) -> Admission {
    Admission::Refused { reason, retry_after: after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX) }
}
