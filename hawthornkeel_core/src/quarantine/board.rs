//! Adds up the evidence about parts of prompts and decides which requests are rejected.
//!
//! The process of a target can end under many requests, so it blames each of them by its share only.
//! Requests whose answers had begun without an event go before those that were still waiting. A
//! part that went well later than a process ended under it is not blamed for that process, and its
//! sound runs before weigh against the rest. The more runs end with their targets anyway, whatever
//! they hold, the more it takes: chance alone is to blame no part.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::ProcessId;
use crate::names::InstanceName;
use crate::quarantine::evidence::Ending;
use crate::quarantine::evidence::Evidence;
use crate::quarantine::evidence::PartId;
use crate::quarantine::evidence::SoundRuns;
use crate::quarantine::record::Belief;
use crate::quarantine::record::PartRecord;
use crate::quarantine::record::Suspicion;
use crate::quarantine::sound::Weight;
use crate::time::Instant;

/// Time for which evidence about one end may come in before it is judged.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Least blame from which on a part is rejected, beyond the weight of its sound runs.
const REJECTED_BLAME: f64 = 2.0;
/// Share of what a rejection takes from which on a part is suspected.
const SUSPECTED_SHARE: f64 = 0.75;
/// Probability with which the runs of a sound part may all end with their targets by chance for it
/// to be rejected.
const CHANCE: f64 = 1e-4;
/// Runs that are assumed to have ended with their targets before any evidence.
const PRIOR_ENDINGS: f64 = 0.1;
/// Runs that are assumed before any evidence.
const PRIOR_RUNS: f64 = 1.0;
/// Number of processes that must have ended under a part for it to be suspected.
const SUSPECTED_PROCESSES: usize = 2;
/// Number of processes that must have ended under a part for it to be rejected.
const REJECTED_PROCESSES: usize = 3;
/// Time for which a part is suspected at the least before it is rejected.
///
/// All entries report their sound runs of it meanwhile, and what ends many processes at the same
/// moment rejects no part.
const MIN_SUSPICION: Duration = Duration::from_millis(600);
/// Share of the blame of a process that the requests waiting for it take, if none had begun.
const WAITING_SHARE: f64 = 0.5;
/// Time for which evidence counts.
const EVIDENCE_TTL: Duration = Duration::from_secs(600);
/// Time after which what is believed of a part that is not rejected is forgotten.
const BELIEF_TTL: Duration = Duration::from_secs(60);
/// Largest share of other runs that is assumed to end with their targets.
const MAX_ENDING_RATE: f64 = 0.9;
/// Weight below which the sound runs of an entry are forgotten.
const MIN_SOUND: f64 = 0.001;
/// Maximum number of processes with evidence; the oldest go first.
const MAX_PROCESSES: usize = 256;
/// Maximum number of requests counted for each process.
const MAX_REQUESTS: usize = 64;
/// Maximum number of parts of which something is believed.
const MAX_PARTS: usize = 1_024;

/// Change of the suspicion of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionChange {
    /// Part.
    pub part: PartId,
    /// Suspicion from now on.
    pub suspicion: Suspicion,
    /// Blame of the processes that ended under it.
    pub blame: f64,
    /// Number of these processes.
    pub processes: usize,
    /// Weight of its sound runs.
    pub sound: f64,
}

/// Evidence about parts and what is believed of them.
#[derive(Clone, Debug, Default)]
pub struct Board {
    processes: IndexMap<ProcessId, EndedProcess>,
    parts: IndexMap<PartId, Part>,
    /// Sound runs of each entry, whatever they held.
    all_sound: IndexMap<InstanceName, Weight>,
    /// Parts to be judged, with the time of their last evidence.
    pending: IndexMap<PartId, Instant>,
}

/// Process that ended under requests.
#[derive(Clone, Debug)]
struct EndedProcess {
    at: Instant,
    requests: Vec<EndedRequest>,
}

#[derive(Clone, Debug)]
struct EndedRequest {
    request: u64,
    begun: bool,
    parts: Vec<PartId>,
}

#[derive(Clone, Debug, Default)]
struct Part {
    belief: Belief,
    /// Sound runs by the entry that saw them.
    sound: IndexMap<InstanceName, Weight>,
}

impl Part {
    fn sound_weight(&self, now: Instant) -> f64 {
        self.sound.values().map(|w| w.value_at(now)).sum()
    }
}

