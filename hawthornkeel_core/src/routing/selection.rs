//! Choice of a target for a call, and the queues of calls that wait for one.

use std::time::Duration;

use crate::ids::CallId;
use crate::routing::fair_queue::FairQueue;
use crate::routing::fair_queue::Skipped;
use crate::routing::fair_queue::WaitingCall;
use crate::routing::pick::allows_cold;
use crate::routing::pick::try_send;
use crate::routing::pool::PoolState;
use crate::routing::router::Router;
use crate::routing::settings::RouterSettings;
use crate::routing::types::AttemptKind;
use crate::routing::types::Decision;
use crate::routing::types::Permit;
use crate::routing::types::QueuedDecision;
use crate::routing::types::Reason;
use crate::routing::types::StageRequest;
use crate::time::Instant;

/// Minimum retry delay returned with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Multiple of the pool's 95th percentile after which a call is hedged.
const HEDGE_FACTOR: u32 = 2;
/// Multiple of the pool's 95th percentile after which a reused connection without a byte is replaced.
///
/// Five times the delay of a hedge, which comes first where another target can take the call.
const SILENCE_FACTOR: u32 = 10;
/// Shortest time after which such a connection is replaced; a process may wait for a core as long.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// Maximum time between two checks of the waiting calls.
const MAX_WAKE_INTERVAL: Duration = Duration::from_millis(50);

impl Router {
    /// Chooses a target for a call.
    pub fn choose(&mut self, now: Instant, request: &StageRequest) -> Decision {
        let later = self.later_stages_time(request);
        let weight = self.weight(&request.workspace);
        self.rotation = self.rotation.wrapping_add(1);
        let (rotation, set) = (self.rotation as usize, &self.settings);
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return refuse(Reason::UnknownPool, RETRY_AFTER_MIN, 0);
        };
        pool.refresh_after_backoff(now, set);
        pool.last_request = Some(now);
        let stage_deadline = request.deadline.before(later);
        match request.kind {
            AttemptKind::First => pool.record_first_attempt(),
            AttemptKind::SafeRetry | AttemptKind::Retry => {}
            AttemptKind::Hedge => return hedge(pool, now, request, stage_deadline, rotation, set),
        }
        let work = pool.median().max(request.floor);
        if now + request.floor > stage_deadline
            || (now + work > stage_deadline && !pool.allow_measurement(now))
        {
            return refuse(Reason::Deadline, work, 0);
        }
        let waiting =
            if request.kind == AttemptKind::Retry { &pool.retry_queue } else { &pool.queue };
        if waiting.len() == 0
            && let Some(sent) = try_send(pool, now, request, stage_deadline, rotation, set)
        {
            return sent;
        }
        enqueue(pool, now, request, stage_deadline, weight, work)
    }

    /// Removes a waiting call. Returns whether it was waiting.
    pub fn cancel(&mut self, _now: Instant, call: CallId) -> bool {
        let mut queues = self.pools.values_mut().flat_map(|p| [&mut p.retry_queue, &mut p.queue]);
        queues.any(|q| q.remove(call).is_some())
    }

    /// Makes all waiting calls due by `limit` at the latest, as the instance stops then.
    ///
    /// Those that can't be answered by then are refused by the next [`Router::take_ready`].
    pub fn limit_deadlines(&mut self, limit: Instant) {
        for pool in self.pools.values_mut() {
            pool.retry_queue.limit_deadlines(limit);
            pool.queue.limit_deadlines(limit);
        }
    }

    /// Returns the decisions about waiting calls that can be sent or must be refused now.
    pub fn take_ready(&mut self, now: Instant) -> Vec<QueuedDecision> {
        let mut ready = Vec::new();
        for index in 0..self.pools.len() {
            self.serve_pool(now, index, &mut ready);
        }
        ready
    }

    /// Returns the latest time for the next call of `take_ready` and `take_messages`.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let waiting = self.pools.values().filter(|p| p.queue.len() + p.retry_queue.len() > 0);
        let times = waiting
            .flat_map(|p| [p.queue.next_expiry(), p.retry_queue.next_expiry(), p.backoff_end])
            .flatten();
        times.min().unwrap_or(now + MAX_WAKE_INTERVAL).max(now).min(now + MAX_WAKE_INTERVAL)
    }

    /// Returns the delay after which a call under `permit` is hedged, or `None` before the pool's
    /// first measurement.
    ///
    /// A call to a cold target is never hedged: if cancelled, it would neither warm up the target
    /// nor free its grant.
    pub fn hedge_delay(&self, permit: &Permit) -> Option<Duration> {
        let pool = self.pools.get(&permit.pool).filter(|_| permit.grant.is_none())?;
        pool.latencies.p95().map(|t| t * HEDGE_FACTOR)
    }

    /// Returns the time after which a call under `permit` that has received no byte on a reused
    /// connection is sent again on a new one, or `None` before the pool's first measurement.
    pub fn silence_limit(&self, permit: &Permit) -> Option<Duration> {
        let pool = self.pools.get(&permit.pool).filter(|_| permit.grant.is_none())?;
        pool.latencies.p95().map(|t| (t * SILENCE_FACTOR).max(MIN_SILENCE))
    }

    /// Takes a retry from the pool's budget to send a call again to the same target, which may run it
    /// twice. Returns whether there was one.
    pub fn take_resend(&mut self, permit: &Permit) -> bool {
        let pool = self.pools.get_mut(&permit.pool);
        pool.is_some_and(|pool| pool.retry_budget.withdraw())
    }

    /// Sends and refuses waiting calls of one pool. Retries come first, as they are older.
    fn serve_pool(&mut self, now: Instant, index: usize, ready: &mut Vec<QueuedDecision>) {
        let Some((_, pool)) = self.pools.get_index_mut(index) else {
            return;
        };
        pool.refresh_after_backoff(now, &self.settings);
        let mut retry_queue = std::mem::take(&mut pool.retry_queue);
        let mut queue = std::mem::take(&mut pool.queue);
        for waiting in [&mut retry_queue, &mut queue] {
            refuse_expired(pool, now, waiting, ready);
            serve_cold_targets(pool, now, waiting, ready, &self.settings);
            serve_queue(pool, now, waiting, ready, &mut self.rotation, &self.settings);
        }
        pool.retry_queue = retry_queue;
        pool.queue = queue;
    }

    /// Returns the time needed by the later stages, from measurements and floors.
    fn later_stages_time(&self, request: &StageRequest) -> Duration {
        let pools = request.later_pools.iter().filter_map(|p| self.pools.get(p));
        pools.map(|p| p.median()).sum::<Duration>().max(request.later_floor)
    }
}

