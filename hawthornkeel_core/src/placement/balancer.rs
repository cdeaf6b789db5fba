//! Load balancer: the targets of all pools as one entry sees them, and the choice among them.
//!
//! Designed for sessions that share prompts (the same session goes to the same target, whichever
//! entry it reaches), targets that fail some of their calls (chosen less the more they fail), and
//! targets that come back cold (each entry sends its share of the load that one can take).

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::ListedTarget;
use crate::fleet::TargetList;
use crate::fleet::TargetRun;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::placement::brittle::SLOT_WAIT;
pub use crate::placement::choice::ChosenTarget;
use crate::placement::choice::InFlight;
pub use crate::placement::choice::NoTarget;
pub use crate::placement::choice::TargetQuery;
use crate::placement::health::Health;
use crate::placement::health::TargetOutcome;
use crate::placement::limit::EntryView;
use crate::placement::limit::LimitReport;
use crate::placement::load::PoolLoads;
use crate::placement::load::ResponseTime;
use crate::placement::load::StatedLoad;
use crate::placement::load::TargetLoad;
use crate::placement::notice::DroppedNotice;
use crate::placement::notice::Notice;
use crate::placement::notice::NoticeChange;
use crate::placement::notice::Notices;
use crate::placement::notice::TargetNotice;
use crate::placement::partition::Partitions;
use crate::placement::ranking::Candidate;
use crate::placement::ranking::Ranking;
use crate::placement::ranking::Selected;
use crate::placement::versions::Departed;
use crate::placement::versions::Rank;
use crate::streams::origin::StreamOrigin;
use crate::streams::origin::Writer;
use crate::table::pool::ColdLimit;
use crate::time::Instant;

/// Weight factor of targets in the preferred data centre.
const PREFERRED_WEIGHT: f64 = 6.0;
/// Weight factor of cold targets.
const COLD_WEIGHT: f64 = 0.15;
/// Exponent of the success rate in a target's weight.
const SUCCESS_EXPONENT: i32 = 4;
/// Minimum weight of a failing target, so that it is tried again.
const MIN_WEIGHT: f64 = 0.002;
/// Time for which unreachable targets count against their data centre.
const CUT_OFF_WINDOW: Duration = Duration::from_secs(2);
/// Number of unreachable targets from which on their data centre counts as cut off.
const CUT_OFF_TARGETS: usize = 2;
/// Weight factor of targets in a data centre that counts as cut off.
const CUT_OFF_WEIGHT: f64 = 0.01;
/// Number of this entry's requests in progress at a target above which its weight decreases.
const BUSY_REQUESTS: u32 = 6;
/// Maximum number of tokens for requests to a cold target that an entry accumulates.
const COLD_BURST: f64 = 1.0;

/// Targets of all pools as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(super) targets: IndexMap<TargetName, Target>,
    pub(super) taken_out: Vec<CentreName>,
    /// Data centres whose entries don't respond to this one.
    pub(super) cut_off: Vec<CentreName>,
    /// Distribution of each pool's targets over schedulers.
    pub(super) partitions: IndexMap<PoolName, Partitions>,
    /// Targets that were recently unreachable, with the last time.
    unreached: IndexMap<TargetName, (Instant, CentreName)>,
    /// What targets have said about themselves.
    pub(super) notices: Notices,
    /// Requests that run at targets which the list no longer names.
    pub(super) departed: Departed,
    /// Mean loads and speeds of pools.
    loads: PoolLoads,
    /// Whether a list was received: the targets of the first one don't count as new.
    has_list: bool,
}

/// Target as this entry sees it.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) listed: ListedTarget,
    pub(super) health: Health,
    /// What its process has said about itself.
    pub(super) notice: TargetNotice,
    /// Load and speed of its process.
    pub(super) load: TargetLoad,
    /// Time of the last answer.
    last_answer: Instant,
    /// Number of this entry's requests in progress.
    pub(super) in_flight: Rc<Cell<u32>>,
    cold_until: Instant,
    /// Time from which it counts as cold for as long as its pool's targets do after a start.
    warming_since: Option<Instant>,
    /// Tokens for requests while it is cold.
    cold_tokens: f64,
    refilled: Instant,
}

