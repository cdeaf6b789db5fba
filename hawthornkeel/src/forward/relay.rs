//! Streams of events on their way from a target to the caller.
//!
//! Events go on whole, as they come. Where the route allows it, a stream that breaks off goes on at
//! another target after the last event that the caller got.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::health::TargetOutcome;
use hawthornkeel_core::table::route::RouteKind;
use hawthornkeel_platform::fields;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::exchange::Answer;
use crate::forward::exchange::Failure;
use crate::forward::handler::Course;
use crate::forward::handler::Open;
use crate::forward::request::Ticket;
use crate::http::channel::Sender;
use crate::http::signal::Signal;

/// Time without an event after which a stream that may go on elsewhere does.
const SILENCE: Duration = Duration::from_millis(600);

/// Stream of events from targets to a caller.
pub struct Relay {
    /// What the parts of the entry share.
    pub context: Rc<Context>,
    /// Request.
    pub ticket: Rc<Ticket>,
    /// Set once the caller has left.
    pub left: Signal,
    /// Course of the request so far.
    pub course: Course,
    /// Counts the request among those in progress.
    pub open: Open,
}

/// How a stream from one target ended.
enum Cut {
    /// Whole.
    Whole,
    /// The caller has left.
    Left,
    /// It broke off or fell silent.
    Broken(Failure),
    /// The time has passed.
    Late,
}

/// Events of a stream, of which only whole ones go on.
#[derive(Default)]
struct Events {
    buffer: BytesMut,
    last: Option<String>,
}

impl Events {
    /// Adds bytes and returns the events that are whole now.
    fn add(&mut self, piece: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(piece);
        let end = self.buffer.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let events = self.buffer.split_to(end).freeze();
        if let Some(last) = fields::last_event_id(&events) {
            self.last = Some(last.to_owned());
        }
        Some(events)
    }
}

impl Relay {
    /// Relays a stream to its end.
    pub async fn run(mut self, first: Answer, target: ChosenTarget, sender: Sender) {
        let mut events = Events::default();
        let (mut answer, mut target) = (first, target);
        loop {
            let cut = self.pump(&mut answer, &mut events, &sender).await;
            let ended = match &cut {
                Cut::Whole => TargetOutcome::Succeeded,
                Cut::Left | Cut::Late => TargetOutcome::Abandoned,
                Cut::Broken(_) => TargetOutcome::Failed,
            };
            self.context.board.borrow_mut().record_outcome(boot_now(), &target.name, ended);
            match cut {
                Cut::Whole => {
                    answer.finish();
                    sender.finish();
                    return self.course.log(&self.ticket, "answered", 200);
                }
                Cut::Left => return self.course.log(&self.ticket, "caller-left", 200),
                Cut::Late => return self.course.log(&self.ticket, "stream-late", 200),
                Cut::Broken(failure) => {
                    let (last, name) = (events.last.as_deref(), &target.name);
                    tracing::info!(event = "stream-broken", request = %self.ticket.id, target = %name, last, %failure);
                }
            }
            // The former run must be over before another goes on.
            drop(answer);
            events.buffer.clear();
            match self.resume(&target.name, events.last.as_deref()).await {
                Some((next, at)) => (answer, target) = (next, at),
                None => return self.course.log(&self.ticket, "stream-cut", 200),
            }
        }
    }

    /// Passes events on until the stream ends.
    async fn pump(&self, answer: &mut Answer, events: &mut Events, sender: &Sender) -> Cut {
        loop {
            let limit = match self.resumes() {
                true => self.ticket.end.min(Instant::now() + SILENCE),
                false => self.ticket.end,
            };
            let piece = monoio::select! {
                piece = answer.piece(limit) => piece,
                () = self.left.wait() => return Cut::Left,
            };
            match piece {
                Ok(Some(piece)) => {
                    if let Some(whole) = events.add(&piece)
                        && sender.send(whole).await.is_err()
                    {
                        return Cut::Left;
                    }
                }
                Ok(None) if events.buffer.is_empty() => return Cut::Whole,
                Ok(None) => return Cut::Broken(Failure::Lost("stream ended inside an event")),
                Err(_) if Instant::now() >= self.ticket.end => return Cut::Late,
                Err(failure) => return Cut::Broken(failure),
            }
        }
    }

    fn resumes(&self) -> bool {
        self.ticket.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Has another target go on after the event `last`.
    async fn resume(
        &mut self,
        from: &TargetName,
        last: Option<&str>,
    ) -> Option<(Answer, ChosenTarget)> {
        if !self.resumes() {
            return None;
        }
        if !self.course.tried.contains(from) {
            self.course.tried.push(from.clone());
        }
        self.course.runs += 1;
        let last =
            last.or_else(|| self.ticket.head.header(fields::LAST_EVENT_ID)).map(str::to_owned);
        loop {
            let attempts = self.ticket.route.max_attempts;
            let allowed = self.course.runs < attempts && self.ticket.left() > SILENCE;
            if !allowed || !self.context.may_repeat(&self.ticket.pool.name) {
                return None;
            }
            let target = self.course.choose(&self.context, &self.ticket).ok()?;
            let request = self.ticket.outgoing(&target, &self.course.results(), last.as_deref());
            let until = self.ticket.end.min(Instant::now() + SILENCE * 2);
            let sent = monoio::select! {
                sent = self.context.exchanges.send(target.address, &request, until) => sent,
                () = self.left.wait() => return None,
            };
            let ended = match sent {
                Ok(answer) if answer.status.is_success() => {
                    tracing::info!(event = "stream-resumed", request = %self.ticket.id, target = %target.name, last);
                    return Some((answer, target));
                }
                Ok(_) => TargetOutcome::Refused,
                Err(failure) if failure.is_not_run() => TargetOutcome::Unreached,
                Err(_) => {
                    self.course.runs += 1;
                    TargetOutcome::Failed
                }
            };
            self.context.board.borrow_mut().record_outcome(boot_now(), &target.name, ended);
            self.course.tried.push(target.name);
        }
    }
}
