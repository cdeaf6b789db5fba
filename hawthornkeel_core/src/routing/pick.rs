//! Comparison of a pool's targets for a call.

use crate::routing::candidate::Class;
use crate::routing::candidate::Hot;
use crate::routing::pool::PoolState;
use crate::routing::settings::RouterSettings;
use crate::routing::types::AttemptKind;
use crate::routing::types::Decision;
use crate::routing::types::Permit;
use crate::routing::types::Reason;
use crate::routing::types::StageRequest;
use crate::time::Instant;

/// Factor by which a far target must be expected to be faster than the best near one.
const FAR_ADVANTAGE: f32 = 1.5;
/// Factor of the best expected time up to which the target with the prompt's prefix is taken.
const PREFIX_FACTOR: f32 = 2.0;
/// Factor of the usual high call time that a cold call must have left.
const COLD_SLACK: u32 = 3;
/// Target that was picked, by its position in the pool.
#[derive(Clone, Copy, Debug)]
struct Pick {
    index: usize,
    reason: Reason,
}

/// What a call may use of its pool.
#[derive(Clone, Copy, Debug)]
struct View<'a> {
    now: Instant,
    /// Positions of targets that were tried before.
    tried: &'a [usize],
    /// Position at which the scan starts, by its remainder.
    turn: usize,
    /// Whether cold targets may be chosen.
    cold: bool,
    repeat: AttemptKind,
}

/// Which targets a pass leaves out, for a call that was tried before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tier {
    /// Those in data centres of tried targets.
    OtherCentre,
    /// Tried targets.
    OtherTarget,
    /// None.
    Any,
}

/// Best open targets of a pass.
#[derive(Clone, Copy, Debug)]
struct Scan {
    near: (usize, f32),
    far: (usize, f32),
    cold: (usize, f32),
    any_near: bool,
    usable: bool,
    candidates: u32,
}

impl Default for Scan {
    fn default() -> Self {
        let none = (usize::MAX, f32::INFINITY);
        let (any_near, usable, candidates) = (false, false, 0);
        Self { near: none, far: none, cold: none, any_near, usable, candidates }
    }
}

impl Scan {
    /// Compares a part of the targets, the first of which is at position `from`.
    ///
    /// Targets that are not to be kept are left out as if they were not there; those that are
    /// barred take work, but not this call now.
    fn add(
        &mut self,
        part: &[Hot],
        from: usize,
        keep: impl Fn(usize, &Hot) -> bool,
        bar: impl Fn(usize, &Hot) -> bool,
    ) {
        for (offset, hot) in part.iter().enumerate() {
            let index = from + offset;
            if !keep(index, hot) {
                continue;
            }
            self.any_near |= hot.near & hot.usable;
            self.usable |= hot.usable;
            if bar(index, hot) {
                continue;
            }
            let best = match hot.class {
                Class::Closed => continue,
                Class::Near => &mut self.near,
                Class::Far => &mut self.far,
                Class::Cold => &mut self.cold,
            };
            self.candidates += 1;
            if hot.score < best.1 {
                *best = (index, hot.score);
            }
        }
    }
}

/// Sends a call to the best open target; `None` where there is none.
pub(crate) fn send(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
    turn: usize,
    set: &RouterSettings,
) -> Option<Decision> {
    let retry = request.kind == AttemptKind::Retry;
    if retry && (now < pool.retry_at || !pool.retries.has_token()) {
        return None;
    }
    let names = request.excluded.iter();
    let tried: Vec<usize> = names.filter_map(|t| pool.targets.get_index_of(t)).collect();
    let cold = may_use_cold(pool, now, request, latest);
    let view = View { now, tried: &tried, turn, cold, repeat: request.kind };
    let scan = scan(pool, &view);
    let pick = pick(pool, request, &scan, &tried)?;
    let (_, target) = pool.targets.get_index_mut(pick.index)?;
    let (mut until, mut grant, mut grant_expiry) = (latest, None, None);
    if pick.reason == Reason::ColdGrant {
        let held = target.grants.iter().position(|g| now < g.use_by)?;
        let used = target.grants.swap_remove(held);
        until = until.min(used.until);
        grant = Some(used.id);
        grant_expiry = Some(used.until);
    }
    let reason = if target.is_down() { Reason::Probe } else { pick.reason };
    let incarnation = target.named.present.filter(|_| grant.is_none());
    target.running += 1;
    let (name, address) = (target.info.name.clone(), target.info.address.clone());
    let permit = Permit {
        target: name.clone(),
        pool: request.pool.clone(),
        call: request.call,
        issued: now,
        deadline: until,
        grant,
        grant_expiry,
        incarnation,
        prefix_hash: request.prefix_hash,
    };
    if retry {
        pool.retries.withdraw();
    }
    pool.refresh(now, pick.index, set);
    Some(Decision::Send { target: name, address, permit, reason, candidates: scan.candidates })
}

/// Tells whether a call has time enough for a cold target.
pub(crate) fn may_use_cold(
    pool: &PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
) -> bool {
    if request.kind == AttemptKind::Hedge {
        return false;
    }
    let needed = match pool.times.p95() {
        Some(high) if pool.warm > 0 => high * COLD_SLACK,
        _ => pool.median(),
    };
    now + needed.max(request.floor) <= latest
}