impl Balancer {
    /// Applies the platform's list of targets, and returns what is no longer believed.
    pub fn update(&mut self, now: Instant, list: &TargetList) -> Vec<DroppedNotice> {
        let dropped = self.notices.begin_list(now);
        let mut known = std::mem::take(&mut self.targets);
        for listed in list.targets.iter() {
            let (target, run) = (known.swap_remove(&listed.name), listed.run());
            let same = target.filter(|t| t.listed.run().is_same(&run));
            let mut target = same.unwrap_or_else(|| Target::new(now, listed, self.has_list));
            let born = listed.born.or(target.listed.born);
            target.listed = ListedTarget { born, ..listed.clone() };
            target.notice = self.notices.list(&run);
            let cold = now + Duration::from_millis(listed.cold_ms);
            if listed.cold_ms > 0 {
                target.cold_until = target.cold_until.max(cold);
            }
            self.targets.insert(listed.name.clone(), target);
        }
        self.departed.add(known.into_values());
        self.has_list = true;
        self.loads.retain(|pool| self.targets.values().any(|t| t.listed.pool == *pool));
        self.update_partitions();
        dropped
    }

    /// Records the load that a process states in an answer; returns false if it can't be true.
    pub fn record_load(&mut self, now: Instant, run: &TargetRun, load: StatedLoad) -> bool {
        let target = self.targets.get(&run.name).filter(|t| t.listed.run().is_same(run));
        let Some(Target { listed, load: known, in_flight, .. }) = target else { return true };
        self.loads.record(now, listed, known, load, in_flight.get())
    }

    /// Records the time until the response of a process to a request began.
    pub fn record_latency(&mut self, now: Instant, run: &TargetRun, response: ResponseTime<'_>) {
        let target = self.targets.get(&run.name).filter(|t| t.listed.run().is_same(run));
        let Some(Target { listed, load, .. }) = target else { return };
        self.loads.record_latency(now, &listed.pool, &listed.centre, load, response);
    }

    /// Records what a process says about itself in the answer to a request that was sent at `sent`,
    /// and returns the changes.
    pub fn record_notice(
        &mut self,
        now: Instant,
        run: &TargetRun,
        sent: Instant,
        notice: Notice,
    ) -> Vec<NoticeChange> {
        let changes = self.notices.apply(now, run, sent, notice);
        if changes.contains(&NoticeChange::Leaving) {
            self.update_partitions();
        }
        changes
    }

    /// Sets the entries among which the limits of targets are shared out.
    pub fn set_entry_view(&mut self, now: Instant, view: EntryView) {
        self.notices.set_view(now, view);
    }

    /// Returns what this entry itself has lately heard of the limits of targets.
    pub fn limit_reports(&self, now: Instant) -> Vec<LimitReport> {
        self.notices.limit_reports(now)
    }

    /// Applies what all entries together have heard of the limits of targets.
    pub fn learn_limits(&mut self, now: Instant, reports: &[LimitReport]) {
        self.notices.learn_limits(now, reports);
    }

    /// Returns the time at which the first target of a pool may get a request, if all that may get
    /// work have asked for a pause.
    pub fn pool_opens_at(&self, now: Instant, pool: &PoolName) -> Option<Instant> {
        let usable = self.targets.values().filter(|t| t.listed.pool == *pool && self.is_usable(t));
        let mut soonest = None;
        for target in usable {
            let opens = target.notice.opens_at(now)?;
            soonest = Some(soonest.map_or(opens, |s: Instant| s.min(opens)));
        }
        soonest
    }