/// Refuses expired calls.
fn refuse_expired(
    pool: &PoolState,
    now: Instant,
    queue: &mut FairQueue,
    ready: &mut Vec<QueuedDecision>,
) {
    for waiting in queue.remove_expired(now) {
        let no_budget =
            waiting.request.kind == AttemptKind::Retry && !pool.retry_budget.has_token();
        let reason = if no_budget { Reason::RetryBudget } else { Reason::Deadline };
        let decision = refuse(reason, pool.median(), 0);
        ready.push(QueuedDecision { call: waiting.request.call, decision });
    }
}

/// Sends the calls with the most time left to cold targets that have unused grants.
fn serve_cold_targets(
    pool: &mut PoolState,
    now: Instant,
    queue: &mut FairQueue,
    ready: &mut Vec<QueuedDecision>,
    set: &RouterSettings,
) {
    while let Some((position, waiting)) = queue.latest() {
        if pool.scores.cold.count == 0 {
            return;
        }
        let call = waiting.request.call;
        if !allows_cold(pool, now, &waiting.request, waiting.stage_deadline) {
            return;
        }
        let Some(decision) = try_send(pool, now, &waiting.request, waiting.stage_deadline, 0, set)
        else {
            return;
        };
        queue.dequeue(position);
        ready.push(QueuedDecision { call, decision });
    }
}

/// Sends waiting calls while targets are available.
fn serve_queue(
    pool: &mut PoolState,
    now: Instant,
    queue: &mut FairQueue,
    ready: &mut Vec<QueuedDecision>,
    rotation: &mut u64,
    set: &RouterSettings,
) {
    let mut skipped = Skipped::default();
    while let Some((position, waiting)) = queue.next(&skipped) {
        if pool.scores.available() == 0 {
            return;
        }
        *rotation = rotation.wrapping_add(1);
        let call = waiting.request.call;
        let sent =
            try_send(pool, now, &waiting.request, waiting.stage_deadline, *rotation as usize, set);
        let Some(decision) = sent else {
            skipped.add(position);
            continue;
        };
        queue.dequeue(position);
        ready.push(QueuedDecision { call, decision });
    }
}

/// Sends a hedge if the budget allows it and another target is available immediately.
///
/// None is sent while calls wait or the whole pool is failing: it would add load to a slow stage.
fn hedge(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    stage_deadline: Instant,
    rotation: usize,
    set: &RouterSettings,
) -> Decision {
    let timely = now + pool.median().max(request.floor) <= stage_deadline;
    let busy = pool.queue.len() + pool.retry_queue.len() > 0 || now < pool.retry_at;
    if timely
        && !busy
        && pool.hedge_budget.has_token()
        && let Some(sent) = try_send(pool, now, request, stage_deadline, rotation, set)
    {
        pool.hedge_budget.withdraw();
        return sent;
    }
    refuse(Reason::HedgeBudget, RETRY_AFTER_MIN, 0)
}

/// Queues a call, or refuses it if it can't be served in time.
///
/// A request past its first stage isn't refused based on an estimate: work has been spent on it,
/// and a short slowdown may end before its deadline.
fn enqueue(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    stage_deadline: Instant,
    weight: f64,
    work: Duration,
) -> Decision {
    let candidates = pool.targets.len() as u32;
    if pool.targets.is_empty() {
        return refuse(Reason::NoTarget, RETRY_AFTER_MIN, 0);
    }
    let ahead = pool.queue.calls_ahead(request, weight);
    let wait = pool.queue_delay(ahead);
    let expires = stage_deadline.before(work);
    let first_stage = request.call.stage.0 == 0;
    if first_stage && now + wait > expires {
        return refuse(Reason::Deadline, wait, candidates);
    }
    let retry = request.kind == AttemptKind::Retry;
    let queue = if retry { &mut pool.retry_queue } else { &mut pool.queue };
    queue.push(WaitingCall { request: request.clone(), stage_deadline, expires }, weight);
    Decision::Wait { until: expires, reason: Reason::FairQueue, candidates }
}

/// Returns a refusal with a retry delay of at least `RETRY_AFTER_MIN`.
fn refuse(reason: Reason, after: Duration, candidates: u32) -> Decision {
    Decision::Refuse { reason, retry_after: after.max(RETRY_AFTER_MIN), candidates }
}
