//! Targets of all pools as one entry sees them, and the choice among them.
//!
//! Load patterns it answers: sessions that share prompts (the same session goes to the same target,
//! whichever entry it reaches), targets that fail part of their calls (chosen less the more they
//! fail), targets that come back cold (each entry sends its share of what one bears).

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::ListedTarget;
use crate::fleet::TargetList;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::placement::health::Health;
use crate::placement::health::TargetOutcome;
use crate::placement::partition::Split;
use crate::table::pool::ColdLimit;
use crate::time::Instant;

/// Weight of a target in the data centre that is preferred, against others.
const NEAR_WEIGHT: f64 = 6.0;
/// Weight of a cold target against a warm one.
const COLD_WEIGHT: f64 = 0.15;
/// Power by which failures lower a target's weight.
const FAILURE_POWER: i32 = 4;
/// Least weight of a target that fails, so that it is tried again.
const MIN_WEIGHT: f64 = 0.002;
/// Time for which targets that could not be reached speak for their data centre.
const CENTRE_TIME: Duration = Duration::from_secs(2);
/// Targets that must not have been reached for their data centre to count as cut off.
const CENTRE_TARGETS: usize = 2;
/// Weight of a target in a data centre that counts as cut off.
const CUT_WEIGHT: f64 = 0.01;
/// Requests of this entry at one target above which its weight sinks.
const BUSY: u32 = 6;
/// Requests to cold targets that an entry may save up.
const COLD_BURST: f64 = 1.0;

/// What a target is wanted for.
#[derive(Clone, Debug)]
pub struct TargetQuery<'a> {
    /// Pool.
    pub pool: &'a PoolName,
    /// Number that is the same for requests that share a prompt, or drawn for the request.
    pub session: u64,
    /// Data centre that is preferred.
    pub centre: Option<&'a CentreName>,
    /// Targets that were tried before.
    pub tried: &'a [TargetName],
    /// What the pool's cold targets bear.
    pub cold: Option<ColdLimit>,
    /// Entries that serve callers.
    pub entries: usize,
}

/// Target that was chosen; its request counts as in progress until this is dropped.
#[derive(Debug)]
pub struct ChosenTarget {
    /// Target.
    pub name: TargetName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: CentreName,
    /// Whether it counted as cold.
    pub cold: bool,
    _open: Open,
}

/// Counts a request in progress at a target until it is dropped, also where its caller left.
#[derive(Debug)]
struct Open(Rc<Cell<u32>>);

impl Open {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get().saturating_add(1));
        Self(Rc::clone(count))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoTarget {
    /// The pool has none, or none that may get work.
    Empty,
    /// All were tried.
    Tried,
    /// Those left are cold and get no more from this entry now.
    Cold,
}

/// Targets of all pools as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(super) targets: IndexMap<TargetName, Target>,
    out: Vec<CentreName>,
    /// How the targets of each pool are split over desks.
    pub(super) splits: IndexMap<PoolName, Split>,
    /// Targets that could not be reached of late, with when.
    unreached: IndexMap<TargetName, (Instant, CentreName)>,
    /// Whether a list was taken in: targets of the first one are not new.
    listed: bool,
}

/// Target as this entry sees it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) listed: ListedTarget,
    health: Health,
    /// When it last answered.
    answered: Instant,
    /// Requests of this entry in progress.
    open: Rc<Cell<u32>>,
    cold_until: Instant,
    /// Whether it is to count as cold, for as long as its pool's targets are after a start.
    fresh: Option<Instant>,
    /// Requests that may go to it while it is cold.
    allowance: f64,
    filled: Instant,
}

impl Balancer {
    /// Takes in the platform's list.
    pub fn update(&mut self, now: Instant, listing: &TargetList) {
        let mut known = std::mem::take(&mut self.targets);
        for listed in listing.targets.iter() {
            let target = known.swap_remove(&listed.name);
            let same = target.filter(|t| t.listed.address == listed.address);
            let mut target = same.unwrap_or_else(|| Target::new(now, listed, self.listed));
            target.listed = listed.clone();
            let cold = now + Duration::from_millis(listed.cold_ms);
            if listed.cold_ms > 0 {
                target.cold_until = target.cold_until.max(cold);
            }
            self.targets.insert(listed.name.clone(), target);
        }
        self.listed = true;
        self.split();
    }

    /// Takes in which data centres get no new work; those that come back have cold targets.
    pub fn set_taken_out(&mut self, now: Instant, out: Vec<CentreName>) {
        for target in self.targets.values_mut() {
            let centre = &target.listed.centre;
            if self.out.contains(centre) && !out.contains(centre) {
                target.fresh = Some(now);
            }
        }
        self.out = out;
        self.split();
    }

    /// Returns the data centre of the target at an address.
    pub fn centre_at(&self, address: SocketAddr) -> Option<&CentreName> {
        let target = self.targets.values().find(|t| t.listed.address == address)?;
        Some(&target.listed.centre)
    }

    /// Returns the address of a target that may get work.
    pub fn address(&self, name: &TargetName) -> Option<SocketAddr> {
        let target = self.targets.get(name).filter(|t| self.is_usable(t))?;
        Some(target.listed.address)
    }

    /// Returns the data centre of the target that would be chosen.
    pub fn likely_centre(&mut self, now: Instant, ask: &TargetQuery<'_>) -> Option<CentreName> {
        let at = self.best(now, ask).ok()?;
        self.targets.get_index(at).map(|(_, t)| t.listed.centre.clone())
    }

