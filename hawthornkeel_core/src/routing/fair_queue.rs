//! Queue of waiting calls, served by weighted fair shares of their workspaces.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::CallId;
use crate::names::WorkspaceName;
use crate::routing::types::StageRequest;
use crate::time::Instant;

/// Call that waits for a target.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub request: StageRequest,
    /// Time at which the stage's answer is needed.
    pub latest: Instant,
    /// Time at which the wait ends in a refusal.
    pub until: Instant,
}

/// Calls of a lane that are passed over for one that can be sent, at most.
const PASSED_MAX: usize = 16;

/// Place of a waiting call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Place {
    lane: usize,
    position: usize,
}

/// Calls at the head of each lane that can't be sent now.
#[derive(Debug, Default)]
pub(crate) struct Passed {
    lanes: IndexMap<usize, usize>,
}

impl Passed {
    /// Passes over the call at a place.
    pub fn add(&mut self, place: Place) {
        self.lanes.insert(place.lane, place.position + 1);
    }
}

/// Waiting calls of one workspace.
#[derive(Debug)]
struct Lane {
    weight: f64,
    /// Virtual time at which the lane's last served call ends.
    finish: f64,
    calls: VecDeque<Waiting>,
}

impl Lane {
    /// Returns the position of a new call: by priority, then by deadline, then by arrival.
    fn position(&self, request: &StageRequest) -> usize {
        let before = |w: &Waiting| {
            let other = &w.request;
            other.priority > request.priority
                || (other.priority == request.priority && other.deadline <= request.deadline)
        };
        self.calls.iter().rposition(before).map_or(0, |i| i + 1)
    }
}

/// Returns the lane of a call: its workspace at the first stage, and one for all at later stages.
///
/// Admission has held workspaces to their shares by then, and work was spent on the request, so
/// that the earliest deadline goes first.
fn lane_of(request: &StageRequest) -> WorkspaceName {
    if request.call.stage.0 == 0 { request.workspace.clone() } else { WorkspaceName::default() }
}

/// Start-time fair queue: serves the lane with the lowest start tag.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lanes: IndexMap<WorkspaceName, Lane>,
    clock: f64,
    len: usize,
    expiry: Option<Instant>,
}

impl FairQueue {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the earliest time at which a wait may end.
    pub fn expiry(&self) -> Option<Instant> {
        self.expiry
    }

    /// Returns the calls that are served before a new one.
    pub fn ahead(&self, request: &StageRequest, weight: f64) -> f64 {
        let key = lane_of(request);
        let own = self.lanes.get(&key).map_or(0, |l| l.position(request)) as f64;
        let rounds = (own + 1.0) / weight;
        let others = self.lanes.iter().filter(|(name, _)| **name != key);
        own + others.map(|(_, l)| (l.calls.len() as f64).min(rounds * l.weight)).sum::<f64>()
    }

    /// Adds a call to those of its workspace, by priority and then by deadline.
    pub fn push(&mut self, waiting: Waiting, weight: f64) {
        let clock = self.clock;
        self.expiry = Some(self.expiry.map_or(waiting.until, |e| e.min(waiting.until)));
        let name = lane_of(&waiting.request);
        let new = || Lane { weight, finish: clock, calls: VecDeque::new() };
        let lane = self.lanes.entry(name).or_insert_with(new);
        lane.weight = weight;
        let position = lane.position(&waiting.request);
        lane.calls.insert(position, waiting);
        self.len += 1;
    }

    /// Returns the place to be served next and its call, but for those passed over.
    pub fn next(&self, passed: &Passed) -> Option<(Place, &Waiting)> {
        let mut best: Option<(Place, f64, &Waiting)> = None;
        for (lane, state) in self.lanes.values().enumerate() {
            let position = passed.lanes.get(&lane).copied().unwrap_or(0);
            let Some(call) = state.calls.get(position).filter(|_| position < PASSED_MAX) else {
                continue;
            };
            let start = state.finish.max(self.clock);
            if best.as_ref().is_none_or(|(_, tag, _)| start < *tag) {
                best = Some((Place { lane, position }, start, call));
            }
        }
        best.map(|(place, _, waiting)| (place, waiting))
    }

    /// Returns the call that has most time left, by the ends of the lanes.
    pub fn latest(&self) -> Option<(Place, &Waiting)> {
        let ends = self.lanes.values().enumerate().filter_map(|(lane, state)| {
            let call = state.calls.back()?;
            Some((Place { lane, position: state.calls.len() - 1 }, call))
        });
        ends.max_by_key(|(_, waiting)| waiting.latest)
    }

    /// Removes the call at a place and charges its lane.
    pub fn serve(&mut self, place: Place) -> Option<Waiting> {
        let (_, lane) = self.lanes.get_index_mut(place.lane)?;
        let waiting = lane.calls.remove(place.position)?;
        let start = lane.finish.max(self.clock);
        lane.finish = start + 1.0 / lane.weight;
        self.clock = start;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes a call, without a charge.
    pub fn remove(&mut self, call: CallId) -> Option<Waiting> {
        for lane in self.lanes.values_mut() {
            let Some(at) = lane.calls.iter().position(|w| w.request.call == call) else {
                continue;
            };
            self.len -= 1;
            return lane.calls.remove(at);
        }
        None
    }

    /// Removes and returns the calls whose wait has ended, and lanes that are no longer needed.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiting> {
        if self.expiry.is_none_or(|e| now < e) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            let (old, kept) = lane.calls.drain(..).partition(|w| w.until <= now);
            lane.calls = kept;
            let old: VecDeque<Waiting> = old;
            expired.extend(old);
        }
        self.len -= expired.len();
        let clock = self.clock;
        self.lanes.retain(|_, l| !l.calls.is_empty() || l.finish > clock);
        self.expiry = self.lanes.values().flat_map(|l| l.calls.iter().map(|w| w.until)).min();
        expired
    }
}