/// Blame of a part by the processes that ended under it.
#[derive(Clone, Copy, Debug, Default)]
struct Blame {
    value: f64,
    processes: usize,
}

impl Board {
    /// Adds evidence, and returns the parts that it clears.
    ///
    /// Call [`Board::settle`] once [`SETTLE_TIME`] has passed.
    pub fn record(&mut self, now: Instant, evidence: &Evidence) -> Vec<SuspicionChange> {
        let ending_parts = evidence.endings.iter().flat_map(|e| e.parts.iter());
        let all_sound = Weight::from_thousandths(evidence.all_thousandths, now);
        self.all_sound.insert(evidence.reporter.clone(), all_sound);
        let mut cleared = Vec::new();
        for runs in ending_parts.chain(&evidence.sound) {
            let before = self.suspicion_of(runs.part);
            self.record_sound(now, &evidence.reporter, runs);
            if self.suspicion_of(runs.part) < before {
                cleared.push(runs.part);
            }
        }
        for ending in &evidence.endings {
            self.record_ending(now, ending);
        }
        self.expire(now);
        cleared.into_iter().map(|part| self.change(now, part)).collect()
    }

    /// Judges the parts of what was recorded, and returns those that are suspect now.
    pub fn settle(&mut self, now: Instant) -> Vec<SuspicionChange> {
        let is_settled = |at: &Instant| now.since(*at) >= SETTLE_TIME;
        let due = self.pending.iter().filter(|(_, at)| is_settled(at));
        let due: Vec<PartId> = due.map(|(part, _)| *part).collect();
        self.pending.retain(|_, at| !is_settled(at));
        let changed: Vec<PartId> = due.into_iter().filter(|p| self.judge(now, *p)).collect();
        changed.into_iter().map(|part| self.change(now, part)).collect()
    }

    /// Leaves the judgement of what was recorded to another instance.
    pub fn defer(&mut self) {
        self.pending.clear();
    }

    /// Merges what another instance believes.
    pub fn merge(&mut self, now: Instant, records: &[PartRecord]) {
        for record in records {
            let part = self.parts.entry(record.part).or_default();
            part.belief.merge(record.belief(now));
        }
        self.expire(now);
    }

    /// Returns the suspicion of the parts of a prompt: that of the worst one.
    ///
    /// A part that is rejected with companions counts as suspected only where one of them is missing.
    pub fn suspicion(&self, parts: &[PartId]) -> Suspicion {
        let suspicion = |part: &PartId| match self.suspicion_of(*part) {
            Suspicion::Rejected if !self.holds_companions(*part, parts) => Suspicion::Suspected,
            suspicion => suspicion,
        };
        parts.iter().map(suspicion).max().unwrap_or_default()
    }

    /// Returns the rejected parts of a prompt.
    pub fn rejected<'a>(&'a self, parts: &'a [PartId]) -> impl Iterator<Item = PartId> + 'a {
        let rejected = |p: &PartId| {
            self.suspicion_of(*p) == Suspicion::Rejected && self.holds_companions(*p, parts)
        };
        parts.iter().copied().filter(rejected)
    }

    /// Returns the time from which on a request with a rejected part may run as a probe.
    pub fn probe_at(&self, part: PartId) -> Option<Instant> {
        self.parts.get(&part)?.belief.probe_at()
    }

    /// Lends the next probe of a part, if it is due; there is one for all instances.
    pub fn lend_probe(&mut self, now: Instant, part: PartId) -> bool {
        let Some(known) = self.parts.get_mut(&part) else { return false };
        if known.belief.probe_at().is_none_or(|at| at > now) {
            return false;
        }
        known.belief.probed = Some(now);
        known.belief.probes = known.belief.probes.saturating_add(1);
        true
    }

    /// Returns what is believed of all parts that are or were suspect, for another instance.
    pub fn records(&self, now: Instant) -> Vec<PartRecord> {
        let known = self.parts.iter().filter(|(_, p)| p.belief.suspected.is_some());
        known.map(|(id, p)| p.belief.record(now, *id)).collect()
    }

