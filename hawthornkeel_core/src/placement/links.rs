//! Links from one entry to the targets: whether connections to them can be opened.
//!
//! Designed for entries that lose the way to all targets of a pool while other entries reach them.
//! What fails then is the way from here, so the evidence is kept for each target as seen from this
//! entry, and only most of a pool together counts, in each data centre: one that is cut off leaves the
//! targets of the others. Connections that live on prove nothing: they may be silent, or work while
//! new ones are refused. One failure makes the entry check the other targets of the pool, a few at a
//! time.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::names::CentreName;
use crate::names::PoolName;
use crate::time::Instant;

/// Time after a check of a pool in which further failures start no other one.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of probes of a pool at the same time.
const PROBE_BATCH: usize = 6;
/// Number of targets that must have failed, some in each data centre and with none reached, for a
/// pool to count as lost before all of its targets were checked.
const LOST_TARGETS: usize = 6;
/// Number of targets of a data centre that must be reached, beside few that fail, for it to count as
/// linked before all of its targets were checked.
const LINKED_TARGETS: usize = 3;
/// Interval of the probes of a lost pool.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which links must work again before they are used, the first time.
const FIRST_HOLD: Duration = Duration::from_millis(500);
/// Longest such time; it doubles each time that the links are lost again soon.
const MAX_HOLD: Duration = Duration::from_secs(8);
/// Time after which an earlier loss no longer counts for that.
const CALM_TIME: Duration = Duration::from_secs(30);
/// Minimum time between two probes of a target whose answers are overdue.
const SILENCE_INTERVAL: Duration = Duration::from_secs(1);

/// What was seen of the link to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEvidence {
    /// A connection was opened.
    Connected,
    /// No connection could be opened, or a new one was closed before anything was received.
    Failed,
    /// Nothing was received for a while though answers are awaited.
    Silent,
}

/// Change of the links to a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// Most targets of the pool can't be reached from here.
    Lost(PoolName),
    /// They can be reached again.
    Restored(PoolName),
}

/// Links from one entry to the targets of all pools.
#[derive(Clone, Debug, Default)]
pub struct Links {
    pools: IndexMap<PoolName, PoolLinks>,
    addresses: IndexMap<SocketAddr, PoolName>,
}

/// Links to the targets of one pool.
#[derive(Clone, Debug, Default)]
struct PoolLinks {
    links: IndexMap<SocketAddr, Link>,
    /// Time from which on verdicts count in the current or last check.
    checked_from: Option<Instant>,
    /// Whether a check is in progress.
    checking: bool,
    lost: Option<Loss>,
    /// End of the last loss, and its hold.
    last_loss: Option<(Instant, Duration)>,
    /// Time of the last probe while the pool is lost.
    last_retry: Instant,
    /// Index of the link that is probed next while the pool is lost.
    next_retry: usize,
}

/// Loss of the links to a pool.
#[derive(Clone, Copy, Debug)]
struct Loss {
    /// Time for which links must work again.
    hold: Duration,
    /// Time from which on links have worked again.
    working_since: Option<Instant>,
}

/// Link to one target.
#[derive(Clone, Debug, Default)]
struct Link {
    /// Data centre of the target.
    centre: CentreName,
    /// Whether the last connection was opened, and when that was seen.
    verdict: Option<(bool, Instant)>,
    probing: bool,
    /// Last probe for overdue answers.
    silence_probe: Option<Instant>,
    silent: bool,
}

impl Link {
    fn verdict_since(&self, from: Instant) -> Option<bool> {
        self.verdict.filter(|(_, at)| *at >= from).map(|(reached, _)| reached)
    }
}

/// Number of links of a data centre by their verdicts in a check.
#[derive(Clone, Copy, Debug, Default)]
struct Verdicts {
    reached: usize,
    failed: usize,
    unknown: usize,
}

impl Verdicts {
    /// Returns whether enough targets are reached, whatever the others do.
    fn is_linked(&self) -> bool {
        let Self { reached, failed, unknown } = *self;
        let is_likely = reached >= LINKED_TARGETS && reached > failed * 2;
        is_likely || reached > failed + unknown || unknown == 0 && reached == failed
    }
}

/// What the verdicts of a check tell together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Judgement {
    /// Most targets are reached in one data centre at least.
    Linked,
    /// Most targets fail in each data centre.
    Lost,
    /// Not enough targets were checked.
    Open,
}

