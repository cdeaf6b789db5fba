//! Choice of a target for a call, and the queue of calls that wait for one.

use std::time::Duration;

use crate::ids::CallId;
use crate::routing::fair_queue::FairQueue;
use crate::routing::fair_queue::Passed;
use crate::routing::fair_queue::Waiting;
use crate::routing::pick::may_use_cold;
use crate::routing::pick::send;
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

/// Shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Multiple of the time within which 95 in 100 calls are answered, after which a hedge is worth it.
const HEDGE_FACTOR: u32 = 2;
/// Longest time until a waiting call is looked at again.
const WAKE_MAX: Duration = Duration::from_millis(50);

impl Router {
    /// Chooses a target for a call.
    pub fn choose(&mut self, now: Instant, request: &StageRequest) -> Decision {
        let later = self.later_time(request);
        let weight = self.weight(&request.workspace);
        self.turn = self.turn.wrapping_add(1);
        let (turn, set) = (self.turn as usize, &self.settings);
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return refuse(Reason::UnknownPool, RETRY_AFTER_MIN, 0);
        };
        pool.reopen(now, set);
        pool.wanted = Some(now);
        let latest = before(request.deadline, later);
        match request.kind {
            AttemptKind::First => pool.earn(),
            AttemptKind::SafeRetry | AttemptKind::Retry => {}
            AttemptKind::Hedge => return hedge(pool, now, request, latest, turn, set),
        }
        let work = pool.median().max(request.floor);
        if now + request.floor > latest || (now + work > latest && !pool.may_try(now)) {
            return refuse(Reason::Deadline, work, 0);
        }
        let waiting = if request.kind == AttemptKind::Retry { &pool.repeats } else { &pool.queue };
        if waiting.len() == 0
            && let Some(sent) = send(pool, now, request, latest, turn, set)
        {
            return sent;
        }
        enqueue(pool, now, request, latest, weight, work)
    }

    /// Removes a waiting call; returns whether it waited.
    pub fn cancel(&mut self, _now: Instant, call: CallId) -> bool {
        let mut queues = self.pools.values_mut().flat_map(|p| [&mut p.repeats, &mut p.queue]);
        queues.any(|q| q.remove(call).is_some())
    }

    /// Returns the waiting calls that can be sent, or are refused, by now.
    pub fn take_ready(&mut self, now: Instant) -> Vec<QueuedDecision> {
        let mut ready = Vec::new();
        for index in 0..self.pools.len() {
            self.drain(now, index, &mut ready);
        }
        ready
    }

    /// Returns the time at which `take_ready` and `take_messages` are to be called at the latest.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let waits = self.pools.values().filter(|p| p.queue.len() + p.repeats.len() > 0);
        let times = waits.flat_map(|p| [p.queue.expiry(), p.repeats.expiry(), p.reopen]).flatten();
        times.min().unwrap_or(now + WAKE_MAX).max(now).min(now + WAKE_MAX)
    }

    /// Returns the time after which a hedge of a call under `permit` is worth it, once measured.
    ///
    /// A call to a cold target has none: cancelled, it would neither warm the target nor free its
    /// grant.
    pub fn hedge_delay(&self, permit: &Permit) -> Option<Duration> {
        let pool = self.pools.get(&permit.pool).filter(|_| permit.grant.is_none())?;
        pool.times.p95().map(|t| t * HEDGE_FACTOR)
    }

    /// Sends and refuses waiting calls of one pool; repeated calls first, since they are older.
    fn drain(&mut self, now: Instant, index: usize, ready: &mut Vec<QueuedDecision>) {
        let Some((_, pool)) = self.pools.get_index_mut(index) else {
            return;
        };
        pool.reopen(now, &self.settings);
        let mut repeats = std::mem::take(&mut pool.repeats);
        let mut queue = std::mem::take(&mut pool.queue);
        for waiting in [&mut repeats, &mut queue] {
            expire(pool, now, waiting, ready);
            serve_cold(pool, now, waiting, ready, &self.settings);
            serve(pool, now, waiting, ready, &mut self.turn, &self.settings);
        }
        pool.repeats = repeats;
        pool.queue = queue;
    }

    /// Returns the time that the later stages take, by measure.
    fn later_time(&self, request: &StageRequest) -> Duration {
        let pools = request.later_pools.iter().filter_map(|p| self.pools.get(p));
        pools.map(|p| p.median()).sum::<Duration>().max(request.later_floor)
    }
}

