//! Verdict on how a request ended: whether it may have run, the likely cause, what to look at next.

use indexmap::IndexSet;

use crate::explain::event::Event;
use crate::explain::event::Kind;
use crate::explain::search::elapsed;
use crate::explain::steps;
use crate::explain::surroundings::Moment;
use crate::explain::surroundings::is_loss;

/// Verdict in words.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Verdict {
    /// How it ended, and after how long.
    pub(super) end: String,
    /// Whether it may have run.
    pub(super) ran: String,
    /// Likely cause.
    pub(super) cause: String,
    /// Facts that speak for it.
    pub(super) facts: Vec<String>,
    /// What to look at next.
    pub(super) next: String,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Answered,
    AnswerLost,
    CallerLeft,
    DeadlineUnreachable,
    Denied,
    Dropped,
    NoTarget,
    Open,
    OutcomeUnknown,
    Overloaded,
    Stopping,
    StreamCut,
    StreamLate,
    Other,
}

impl Ending {
    fn of(event: Option<&Event>) -> Self {
        let Some(event) = event else { return Self::Open };
        match event.kind {
            Kind::Answered => Self::Answered,
            Kind::RequestDenied => Self::Denied,
            Kind::RequestDropped => Self::Dropped,
            Kind::StopRefused => Self::Stopping,
            Kind::Refused => Self::named(event.text("code")),
            _ => Self::named(event.text("outcome")),
        }
    }

    fn named(outcome: &str) -> Self {
        match outcome {
            "answered" => Self::Answered,
            "answer-lost" | "stage-failed" => Self::AnswerLost,
            "caller-left" => Self::CallerLeft,
            "deadline-unreachable" | "deadline-exceeded" => Self::DeadlineUnreachable,
            "no-target" => Self::NoTarget,
            "outcome-unknown" => Self::OutcomeUnknown,
            "overloaded" | "workspace-limit" => Self::Overloaded,
            "stopping" | "interrupted" => Self::Stopping,
            "stream-cut" => Self::StreamCut,
            "stream-late" => Self::StreamLate,
            _ => Self::Other,
        }
    }
}

/// Judges an end of a request by the request's events and those near it.
///
/// `ending` is `None` if no line tells the end.
pub(super) fn judge(ending: Option<&Event>, events: &[Event], near: &[Event]) -> Verdict {
    let Some(event) = ending.or(events.last()) else { return unknown() };
    let moment = Moment { time: event.time, process: &event.process, near };
    let case = Case { ending: Ending::of(ending), event, events, moment };
    let mut facts = case.facts();
    if case.is_bad() {
        facts.extend(moment.circumstances(case.ends_with_process()));
    }
    facts.extend(moment.dropped_lines());
    Verdict { end: case.end(), ran: case.ran(), cause: case.cause(), facts, next: case.next() }
}

fn unknown() -> Verdict {
    let unknown = || "not known".to_owned();
    Verdict { end: unknown(), ran: unknown(), cause: unknown(), facts: Vec::new(), next: unknown() }
}

/// End of a request that is judged.
struct Case<'e> {
    ending: Ending,
    event: &'e Event,
    events: &'e [Event],
    moment: Moment<'e>,
}

