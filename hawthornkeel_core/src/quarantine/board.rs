//! Adds up the evidence about subjects and decides which requests are rejected.
//!
//! A subject that went well later than a process ended under it is not blamed for that process, and
//! its sound runs before weigh against the rest. The more runs end with their targets anyway,
//! whatever they hold, the more it takes: chance alone is to blame no subject.

use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::InstanceName;
use crate::quarantine::endings::Blame;
use crate::quarantine::endings::EVIDENCE_TTL;
use crate::quarantine::endings::Endings;
use crate::quarantine::evidence::Ending;
use crate::quarantine::evidence::Evidence;
use crate::quarantine::evidence::SoundRuns;
use crate::quarantine::evidence::Subject;
use crate::quarantine::record::Belief;
use crate::quarantine::record::SubjectRecord;
use crate::quarantine::record::Suspicion;
use crate::quarantine::sound::Weight;
use crate::time::Instant;

/// Time for which evidence about one end may come in before it is judged.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Least blame from which on a subject is rejected, beyond the weight of its sound runs.
const REJECTED_BLAME: f64 = 2.0;
/// Share of what a rejection takes from which on a subject is suspected.
const SUSPECTED_SHARE: f64 = 0.75;
/// Probability with which the runs of a sound subject may all end with their targets by chance for it
/// to be rejected.
const CHANCE: f64 = 1e-4;
/// Runs that are assumed to have ended with their targets before any evidence.
const PRIOR_ENDINGS: f64 = 0.1;
/// Runs that are assumed before any evidence.
const PRIOR_RUNS: f64 = 1.0;
/// Number of processes that must have ended under a subject for it to be suspected.
const SUSPECTED_PROCESSES: usize = 2;
/// Number of processes that must have ended under a subject for it to be rejected.
const REJECTED_PROCESSES: usize = 3;
/// Time for which a subject is suspected at the least before it is rejected.
///
/// All entries report their sound runs of it meanwhile, and what ends many processes at the same
/// moment rejects no subject.
const MIN_SUSPICION: Duration = Duration::from_millis(600);
/// Time after which what is believed of a subject that is not rejected is forgotten.
const BELIEF_TTL: Duration = EVIDENCE_TTL;
/// Largest share of other runs that is assumed to end with their targets.
const MAX_ENDING_RATE: f64 = 0.9;
/// Weight below which the sound runs of an entry are forgotten.
const MIN_SOUND: f64 = 0.001;
/// Maximum number of subjects of which something is believed.
const MAX_SUBJECTS: usize = 1_024;

/// Change of the suspicion of a subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionChange {
    /// Subject.
    pub subject: Subject,
    /// Suspicion from now on.
    pub suspicion: Suspicion,
    /// Blame of the processes that ended under it.
    pub blame: f64,
    /// Number of these processes.
    pub processes: usize,
    /// Weight of its sound runs.
    pub sound: f64,
}

/// Evidence about subjects and what is believed of them.
#[derive(Clone, Debug, Default)]
pub struct Board {
    endings: Endings,
    subjects: IndexMap<Subject, KnownSubject>,
    /// Sound runs of each entry, whatever they held.
    all_sound: IndexMap<InstanceName, Weight>,
    /// Subjects to be judged, with the time from which on they are.
    pending: IndexMap<Subject, Instant>,
}

#[derive(Clone, Debug, Default)]
struct KnownSubject {
    belief: Belief,
    /// Sound runs by the entry that saw them.
    sound: IndexMap<InstanceName, Weight>,
}

impl KnownSubject {
    fn sound_weight(&self, now: Instant) -> f64 {
        self.sound.values().map(|w| w.value_at(now)).sum()
    }
}

impl Board {
    /// Adds evidence, and returns the subjects that it clears.
    ///
    /// Call [`Board::settle`] at [`Board::settles_at`].
    pub fn record(&mut self, now: Instant, evidence: &Evidence) -> Vec<SuspicionChange> {
        let ending_runs = evidence.endings.iter().flat_map(|e| e.subjects.iter());
        let all_sound = Weight::from_thousandths(evidence.all_thousandths, now);
        self.all_sound.insert(evidence.reporter.clone(), all_sound);
        let mut cleared = Vec::new();
        for runs in ending_runs.chain(&evidence.sound) {
            let before = self.suspicion_of(runs.subject);
            self.record_sound(now, &evidence.reporter, runs);
            if self.suspicion_of(runs.subject) < before {
                cleared.push(runs.subject);
            }
        }
        for ending in &evidence.endings {
            self.record_ending(now, ending);
        }
        self.expire(now);
        cleared.into_iter().map(|subject| self.change(now, subject)).collect()
    }

    /// Judges the subjects that are due, and returns those whose suspicion changes.
    pub fn settle(&mut self, now: Instant) -> Vec<SuspicionChange> {
        let due = self.pending.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Subject> = due.map(|(subject, _)| *subject).collect();
        self.pending.retain(|_, at| *at > now);
        let changed: Vec<Subject> = due.into_iter().filter(|s| self.judge(now, *s)).collect();
        changed.into_iter().map(|subject| self.change(now, subject)).collect()
    }

