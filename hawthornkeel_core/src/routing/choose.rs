//! Choice of a target for a call, and the queue of calls that wait for one.

use std::time::Duration;

use crate::ids::CallId;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::routing::fair::Waiting;
use crate::routing::pool::PoolState;
use crate::routing::router::Router;
use crate::routing::settings::RouterSettings;
use crate::routing::types::Decision;
use crate::routing::types::Permit;
use crate::routing::types::Ready;
use crate::routing::types::Reason;
use crate::routing::types::Repeat;
use crate::routing::types::StageRequest;
use crate::time::Instant;

/// Factor by which a far target must be expected to be faster than the best near one.
const FAR_ADVANTAGE: f32 = 1.5;
/// Factor of the best expected time up to which the target with the prompt's prefix is taken.
const PREFIX_FACTOR: f32 = 2.0;
/// Factor of the usual high call time that a cold call must have left.
const COLD_SLACK: u32 = 3;
/// Shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest time until a waiting call is looked at again.
const WAKE_MAX: Duration = Duration::from_millis(50);

/// Target that was picked, by its position in the pool.
#[derive(Clone, Copy, Debug)]
struct Pick {
    index: usize,
    reason: Reason,
}

/// Best open targets of a scan.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    near: Option<(usize, f32)>,
    far: Option<(usize, f32)>,
    cold: Option<(usize, f32)>,
    any_near: bool,
    candidates: u32,
}

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
        if let Err(reason) = spend(pool, request.repeat) {
            return refuse(reason, RETRY_AFTER_MIN, 0);
        }
        let latest = before(request.deadline, later);
        let work = pool.median().max(request.floor);
        if now + request.floor > latest || (now + work > latest && !pool.may_try(now)) {
            return refuse(Reason::Deadline, work, 0);
        }
        if pool.queue.len() == 0
            && let Some(sent) = send(pool, now, request, latest, turn, set)
        {
            return sent;
        }
        if request.repeat == Repeat::Hedge {
            pool.hedges.refund();
            return refuse(Reason::HedgeBudget, RETRY_AFTER_MIN, 0);
        }
        enqueue(pool, now, request, latest, weight, work)
    }

    /// Removes a waiting call; returns whether it waited.
    pub fn cancel(&mut self, _now: Instant, call: CallId) -> bool {
        self.pools.values_mut().any(|p| p.queue.remove(call).is_some())
    }

    /// Returns the waiting calls that can be sent, or are refused, by now.
    pub fn take_ready(&mut self, now: Instant) -> Vec<Ready> {
        let mut ready = Vec::new();
        for index in 0..self.pools.len() {
            self.drain(now, index, &mut ready);
        }
        ready
    }

    /// Returns the time at which `take_ready` and `take_messages` are to be called at the latest.
    pub fn next_wake(&self, now: Instant) -> Instant {
        let waits = self.pools.values().filter(|p| p.queue.len() > 0);
        let times = waits.flat_map(|p| [p.queue.expiry(), p.reopen]).flatten();
        times.min().unwrap_or(now + WAKE_MAX).max(now).min(now + WAKE_MAX)
    }

    /// Returns the time after which a hedge of a call to `pool` is worth it, once measured.
    pub fn hedge_after(&self, pool: &PoolName) -> Option<Duration> {
        self.pools.get(pool)?.times.high().map(|t| t * 2)
    }

    /// Sends and refuses waiting calls of one pool.
    fn drain(&mut self, now: Instant, index: usize, ready: &mut Vec<Ready>) {
        let Some((_, pool)) = self.pools.get_index_mut(index) else {
            return;
        };
        for waiting in pool.queue.expire(now) {
            let decision = refuse(Reason::Deadline, pool.median(), 0);
            ready.push(Ready { call: waiting.request.call, decision });
        }
        pool.reopen(now, &self.settings);
        let mut skip = Vec::new();
        while let Some((lane, waiting)) = pool.queue.next(&skip) {
            let request = waiting.request.clone();
            let latest = waiting.latest;
            self.turn = self.turn.wrapping_add(1);
            let sent = send(pool, now, &request, latest, self.turn as usize, &self.settings);
            let Some(decision) = sent else {
                skip.push(lane);
                if pool.hot.iter().any(|h| h.open) {
                    continue;
                }
                break;
            };
            pool.queue.serve(lane);
            ready.push(Ready { call: request.call, decision });
        }
    }

    /// Returns the time that the later stages take, by measure.
    fn later_time(&self, request: &StageRequest) -> Duration {
        let pools = request.later.iter().filter_map(|p| self.pools.get(p));
        pools.map(|p| p.median()).sum::<Duration>().max(request.remaining)
    }
}

/// Takes the call from its budget; fails with the budget that is used up.
fn spend(pool: &mut PoolState, repeat: Repeat) -> Result<(), Reason> {
    match repeat {
        Repeat::First => {
            pool.retries.earn();
            pool.hedges.earn();
            Ok(())
        }
        Repeat::NotRun => Ok(()),
        Repeat::MayHaveRun if pool.retries.spend() => Ok(()),
        Repeat::MayHaveRun => Err(Reason::RetryBudget),
        Repeat::Hedge if pool.hedges.spend() => Ok(()),
        Repeat::Hedge => Err(Reason::HedgeBudget),
    }
}