    /// Returns the records that lack what is believed here: rejected parts that they don't name so.
    pub fn missing_in(&self, now: Instant, records: &[PartRecord]) -> Vec<PartRecord> {
        let is_known =
            |part: &PartId| records.iter().any(|r| r.part == *part && r.rejected_ms.is_some());
        let mut own = self.records(now);
        own.retain(|r| self.suspicion_of(r.part) == Suspicion::Rejected && !is_known(&r.part));
        own
    }

    /// Returns a hash that differs between different beliefs; never zero.
    pub fn mark(&self) -> u64 {
        let mut texts: Vec<String> = Vec::new();
        for (id, part) in &self.parts {
            let Belief { suspected, companions, probes, .. } = &part.belief;
            if suspected.is_some() {
                let suspicion = part.belief.suspicion();
                texts.push(format!("{id}/{suspicion:?}/{companions:?}/{probes};"));
            }
        }
        texts.sort();
        xxh3_64(texts.concat().as_bytes()).max(1)
    }

    /// Returns the parts that are suspect.
    pub fn suspects(&self) -> impl Iterator<Item = (PartId, Suspicion)> + '_ {
        let suspicion = |(id, part): (&PartId, &Part)| (*id, part.belief.suspicion());
        self.parts.iter().map(suspicion).filter(|(_, s)| *s > Suspicion::Clear)
    }

    fn suspicion_of(&self, part: PartId) -> Suspicion {
        self.parts.get(&part).map(|p| p.belief.suspicion()).unwrap_or_default()
    }

    fn holds_companions(&self, part: PartId, parts: &[PartId]) -> bool {
        let Some(known) = self.parts.get(&part) else { return true };
        let is_cleared = |c: &PartId| self.suspicion_of(*c) != Suspicion::Rejected;
        known.belief.companions.iter().all(|c| parts.contains(c) || is_cleared(c))
    }

    fn record_ending(&mut self, now: Instant, ending: &Ending) {
        let at = now.before_millis(ending.age_ms);
        let process = self
            .processes
            .entry(ending.process)
            .or_insert_with(|| EndedProcess { at, requests: Vec::new() });
        let is_known = process.requests.iter().any(|r| r.request == ending.request);
        if is_known || process.requests.len() >= MAX_REQUESTS {
            return;
        }
        let parts: Vec<PartId> = ending.parts.iter().map(|runs| runs.part).collect();
        self.pending.extend(parts.iter().map(|part| (*part, now)));
        let Ending { request, begun, .. } = *ending;
        process.requests.push(EndedRequest { request, begun, parts });
    }

    fn record_sound(&mut self, now: Instant, reporter: &InstanceName, runs: &SoundRuns) {
        let part = self.parts.entry(runs.part).or_default();
        let Some(age_ms) = runs.age_ms else { return };
        let at = now.before_millis(age_ms);
        part.sound.insert(reporter.clone(), Weight::from_thousandths(runs.thousandths, now));
        part.belief.sound = part.belief.sound.max(Some(at));
    }

    /// Decides on the suspicion of a part, and returns whether that changes it.
    fn judge(&mut self, now: Instant, id: PartId) -> bool {
        let blame = self.blame(now, id);
        let ending_rate = self.ending_rate(now, id);
        let companions = self.companions(id);
        let Some(part) = self.parts.get_mut(&id) else { return false };
        let before = part.belief.suspicion();
        let was_suspect = part.belief.suspected.is_some_and(|at| now.since(at) >= MIN_SUSPICION);
        match blame.suspicion(part.sound_weight(now), ending_rate) {
            Suspicion::Rejected if before == Suspicion::Rejected => {
                part.belief.companions.retain(|c| companions.contains(c));
            }
            Suspicion::Rejected if before == Suspicion::Suspected && was_suspect => {
                part.belief.reject(now, companions);
            }
            Suspicion::Rejected | Suspicion::Suspected if before == Suspicion::Clear => {
                part.belief.suspected = Some(now);
            }
            _ => {}
        }
        part.belief.suspicion() != before
    }

    /// Describes the suspicion of a part.
    fn change(&self, now: Instant, part: PartId) -> SuspicionChange {
        let Blame { value, processes } = self.blame(now, part);
        SuspicionChange {
            part,
            suspicion: self.suspicion_of(part),
            blame: value,
            processes,
            sound: self.parts.get(&part).map_or(0.0, |p| p.sound_weight(now)),
        }
    }

    /// Returns the blame of a part by the processes that ended after its last sound run.
    fn blame(&self, now: Instant, part: PartId) -> Blame {
        let sound = self.parts.get(&part).and_then(|p| p.belief.sound);
        let mut blame = Blame::default();
        for process in self.processes.values().filter(|p| sound.is_none_or(|s| p.at > s)) {
            let share = process.share(part);
            if share > 0.0 && now.since(process.at) < EVIDENCE_TTL {
                blame.add(share);
            }
        }
        blame
    }

    /// Returns the share of the runs without a part that end with their targets.
    fn ending_rate(&self, now: Instant, part: PartId) -> f64 {
        let without = |p: &EndedProcess| {
            let others = p.requests.iter().filter(|r| r.begun && !r.parts.contains(&part));
            Weight::new(others.count() as f64, p.at).value_at(now)
        };
        let endings: f64 = self.processes.values().map(without).sum();
        let sound: f64 = self.all_sound.values().map(|w| w.value_at(now)).sum();
        (endings + PRIOR_ENDINGS) / (endings + sound + PRIOR_RUNS)
    }

    /// Returns the other parts that all requests hold which are counted against a part.
    fn companions(&self, part: PartId) -> Vec<PartId> {
        let sound = self.parts.get(&part).and_then(|p| p.belief.sound);
        let processes = self.processes.values().filter(|p| sound.is_none_or(|s| p.at > s));
        let mut requests =
            processes.flat_map(EndedProcess::blamed).filter(|r| r.parts.contains(&part));
        let mut common = requests.next().map(|r| r.parts.clone()).unwrap_or_default();
        common.retain(|c| *c != part);
        for request in requests {
            common.retain(|c| request.parts.contains(c));
        }
        common
    }

    /// Forgets what is too old or too much.
    fn expire(&mut self, now: Instant) {
        self.processes.retain(|_, p| now.since(p.at) < EVIDENCE_TTL);
        let excess = self.processes.len().saturating_sub(MAX_PROCESSES);
        self.processes.drain(..excess);
        self.all_sound.retain(|_, w| w.value_at(now) >= MIN_SOUND);
        self.parts.retain(|_, part| {
            let is_recent = |at: Instant| now.since(at) < BELIEF_TTL;
            let is_rejected = part.belief.suspicion() == Suspicion::Rejected;
            is_rejected || part.belief.changed().is_none_or(is_recent)
        });
        if self.parts.len() > MAX_PARTS {
            // Among those as suspect as each other the order is kept, so the oldest are dropped.
            self.parts
                .sort_by(|_, one, _, other| one.belief.suspicion().cmp(&other.belief.suspicion()));
            let excess = self.parts.len() - MAX_PARTS;
            self.parts.drain(..excess);
        }
    }
}