/// Finds the best open targets of the first tier that has any which take work.
fn scan(pool: &PoolState, view: &View<'_>) -> Scan {
    let quick = quick_scan(pool, view);
    if view.tried.is_empty() && matches!(view.repeat, AttemptKind::First | AttemptKind::SafeRetry) {
        return quick;
    }
    let bests = [quick.near.0, quick.far.0, quick.cold.0];
    let mut found = bests.into_iter().filter_map(|i| pool.hot.get(i).map(|h| (i, h))).peekable();
    if found.peek().is_some() && found.all(|(i, h)| is_fresh(pool, view, i, h)) {
        return quick;
    }
    let tiers: &[Tier] = match view.repeat {
        AttemptKind::Retry => &[Tier::OtherCentre, Tier::OtherTarget, Tier::Any],
        AttemptKind::First | AttemptKind::SafeRetry => &[Tier::OtherTarget, Tier::Any],
        AttemptKind::Hedge => &[Tier::OtherTarget],
    };
    let mut last = Scan::default();
    for tier in tiers {
        last = pass(pool, view, *tier);
        if last.usable {
            return last;
        }
    }
    last
}

/// Tells whether no tier leaves a target out and nothing bars it.
fn is_fresh(pool: &PoolState, view: &View<'_>, index: usize, hot: &Hot) -> bool {
    let centre = |i: &usize| pool.hot.get(*i).map(|h| h.centre);
    let retry = view.repeat == AttemptKind::Retry;
    let hedge = view.repeat == AttemptKind::Hedge;
    let same = |i: &usize| *i == index || (retry && centre(i) == Some(hot.centre));
    let barred = (retry || hedge) && hot.failing;
    !barred && !view.tried.iter().any(same)
}

/// Finds the best open targets of all.
fn quick_scan(pool: &PoolState, view: &View<'_>) -> Scan {
    let start = view.turn.checked_rem(pool.hot.len()).unwrap_or(0);
    let scores = &pool.scores;
    let none = Scan::default();
    Scan {
        near: scores.near.lowest(start).unwrap_or(none.near),
        far: scores.far.lowest(start).unwrap_or(none.far),
        cold: scores.cold.lowest(start).filter(|_| view.cold).unwrap_or(none.cold),
        any_near: pool.near_usable > 0,
        usable: true,
        candidates: scores.open(),
    }
}

/// Finds the best open targets of a tier, starting at a position that changes from call to call.
fn pass(pool: &PoolState, view: &View<'_>, tier: Tier) -> Scan {
    let mut scan = Scan::default();
    let split = view.turn.checked_rem(pool.hot.len()).unwrap_or(0);
    let (head, tail) = pool.hot.split_at(split);
    let centre = |i: &usize| pool.hot.get(*i).map(|h| h.centre);
    let centres: Vec<u16> = view.tried.iter().filter_map(centre).collect();
    let keep = |index: usize, hot: &Hot| match tier {
        Tier::OtherCentre => !centres.contains(&hot.centre),
        Tier::OtherTarget => !view.tried.contains(&index),
        Tier::Any => true,
    };
    let retry = view.repeat == AttemptKind::Retry;
    let hedge = view.repeat == AttemptKind::Hedge;
    let bar = |index: usize, hot: &Hot| {
        (hot.class == Class::Cold && !view.cold)
            || (hedge && hot.failing)
            || (retry && hot.failing && rests(pool, view, index))
    };
    scan.add(tail, split, keep, bar);
    scan.add(head, 0, keep, bar);
    scan
}

/// Tells whether a failing target is left to first calls.
fn rests(pool: &PoolState, view: &View<'_>, index: usize) -> bool {
    let target = pool.targets.get_index(index);
    target.is_some_and(|(_, t)| view.now < t.retry_at)
}

/// Picks one of the best open targets: cold ones first, since a grant is short-lived.
fn pick(pool: &PoolState, request: &StageRequest, scan: &Scan, tried: &[usize]) -> Option<Pick> {
    let found = |best: (usize, f32)| best.0 != usize::MAX;
    if found(scan.cold) {
        return Some(Pick { index: scan.cold.0, reason: Reason::ColdGrant });
    }
    let ((near, near_score), (far, far_score)) = (scan.near, scan.far);
    let (index, score, reason) = if found(scan.near) && near_score <= far_score * FAR_ADVANTAGE {
        (near, near_score, Reason::Near)
    } else if !found(scan.far) {
        return None;
    } else if found(scan.near) {
        (far, far_score, Reason::FarBetter)
    } else if scan.any_near {
        (far, far_score, Reason::NearFull)
    } else {
        (far, far_score, Reason::NearGone)
    };
    let place = request.prefix_hash.and_then(|p| pool.place(p)).filter(|i| !tried.contains(i));
    let hedge = request.kind == AttemptKind::Hedge;
    let held = place.and_then(|i| pool.hot.get(i).map(|h| (i, h)));
    let held = held.filter(|(_, h)| !(hedge && h.failing));
    match held {
        Some((place, hot))
            if matches!(hot.class, Class::Near | Class::Far)
                && hot.score <= score * PREFIX_FACTOR =>
        {
            Some(Pick { index: place, reason: Reason::Prefix })
        }
        _ => Some(Pick { index, reason }),
    }
}