    /// Sets the data centres that get no new work; targets of those that come back are cold.
    pub fn set_taken_out(&mut self, now: Instant, taken_out: Vec<CentreName>) {
        for target in self.targets.values_mut() {
            let centre = &target.listed.centre;
            if self.taken_out.contains(centre) && !taken_out.contains(centre) {
                target.warming_since = Some(now);
            }
        }
        self.taken_out = taken_out;
        self.update_partitions();
    }

    /// Returns the data centres whose entries don't respond to this one.
    pub fn cut_off(&self) -> &[CentreName] {
        &self.cut_off
    }

    /// Sets the data centres whose entries don't respond to this one.
    pub fn set_cut_off(&mut self, cut_off: Vec<CentreName>) {
        self.cut_off = cut_off;
    }

    /// Returns pool, data centre and address of each target that may get work and is not in a data
    /// centre whose entries don't respond.
    pub fn linked_targets(&self) -> impl Iterator<Item = (&PoolName, &CentreName, SocketAddr)> {
        let is_cut_off = |t: &Target| self.cut_off.contains(&t.listed.centre);
        let linked = self.targets.values().filter(move |t| self.is_usable(t) && !is_cut_off(t));
        linked.map(|t| (&t.listed.pool, &t.listed.centre, t.listed.address))
    }

    /// Returns the data centre of the target at an address.
    pub fn centre_at(&self, address: SocketAddr) -> Option<&CentreName> {
        let target = self.targets.values().find(|t| t.listed.address == address)?;
        Some(&target.listed.centre)
    }

    /// Returns the process of a target that may get work, and the time at which it may get the next
    /// request if that is not now.
    pub fn work_at(&self, now: Instant, name: &TargetName) -> Option<(TargetRun, Option<Instant>)> {
        let target = self.targets.get(name).filter(|t| self.is_usable(t))?;
        Some((target.listed.run(), target.notice.opens_at(now)))
    }

    /// Returns whether a listed process has said that it leaves, or has asked for a pause that goes on.
    pub fn wants_nothing(&self, now: Instant, run: &TargetRun) -> bool {
        let target = self.targets.get(&run.name).filter(|t| t.listed.run().is_same(run));
        target.is_some_and(|t| t.notice.is_leaving() || t.notice.is_paused(now))
    }

    /// Returns whether a list of targets was received.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns whether any target with some software may get work.
    pub fn serves_software(&self, origin: &StreamOrigin) -> bool {
        let is_origin = |t: &&Target| {
            t.listed.pool == origin.pool && t.listed.version == origin.version && self.is_usable(t)
        };
        self.targets.values().any(|t| is_origin(&t))
    }

    /// Returns whether the list names the start of a process of a pool.
    pub fn names_starts(&self, pool: &PoolName) -> bool {
        self.targets.values().any(|t| t.listed.pool == *pool && t.listed.born.is_some())
    }

    /// Returns whether all targets of a pool have the software of an origin.
    pub fn lists_only(&self, origin: &StreamOrigin) -> bool {
        let mut of_pool = self.targets.values().filter(|t| t.listed.pool == origin.pool);
        of_pool.all(|t| t.listed.version == origin.version)
    }

    /// Returns whether the list names a process, and no other one at its place.
    pub fn lists(&self, run: &TargetRun) -> bool {
        self.targets.get(&run.name).is_some_and(|t| t.listed.run().is_same(run))
    }

    /// Returns whether the list names another process at the place of the writer of a stream.
    pub fn contradicts(&self, writer: &Writer) -> bool {
        self.targets.values().any(|t| writer.is_contradicted_by(&t.listed.run()))
    }

    /// Returns the data centre of the target that would be chosen.
    pub fn likely_centre(&mut self, now: Instant, query: &TargetQuery<'_>) -> Option<CentreName> {
        let (Selected { index, .. }, _) = self.best(now, query).ok()?;
        self.targets.get_index(index).map(|(_, t)| t.listed.centre.clone())
    }