impl EndedProcess {
    /// Returns the requests that are blamed: those whose answers had begun, or else all.
    fn blamed(&self) -> impl Iterator<Item = &EndedRequest> {
        let any_begun = self.requests.iter().any(|r| r.begun);
        self.requests.iter().filter(move |r| r.begun || !any_begun)
    }

    /// Returns the share of a part in the blame for the end of the process, from zero to one.
    fn share(&self, part: PartId) -> f64 {
        let all = self.blamed().count().max(1);
        let with_part = self.blamed().filter(|r| r.parts.contains(&part)).count();
        let begun = self.blamed().any(|r| r.begun);
        let factor = if begun { 1.0 } else { WAITING_SHARE };
        factor * with_part as f64 / all as f64
    }
}

impl Blame {
    fn add(&mut self, share: f64) {
        self.value += share;
        self.processes += 1;
    }

    /// Returns the suspicion of a part whose sound runs have a weight, where a share of other runs
    /// ends with their targets anyway.
    fn suspicion(&self, sound: f64, ending_rate: f64) -> Suspicion {
        let by_chance = CHANCE.ln() / ending_rate.min(MAX_ENDING_RATE).ln();
        let processes = self.processes as f64;
        let reached = |share: f64| {
            let enough_blame = self.value - sound >= REJECTED_BLAME * share;
            enough_blame && processes - sound >= by_chance * share
        };
        if self.processes >= REJECTED_PROCESSES && reached(1.0) {
            Suspicion::Rejected
        } else if self.processes >= SUSPECTED_PROCESSES && reached(SUSPECTED_SHARE) {
            Suspicion::Suspected
        } else {
            Suspicion::Clear
        }
    }
}
