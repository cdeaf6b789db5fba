//! Facts near a request that may tell its cause, from lines that don't name it.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::explain::event::Event;
use crate::explain::event::Kind;
use crate::explain::steps;
use crate::explain::timestamp::Timestamp;

/// Time around the end of a request in which the state of schedulers counts; they tell it once a
/// second.
const STATE_DISTANCE: Duration = Duration::from_millis(1_500);
/// Time around the end of a request in which other requests that lost the same target count.
const LOSS_DISTANCE: Duration = Duration::from_secs(5);
/// Time before the end of a request in which a refused retry is taken for its own.
const RETRY_DISTANCE: Duration = Duration::from_millis(100);
/// Maximum number of schedulers, requests or targets that are named.
const MAX_NAMED: usize = 5;

/// Moment at which a request ended, and what is near it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moment<'e> {
    pub(super) time: Timestamp,
    pub(super) process: &'e str,
    pub(super) near: &'e [Event],
}

impl<'e> Moment<'e> {
    /// Returns the state of the schedulers at that second, the busiest first; only those in `named`
    /// if there are any.
    pub(super) fn schedulers(&self, named: &[&str]) -> Vec<String> {
        let mut states = self.states(named);
        states.sort_by_key(|e| std::cmp::Reverse(load(e)));
        let more = states.len().saturating_sub(MAX_NAMED);
        let mut lines: Vec<String> =
            states.into_iter().take(MAX_NAMED).map(|e| self.state(e)).collect();
        if more > 0 {
            lines.push(format!("and {more} less busy schedulers"));
        }
        lines
    }

