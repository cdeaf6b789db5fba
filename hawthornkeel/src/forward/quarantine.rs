//! Entry side of the quarantine of subjects that end targets: reports evidence, applies what
//! the control instances believe, and holds requests back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::fleet::ProcessId;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::quarantine::board::Board;
use hawthornkeel_core::quarantine::board::SuspicionChange;
use hawthornkeel_core::quarantine::evidence::Ending;
use hawthornkeel_core::quarantine::evidence::Evidence;
use hawthornkeel_core::quarantine::evidence::SoundRuns;
use hawthornkeel_core::quarantine::evidence::Subject;
use hawthornkeel_core::quarantine::record::SubjectRecord;
use hawthornkeel_core::quarantine::record::Suspicion;
use hawthornkeel_core::quarantine::sound::SoundTable;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::boot_now;
use crate::forward::broken_runs::AnswerPhase;
use crate::forward::context::Context;
use crate::forward::request::IncomingRequest;
use crate::http::problem::Code;
use crate::http::problem::Problem;
use crate::peer::Frame;
use crate::peer::frame::LendProbe;
use crate::telemetry;

/// Time in which the runs that one end breaks off are collected for one report.
const REPORT_DELAY: Duration = Duration::from_millis(20);
/// Age of the last contact with the control instances from which on an entry judges by itself.
const MAX_CONTROL_AGE: Duration = Duration::from_secs(2);
/// Interval at which an entry asks for the probe of a subject.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Time to wait for the answer about a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of reported runs that are remembered for another control instance.
const MAX_REPORTED: usize = 64;
/// Shortest time after which the caller of a rejected request is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What an entry knows of subjects that end targets.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    board: RefCell<Board>,
    sound: RefCell<SoundTable>,
    /// Runs that are not reported yet.
    pending: RefCell<Vec<Ending>>,
    /// Runs that were reported last, with the time of the report.
    reported: RefCell<VecDeque<(Instant, Ending)>>,
    /// Time at which the probe of a subject was asked for last.
    asked: RefCell<IndexMap<Subject, Instant>>,
    /// Mark of the records that a control instance sent last.
    records_mark: Cell<u64>,
}

impl Quarantine {
    /// Returns the mark of the records that a control instance sent last; zero before the first.
    pub(super) fn records_mark(&self) -> u64 {
        self.records_mark.get()
    }

    /// Returns the number of rejected subjects.
    pub(super) fn rejected_count(&self) -> usize {
        let board = self.board.borrow();
        board.suspects().filter(|(_, s)| *s == Suspicion::Rejected).count()
    }

    /// Returns the sound runs of all subjects that are suspect.
    fn suspect_runs(&self) -> Vec<SoundRuns> {
        let board = self.board.borrow();
        self.sound_runs(board.suspects().map(|(subject, _)| subject))
    }

    /// Returns the sound runs of those among the subjects of a sound request that other instances
    /// should know.
    fn news_of_sound_run(&self, subjects: &[Subject]) -> Vec<SoundRuns> {
        let board = self.board.borrow();
        let is_news =
            |s: &Subject| board.suspicion(&[*s]) > Suspicion::Clear || board.awaits_sound_run(*s);
        self.sound_runs(subjects.iter().copied().filter(is_news))
    }

    fn sound_runs(&self, subjects: impl Iterator<Item = Subject>) -> Vec<SoundRuns> {
        let sound = self.sound.borrow();
        let runs = subjects.map(|subject| sound.runs(boot_now(), subject));
        runs.filter(|r| r.age_ms.is_some()).collect()
    }

    /// Remembers reported endings, the last [`MAX_REPORTED`] of them.
    fn remember(&self, endings: &[Ending]) {
        let mut reported = self.reported.borrow_mut();
        reported.extend(endings.iter().map(|ending| (boot_now(), ending.clone())));
        let excess = reported.len().saturating_sub(MAX_REPORTED);
        reported.drain(..excess);
    }