    /// Chooses a target; what came of the call is told by [`Balancer::record_outcome`].
    ///
    /// # Errors
    /// Fails with the reason where no target may get the request now.
    pub fn choose(
        &mut self,
        now: Instant,
        ask: &TargetQuery<'_>,
    ) -> Result<ChosenTarget, NoTarget> {
        let at = self.best(now, ask)?;
        let (name, target) = self.targets.get_index_mut(at).ok_or(NoTarget::Empty)?;
        let open = Open::new(&target.open);
        let cold = target.is_cold(now, ask.cold);
        if cold {
            target.allowance -= 1.0;
        }
        let ListedTarget { address, centre, .. } = &target.listed;
        let (address, centre) = (*address, centre.clone());
        Ok(ChosenTarget { name: name.clone(), address, centre, cold, _open: open })
    }

    /// Returns the position of the best target.
    fn best(&mut self, now: Instant, ask: &TargetQuery<'_>) -> Result<usize, NoTarget> {
        let mut best: Option<(f64, usize)> = None;
        let mut reason = NoTarget::Empty;
        for at in 0..self.targets.len() {
            match self.score(now, at, ask) {
                Ok(score) if best.is_none_or(|(b, _)| score > b) => best = Some((score, at)),
                Ok(_) => {}
                Err(why) if reason == NoTarget::Empty => reason = why,
                Err(_) => {}
            }
        }
        best.map(|(_, at)| at).ok_or(reason)
    }

    /// Notes how a call at a target ended.
    pub fn record_outcome(&mut self, now: Instant, name: &TargetName, ended: TargetOutcome) {
        let Some(target) = self.targets.get_mut(name) else { return };
        match ended {
            TargetOutcome::Unreached => {
                self.unreached.insert(name.clone(), (now, target.listed.centre.clone()));
            }
            TargetOutcome::Succeeded | TargetOutcome::Refused => {
                target.answered = now;
                self.unreached.swap_remove(name);
            }
            TargetOutcome::Failed | TargetOutcome::Abandoned => {}
        }
        if ended == TargetOutcome::Succeeded && target.health.is_unreached() {
            // It was gone and has come back.
            target.fresh = Some(now);
        }
        target.health.note(now, ended);
    }

    pub(super) fn is_usable(&self, target: &Target) -> bool {
        !target.listed.leaving && !self.out.contains(&target.listed.centre)
    }

    /// Tells when targets of a data centre were last not reached, where it counts as cut off.
    fn cut_at(&self, now: Instant, centre: &CentreName) -> Option<Instant> {
        let recent = |(at, c): &&(Instant, CentreName)| c == centre && now.since(*at) < CENTRE_TIME;
        let times: Vec<Instant> =
            self.unreached.values().filter(recent).map(|(at, _)| *at).collect();
        times.iter().max().filter(|_| times.len() >= CENTRE_TARGETS).copied()
    }

    /// Returns the score of a target: the highest is chosen.
    fn score(&mut self, now: Instant, at: usize, ask: &TargetQuery<'_>) -> Result<f64, NoTarget> {
        let (_, target) = self.targets.get_index(at).ok_or(NoTarget::Empty)?;
        if target.listed.pool != *ask.pool || !self.is_usable(target) {
            return Err(NoTarget::Empty);
        }
        if ask.tried.contains(&target.listed.name) {
            return Err(NoTarget::Tried);
        }
        let cut = self.cut_at(now, &target.listed.centre);
        let cut = cut.is_some_and(|at| target.answered < at);
        let (_, target) = self.targets.get_index_mut(at).ok_or(NoTarget::Empty)?;
        let cold = target.is_cold(now, ask.cold);
        if cold && !target.may_take_cold(now, ask) {
            return Err(NoTarget::Cold);
        }
        let mut weight = (1.0 - target.health.rate(now)).max(0.0).powi(FAILURE_POWER);
        if target.health.is_paused(now) {
            weight = 0.0;
        }
        weight = weight.max(MIN_WEIGHT);
        if cold {
            weight *= COLD_WEIGHT;
        }
        if cut {
            weight *= CUT_WEIGHT;
        }
        if ask.centre == Some(&target.listed.centre) {
            weight *= NEAR_WEIGHT;
        }
        if target.open.get() > BUSY {
            weight *= f64::from(BUSY) / f64::from(target.open.get());
        }
        Ok(rendezvous(ask.session, &target.listed.name, weight.max(MIN_WEIGHT * CUT_WEIGHT)))
    }
}

impl Target {
    fn new(now: Instant, listed: &ListedTarget, fresh: bool) -> Self {
        Self {
            listed: listed.clone(),
            health: Health::default(),
            answered: Instant::ZERO,
            open: Rc::default(),
            cold_until: now,
            fresh: fresh.then_some(now),
            allowance: 0.0,
            filled: now,
        }
    }

    fn is_cold(&self, now: Instant, cold: Option<ColdLimit>) -> bool {
        let Some(cold) = cold else { return false };
        self.cold_until > now || self.fresh.is_some_and(|f| now.since(f) < cold.duration)
    }

    /// Tells whether this entry's share of what it bears while cold allows one more request.
    fn may_take_cold(&mut self, now: Instant, ask: &TargetQuery<'_>) -> bool {
        let Some(cold) = ask.cold else { return true };
        let rate = cold.rate / ask.entries.max(1) as f64;
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.allowance = (self.allowance + earned).min(COLD_BURST);
        self.filled = now;
        self.allowance >= 1.0
    }
}

/// Returns the weighted rendezvous score of a target for a session.
///
/// The same session prefers the same target at every entry, each target gets a share of the
/// sessions by its weight, and few sessions move where a weight or the targets change.
fn rendezvous(session: u64, name: &TargetName, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), session);
    // Within (0, 1): the upper 53 bits, moved off both ends.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}
