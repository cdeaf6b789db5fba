//! Processes that ended under requests, and the blame that each subject has for it.
//!
//! The process of a target can end under many requests, so it blames each of them by its share only.
//! A part of a prompt shares the blame with all requests whose answers had begun without an event, or
//! else with all that were waiting; identical work only with other work that ended as many processes.
//! What one work ends again and again tells no more about its parts than its first end.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::fleet::ProcessId;
use crate::quarantine::evidence::Ending;
use crate::quarantine::evidence::Subject;
use crate::quarantine::sound::Weight;
use crate::time::Instant;

/// Time for which evidence counts.
pub(super) const EVIDENCE_TTL: Duration = Duration::from_secs(3_600);
/// Time within which the runs that one end breaks off are reported.
const SAME_END: Duration = Duration::from_millis(500);
/// Time between two ends from which on they are not of the same moment.
const MOMENT: Duration = Duration::from_millis(150);
/// Share of the blame of a process that the requests waiting for it take, if none had begun.
const WAITING_SHARE: f64 = 0.5;
/// Maximum number of processes with evidence; the oldest go first.
const MAX_PROCESSES: usize = 256;
/// Maximum number of requests counted for each process; the oldest go first.
const MAX_REQUESTS: usize = 64;

/// Blame of a subject by the processes that ended under it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Blame {
    /// Sum of its shares.
    pub(super) value: f64,
    /// Number of these processes.
    pub(super) processes: usize,
    /// Number of times at which they ended, those of one moment counted once.
    pub(super) moments: usize,
}

/// Processes that ended under requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Endings {
    processes: IndexMap<ProcessId, EndedProcess>,
}

#[derive(Clone, Debug, Default)]
struct EndedProcess {
    requests: Vec<EndedRequest>,
}

#[derive(Clone, Debug)]
struct EndedRequest {
    request: u32,
    at: Instant,
    begun: bool,
    subjects: Vec<Subject>,
}

impl Endings {
    /// Records a run that its target broke off; returns whether it is new.
    pub(super) fn record(&mut self, now: Instant, ending: &Ending) -> bool {
        let process = self.processes.entry(ending.process).or_default();
        if process.requests.iter().any(|r| r.request == ending.request) {
            return false;
        }
        let excess = (process.requests.len() + 1).saturating_sub(MAX_REQUESTS);
        process.requests.drain(..excess);
        process.requests.push(EndedRequest {
            request: ending.request,
            at: now.before_millis(ending.age_ms),
            begun: ending.begun,
            subjects: ending.subjects.iter().map(|runs| runs.subject).collect(),
        });
        true
    }

    /// Returns the blame of a subject by the processes that ended after its last sound run, which
    /// `sound` returns for each subject.
    pub(super) fn blame(
        &self,
        subject: Subject,
        sound: &dyn Fn(Subject) -> Option<Instant>,
    ) -> Blame {
        let since = sound(subject);
        match subject {
            Subject::Part(_) => self.blame_of_part(subject, since),
            Subject::Work(_) => self.blame_of_work(subject, since, sound),
        }
    }

    fn blame_of_part(&self, part: Subject, since: Option<Instant>) -> Blame {
        let mut blame = Blame::default();
        let mut times = Vec::new();
        let mut counted = IndexSet::new();
        for process in self.processes.values() {
            let Some(at) = process.ended_under(part, since) else { continue };
            let holders = process.blamed(part, at).filter(|r| r.holds(part));
            let works: Vec<Subject> = holders.filter_map(EndedRequest::work).collect();
            let share = process.share_of_part(part, at);
            if share > 0.0 && !works.iter().any(|w| counted.contains(w)) {
                blame.add(share);
                times.push(at);
            }
            counted.extend(works);
        }
        blame.moments = count_moments(times);
        blame
    }

    fn blame_of_work(
        &self,
        work: Subject,
        since: Option<Instant>,
        sound: &dyn Fn(Subject) -> Option<Instant>,
    ) -> Blame {
        let mut blame = Blame::default();
        let mut times = Vec::new();
        let ends = self.end_count(work, since);
        for process in self.processes.values() {
            let Some(at) = process.ended_under(work, since) else { continue };
            let is_rival = |r: &&EndedRequest| {
                let Some(other) = r.work().filter(|_| !r.holds(work)) else {
                    return false;
                };
                // Work that went well since then has not ended the process.
                let other_sound = sound(other);
                other_sound.is_none_or(|s| s < at) && self.end_count(other, other_sound) >= ends
            };
            let rivals = process.blamed(work, at).filter(is_rival).count();
            blame.add(1.0 / (1 + rivals) as f64);
            times.push(at);
        }
        blame.moments = count_moments(times);
        blame
    }