    /// Returns the endings that were reported, with their age now.
    fn reported_endings(&self) -> Vec<Ending> {
        let now = boot_now();
        let aged = |(at, ending): &(Instant, Ending)| Ending {
            age_ms: ending.age_ms.saturating_add(now.millis_since(*at)),
            ..ending.clone()
        };
        self.reported.borrow().iter().map(aged).collect()
    }

    /// Returns whether the probe of a subject may be asked for now.
    fn may_ask(&self, subject: Subject) -> bool {
        let now = boot_now();
        let is_due = self.board.borrow().probe_at(subject).is_some_and(|due| due <= now);
        let mut asked = self.asked.borrow_mut();
        asked.retain(|_, at| now.since(*at) < ASK_INTERVAL);
        is_due && !asked.contains_key(&subject) && asked.insert(subject, now).is_none()
    }
}

impl Context {
    /// Records a run that its target broke off. It tells about the prompt unless events had arrived.
    pub(super) fn record_broken_run(
        self: &Rc<Self>,
        request: &IncomingRequest,
        target: &ChosenTarget,
        phase: AnswerPhase,
    ) {
        if phase == AnswerPhase::Streaming {
            return;
        }
        let sound = self.quarantine.sound.borrow();
        let subjects =
            request.subjects.iter().map(|subject| sound.runs(boot_now(), *subject)).collect();
        let ending = Ending {
            process: ProcessId::from(&target.run()),
            request: xxh3_64(request.id.as_bytes()) as u32,
            begun: phase == AnswerPhase::Begun,
            subjects,
            age_ms: 0,
        };
        let mut pending = self.quarantine.pending.borrow_mut();
        pending.push(ending);
        if pending.len() == 1 {
            let context = Rc::clone(self);
            monoio::spawn(async move {
                monoio::time::sleep(REPORT_DELAY).await;
                let endings = context.quarantine.pending.take();
                context.quarantine.remember(&endings);
                context.report_evidence(endings, Vec::new());
                context.judge_evidence().await;
            });
        }
    }

    /// Judges this entry's own evidence while no control instance does with that of all entries.
    async fn judge_evidence(&self) {
        let settles_at = || self.quarantine.board.borrow().settles_at();
        while let Some(at) = settles_at() {
            monoio::time::sleep(at.since(boot_now())).await;
            let mut board = self.quarantine.board.borrow_mut();
            if self.watch.age().is_some_and(|age| age < MAX_CONTROL_AGE) {
                board.defer();
            } else {
                log_changes(&board.settle(boot_now()));
            }
        }
    }

    /// Records that a request ran without an end of its target.
    pub(super) fn record_sound_run(&self, request: &IncomingRequest) {
        self.quarantine.sound.borrow_mut().record(boot_now(), &request.subjects);
        let sound = self.quarantine.news_of_sound_run(&request.subjects);
        if !sound.is_empty() {
            self.report_evidence(Vec::new(), sound);
        }
    }

    /// Returns whether a request may run once more after a run that may have ended its target.
    pub(super) fn may_be_repeated(&self, request: &IncomingRequest) -> bool {
        self.suspicion(request) == Suspicion::Clear
    }

    /// Returns whether a request is rejected for what it has in common with others.
    pub(super) fn is_rejected(&self, request: &IncomingRequest) -> bool {
        !request.is_probe.get() && self.suspicion(request) == Suspicion::Rejected
    }

    fn suspicion(&self, request: &IncomingRequest) -> Suspicion {
        self.quarantine.board.borrow().suspicion(&request.subjects)
    }

    /// Returns whether a request may run. One with a rejected subject may as the subject's probe, which
    /// the leader of the control instances lends to one request of all entries.
    pub(super) async fn admits_request(&self, request: &IncomingRequest) -> bool {
        if !self.is_rejected(request) {
            return true;
        }
        let subject = self.quarantine.board.borrow().rejected(&request.subjects).next();
        if let Some(subject) = subject
            && self.quarantine.may_ask(subject)
            && self.borrow_probe(subject).await
        {
            tracing::info!(event = "probe-borrowed", request = %request.id, %subject);
            count("probe");
            request.is_probe.set(true);
        }
        request.is_probe.get()
    }

