//! Limit of the lines that each kind of event may log in a second.
//!
//! Under load, one kind of event must not fill the queue and displace the lines of all others.

use std::fmt;
use std::mem;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tracing::Event;
use tracing::Metadata;
use tracing::Subscriber;
use tracing::callsite::Identifier;
use tracing::field::Field;
use tracing::field::Visit;
use tracing_subscriber::layer::Context;
use tracing_subscriber::layer::Filter;

/// Time in which a kind may log its number of lines.
const WINDOW: Duration = Duration::from_secs(1);

/// Limit of the lines of each kind; clones share it.
///
/// A kind is a place in the code, so that their number is bounded.
#[derive(Clone, Debug)]
pub(super) struct LineLimit {
    /// Maximum number of lines of one kind in a window.
    pub(super) max: u32,
    kinds: Arc<Mutex<IndexMap<Identifier, Kind>>>,
}

/// Lines of one kind.
#[derive(Debug)]
struct Kind {
    /// Value of the event's field `event`.
    name: String,
    window: Instant,
    lines: u32,
    dropped: u64,
}

impl LineLimit {
    /// Creates a limit of `max` lines of each kind in a second.
    pub(super) fn new(max: u32) -> Self {
        Self { max, kinds: Arc::default() }
    }

    /// Returns one kind of which lines were dropped, and their number since it was returned last.
    pub(super) fn take_dropped(&self) -> Option<(String, u64)> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.values_mut().find(|k| k.dropped > 0)?;
        Some((kind.name.clone(), mem::take(&mut kind.dropped)))
    }

    fn allows(&self, now: Instant, event: &Event<'_>) -> bool {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = kinds.entry(event.metadata().callsite());
        kind.or_insert_with(|| Kind::new(now, event)).allows(now, self.max)
    }
}

impl<S: Subscriber> Filter<S> for LineLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        self.allows(Instant::now(), event)
    }
}

impl Kind {
    fn new(now: Instant, event: &Event<'_>) -> Self {
        let mut name = EventName::default();
        event.record(&mut name);
        Self { name: name.0, window: now, lines: 0, dropped: 0 }
    }

    /// Counts a line, and returns whether it may be logged.
    fn allows(&mut self, now: Instant, max: u32) -> bool {
        if now.duration_since(self.window) >= WINDOW {
            (self.window, self.lines) = (now, 0);
        }
        self.lines = self.lines.saturating_add(1);
        let is_allowed = self.lines <= max;
        self.dropped += u64::from(!is_allowed);
        is_allowed
    }
}

/// Reads the field `event` of an event.
#[derive(Default)]
struct EventName(String);

impl Visit for EventName {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == "event" {
            self.0 = value.to_owned();
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn fmt::Debug) {}
}