/// Lets a call wait, or refuses it where it can't be served in time.
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
    if now + wait > until {
        return refuse(Reason::Deadline, wait.max(RETRY_AFTER_MIN), candidates);
    }
    pool.queue.push(Waiting { request: request.clone(), latest, until }, weight);
    Decision::Wait { until, reason: Reason::FairQueue, candidates }
}

/// Sends a call to the best open target; `None` where there is none.
fn send(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
    turn: usize,
    set: &RouterSettings,
) -> Option<Decision> {
    let excluded = excluded(pool, request);
    let cold = may_use_cold(pool, now, request, latest);
    let scan = scan(pool, &excluded, turn, cold);
    let pick = pick(pool, request, &scan, &excluded)?;
    let (_, target) = pool.targets.get_index_mut(pick.index)?;
    let (mut until, mut grant) = (latest, None);
    if pick.reason == Reason::ColdGrant {
        let held = target.grants.iter().position(|g| now < g.until)?;
        let used = target.grants.swap_remove(held);
        until = until.min(used.until);
        grant = Some(used.id);
    }
    let reason = if target.is_down() { Reason::Probe } else { pick.reason };
    target.running += 1;
    let (name, address) = (target.info.name.clone(), target.info.address.clone());
    let permit = Permit {
        target: name.clone(),
        pool: request.pool.clone(),
        call: request.call,
        given: now,
        until,
        grant,
        prefix: request.prefix,
    };
    pool.refresh(now, pick.index, set);
    Some(Decision::Send { target: name, address, permit, reason, candidates: scan.candidates })
}

/// Returns the positions of excluded targets; none where nothing else takes work.
fn excluded(pool: &PoolState, request: &StageRequest) -> Vec<usize> {
    if request.excluded.is_empty() {
        return Vec::new();
    }
    let position = |t: &TargetName| pool.targets.get_index_of(t);
    let found: Vec<usize> = request.excluded.iter().filter_map(position).collect();
    let mut others = pool.targets.values().enumerate().filter(|(i, _)| !found.contains(i));
    let left = others.any(|(_, t)| t.takes_work());
    if left || request.repeat == Repeat::Hedge { found } else { Vec::new() }
}

/// Tells whether a call has time enough for a cold target.
fn may_use_cold(pool: &PoolState, now: Instant, request: &StageRequest, latest: Instant) -> bool {
    if request.repeat == Repeat::Hedge {
        return false;
    }
    let no_warm = pool.hot.iter().all(|h| h.cold || h.capacity == 0);
    let needed = match pool.times.high() {
        Some(high) if !no_warm => high * COLD_SLACK,
        _ => pool.median(),
    };
    now + needed.max(request.floor) <= latest
}

/// Finds the best open targets, starting at a position that changes from call to call.
fn scan(pool: &PoolState, excluded: &[usize], turn: usize, cold: bool) -> Scan {
    let mut scan = Scan::default();
    let split = turn.checked_rem(pool.hot.len()).unwrap_or(0);
    let (head, tail) = pool.hot.split_at(split);
    let tail = tail.iter().enumerate().map(|(i, h)| (i + split, h));
    for (index, hot) in tail.chain(head.iter().enumerate()) {
        scan.any_near |= hot.near && hot.capacity > 0;
        if !hot.open || (hot.cold && !cold) || excluded.contains(&index) {
            continue;
        }
        scan.candidates += 1;
        let best = match (hot.cold, hot.near) {
            (true, _) => &mut scan.cold,
            (false, true) => &mut scan.near,
            (false, false) => &mut scan.far,
        };
        if best.is_none_or(|(_, score)| hot.score < score) {
            *best = Some((index, hot.score));
        }
    }
    scan
}

/// Picks one of the best open targets: cold ones first, since a grant is short-lived.
fn pick(pool: &PoolState, request: &StageRequest, scan: &Scan, excluded: &[usize]) -> Option<Pick> {
    if let Some((index, _)) = scan.cold {
        return Some(Pick { index, reason: Reason::ColdGrant });
    }
    let (index, score, reason) = match (scan.near, scan.far) {
        (Some((_, near)), Some((far, score))) if score * FAR_ADVANTAGE < near => {
            (far, score, Reason::FarBetter)
        }
        (Some((near, score)), _) => (near, score, Reason::Near),
        (None, Some((far, score))) if scan.any_near => (far, score, Reason::NearFull),
        (None, Some((far, score))) => (far, score, Reason::NearGone),
        (None, None) => return None,
    };
    let place = request.prefix.and_then(|p| pool.place(p)).filter(|i| !excluded.contains(i));
    let held = place.and_then(|i| pool.hot.get(i).map(|h| (i, h)));
    match held {
        Some((place, hot)) if hot.open && !hot.cold && hot.score <= score * PREFIX_FACTOR => {
            Some(Pick { index: place, reason: Reason::Prefix })
        }
        _ => Some(Pick { index, reason }),
    }
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
