//! Story of a request: what happened to it in order of time, and why it ended.

use std::fmt::Write as _;
use std::time::Duration;

use crate::explain::event::Event;
use crate::explain::event::Kind;
use crate::explain::search::elapsed;
use crate::explain::steps;
use crate::explain::timestamp::Timestamp;
use crate::explain::verdict;

/// Unit of the times that log lines tell, which are rounded down.
const ROUNDING: Duration = Duration::from_millis(1);

/// Maximum number of ends of one identity that are judged, the latest.
const MAX_ENDINGS: usize = 10;

/// Tells the story of a request as lines of text.
///
/// `events` are those of the request, `near` those that may tell its cause, both in order of time.
/// Control characters of the log are escaped.
pub fn tell(request: &str, events: &[Event], near: &[Event]) -> String {
    let mut story = String::new();
    line(&mut story, &format!("Request {request}"));
    let Some(start) = events.iter().map(|e| e.time.before(elapsed(e))).min() else {
        line(&mut story, "No line names it.");
        return story;
    };
    write_steps(&mut story, events, start);
    let endings: Vec<&Event> = events.iter().filter(|e| is_ending(e, events)).collect();
    if endings.len() > 1 {
        let text = format!(
            "It ended {} times, as its caller sent it again under the same id; the latest ends:",
            endings.len()
        );
        line(&mut story, &text);
    }
    let mut before = None;
    for ending in endings.iter().skip(endings.len().saturating_sub(MAX_ENDINGS)) {
        let own = events_until(ending, before, events, endings.len() == 1);
        write_verdict(&mut story, Some(ending), &own, near);
        before = Some(ending.time);
    }
    if endings.is_empty() {
        write_verdict(&mut story, None, events, near);
    }
    story
}

/// Returns the events that belong to one end; all if it is the `only` one.
fn events_until(
    ending: &Event,
    before: Option<Timestamp>,
    events: &[Event],
    only: bool,
) -> Vec<Event> {
    let arrived = ending.time.before(elapsed(ending) + ROUNDING);
    let begin = if elapsed(ending).is_zero() { before } else { Some(arrived) };
    let belongs = |e: &&Event| only || (e.time <= ending.time && Some(e.time) > begin);
    let own = events.iter().filter(|e| belongs(e) || e.time == ending.time);
    own.cloned().collect()
}

fn write_steps(story: &mut String, events: &[Event], start: Timestamp) {
    let arrivals = events.iter().filter(|e| e.kind == Kind::RequestEnded);
    let arrivals = arrivals.map(|e| Step::arrival(e, start));
    let steps = events.iter().map(|e| Step::event(e, start));
    let mut steps: Vec<Step<'_>> = arrivals.chain(steps).collect();
    steps.sort_by_key(|step| step.order);
    for Step { millis, process, text, .. } in steps {
        line(story, &format!("{:>10}  {process}  {text}", format!("{millis:+} ms")));
    }
}

/// Line of the story.
struct Step<'e> {
    /// Time by which lines are put in order.
    order: Timestamp,
    /// Time since the start of the story, in milliseconds.
    millis: i64,
    process: &'e str,
    text: String,
}

impl<'e> Step<'e> {
    fn event(event: &'e Event, start: Timestamp) -> Self {
        let millis = event.time.millis_since(start);
        let text = steps::describe(event);
        Self { order: event.time, millis, process: &event.process, text }
    }

    /// Returns the arrival of a request, which its last line tells.
    fn arrival(event: &'e Event, start: Timestamp) -> Self {
        let arrived = event.time.before(elapsed(event));
        // Other events may lie within the unit of the time.
        let order = arrived.before(ROUNDING);
        let millis = arrived.millis_since(start);
        Self { order, millis, process: &event.process, text: arrival(event) }
    }
}

fn arrival(event: &Event) -> String {
    format!(
        "came in on route {} to pool {}, with {} ms to be answered in",
        event.text("route"),
        event.text("pool"),
        event.text("time_ms")
    )
}

fn write_verdict(story: &mut String, ending: Option<&Event>, events: &[Event], near: &[Event]) {
    let verdict = verdict::judge(ending, events, near);
    line(story, "");
    line(story, &format!("End: {}", verdict.end));
    line(story, &format!("May have run: {}", verdict.ran));
    line(story, &format!("Likely cause: {}", verdict.cause));
    for fact in &verdict.facts {
        line(story, &format!("  {fact}"));
    }
    line(story, &format!("Look next: {}", verdict.next));
}

/// Returns whether an event ends a request; a stop's refusal is told twice by some paths.
fn is_ending(event: &Event, events: &[Event]) -> bool {
    match event.kind {
        Kind::RequestEnded | Kind::RequestDenied | Kind::Answered | Kind::Refused => true,
        Kind::StopRefused => true,
        Kind::RequestDropped => {
            // What a stop gives up is dropped as well, by the same process.
            let is_stop = |e: &&Event| e.kind == Kind::StopRefused && e.process == event.process;
            !events.iter().any(|e| is_stop(&e))
        }
        _ => false,
    }
}

/// Appends a line without control characters.
fn line(story: &mut String, text: &str) {
    for c in text.chars() {
        if c.is_control() {
            let _ = write!(story, "{}", c.escape_default());
        } else {
            story.push(c);
        }
    }
    story.push('\n');
}