    /// Returns the number of processes that ended under a subject after a time.
    fn end_count(&self, subject: Subject, since: Option<Instant>) -> usize {
        self.processes.values().filter(|p| p.ended_under(subject, since).is_some()).count()
    }

    /// Returns the weight of the broken runs that say how often runs end with their targets whatever
    /// the subject does.
    pub(super) fn weight_without(&self, now: Instant, subject: Subject) -> f64 {
        let count = |process: &EndedProcess| match subject {
            Subject::Part(_) => process.weight(now, |r| r.begun && !r.holds(subject)),
            // All that broke with it may have been its doing.
            Subject::Work(_) if process.ended_under(subject, None).is_some() => 0.0,
            Subject::Work(_) => process.weight(now, |_| true),
        };
        self.processes.values().map(count).sum()
    }

    /// Returns the other subjects of all requests that are counted against a subject.
    pub(super) fn companions(&self, subject: Subject, since: Option<Instant>) -> Vec<Subject> {
        let mut common: Option<Vec<Subject>> = None;
        for process in self.processes.values() {
            let Some(at) = process.ended_under(subject, since) else { continue };
            for request in process.blamed(subject, at).filter(|r| r.holds(subject)) {
                let subjects = request.subjects.iter().copied().filter(|s| *s != subject);
                common = Some(match common.take() {
                    Some(common) => common.into_iter().filter(|c| request.holds(*c)).collect(),
                    None => subjects.collect(),
                });
            }
        }
        common.unwrap_or_default()
    }

    /// Forgets what is too old or too much.
    pub(super) fn expire(&mut self, now: Instant) {
        for process in self.processes.values_mut() {
            process.requests.retain(|r| now.since(r.at) < EVIDENCE_TTL);
        }
        self.processes.retain(|_, p| !p.requests.is_empty());
        let excess = self.processes.len().saturating_sub(MAX_PROCESSES);
        self.processes.drain(..excess);
    }
}

impl EndedProcess {
    /// Returns the last time at which a run with a subject broke off, if that was after a time.
    fn ended_under(&self, subject: Subject, since: Option<Instant>) -> Option<Instant> {
        let holders = self.requests.iter().filter(|r| r.holds(subject));
        holders.map(|r| r.at).max().filter(|at| Some(*at) > since)
    }

    /// Returns the requests that broke off at the same end as one at a time.
    fn around(&self, at: Instant) -> impl Iterator<Item = &EndedRequest> {
        let is_same = move |r: &&EndedRequest| r.at.since(at).max(at.since(r.at)) <= SAME_END;
        self.requests.iter().filter(is_same)
    }

    /// Returns the requests among which the blame for an end of the process is shared out, as far as
    /// it concerns a subject.
    fn blamed(&self, subject: Subject, at: Instant) -> impl Iterator<Item = &EndedRequest> {
        let begun_only = match subject {
            Subject::Part(_) => self.around(at).any(|r| r.begun),
            Subject::Work(_) => false,
        };
        self.around(at).filter(move |r| r.begun || !begun_only)
    }

    /// Returns the share of a part in the blame for an end of the process, from zero to one.
    fn share_of_part(&self, part: Subject, at: Instant) -> f64 {
        let with_part = self.blamed(part, at).filter(|r| r.holds(part)).count();
        let any_begun = self.around(at).any(|r| r.begun);
        let factor = if any_begun { 1.0 } else { WAITING_SHARE };
        factor * with_part as f64 / self.blamed(part, at).count().max(1) as f64
    }

    fn weight(&self, now: Instant, counts: impl Fn(&EndedRequest) -> bool) -> f64 {
        let counted = self.requests.iter().filter(|r| counts(r));
        counted.map(|r| Weight::new(1.0, r.at).value_at(now)).sum()
    }
}

impl EndedRequest {
    /// Returns the most exact identity of the work that the request asked for.
    fn work(&self) -> Option<Subject> {
        self.subjects.last().copied().filter(|s| matches!(s, Subject::Work(_)))
    }

    fn holds(&self, subject: Subject) -> bool {
        self.subjects.contains(&subject)
    }
}

impl Blame {
    fn add(&mut self, share: f64) {
        self.value += share;
        self.processes += 1;
    }
}

/// Returns the number of times that are apart from the ones before.
fn count_moments(mut times: Vec<Instant>) -> usize {
    times.sort();
    let mut last = None;
    let is_apart = |at: &&Instant| {
        let apart = last.is_none_or(|last| at.since(last) >= MOMENT);
        if apart {
            last = Some(**at);
        }
        apart
    };
    times.iter().filter(is_apart).count()
}