/// Refuses the calls whose wait has ended.
fn expire(pool: &PoolState, now: Instant, queue: &mut FairQueue, ready: &mut Vec<QueuedDecision>) {
    for waiting in queue.expire(now) {
        let unpaid = waiting.request.kind == AttemptKind::Retry && !pool.retries.has_token();
        let reason = if unpaid { Reason::RetryBudget } else { Reason::Deadline };
        let decision = refuse(reason, pool.median(), 0);
        ready.push(QueuedDecision { call: waiting.request.call, decision });
    }
}

/// Sends the calls that have most time left to cold targets that there are grants for.
fn serve_cold(
    pool: &mut PoolState,
    now: Instant,
    queue: &mut FairQueue,
    ready: &mut Vec<QueuedDecision>,
    set: &RouterSettings,
) {
    while let Some((place, waiting)) = queue.latest() {
        if pool.scores.cold.count == 0 {
            return;
        }
        let call = waiting.request.call;
        if !may_use_cold(pool, now, &waiting.request, waiting.latest) {
            return;
        }
        let Some(decision) = send(pool, now, &waiting.request, waiting.latest, 0, set) else {
            return;
        };
        queue.serve(place);
        ready.push(QueuedDecision { call, decision });
    }
}

/// Sends waiting calls as long as targets are open.
fn serve(
    pool: &mut PoolState,
    now: Instant,
    queue: &mut FairQueue,
    ready: &mut Vec<QueuedDecision>,
    turn: &mut u64,
    set: &RouterSettings,
) {
    let mut passed = Passed::default();
    while let Some((place, waiting)) = queue.next(&passed) {
        if pool.scores.open() == 0 {
            return;
        }
        *turn = turn.wrapping_add(1);
        let call = waiting.request.call;
        let sent = send(pool, now, &waiting.request, waiting.latest, *turn as usize, set);
        let Some(decision) = sent else {
            passed.add(place);
            continue;
        };
        queue.serve(place);
        ready.push(QueuedDecision { call, decision });
    }
}

/// Sends a hedge where the budget allows it and another target is free at once.
///
/// None is sent while calls wait or the pool as a whole fails: it would add load to a slow stage.
fn hedge(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
    turn: usize,
    set: &RouterSettings,
) -> Decision {
    let timely = now + pool.median().max(request.floor) <= latest;
    let busy = pool.queue.len() + pool.repeats.len() > 0 || now < pool.retry_at;
    if timely
        && !busy
        && pool.hedges.has_token()
        && let Some(sent) = send(pool, now, request, latest, turn, set)
    {
        pool.hedges.withdraw();
        return sent;
    }
    refuse(Reason::HedgeBudget, RETRY_AFTER_MIN, 0)
}

/// Lets a call wait, or refuses it where it can't be served in time.
///
/// A request that has passed its first stage isn't refused by an estimate: work was spent on it,
/// and a short slowdown may end before its deadline.
fn enqueue(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
    weight: f64,
    work: Duration,
) -> Decision {
    let candidates = pool.targets.len() as u32;
    if pool.targets.is_empty() {
        return refuse(Reason::NoTarget, RETRY_AFTER_MIN, 0);
    }
    let ahead = pool.queue.ahead(request, weight);
    let wait = pool.wait_for(ahead);
    let until = before(latest, work);
    let first_stage = request.call.stage.0 == 0;
    if first_stage && now + wait > until {
        return refuse(Reason::Deadline, wait, candidates);
    }
    let repeated = request.kind == AttemptKind::Retry;
    let queue = if repeated { &mut pool.repeats } else { &mut pool.queue };
    queue.push(Waiting { request: request.clone(), latest, until }, weight);
    Decision::Wait { until, reason: Reason::FairQueue, candidates }
}

/// Returns the point `span` before `at`.
fn before(at: Instant, span: Duration) -> Instant {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Instant::from_micros(at.as_micros().saturating_sub(micros))
}

/// Returns a refusal with a time to come back.
fn refuse(reason: Reason, after: Duration, candidates: u32) -> Decision {
    Decision::Refuse { reason, retry_after: after.max(RETRY_AFTER_MIN), candidates }
}