    /// Chooses a target; report the outcome of the call with [`Balancer::record_outcome`].
    ///
    /// # Errors
    /// Returns the reason if no target may get the request at the moment.
    pub fn choose(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
    ) -> Result<ChosenTarget, NoTarget> {
        let (Selected { index, by_load }, rank) = self.best(now, query)?;
        let (name, target) = self.targets.get_index_mut(index).ok_or(NoTarget::Empty)?;
        let in_flight = InFlight::new(&target.in_flight);
        let cold = target.is_cold(now, query.cold);
        if cold {
            target.cold_tokens -= 1.0;
        }
        target.notice.record_sent(now);
        let ListedTarget { address, centre, born, version, .. } = &target.listed;
        Ok(ChosenTarget {
            name: name.clone(),
            address: *address,
            centre: centre.clone(),
            born: *born,
            version: version.clone(),
            cold,
            fall_back: rank.is_fall_back(query.rule),
            by_load,
            _in_flight: Rc::new(in_flight),
        })
    }

    /// Returns the target with the highest score among those of the first rank, or the less loaded of
    /// two for requests that have no session to keep, and the rank.
    fn best(
        &mut self,
        now: Instant,
        query: &TargetQuery<'_>,
    ) -> Result<(Selected, Rank), NoTarget> {
        let (mut ranking, mut first) = (Ranking::default(), None);
        let mut reason = NoTarget::Empty;
        let brittle = self.is_brittle(now, query.pool);
        let last_resort = self.opens_last_resort(now, query.pool, query.rule);
        for index in 0..self.targets.len() {
            let Some(rank) = self.rank(now, index, query, last_resort) else { continue };
            let has_room = !brittle || self.has_slot(index);
            match self.weight(now, index, query) {
                Ok(_) if !has_room => {
                    reason = reason.and(NoTarget::Paused { until: now + SLOT_WAIT });
                }
                Ok(weight) => {
                    if first.is_none_or(|f| rank < f) {
                        (ranking, first) = (Ranking::default(), Some(rank));
                    }
                    if first == Some(rank) {
                        ranking.add(self.candidate(now, index, query.session, weight));
                    }
                }
                Err(why) => reason = reason.and(why),
            }
        }
        let best = match query.has_affinity() {
            true => ranking.first(),
            false => ranking.less_loaded(query.session, |index| self.pressure(now, index)),
        };
        best.zip(first).ok_or(reason)
    }

    fn candidate(&self, now: Instant, index: usize, session: u64, weight: f64) -> Candidate {
        let target = self.targets.get_index(index);
        let factor = target.map_or(1.0, |(_, t)| t.load.factor(now));
        let score = target.map_or(0.0, |(name, _)| rendezvous(session, name, weight * factor));
        Candidate { index, weight, factor, score }
    }

    fn pressure(&self, now: Instant, index: usize) -> Option<f64> {
        let (_, target) = self.targets.get_index(index)?;
        target.load.pressure(now, target.in_flight.get())
    }

    /// Records the outcome of a call to a target.
    pub fn record_outcome(&mut self, now: Instant, name: &TargetName, outcome: TargetOutcome) {
        let Some(target) = self.targets.get_mut(name) else { return };
        match outcome {
            TargetOutcome::Unreached => {
                self.unreached.insert(name.clone(), (now, target.listed.centre.clone()));
            }
            TargetOutcome::Succeeded | TargetOutcome::Refused | TargetOutcome::Paused => {
                target.last_answer = now;
                self.unreached.swap_remove(name);
            }
            TargetOutcome::Failed | TargetOutcome::Abandoned => {}
        }
        if outcome == TargetOutcome::Succeeded && target.health.is_unreached() {
            // It was unreachable and has come back.
            target.warming_since = Some(now);
        }
        target.health.record(now, outcome);
    }

    pub(super) fn is_usable(&self, target: &Target) -> bool {
        !target.listed.leaving
            && !target.notice.is_leaving()
            && !self.taken_out.contains(&target.listed.centre)
    }