    /// Returns the time from which on [`Board::settle`] judges the next subject.
    pub fn settles_at(&self) -> Option<Instant> {
        self.pending.values().min().copied()
    }

    /// Leaves the judgement of what was recorded to another instance.
    pub fn defer(&mut self) {
        self.pending.clear();
    }

    /// Merges what another instance believes.
    pub fn merge(&mut self, now: Instant, records: &[SubjectRecord]) {
        for record in records {
            let subject = self.subjects.entry(record.subject).or_default();
            subject.belief.merge(record.belief(now));
        }
        self.expire(now);
    }

    /// Returns the suspicion of the subjects of a request: that of the worst one.
    ///
    /// A subject that is rejected with companions counts as suspected only where one of them is missing.
    pub fn suspicion(&self, subjects: &[Subject]) -> Suspicion {
        let suspicion = |subject: &Subject| match self.suspicion_of(*subject) {
            Suspicion::Rejected if !self.holds_companions(*subject, subjects) => {
                Suspicion::Suspected
            }
            suspicion => suspicion,
        };
        subjects.iter().map(suspicion).max().unwrap_or_default()
    }

    /// Returns the rejected subjects of a request.
    pub fn rejected<'a>(&'a self, subjects: &'a [Subject]) -> impl Iterator<Item = Subject> + 'a {
        let rejected = |p: &Subject| {
            self.suspicion_of(*p) == Suspicion::Rejected && self.holds_companions(*p, subjects)
        };
        subjects.iter().copied().filter(rejected)
    }

    /// Returns the time from which on a request with a rejected subject may run as a probe.
    pub fn probe_at(&self, subject: Subject) -> Option<Instant> {
        self.subjects.get(&subject)?.belief.probe_at()
    }

    /// Lends the next probe of a subject, if it is due; there is one for all instances.
    pub fn lend_probe(&mut self, now: Instant, subject: Subject) -> bool {
        let Some(known) = self.subjects.get_mut(&subject) else { return false };
        if known.belief.probe_at().is_none_or(|at| at > now) {
            return false;
        }
        known.belief.probed = Some(now);
        known.belief.probes = known.belief.probes.saturating_add(1);
        true
    }

    /// Returns what is believed of all subjects that are or were suspect, for another instance.
    pub fn records(&self, now: Instant) -> Vec<SubjectRecord> {
        let known = self.subjects.iter().filter(|(_, p)| p.belief.suspected.is_some());
        known.map(|(id, p)| p.belief.record(now, *id)).collect()
    }

    /// Returns the records that lack what is believed here: rejected subjects that they don't name so.
    pub fn missing_in(&self, now: Instant, records: &[SubjectRecord]) -> Vec<SubjectRecord> {
        let is_known = |subject: &Subject| {
            records.iter().any(|r| r.subject == *subject && r.rejected_ms.is_some())
        };
        let mut own = self.records(now);
        own.retain(|r| {
            self.suspicion_of(r.subject) == Suspicion::Rejected && !is_known(&r.subject)
        });
        own
    }

    /// Returns a hash that differs between different beliefs; never zero.
    pub fn mark(&self) -> u64 {
        let mut texts: Vec<String> = Vec::new();
        for (id, subject) in &self.subjects {
            let Belief { suspected, companions, probes, .. } = &subject.belief;
            if suspected.is_some() {
                let suspicion = subject.belief.suspicion();
                texts.push(format!("{id}/{suspicion:?}/{companions:?}/{probes};"));
            }
        }
        texts.sort();
        xxh3_64(texts.concat().as_bytes()).max(1)
    }

    /// Returns whether a sound run of a subject would be news: it is work under which processes have
    /// ended since the last one.
    pub fn awaits_sound_run(&self, subject: Subject) -> bool {
        let is_work = matches!(subject, Subject::Work(_));
        is_work && self.subjects.contains_key(&subject) && self.blame(subject).processes > 0
    }