impl Links {
    /// Replaces the targets that may get work.
    pub fn set_targets<'a>(
        &mut self,
        targets: impl IntoIterator<Item = (&'a PoolName, &'a CentreName, SocketAddr)>,
    ) {
        let known = std::mem::take(&mut self.pools);
        self.addresses.clear();
        for (pool, centre, address) in targets {
            let old = known.get(pool);
            let link = old.and_then(|p| p.links.get(&address)).cloned().unwrap_or_default();
            let link = Link { centre: centre.clone(), ..link };
            let entry = self.pools.entry(pool.clone()).or_insert_with(|| {
                let mut kept = old.cloned().unwrap_or_default();
                kept.links.clear();
                kept
            });
            entry.links.insert(address, link);
            self.addresses.insert(address, pool.clone());
        }
    }

    /// Records what was seen of the link to a target, and returns the change of its pool.
    pub fn record(
        &mut self,
        now: Instant,
        address: SocketAddr,
        evidence: LinkEvidence,
    ) -> Option<LinkChange> {
        let pool = self.addresses.get(&address)?;
        let links = self.pools.get_mut(pool)?;
        let link = links.links.get_mut(&address)?;
        let before = link.verdict;
        match evidence {
            LinkEvidence::Silent => {
                link.silent = true;
                return None;
            }
            LinkEvidence::Connected => link.verdict = Some((true, now)),
            LinkEvidence::Failed => link.verdict = Some((false, now)),
        }
        let change = links.judge(now, evidence == LinkEvidence::Connected, before);
        change.map(|is_lost| match is_lost {
            true => LinkChange::Lost(pool.clone()),
            false => LinkChange::Restored(pool.clone()),
        })
    }

    /// Returns the targets to which connections are to be opened now; each must be followed by
    /// [`Links::end_probe`].
    pub fn due_probes(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.pools.values_mut().flat_map(|p| p.due_probes(now)).collect()
    }

    /// Records that a probe is over; what was seen is recorded beside it.
    pub fn end_probe(&mut self, address: SocketAddr) {
        let pool = self.addresses.get(&address).and_then(|p| self.pools.get_mut(p));
        if let Some(link) = pool.and_then(|p| p.links.get_mut(&address)) {
            link.probing = false;
        }
    }

    /// Returns whether most targets of a pool can't be reached from here.
    pub fn is_lost(&self, pool: &PoolName) -> bool {
        self.pools.get(pool).is_some_and(|p| p.lost.is_some())
    }

    /// Returns whether the last connection to a target could not be opened.
    pub fn is_failed(&self, address: SocketAddr) -> bool {
        let pool = self.addresses.get(&address).and_then(|p| self.pools.get(p));
        let link = pool.and_then(|p| p.links.get(&address));
        link.and_then(|l| l.verdict).is_some_and(|(reached, _)| !reached)
    }

    /// Returns whether that may be so: a check is in progress that has reached no target yet.
    pub fn is_doubtful(&self, pool: &PoolName) -> bool {
        self.pools.get(pool).is_some_and(|p| {
            let reached = |from| p.links.values().any(|l| l.verdict_since(from) == Some(true));
            p.lost.is_some() || p.checking && !p.checked_from.is_some_and(reached)
        })
    }

    /// Returns whether a check is in progress or a pool is lost, so that probes are due soon.
    pub fn is_watched(&self) -> bool {
        self.pools.values().any(|p| p.checking || p.lost.is_some())
    }
}

impl PoolLinks {
    /// Returns the verdicts of each data centre since a time.
    fn verdicts(&self, from: Instant) -> Vec<Verdicts> {
        let mut centres: IndexMap<&CentreName, Verdicts> = IndexMap::new();
        for link in self.links.values() {
            let verdicts = centres.entry(&link.centre).or_default();
            match link.verdict_since(from) {
                Some(true) => verdicts.reached += 1,
                Some(false) => verdicts.failed += 1,
                None => verdicts.unknown += 1,
            }
        }
        centres.into_values().collect()
    }

    fn judgement(&self, from: Instant) -> Judgement {
        let centres = self.verdicts(from);
        if centres.iter().any(Verdicts::is_linked) {
            return Judgement::Linked;
        }
        let failed: usize = centres.iter().map(|v| v.failed).sum();
        let none_reached = centres.iter().all(|v| v.reached == 0 && v.failed > 0);
        let all_known = centres.iter().all(|v| v.unknown == 0);
        if all_known || none_reached && failed >= LOST_TARGETS {
            return Judgement::Lost;
        }
        Judgement::Open
    }

