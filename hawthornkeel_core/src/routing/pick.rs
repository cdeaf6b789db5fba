//! Comparison of a pool's targets for a call.

use crate::routing::pool::PoolState;
use crate::routing::settings::RouterSettings;
use crate::routing::target::Target;
use crate::routing::types::Decision;
use crate::routing::types::Permit;
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
    /// Positions of targets that are not to be chosen.
    excluded: &'a [usize],
    /// Position at which the scan starts, by its remainder.
    turn: usize,
    /// Whether cold targets may be chosen.
    cold: bool,
    /// Whether the call repeats one that may have run: it isn't used to probe failing targets.
    retry: bool,
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

/// Sends a call to the best open target; `None` where there is none.
pub(crate) fn send(
    pool: &mut PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
    turn: usize,
    set: &RouterSettings,
) -> Option<Decision> {
    let retry = request.repeat == Repeat::MayHaveRun;
    if retry && (now < pool.retry_at || !pool.retries.allows()) {
        return None;
    }
    let excluded = excluded(pool, request);
    let cold = may_use_cold(pool, now, request, latest);
    let view = View { now, excluded: &excluded, turn, cold, retry };
    let scan = scan(pool, &view);
    let pick = pick(pool, request, &scan, &excluded)?;
    let (_, target) = pool.targets.get_index_mut(pick.index)?;
    let (mut until, mut grant) = (latest, None);
    if pick.reason == Reason::ColdGrant {
        let held = target.grants.iter().position(|g| now < g.use_by)?;
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
    if retry {
        pool.retries.spend();
    }
    pool.refresh(now, pick.index, set);
    Some(Decision::Send { target: name, address, permit, reason, candidates: scan.candidates })
}

/// Returns the positions of excluded targets; none where nothing else takes work.
///
/// A repeated call also leaves out the data centres of the targets that it was sent to before, as
/// long as others take work.
fn excluded(pool: &PoolState, request: &StageRequest) -> Vec<usize> {
    if request.excluded.is_empty() {
        return Vec::new();
    }
    let names = &request.excluded;
    let tried: Vec<&Target> = names.iter().filter_map(|t| pool.targets.get(t)).collect();
    let same_target = |t: &Target| names.contains(&t.info.name);
    let same_centre = |t: &Target| tried.iter().any(|o| o.info.centre == t.info.centre);
    let wide = leave_out(pool, same_centre);
    if !wide.is_empty() && request.repeat == Repeat::MayHaveRun {
        return wide;
    }
    let narrow = leave_out(pool, same_target);
    if !narrow.is_empty() || request.repeat != Repeat::Hedge {
        return narrow;
    }
    names.iter().filter_map(|t| pool.targets.get_index_of(t)).collect()
}

/// Returns the positions of targets that `out` tells to leave out; none where no other takes work.
fn leave_out(pool: &PoolState, out: impl Fn(&Target) -> bool) -> Vec<usize> {
    let usable = |t: &Target| !out(t) && t.takes_work() && !t.is_down();
    if !pool.targets.values().any(usable) {
        return Vec::new();
    }
    let all = pool.targets.values().enumerate();
    all.filter(|(_, t)| out(t)).map(|(i, _)| i).collect()
}

/// Tells whether a call has time enough for a cold target.
pub(crate) fn may_use_cold(
    pool: &PoolState,
    now: Instant,
    request: &StageRequest,
    latest: Instant,
) -> bool {
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
fn scan(pool: &PoolState, view: &View<'_>) -> Scan {
    let mut scan = Scan::default();
    let split = view.turn.checked_rem(pool.hot.len()).unwrap_or(0);
    let (head, tail) = pool.hot.split_at(split);
    let tail = tail.iter().enumerate().map(|(i, h)| (i + split, h));
    for (index, hot) in tail.chain(head.iter().enumerate()) {
        scan.any_near |= hot.near && hot.capacity > 0;
        let barred = (hot.cold && !view.cold) || (view.retry && view.now < hot.retry_at);
        if !hot.open || barred || view.excluded.contains(&index) {
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