    /// Returns a scheduler at that second with fewer targets that count than are listed.
    pub(super) fn short_scheduler(&self, named: &[&str]) -> Option<&'e str> {
        let is_short = |e: &&Event| e.number("counted") < e.number("makers");
        self.states(named).into_iter().find(is_short).and_then(|e| e.get("desk"))
    }

    /// Returns the state of each scheduler that is nearest to the end.
    fn states(&self, named: &[&str]) -> Vec<&'e Event> {
        let mut nearest: IndexMap<(&str, &str), &Event> = IndexMap::new();
        let states = self.of_kind(Kind::SchedulerState);
        let states = states.filter(|e| e.time.distance(self.time) <= STATE_DISTANCE);
        let is_named = |e: &&Event| named.is_empty() || named.contains(&e.text("desk"));
        for event in states.filter(is_named) {
            let known = nearest.entry((event.text("desk"), &event.process)).or_insert(event);
            if event.time.distance(self.time) < known.time.distance(self.time) {
                *known = event;
            }
        }
        nearest.into_values().collect()
    }

    /// Returns the schedulers' calls that failed near the end, by target.
    pub(super) fn failed_pieces(&self, named: &[&str]) -> Option<String> {
        let mut targets: IndexMap<&str, usize> = IndexMap::new();
        let failed = self.of_kind(Kind::PiecesFailed).filter(|e| self.is_close(e));
        let is_named = |e: &&Event| named.is_empty() || named.contains(&e.text("desk"));
        for event in failed.filter(is_named) {
            *targets.entry(event.text("maker")).or_default() += 1;
        }
        let counts = targets.iter().take(MAX_NAMED).map(|(name, count)| format!("{name} {count}"));
        let counts: Vec<String> = counts.collect();
        (!counts.is_empty()).then(|| {
            let span = LOSS_DISTANCE.as_secs();
            format!(
                "calls for stages that failed within {span} s, by target: {}",
                counts.join(", ")
            )
        })
    }

    /// Returns the other requests that lost a target near the end.
    pub(super) fn losses(&self, target: &str) -> String {
        let mut requests: IndexSet<&str> = IndexSet::new();
        let losses = self
            .near
            .iter()
            .filter(|e| self.is_close(e) && is_loss(e) && e.get("target") == Some(target));
        requests.extend(losses.filter_map(|e| e.get("request")));
        let span = LOSS_DISTANCE.as_secs();
        if requests.is_empty() {
            return format!("other requests that lost target {target} within {span} s: none");
        }
        let names: Vec<&str> = requests.iter().take(MAX_NAMED).copied().collect();
        let more = match requests.len() > names.len() {
            true => ", ...",
            false => "",
        };
        let (count, names) = (requests.len(), names.join(", "));
        format!("other requests that lost target {target} within {span} s: {count} ({names}{more})")
    }

    /// Returns whether a retry for a pool was refused at the request's process just before its end.
    pub(super) fn is_retry_refused(&self, pool: &str) -> bool {
        self.of_kind(Kind::RepeatRefused).any(|e| {
            &*e.process == self.process
                && e.text("pool") == pool
                && e.time <= self.time
                && e.time.distance(self.time) <= RETRY_DISTANCE
        })
    }

    /// Returns what the process and the data centres went through before the end; if `after`, also
    /// a stop that was logged after it.
    pub(super) fn circumstances(&self, after: bool) -> Vec<String> {
        let mut lines: Vec<String> = Vec::new();
        lines.extend(self.cut_off());
        lines.extend(self.stop(after));
        lines.extend(self.centre_orders());
        let counted = [Kind::TargetLeaving, Kind::TargetPaused];
        for event in self.near.iter().filter(|e| e.time <= self.time) {
            let is_own = &*event.process == self.process;
            let is_told = (is_own && counted.contains(&event.kind))
                || (is_own && event.kind == Kind::EntrySuspected && self.is_close(event));
            if is_told {
                lines.push(self.told(event));
            }
        }
        let more = lines.len().saturating_sub(2 * MAX_NAMED);
        lines.truncate(2 * MAX_NAMED);
        if more > 0 {
            lines.push(format!("and {more} more such lines"));
        }
        lines
    }

    /// Returns when the process stopped.
    fn stop(&self, after: bool) -> Vec<String> {
        let is_stop = |e: &&Event| {
            matches!(e.kind, Kind::StopBegun | Kind::EntryStopped) && &*e.process == self.process
        };
        let stops = self.near.iter().filter(is_stop).filter(|e| after || e.time <= self.time);
        stops.map(|e| self.told(e)).collect()
    }

    /// Returns the last order for each data centre.
    fn centre_orders(&self) -> Vec<String> {
        let mut orders: IndexMap<&str, &Event> = IndexMap::new();
        for event in self.of_kind(Kind::CentreOrder).filter(|e| e.time <= self.time) {
            orders.insert(event.text("centre"), event);
        }
        orders.into_values().map(|e| self.told(e)).collect()
    }

    /// Returns the data centres that the process took to be cut off.
    fn cut_off(&self) -> Option<String> {
        let changes = self.of_kind(Kind::CentresCutOff);
        let earlier = changes.filter(|e| &*e.process == self.process && e.time <= self.time);
        let last = earlier.last()?;
        let centres = last.get("centres").filter(|centres| !centres.is_empty())?;
        let before = self.time.millis_since(last.time);
        Some(format!("{} took {centres} to be cut off since {before} ms before", self.process))
    }

    /// Returns how many lines are missing from the process's log.
    pub(super) fn dropped_lines(&self) -> Option<String> {
        let dropped = self.of_kind(Kind::LinesDropped);
        let own = dropped.filter(|e| &*e.process == self.process);
        let count: u64 = own.filter_map(|e| e.number("count")).sum();
        (count > 0).then(|| {
            format!(
                "{count} lines of {} were dropped near then; steps may be missing",
                self.process
            )
        })
    }

    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &'e Event> + use<'e> {
        self.near.iter().filter(move |e| e.kind == kind)
    }

    fn is_close(&self, event: &Event) -> bool {
        event.time.distance(self.time) <= LOSS_DISTANCE
    }

    fn state(&self, event: &Event) -> String {
        let get = |name| event.text(name);
        format!(
            "scheduler {} at {}, {:+} ms: waiting {}, late {}, reserved {}, targets that count {} \
             of {}, free {}",
            get("desk"),
            event.process,
            event.time.millis_since(self.time),
            get("waiting"),
            get("late"),
            get("booked"),
            get("counted"),
            get("makers"),
            get("free")
        )
    }

    fn told(&self, event: &Event) -> String {
        let millis = event.time.millis_since(self.time);
        format!("{}, {millis:+} ms: {}", event.process, steps::verbatim(event))
    }
}

/// Returns what sorts the states of schedulers: work that waits, then what is reserved.
fn load(event: &Event) -> (u64, u64) {
    let number = |name| event.number(name).unwrap_or_default();
    (number("waiting") + number("late"), number("booked"))
}

/// Returns whether an event tells of a target that was lost or could not be reached.
pub(super) fn is_loss(event: &Event) -> bool {
    match event.kind {
        Kind::TargetTried => matches!(event.get("outcome"), Some("lost" | "unreached")),
        Kind::AnswerBroken | Kind::StreamBroken => true,
        _ => false,
    }
}