    /// Applies a new verdict, and the one `before` it; returns whether the pool is lost if that
    /// changes.
    fn judge(
        &mut self,
        now: Instant,
        reached: bool,
        before: Option<(bool, Instant)>,
    ) -> Option<bool> {
        if let Some(loss) = self.lost {
            return self.judge_loss(now, reached, before, loss);
        }
        let is_recent = self.checked_from.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        if !reached && !self.checking && !is_recent {
            self.checking = true;
            self.checked_from = Some(now);
        }
        let from = self.checked_from.filter(|_| self.checking)?;
        match self.judgement(from) {
            Judgement::Open => None,
            Judgement::Linked => {
                self.checking = false;
                None
            }
            Judgement::Lost => {
                self.checking = false;
                self.lost = Some(Loss { hold: self.next_hold(now), working_since: None });
                Some(true)
            }
        }
    }

    /// Applies a new verdict of a lost pool; returns `false` once its links have worked long enough.
    fn judge_loss(
        &mut self,
        now: Instant,
        reached: bool,
        before: Option<(bool, Instant)>,
        loss: Loss,
    ) -> Option<bool> {
        let Some(since) = loss.working_since else {
            self.lost = Some(Loss { working_since: reached.then_some(now), ..loss });
            return None;
        };
        let is_unsteady = !reached && before.is_some_and(|(up, at)| up && at >= since);
        let judgement = self.judgement(since);
        if is_unsteady || judgement == Judgement::Lost {
            self.lost = Some(Loss { working_since: None, ..loss });
            return None;
        }
        if judgement == Judgement::Open || now.since(since) < loss.hold {
            return None;
        }
        self.lost = None;
        self.checking = false;
        self.checked_from = Some(now);
        self.last_loss = Some((now, loss.hold));
        Some(false)
    }

    fn next_hold(&self, now: Instant) -> Duration {
        match self.last_loss {
            Some((end, hold)) if now.since(end) < CALM_TIME => (hold * 2).min(MAX_HOLD),
            _ => FIRST_HOLD,
        }
    }

    fn due_probes(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        if let Some(loss) = self.lost {
            self.retry_lost(now, loss, &mut due);
        } else if let Some(from) = self.checked_from.filter(|_| self.checking) {
            self.probe_unknown(from, &mut due);
        }
        for (address, link) in &mut self.links {
            let recent = link.silence_probe.is_some_and(|at| now.since(at) < SILENCE_INTERVAL);
            if std::mem::take(&mut link.silent) && !recent && !link.probing {
                link.silence_probe = Some(now);
                link.probing = true;
                due.push(*address);
            }
        }
        due
    }

    /// Adds targets without a verdict in a check: those of each data centre by turns, in random order,
    /// as neighbours in the list may have ended together.
    fn probe_unknown(&mut self, from: Instant, due: &mut Vec<SocketAddr>) {
        let room = PROBE_BATCH.saturating_sub(self.probing());
        let is_due = |l: &Link| !l.probing && l.verdict_since(from).is_none();
        let rank = |a: &SocketAddr| xxh3_64_with_seed(a.to_string().as_bytes(), from.as_micros());
        let unknown = self.links.iter().filter(|(_, l)| is_due(l));
        let mut ranked: Vec<_> = unknown.map(|(a, l)| (rank(a), *a, l.centre.clone())).collect();
        ranked.sort();
        let mut turns: IndexMap<CentreName, usize> = IndexMap::new();
        let mut ordered: Vec<(usize, SocketAddr)> = Vec::new();
        for (_, address, centre) in ranked {
            let turn = turns.entry(centre).or_default();
            *turn += 1;
            ordered.push((*turn, address));
        }
        ordered.sort_by_key(|(turn, _)| *turn);
        for (_, address) in ordered.into_iter().take(room) {
            if let Some(link) = self.links.get_mut(&address) {
                link.probing = true;
                due.push(address);
            }
        }
    }

    /// Adds the next target of a lost pool, or more of them once one works again.
    fn retry_lost(&mut self, now: Instant, loss: Loss, due: &mut Vec<SocketAddr>) {
        if let Some(since) = loss.working_since
            && self.judgement(since) == Judgement::Open
        {
            return self.probe_unknown(since, due);
        }
        if now.since(self.last_retry) < RETRY_INTERVAL || self.links.is_empty() {
            return;
        }
        self.last_retry = now;
        let index = self.next_retry % self.links.len();
        self.next_retry = index + 1;
        if let Some((address, link)) = self.links.get_index_mut(index)
            && !link.probing
        {
            link.probing = true;
            due.push(*address);
        }
    }

    fn probing(&self) -> usize {
        self.links.values().filter(|l| l.probing).count()
    }
}
