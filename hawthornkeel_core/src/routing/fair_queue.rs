//! Queue of waiting calls, scheduled by weighted fair queueing over workspaces.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ids::CallId;
use crate::names::WorkspaceName;
use crate::routing::types::StageRequest;
use crate::time::Instant;

/// Call that waits for a target.
#[derive(Clone, Debug)]
pub(crate) struct WaitingCall {
    pub request: StageRequest,
    /// Time by which the stage must be answered.
    pub stage_deadline: Instant,
    /// Time at which the call is refused if it still waits.
    pub expires: Instant,
}

/// Maximum number of calls of a flow that are skipped to find one that can be sent.
const MAX_SKIPPED: usize = 16;

/// Position of a waiting call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    flow: usize,
    index: usize,
}

/// Calls at the head of each flow that can't be sent now.
#[derive(Debug, Default)]
pub(crate) struct Skipped {
    flows: IndexMap<usize, usize>,
}

impl Skipped {
    /// Skips the call at a position.
    pub fn add(&mut self, position: Position) {
        self.flows.insert(position.flow, position.index + 1);
    }
}

/// Waiting calls of one workspace.
#[derive(Debug)]
struct Flow {
    weight: f64,
    /// Virtual finish time of the last dequeued call.
    finish_tag: f64,
    calls: VecDeque<WaitingCall>,
}

impl Flow {
    /// Returns the index of a new call, in order of priority, then deadline, then arrival.
    fn position(&self, request: &StageRequest) -> usize {
        let before = |w: &WaitingCall| {
            let other = &w.request;
            other.priority > request.priority
                || (other.priority == request.priority && other.deadline <= request.deadline)
        };
        self.calls.iter().rposition(before).map_or(0, |i| i + 1)
    }
}

/// Returns the flow of a call: its workspace for the first stage, one shared flow for later stages.
///
/// Admission has already held workspaces to their shares and work has been spent on the request, so
/// later stages are ordered by the earliest deadline.
fn flow_of(request: &StageRequest) -> WorkspaceName {
    if request.call.stage.0 == 0 { request.workspace.clone() } else { WorkspaceName::default() }
}

/// Start-time fair queue: dequeues from the flow with the lowest start tag.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    flows: IndexMap<WorkspaceName, Flow>,
    virtual_time: f64,
    len: usize,
    next_expiry: Option<Instant>,
}

impl FairQueue {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns a lower bound on the time at which the next call expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.next_expiry
    }

    /// Returns the expected number of calls that are dequeued before a new one.
    pub fn calls_ahead(&self, request: &StageRequest, weight: f64) -> f64 {
        let key = flow_of(request);
        let own = self.flows.get(&key).map_or(0, |f| f.position(request)) as f64;
        let rounds = (own + 1.0) / weight;
        let others = self.flows.iter().filter(|(name, _)| **name != key);
        own + others.map(|(_, f)| (f.calls.len() as f64).min(rounds * f.weight)).sum::<f64>()
    }

    /// Adds a call to its flow, in order of priority and then deadline.
    pub fn push(&mut self, waiting: WaitingCall, weight: f64) {
        let virtual_time = self.virtual_time;
        self.next_expiry =
            Some(self.next_expiry.map_or(waiting.expires, |e| e.min(waiting.expires)));
        let name = flow_of(&waiting.request);
        let new = || Flow { weight, finish_tag: virtual_time, calls: VecDeque::new() };
        let flow = self.flows.entry(name).or_insert_with(new);
        flow.weight = weight;
        let index = flow.position(&waiting.request);
        flow.calls.insert(index, waiting);
        self.len += 1;
    }

    /// Returns the next call to dequeue and its position, ignoring skipped calls.
    pub fn next(&self, skipped: &Skipped) -> Option<(Position, &WaitingCall)> {
        let mut best: Option<(Position, f64, &WaitingCall)> = None;
        for (flow, state) in self.flows.values().enumerate() {
            let index = skipped.flows.get(&flow).copied().unwrap_or(0);
            let Some(call) = state.calls.get(index).filter(|_| index < MAX_SKIPPED) else {
                continue;
            };
            let start = state.finish_tag.max(self.virtual_time);
            if best.as_ref().is_none_or(|(_, tag, _)| start < *tag) {
                best = Some((Position { flow, index }, start, call));
            }
        }
        best.map(|(position, _, waiting)| (position, waiting))
    }

    /// Returns the call with the latest stage deadline among the last calls of all flows.
    pub fn latest(&self) -> Option<(Position, &WaitingCall)> {
        let ends = self.flows.values().enumerate().filter_map(|(flow, state)| {
            let call = state.calls.back()?;
            Some((Position { flow, index: state.calls.len() - 1 }, call))
        });
        ends.max_by_key(|(_, waiting)| waiting.stage_deadline)
    }

    /// Removes the call at a position and charges its flow.
    pub fn dequeue(&mut self, position: Position) -> Option<WaitingCall> {
        let (_, flow) = self.flows.get_index_mut(position.flow)?;
        let waiting = flow.calls.remove(position.index)?;
        let start = flow.finish_tag.max(self.virtual_time);
        flow.finish_tag = start + 1.0 / flow.weight;
        self.virtual_time = start;
        self.len -= 1;
        Some(waiting)
    }

    /// Makes all waiting calls due by `limit` at the latest.
    pub fn limit_deadlines(&mut self, limit: Instant) {
        for waiting in self.flows.values_mut().flat_map(|f| f.calls.iter_mut()) {
            let cut = waiting.request.deadline.since(limit);
            waiting.request.deadline = waiting.request.deadline.before(cut);
            waiting.stage_deadline = waiting.stage_deadline.before(cut);
            waiting.expires = waiting.expires.before(cut);
        }
        self.next_expiry = self.earliest_expiry();
    }

    /// Returns the time at which the next call expires.
    fn earliest_expiry(&self) -> Option<Instant> {
        self.flows.values().flat_map(|f| f.calls.iter().map(|w| w.expires)).min()
    }

    /// Removes a call without charging its flow.
    pub fn remove(&mut self, call: CallId) -> Option<WaitingCall> {
        for flow in self.flows.values_mut() {
            let Some(at) = flow.calls.iter().position(|w| w.request.call == call) else {
                continue;
            };
            self.len -= 1;
            return flow.calls.remove(at);
        }
        None
    }

    /// Removes and returns expired calls, and drops idle flows.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<WaitingCall> {
        if self.next_expiry.is_none_or(|e| now < e) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        for flow in self.flows.values_mut() {
            let (old, kept) = flow.calls.drain(..).partition(|w| w.expires <= now);
            flow.calls = kept;
            let old: VecDeque<WaitingCall> = old;
            expired.extend(old);
        }
        self.len -= expired.len();
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, f| !f.calls.is_empty() || f.finish_tag > virtual_time);
        self.next_expiry = self.earliest_expiry();
        expired
    }
}