    /// Returns the problem of a request that is rejected for what it has in common with others.
    pub(super) fn crashing_prompt(&self, request: &IncomingRequest) -> Problem {
        count("rejected");
        let board = self.quarantine.board.borrow();
        let due =
            board.rejected(&request.subjects).filter_map(|subject| board.probe_at(subject)).max();
        let left = due.map_or(Duration::ZERO, |due| due.since(boot_now()));
        Problem::not_run(Code::CrashingPrompt).with_retry_after(left.max(MIN_RETRY_AFTER))
    }

    /// Applies what a control instance believes of subjects; `records` is `None` if that is the
    /// same as before.
    pub(super) fn apply_subject_records(&self, records: Option<&[SubjectRecord]>, mark: u64) {
        self.quarantine.records_mark.set(mark);
        let Some(records) = records else { return };
        let now = boot_now();
        let missing = {
            let mut board = self.quarantine.board.borrow_mut();
            board.merge(now, records);
            board.missing_in(now, records)
        };
        tracing::info!(
            event = "subject-records-known",
            count = records.len(),
            rejected = self.quarantine.rejected_count(),
        );
        let sound = self.quarantine.suspect_runs();
        if !sound.is_empty() {
            self.report_evidence(Vec::new(), sound);
        }
        if !missing.is_empty() {
            self.send_to_control(&Frame::SubjectRecords(missing));
        }
    }

    async fn borrow_probe(&self, subject: Subject) -> bool {
        let Some(control) = self.polled_control.borrow().clone() else { return false };
        let frame = Frame::LendProbe(LendProbe { subject, relayed: false });
        let answer = self.endpoint.call(&control, &frame, PROBE_TIMEOUT).await;
        matches!(answer, Ok(Frame::ProbeLent(true)))
    }

    /// Reports the last endings once more, to a control instance that may not know them.
    pub(super) fn repeat_evidence(&self) {
        let endings = self.quarantine.reported_endings();
        if !endings.is_empty() {
            tracing::info!(event = "evidence-repeated", count = endings.len());
            self.report_evidence(endings, self.quarantine.suspect_runs());
        }
    }

    /// Adds evidence to this entry's board and reports it to the control instance that it polls.
    fn report_evidence(&self, endings: Vec<Ending>, sound: Vec<SoundRuns>) {
        let reporter = self.endpoint.name().clone();
        let all_thousandths = self.quarantine.sound.borrow().all_thousandths(boot_now());
        let evidence = Evidence { reporter, endings, sound, all_thousandths, relayed: false };
        log_changes(&self.quarantine.board.borrow_mut().record(boot_now(), &evidence));
        self.send_to_control(&Frame::Evidence(evidence));
    }

    fn send_to_control(&self, frame: &Frame) {
        let Some(control) = self.polled_control.borrow().clone() else { return };
        if let Err(error) = self.endpoint.send(&control, frame) {
            tracing::info!(event = "evidence-unsent", %control, %error);
        }
    }
}

/// Logs subjects whose suspicion has changed by evidence that this instance has.
pub(super) fn log_changes(changes: &[SuspicionChange]) {
    for change in changes {
        let suspicion = match change.suspicion {
            Suspicion::Clear => "clear",
            Suspicion::Suspected => "suspected",
            Suspicion::Rejected => "rejected",
        };
        tracing::info!(
            event = "subject-judged",
            subject = %change.subject,
            suspicion,
            blame = format_args!("{:.2}", change.blame),
            processes = change.processes,
            sound = format_args!("{:.2}", change.sound),
        );
    }
}

fn count(action: &'static str) {
    metrics::counter!(telemetry::CRASHING_PROMPTS, "action" => action).increment(1);
}