impl Case<'_> {
    fn end(&self) -> String {
        let event = self.event;
        let how = match self.ending {
            Ending::Answered if self.is_error() => {
                "answered with an error of its target".to_owned()
            }
            Ending::Answered => "answered".to_owned(),
            Ending::AnswerLost => "its answer was lost".to_owned(),
            Ending::CallerLeft => "its caller left while the response was being sent".to_owned(),
            Ending::DeadlineUnreachable => "refused as it could not be done in time".to_owned(),
            Ending::Denied => "denied".to_owned(),
            Ending::Dropped => "dropped without a whole response".to_owned(),
            Ending::NoTarget => "refused as no target could take it".to_owned(),
            Ending::Open => return "no line tells it".to_owned(),
            Ending::OutcomeUnknown => "no answer, and whether it ran is not known".to_owned(),
            Ending::Overloaded => "refused under load".to_owned(),
            Ending::Stopping => "given up by a planned stop".to_owned(),
            Ending::StreamCut => "its stream broke off and was not resumed".to_owned(),
            Ending::StreamLate => "its stream was cut at its deadline".to_owned(),
            Ending::Other => steps::verbatim(event),
        };
        format!("{how}{}{}", self.code(), self.duration())
    }

    /// Returns the outcome and the status as the line has them.
    fn code(&self) -> String {
        let code = self.event.get("outcome").or(self.event.get("code"));
        match (code, self.event.get("status")) {
            (Some(code), Some(status)) => format!(" ({code}, status {status})"),
            (Some(code), None) => format!(" ({code})"),
            _ => String::new(),
        }
    }

    fn duration(&self) -> String {
        if self.event.get("ms").is_none() && self.event.get("waited_ms").is_none() {
            return String::new();
        }
        let took = elapsed(self.event).as_millis();
        let left = self.event.number("deadline_ms").map(|left| u128::from(left) + took);
        match self.event.number("time_ms").map(u128::from).or(left) {
            Some(given) => format!(", after {took} ms of the {given} ms that its caller gave"),
            None => format!(", after {took} ms"),
        }
    }

    fn ran(&self) -> String {
        if let Some(status) = self.event.get("ran") {
            return steps::ran(status).to_owned();
        }
        match self.ending {
            Ending::Answered => "yes, it ran",
            Ending::StreamCut | Ending::StreamLate | Ending::CallerLeft => "yes, at least in part",
            Ending::AnswerLost | Ending::OutcomeUnknown => "yes; whether it did is not known",
            Ending::DeadlineUnreachable | Ending::NoTarget => "no, but some of its stages may have",
            Ending::Denied | Ending::Overloaded => "no",
            Ending::Stopping if self.event.get("outcome") == Some("stopping") => "no",
            Ending::Dropped if self.event.number("runs") == Some(0) => self.dropped_ran(),
            Ending::Dropped | Ending::Open | Ending::Other | Ending::Stopping => "it may",
        }
        .to_owned()
    }

    /// Returns whether a request that was dropped with no attempt counted may have run.
    fn dropped_ran(&self) -> &'static str {
        // An attempt in progress is among those tried, but not yet counted as a possible run; its
        // end is not told.
        let ended = self.events.iter().filter(|e| e.kind == Kind::TargetTried).count();
        match self.event.number("tries") {
            Some(tries) if u64::try_from(ended) == Ok(tries) => {
                "no, but some of its stages may have"
            }
            _ => "it may, if the last target tried was still at it",
        }
    }

    fn cause(&self) -> String {
        let target = self.target().unwrap_or("?");
        match self.ending {
            Ending::Answered if self.is_error() => {
                format!("target {target} answered with this error, which was passed on")
            }
            Ending::Answered => "none; the answer was sent in full".to_owned(),
            Ending::CallerLeft => "the caller closed its connection before the end".to_owned(),
            Ending::DeadlineUnreachable => {
                "its stages waited too long, or needed too long, to end in time".to_owned()
            }
            Ending::Denied => self.denial(),
            Ending::Dropped => "the caller left before its response was whole, or its process \
                                ended"
                .to_owned(),
            Ending::NoTarget => self.no_target(),
            Ending::Open => {
                "it still runs, its process was killed, or lines are missing".to_owned()
            }
            Ending::AnswerLost | Ending::OutcomeUnknown => self.lost(),
            Ending::Overloaded => self.overload(),
            Ending::Stopping => format!("a planned stop of {}", self.event.process),
            Ending::StreamCut => self.cut(),
            Ending::StreamLate => self.late(),
            Ending::Other => "not known for this outcome".to_owned(),
        }
    }

    fn overload(&self) -> String {
        match self.moment.short_scheduler(&self.schedulers()) {
            Some(name) => format!(
                "more work than the targets can do in time; of scheduler {name} fewer targets count \
                 than are listed, as calls to them failed, or they leave or pause"
            ),
            None => "more work than the targets can do in time".to_owned(),
        }
    }

    fn denial(&self) -> String {
        match self.event.text("denied") {
            "Unsure" => "the process had not heard from a control instance for too long",
            _ => "the request itself, or a document that just changed",
        }
        .to_owned()
    }

    fn no_target(&self) -> String {
        let is_gone = |e: &Event| e.kind == Kind::JobEnded && e.get("outcome") == Some("Gone");
        if self.events.iter().any(is_gone) {
            return "results of its stages were gone, as the targets that held them went or dropped them".to_owned();
        }
        match self.event.number("tries") {
            Some(0) => {
                "no target was left to try; its pool's targets were gone, cut off, leaving or \
                        paused"
                    .to_owned()
            }
            _ => format!("the targets that were tried did not run it ({})", self.tried()),
        }
    }

    fn lost(&self) -> String {
        let target = self.target().unwrap_or("?");
        if let Some(broken) = self.last(Kind::AnswerBroken) {
            return format!("the answer of target {target} broke off ({})", broken.text("failure"));
        }
        let given = self.event.number("time_ms").filter(|_| self.event.get("ms").is_some());
        let how = match given {
            Some(given) if self.event.number("ms") >= Some(given) => {
                "gave no answer until the deadline"
            }
            _ => "went, or its connection was lost, while it had the request",
        };
        let why = match self.moment.is_retry_refused(self.event.text("pool")) {
            true => "; the retry budget of its pool was used up",
            false => "",
        };
        format!("target {target} {how}{why}")
    }

    fn cut(&self) -> String {
        let broken = self.last(Kind::StreamBroken);
        let target = broken.map_or("?", |e| e.text("target"));
        let failure = broken.map_or("?", |e| e.text("failure"));
        let why = if self.moment.is_retry_refused(self.event.text("pool")) {
            "the retry budget of its pool was used up"
        } else if self.last(Kind::ResumeUnstaged).is_some() {
            "its stages could not be run again"
        } else if self.last(Kind::ResumeFailed).is_some() {
            "the other targets did not resume it"
        } else {
            "its route does not allow it, no time was left, or there was no other target"
        };
        format!("target {target} broke the stream off ({failure}) and it was not resumed: {why}")
    }

    fn late(&self) -> String {
        let number = |name| self.event.number(name).unwrap_or_default();
        let (first, planned) = (number("first_ms"), number("planned_ms"));
        if self.last(Kind::StreamBroken).is_some() {
            "a target went, and the resumed stream could not catch up".to_owned()
        } else if self.event.get("pace") == Some("late") {
            format!(
                "it was begun behind all else, as it could not meet its objective any more (the \
                 response began after {first} ms, planned were {planned} ms)"
            )
        } else {
            format!("the target was slower than its deadline (the response began after {first} ms)")
        }
    }

    fn facts(&self) -> Vec<String> {
        let schedulers = self.schedulers();
        let mut facts = Vec::new();
        match self.ending {
            Ending::DeadlineUnreachable | Ending::NoTarget | Ending::Overloaded => {
                facts.extend(self.moment.schedulers(&schedulers));
                facts.extend(self.moment.failed_pieces(&schedulers));
            }
            Ending::StreamLate => facts.extend(self.moment.schedulers(&schedulers)),
            _ => {}
        }
        for target in self.lost_targets().into_iter().filter(|_| self.is_bad()) {
            facts.push(self.moment.losses(target));
        }
        facts
    }

    /// Returns whether the caller did not get what it asked for by a fault that may lie elsewhere.
    fn is_bad(&self) -> bool {
        !matches!(self.ending, Ending::Answered | Ending::Denied)
    }

    /// Returns whether the target's answer was an error, which was passed on.
    fn is_error(&self) -> bool {
        self.event.number("status") >= Some(500)
    }

    /// Returns whether the end may come from a stop that is logged after it.
    fn ends_with_process(&self) -> bool {
        matches!(self.ending, Ending::Dropped | Ending::Open | Ending::Stopping)
    }

    fn next(&self) -> String {
        let process = &self.event.process;
        let target = self.target().unwrap_or("?");
        match self.ending {
            Ending::Answered if self.is_error() => format!("the log of target {target} at that time"),
            Ending::Answered => "nothing here; the caller's side if it saw no answer".to_owned(),
            Ending::Overloaded | Ending::DeadlineUnreachable => {
                "the schedulers with the most work above: desk-state of the seconds before; targets \
                 that don't count have failed (pieces-failed)"
                    .to_owned()
            }
            Ending::NoTarget => format!(
                "target-leaving, target-paused and centres-cut-off of {process}, list-changed of the \
                 control instances"
            ),
            Ending::AnswerLost | Ending::OutcomeUnknown | Ending::StreamCut => format!(
                "the log of target {target} at that time; the caller may send it again under its \
                 idempotency key, or if running twice does no harm"
            ),
            Ending::StreamLate => format!("the log of target {target}, and the schedulers above"),
            Ending::Stopping => format!("stop-begun and entry-stopped of {process}; who stopped it"),
            Ending::CallerLeft | Ending::Dropped => {
                format!("connection-closed of {process} at that time, and the caller's own timeout")
            }
            Ending::Denied => "the document version named (routes-in-force), the caller's host, path \
                               and key"
                .to_owned(),
            Ending::Open => format!("whether {process} still runs; the logs of all processes"),
            Ending::Other => format!("the lines of {process} at that time"),
        }
    }

    /// Returns the schedulers that events of the request name.
    fn schedulers(&self) -> Vec<&str> {
        let names: IndexSet<&str> = self.events.iter().filter_map(|e| e.get("desk")).collect();
        names.into_iter().collect()
    }

    /// Returns the targets that may have run the request and did not answer it.
    fn lost_targets(&self) -> Vec<&str> {
        let lost = self.events.iter().filter(|e| is_loss(e));
        let names: IndexSet<&str> = lost.filter_map(|e| e.get("target")).collect();
        names.into_iter().collect()
    }

    /// Returns the target that the verdict is about.
    fn target(&self) -> Option<&str> {
        if self.ending == Ending::StreamLate
            && let Some(resumed) = self.last(Kind::StreamResumed)
        {
            return resumed.get("target");
        }
        let is_run = |e: &&Event| e.kind != Kind::TargetTried || e.get("outcome") == Some("lost");
        let lost = self.events.iter().rev().filter(|e| is_loss(e)).find(is_run);
        let lost = lost.and_then(|e| e.get("target"));
        lost.or(self.event.get("target")).or(self.last(Kind::Route).and_then(|e| e.get("target")))
    }

    /// Returns the targets that were tried with their outcomes.
    fn tried(&self) -> String {
        let tried = self.events.iter().filter(|e| e.kind == Kind::TargetTried);
        let tried = tried.map(|e| format!("{} {}", e.text("target"), e.text("outcome")));
        tried.collect::<Vec<String>>().join(", ")
    }

    fn last(&self, kind: Kind) -> Option<&Event> {
        self.events.iter().rev().find(|e| e.kind == kind)
    }
}