    /// Returns the last time at which a target of a data centre was unreachable, if the data centre
    /// counts as cut off.
    fn cut_off_at(&self, now: Instant, centre: &CentreName) -> Option<Instant> {
        let recent =
            |(at, c): &&(Instant, CentreName)| c == centre && now.since(*at) < CUT_OFF_WINDOW;
        let times: Vec<Instant> =
            self.unreached.values().filter(recent).map(|(at, _)| *at).collect();
        times.iter().max().filter(|_| times.len() >= CUT_OFF_TARGETS).copied()
    }

    /// Returns the weight of a target, without what is known of its load.
    fn weight(
        &mut self,
        now: Instant,
        index: usize,
        query: &TargetQuery<'_>,
    ) -> Result<f64, NoTarget> {
        let (_, target) = self.targets.get_index(index).ok_or(NoTarget::Empty)?;
        let is_other_software = query.version.is_some_and(|v| *v != target.listed.version);
        if target.listed.pool != *query.pool || is_other_software || !self.is_usable(target) {
            return Err(NoTarget::Empty);
        }
        if query.tried.contains(&target.listed.name) {
            return Err(NoTarget::Tried);
        }
        if let Some(until) = target.notice.opens_at(now) {
            return Err(NoTarget::Paused { until });
        }
        let cut_off = self.cut_off_at(now, &target.listed.centre);
        let cut_off = cut_off.is_some_and(|at| target.last_answer < at)
            || self.cut_off.contains(&target.listed.centre);
        let (_, target) = self.targets.get_index_mut(index).ok_or(NoTarget::Empty)?;
        let cold = target.is_cold(now, query.cold);
        if cold && !target.has_cold_token(now, query) {
            return Err(NoTarget::Cold);
        }
        let mut weight = (1.0 - target.health.failure_rate(now)).max(0.0).powi(SUCCESS_EXPONENT);
        if target.health.is_paused(now) {
            weight = 0.0;
        }
        weight = weight.max(MIN_WEIGHT);
        if cold {
            weight *= COLD_WEIGHT;
        }
        if cut_off {
            weight *= CUT_OFF_WEIGHT;
        }
        if query.centre == Some(&target.listed.centre) {
            weight *= PREFERRED_WEIGHT;
        }
        if target.in_flight.get() > BUSY_REQUESTS {
            weight *= f64::from(BUSY_REQUESTS) / f64::from(target.in_flight.get());
        }
        Ok(weight.max(MIN_WEIGHT * CUT_OFF_WEIGHT))
    }
}

impl Target {
    fn new(now: Instant, listed: &ListedTarget, is_new: bool) -> Self {
        Self {
            listed: listed.clone(),
            health: Health::default(),
            notice: TargetNotice::default(),
            load: TargetLoad::default(),
            last_answer: Instant::ZERO,
            in_flight: Rc::default(),
            cold_until: now,
            warming_since: is_new.then_some(now),
            cold_tokens: 0.0,
            refilled: now,
        }
    }

    fn is_cold(&self, now: Instant, cold: Option<ColdLimit>) -> bool {
        let Some(cold) = cold else { return false };
        self.cold_until > now
            || self.warming_since.is_some_and(|since| now.since(since) < cold.duration)
    }

    /// Refills the token bucket of this entry's share of the cold load, and returns whether it has
    /// a token.
    fn has_cold_token(&mut self, now: Instant, query: &TargetQuery<'_>) -> bool {
        let Some(cold) = query.cold else { return true };
        let rate = cold.rate / query.entries.max(1) as f64;
        let earned = now.since(self.refilled).as_secs_f64() * rate;
        self.cold_tokens = (self.cold_tokens + earned).min(COLD_BURST);
        self.refilled = now;
        self.cold_tokens >= 1.0
    }
}

/// Returns the weighted rendezvous hashing score of a target for a session.
///
/// All entries prefer the same target for a session, each target gets a share of the sessions
/// proportional to its weight, and few sessions move when a weight or the set of targets changes.
fn rendezvous(session: u64, name: &TargetName, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(name.as_str().as_bytes(), session);
    // In the open interval (0, 1): the upper 53 bits, offset from both ends.
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}
