//! Comparison of a pool's targets for a call.

use crate::routing::candidate::Candidate;
use crate::routing::candidate::Class;
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
/// Multiple of the best expected time up to which the target with the cached prefix is preferred.
const PREFIX_FACTOR: f32 = 2.0;
/// Multiple of the pool's 95th percentile that must be left for a call to a cold target.
const COLD_TIME_FACTOR: u32 = 3;
/// Selected target, by its index in the pool.
#[derive(Clone, Copy, Debug)]
struct Pick {
    index: usize,
    reason: Reason,
}

/// Constraints of a call on the choice of its target.
#[derive(Clone, Copy, Debug)]
struct Constraints<'a> {
    now: Instant,
    /// Indices of targets that were tried before.
    tried: &'a [usize],
    /// Round-robin offset: the scan starts at its remainder by the number of targets.
    rotation: usize,
    /// Whether cold targets are allowed.
    cold: bool,
    kind: AttemptKind,
}

/// Targets that a scan considers for a call that was tried before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Tier {
    /// Targets in data centres without a tried target.
    OtherCentre,
    /// Targets that weren't tried.
    OtherTarget,
    /// All targets.
    Any,
}

/// Best available targets found by a scan, each with its index and score.
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
    /// Adds a slice of the targets, which starts at index `from`.
    ///
    /// Targets that aren't included are ignored entirely. Blocked ones count as usable, but aren't
    /// selected for this call.
    fn add(
        &mut self,
        part: &[Candidate],
        from: usize,
        include: impl Fn(usize, &Candidate) -> bool,
        block: impl Fn(usize, &Candidate) -> bool,
    ) {
        for (offset, candidate) in part.iter().enumerate() {
            let index = from + offset;
            if !include(index, candidate) {
                continue;
            }
            self.any_near |= candidate.near & candidate.usable;
            self.usable |= candidate.usable;
            if block(index, candidate) {
                continue;
            }
            let best = match candidate.class {
                Class::Unavailable => continue,
                Class::Near => &mut self.near,
                Class::Far => &mut self.far,
                Class::Cold => &mut self.cold,
            };
            self.candidates += 1;
            if candidate.score < best.1 {
                *best = (index, candidate.score);
            }
        }
    }
}

/// Sends a call to the best available target. Returns `None` if there is none.
pub(crate) fn try_send(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    stage_deadline: Instant,
    rotation: usize,
    set: &RouterSettings,
) -> Option<Decision> {
    let retry = request.kind == AttemptKind::Retry;
    if retry && (now < pool.retry_at || !pool.retry_budget.has_token()) {
        return None;
    }
    let names = request.excluded.iter();
    let tried: Vec<usize> = names.filter_map(|t| pool.targets.get_index_of(t)).collect();
    let cold = allows_cold(pool, now, request, stage_deadline);
    let constraints = Constraints { now, tried: &tried, rotation, cold, kind: request.kind };
    let scan = scan(pool, &constraints);
    let pick = pick(pool, request, &scan, &tried)?;
    let (_, target) = pool.targets.get_index_mut(pick.index)?;
    let (mut deadline, mut grant, mut grant_expiry) = (stage_deadline, None, None);
    let mut reason = pick.reason;
    if pick.reason == Reason::ColdGrant {
        match target.grants.iter().position(|g| now < g.use_by) {
            Some(unused) => {
                let used = target.grants.swap_remove(unused);
                deadline = deadline.min(used.expires);
                grant = Some(used.id);
                grant_expiry = Some(used.expires);
            }
            None if target.may_probe(now) => {
                reason = Reason::Probe;
                target.direct_probe.sent(now);
            }
            None => return None,
        }
    }
    if target.is_down() {
        reason = Reason::Probe;
    }
    let incarnation = target.incarnations.current.filter(|_| grant.is_none());
    target.running += 1;
    let (name, address) = (target.info.name.clone(), target.info.address.clone());
    let permit = Permit {
        target: name.clone(),
        pool: request.pool.clone(),
        call: request.call,
        issued: now,
        deadline,
        grant,
        grant_expiry,
        incarnation,
        prefix_hash: request.prefix_hash,
    };
    if retry {
        pool.retry_budget.withdraw();
    }
    pool.refresh(now, pick.index, set);
    Some(Decision::Send { target: name, address, permit, reason, candidates: scan.candidates })
}

/// Returns whether a call has enough time left for a cold target.
pub(crate) fn allows_cold(
    pool: &PoolState,
    now: Instant,
    request: &StageRequest,
    stage_deadline: Instant,
) -> bool {
    if request.kind == AttemptKind::Hedge {
        return false;
    }
    let needed = match pool.latencies.p95() {
        Some(p95) if pool.warm_targets > 0 => p95 * COLD_TIME_FACTOR,
        _ => pool.median(),
    };
    now + needed.max(request.floor) <= stage_deadline
}