    /// Returns the subjects that are suspect.
    pub fn suspects(&self) -> impl Iterator<Item = (Subject, Suspicion)> + '_ {
        let suspicion =
            |(id, subject): (&Subject, &KnownSubject)| (*id, subject.belief.suspicion());
        self.subjects.iter().map(suspicion).filter(|(_, s)| *s > Suspicion::Clear)
    }

    fn suspicion_of(&self, subject: Subject) -> Suspicion {
        self.subjects.get(&subject).map(|p| p.belief.suspicion()).unwrap_or_default()
    }

    fn holds_companions(&self, subject: Subject, subjects: &[Subject]) -> bool {
        let Some(known) = self.subjects.get(&subject) else { return true };
        let is_cleared = |c: &Subject| self.suspicion_of(*c) != Suspicion::Rejected;
        known.belief.companions.iter().all(|c| subjects.contains(c) || is_cleared(c))
    }

    fn record_ending(&mut self, now: Instant, ending: &Ending) {
        if self.endings.record(now, ending) {
            let subjects = ending.subjects.iter().map(|runs| runs.subject);
            self.pending.extend(subjects.map(|subject| (subject, now + SETTLE_TIME)));
        }
    }

    fn record_sound(&mut self, now: Instant, reporter: &InstanceName, runs: &SoundRuns) {
        let subject = self.subjects.entry(runs.subject).or_default();
        let Some(age_ms) = runs.age_ms else { return };
        let at = now.before_millis(age_ms);
        subject.sound.insert(reporter.clone(), Weight::from_thousandths(runs.thousandths, now));
        subject.belief.sound = subject.belief.sound.max(Some(at));
    }

    /// Decides on the suspicion of a subject, and returns whether that changes it.
    fn judge(&mut self, now: Instant, id: Subject) -> bool {
        let blame = self.blame(id);
        let ending_rate = self.ending_rate(now, id);
        let companions = self.companions(id);
        let Some(known) = self.subjects.get_mut(&id) else { return false };
        let before = known.belief.suspicion();
        let suspected = known.belief.suspected;
        match suspicion(blame, known.sound_weight(now), ending_rate) {
            Suspicion::Rejected if before == Suspicion::Rejected => {
                known.belief.companions.retain(|c| companions.contains(c));
            }
            Suspicion::Rejected if before == Suspicion::Suspected => {
                let due = suspected.map_or(now, |at| at + MIN_SUSPICION);
                if due <= now {
                    known.belief.reject(now, companions);
                } else {
                    self.judge_again(id, blame, due);
                }
            }
            Suspicion::Rejected | Suspicion::Suspected if before == Suspicion::Clear => {
                known.belief.suspected = Some(now);
                self.judge_again(id, blame, now + MIN_SUSPICION);
            }
            _ => {}
        }
        self.suspicion_of(id) != before
    }

    /// Has a subject judged again without another end, unless it may be a part of prompts under which
    /// many processes ended at the same moment.
    fn judge_again(&mut self, id: Subject, blame: Blame, due: Instant) {
        if matches!(id, Subject::Work(_)) || blame.moments >= REJECTED_PROCESSES {
            self.pending.insert(id, due);
        }
    }

    /// Describes the suspicion of a subject.
    fn change(&self, now: Instant, subject: Subject) -> SuspicionChange {
        let Blame { value, processes, .. } = self.blame(subject);
        SuspicionChange {
            subject,
            suspicion: self.suspicion_of(subject),
            blame: value,
            processes,
            sound: self.subjects.get(&subject).map_or(0.0, |p| p.sound_weight(now)),
        }
    }

    fn sound_at(&self, subject: Subject) -> Option<Instant> {
        self.subjects.get(&subject).and_then(|known| known.belief.sound)
    }

    /// Returns the blame of a subject by the processes that ended after its last sound run.
    fn blame(&self, subject: Subject) -> Blame {
        self.endings.blame(subject, &|s| self.sound_at(s))
    }

    /// Returns the share of the runs without a subject that end with their targets.
    fn ending_rate(&self, now: Instant, subject: Subject) -> f64 {
        let endings = self.endings.weight_without(now, subject);
        let sound: f64 = self.all_sound.values().map(|w| w.value_at(now)).sum();
        (endings + PRIOR_ENDINGS) / (endings + sound + PRIOR_RUNS)
    }

    /// Returns the other subjects that all requests hold which are counted against a subject.
    fn companions(&self, subject: Subject) -> Vec<Subject> {
        self.endings.companions(subject, self.sound_at(subject))
    }

    /// Forgets what is too old or too much.
    fn expire(&mut self, now: Instant) {
        self.endings.expire(now);
        self.all_sound.retain(|_, w| w.value_at(now) >= MIN_SOUND);
        self.subjects.retain(|_, subject| {
            let is_recent = |at: Instant| now.since(at) < BELIEF_TTL;
            let is_rejected = subject.belief.suspicion() == Suspicion::Rejected;
            is_rejected || subject.belief.changed().is_none_or(is_recent)
        });
        if self.subjects.len() > MAX_SUBJECTS {
            // Among those as suspect as each other the order is kept, so the oldest are dropped.
            self.subjects
                .sort_by(|_, one, _, other| one.belief.suspicion().cmp(&other.belief.suspicion()));
            let excess = self.subjects.len() - MAX_SUBJECTS;
            self.subjects.drain(..excess);
        }
    }
}

/// Returns the suspicion of a subject with some blame whose sound runs have a weight, where a share of
/// other runs ends with their targets anyway.
fn suspicion(blame: Blame, sound: f64, ending_rate: f64) -> Suspicion {
    let by_chance = CHANCE.ln() / ending_rate.min(MAX_ENDING_RATE).ln();
    let processes = blame.processes as f64;
    let reached = |share: f64| {
        let enough_blame = blame.value - sound >= REJECTED_BLAME * share;
        enough_blame && processes - sound >= by_chance * share
    };
    if blame.processes >= REJECTED_PROCESSES && reached(1.0) {
        Suspicion::Rejected
    } else if blame.processes >= SUSPECTED_PROCESSES && reached(SUSPECTED_SHARE) {
        Suspicion::Suspected
    } else {
        Suspicion::Clear
    }
}
