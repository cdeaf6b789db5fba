//! Words for the events of a request, one line each.

use crate::explain::event::Event;
use crate::explain::event::Kind;

/// Returns what an event of a request tells.
pub(super) fn describe(event: &Event) -> String {
    let get = |name| event.text(name);
    match event.kind {
        Kind::RequestDenied => denied(event),
        Kind::TargetTried => tried(event),
        Kind::HandedOver => {
            format!("handed over to entry {}: {}", get("helper"), get("outcome"))
        }
        Kind::HedgeSent => format!(
            "slow for {} ms, so it was sent to target {} as well (hedge)",
            get("delay_ms"),
            get("target")
        ),
        Kind::HedgeEnded => hedge_ended(event),
        Kind::RetryWaits => retry_waits(event),
        Kind::JobEnded => job_ended(event),
        Kind::SchedulerSilent => {
            format!("{}, which runs scheduler {}, did not answer", get("owner"), get("desk"))
        }
        Kind::AnswerBroken => {
            format!("the answer of target {} broke off ({})", get("target"), get("failure"))
        }
        Kind::StreamBroken => stream_broken(event),
        Kind::StreamResumed => {
            format!("target {} goes on with the stream {}", get("target"), after_event(event))
        }
        Kind::ResumeFailed => {
            format!("target {} did not resume the stream ({})", get("target"), failure(event))
        }
        Kind::ResumeUnstaged => {
            format!("its stages could not be run again to resume the stream ({})", get("error"))
        }
        Kind::StopRefused => stop_refused(event),
        Kind::RequestDropped => dropped(event),
        Kind::RequestEnded => format!("ended: {} (status {})", get("outcome"), get("status")),
        Kind::Route => route(event),
        Kind::RouteWait => {
            format!("{}waits for a target of pool {} ({})", call(event), get("pool"), get("reason"))
        }
        Kind::RouteRefused => {
            format!("{}gets no target of pool {} ({})", call(event), get("pool"), get("reason"))
        }
        Kind::Call => call_ended(event),
        Kind::NotAdmitted => format!("not admitted ({})", get("reason")),
        Kind::Answered => format!("answered by pipeline {}", get("pipeline")),
        Kind::Refused => format!("refused as {}; {}", get("code"), ran(get("ran"))),
        Kind::SettleGivenUp => {
            format!("the end of the claim of stage {} could not be recorded", get("stage"))
        }
        Kind::CentreOrder
        | Kind::CentresCutOff
        | Kind::EntryStopped
        | Kind::EntrySuspected
        | Kind::LinesDropped
        | Kind::LinksLost
        | Kind::Other
        | Kind::PiecesFailed
        | Kind::RepeatRefused
        | Kind::SchedulerState
        | Kind::StopBegun
        | Kind::TargetLeaving
        | Kind::TargetPaused => verbatim(event),
    }
}

/// Returns what a value of `ran` means.
pub(super) fn ran(status: &str) -> &str {
    match status {
        "not-run" => "it did not run and will not",
        "unknown" => "it may have run",
        "done" => "the stage that may not be repeated ran and is recorded",
        other => other,
    }
}

/// Returns an event as its line has it.
pub(super) fn verbatim(event: &Event) -> String {
    let fields = event.fields.iter().map(|(name, value)| match value.contains(' ') {
        true => format!(" {name}={value:?}"),
        false => format!(" {name}={value}"),
    });
    format!("event={}{}", event.name, fields.collect::<String>())
}

fn denied(event: &Event) -> String {
    let version = event.text("version");
    match event.text("denied") {
        "NoRoute" => {
            format!("denied: no route of document version {version} has its host and path")
        }
        "NoKey" => format!("denied: its key is not allowed there by document version {version}"),
        "Unsure" => format!(
            "denied: document version {version} was last confirmed {} ms ago, too long to tell",
            event.text("age_ms")
        ),
        "Pieces" => "denied: its number of pieces can't be read or is too large".to_owned(),
        other => format!("denied: {other}"),
    }
}

fn tried(event: &Event) -> String {
    let target = event.text("target");
    match event.text("outcome") {
        "lost" => format!("sent to target {target}, which gave no answer and may have run it"),
        "failed" => format!("sent to target {target}, which answered with an error of its own"),
        "unreached" => format!("target {target} could not be reached; it did not run there"),
        "not-run" => format!("sent to target {target}, which refused it without running it"),
        "results-gone" => {
            format!("sent to target {target}, which no longer found the results of its stages")
        }
        other => format!("sent to target {target}: {other}"),
    }
}

fn hedge_ended(event: &Event) -> String {
    let which = if event.text("hedge") == "true" { "the hedge" } else { "the first attempt" };
    let other = match event.text("cancelled") {
        "true" => "was cancelled",
        _ => "had failed",
    };
    let (target, loser) = (event.text("target"), event.text("other"));
    format!("{which} at target {target} was whole first; that at target {loser} {other}")
}

fn retry_waits(event: &Event) -> String {
    format!(
        "target {} is silent and no retry is granted yet (by budget, targets or time); goes on \
         waiting",
        event.text("target")
    )
}

fn job_ended(event: &Event) -> String {
    let outcome = job_outcome(event.text("outcome"));
    let (stage, scheduler) = (event.text("stage"), event.text("desk"));
    format!("stage {stage} at scheduler {scheduler} was not done: {outcome}")
}

fn stream_broken(event: &Event) -> String {
    let (target, failure) = (event.text("target"), event.text("failure"));
    format!("the stream from target {target} broke off {} ({failure})", after_event(event))
}

fn stop_refused(event: &Event) -> String {
    format!(
        "given up as this process stops, {} ms after it came and {} ms before its deadline; {}",
        event.text("waited_ms"),
        event.text("deadline_ms"),
        ran(event.text("ran"))
    )
}

fn dropped(event: &Event) -> String {
    format!(
        "dropped without a whole response; targets tried: {}, of which may have run it: {}; \
         response begun: {}",
        event.text("tries"),
        event.text("runs"),
        event.text("answering")
    )
}

fn route(event: &Event) -> String {
    format!(
        "{}sent to target {} of pool {} ({}, {} candidates)",
        call(event),
        event.text("target"),
        event.text("pool"),
        event.text("reason"),
        event.text("candidates")
    )
}

fn call_ended(event: &Event) -> String {
    let (stage, outcome) = (event.text("stage"), event.text("outcome"));
    let millis = event.text("millis");
    format!("{}of stage {stage} ended: {outcome} after {millis} ms", call(event))
}

fn job_outcome(outcome: &str) -> &str {
    match outcome {
        "Late" => "it could not have ended in time",
        "Gone" => "the results that it reads were gone",
        "Failed" => "a piece of it failed on every attempt",
        paused if paused.starts_with("Paused") => "all targets of its pool want a pause",
        other => other,
    }
}

fn failure(event: &Event) -> String {
    let status = event.get("status").map(|status| format!("status {status}"));
    event.get("failure").map(str::to_owned).or(status).unwrap_or_else(|| "?".to_owned())
}

fn after_event(event: &Event) -> String {
    match event.get("last") {
        Some(last) => format!("after event {last}"),
        None => "before its first event with an id".to_owned(),
    }
}

/// Returns the stage and attempt of a call, as they are named in `call`.
fn call(event: &Event) -> String {
    let mut parts = event.text("call").split('/').skip(1);
    match (parts.next(), parts.next()) {
        (Some(stage), Some(attempt)) => format!("call {stage}/{attempt} "),
        _ => String::new(),
    }
}