/// Finds the best available targets of the first tier that contains a usable target.
fn scan(pool: &PoolState, constraints: &Constraints<'_>) -> Scan {
    let all = scan_all(pool, constraints);
    if constraints.tried.is_empty()
        && matches!(constraints.kind, AttemptKind::First | AttemptKind::SafeRetry)
    {
        return all;
    }
    let bests = [all.near.0, all.far.0, all.cold.0];
    let mut found =
        bests.into_iter().filter_map(|i| pool.candidates.get(i).map(|c| (i, c))).peekable();
    if found.peek().is_some() && found.all(|(i, c)| is_unrestricted(pool, constraints, i, c)) {
        return all;
    }
    let tiers: &[Tier] = match constraints.kind {
        AttemptKind::Retry => &[Tier::OtherCentre, Tier::OtherTarget, Tier::Any],
        AttemptKind::First | AttemptKind::SafeRetry => &[Tier::OtherTarget, Tier::Any],
        AttemptKind::Hedge => &[Tier::OtherTarget],
    };
    let mut last = Scan::default();
    for tier in tiers {
        last = scan_tier(pool, constraints, *tier);
        if last.usable {
            return last;
        }
    }
    last
}

/// Returns whether a target is in every tier and nothing blocks it.
fn is_unrestricted(
    pool: &PoolState,
    constraints: &Constraints<'_>,
    index: usize,
    candidate: &Candidate,
) -> bool {
    let centre = |i: &usize| pool.candidates.get(*i).map(|c| c.centre);
    let retry = constraints.kind == AttemptKind::Retry;
    let hedge = constraints.kind == AttemptKind::Hedge;
    let same = |i: &usize| *i == index || (retry && centre(i) == Some(candidate.centre));
    let blocked = (retry || hedge) && candidate.failing;
    !blocked && !constraints.tried.iter().any(same)
}

/// Finds the best available targets among all, regardless of tiers.
fn scan_all(pool: &PoolState, constraints: &Constraints<'_>) -> Scan {
    let start = constraints.rotation.checked_rem(pool.candidates.len()).unwrap_or(0);
    let scores = &pool.scores;
    let none = Scan::default();
    Scan {
        near: scores.near.lowest(start).unwrap_or(none.near),
        far: scores.far.lowest(start).unwrap_or(none.far),
        cold: scores.cold.lowest(start).filter(|_| constraints.cold).unwrap_or(none.cold),
        any_near: pool.near_usable > 0,
        usable: true,
        candidates: scores.available(),
    }
}

/// Finds the best available targets of a tier, starting at the round-robin offset.
fn scan_tier(pool: &PoolState, constraints: &Constraints<'_>, tier: Tier) -> Scan {
    let mut scan = Scan::default();
    let split = constraints.rotation.checked_rem(pool.candidates.len()).unwrap_or(0);
    let (head, tail) = pool.candidates.split_at(split);
    let centre = |i: &usize| pool.candidates.get(*i).map(|c| c.centre);
    let centres: Vec<u16> = constraints.tried.iter().filter_map(centre).collect();
    let include = |index: usize, candidate: &Candidate| match tier {
        Tier::OtherCentre => !centres.contains(&candidate.centre),
        Tier::OtherTarget => !constraints.tried.contains(&index),
        Tier::Any => true,
    };
    let retry = constraints.kind == AttemptKind::Retry;
    let hedge = constraints.kind == AttemptKind::Hedge;
    let block = |index: usize, candidate: &Candidate| {
        (candidate.class == Class::Cold && !constraints.cold)
            || (hedge && candidate.failing)
            || (retry && candidate.failing && in_holdoff(pool, constraints, index))
    };
    scan.add(tail, split, include, block);
    scan.add(head, 0, include, block);
    scan
}

/// Returns whether a target that failed last accepts only first attempts for now.
fn in_holdoff(pool: &PoolState, constraints: &Constraints<'_>, index: usize) -> bool {
    let target = pool.targets.get_index(index);
    target.is_some_and(|(_, t)| constraints.now < t.retry_at)
}

/// Picks one of the best available targets. Cold ones come first, as grants are short-lived.
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
    let location =
        request.prefix_hash.and_then(|p| pool.prefix_target(p)).filter(|i| !tried.contains(i));
    let hedge = request.kind == AttemptKind::Hedge;
    let cached = location.and_then(|i| pool.candidates.get(i).map(|c| (i, c)));
    let cached = cached.filter(|(_, c)| !(hedge && c.failing));
    match cached {
        Some((cached, candidate))
            if matches!(candidate.class, Class::Near | Class::Far)
                && candidate.score <= score * PREFIX_FACTOR =>
        {
            Some(Pick { index: cached, reason: Reason::Prefix })
        }
        _ => Some(Pick { index, reason }),
    }
}
