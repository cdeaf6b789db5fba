//! Processing of requests at an entry, from submission to the final answer.

use std::time::Duration;

use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::routing::Admission;
use hawthornkeel_core::routing::AttemptKind;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::RequestPlan;
use hawthornkeel_core::routing::StageRequest;
use hawthornkeel_core::time::Instant;
use rand::Rng;

use crate::entry::Policy;
use crate::entry::PolicyKind;
use crate::simulation::Event;
use crate::simulation::Request;
use crate::simulation::Simulation;
use crate::stats::RequestEnd;
use crate::topology::DEADLINE;
use crate::topology::POOLS;
use crate::topology::workspace as workspace_name;

/// Attempts at a stage that may have run; the baseline counts those that did not run too.
const MAX_ATTEMPTS: u16 = 3;

impl Simulation {
    /// Submits a caller's request to a random reachable entry.
    pub fn submit(&mut self, workspace: usize, arrived: Instant) {
        let isolated_centre = self.isolated_centre.clone();
        let is_reachable = |e: &usize| {
            let entry = &self.entries[*e];
            entry.alive && isolated_centre.as_ref() != Some(&entry.centre)
        };
        let reachable: Vec<usize> = (0..self.entries.len()).filter(is_reachable).collect();
        let deadline = arrived + DEADLINE;
        if reachable.is_empty() || self.now >= deadline {
            return self.record_unserved(workspace, arrived);
        }
        let rng = if self.now == arrived { &mut self.arrivals } else { &mut self.rng };
        let entry = reachable[rng.random_range(0..reachable.len())];
        self.next_id += 1;
        let id = RequestId(u128::from(self.next_id));
        let request = Request {
            entry,
            workspace,
            arrived,
            deadline,
            stage: 0,
            attempt: 0,
            counted_attempts: 0,
            excluded: Vec::new(),
            may_have_run: false,
            completed_work: [0.0; POOLS.len()],
        };
        if let Policy::Router(policy) = &mut self.entries[entry].policy {
            let plan = RequestPlan {
                request: id,
                workspace: workspace_name(workspace).as_str().into(),
                pools: POOLS.iter().map(|p| p.name.into()).collect(),
                deadline,
                floor: min_remaining_time(0),
            };
            if let Admission::Refused { reason, .. } = policy.router.admit(self.now, &plan) {
                if Simulation::is_measured(arrived) {
                    *self.stats.refusals.entry((reason.as_str(), 9, 0)).or_default() += 1;
                }
                *self.stats.reasons.entry(reason.as_str()).or_default() += 1;
                return self.record_end(&request, RequestEnd::Refused);
            }
        }
        self.requests.insert(id, request);
        self.start_call(id);
    }

    /// Requests a target for the current stage from the entry's policy.
    fn start_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (stage, entry, deadline) = (request.stage, request.entry, request.deadline);
        let call = call_id(id, request);
        let query = stage_request(call, request, &self.targets);
        match &mut self.entries[entry].policy {
            Policy::Baseline(baseline) => {
                if let Some(target) = baseline.choose(stage, call, deadline) {
                    self.dispatch(id, target, None);
                }
            }
            Policy::Router(policy) => {
                let decision = policy.router.choose(self.now, &query);
                self.apply_decision(id, decision);
            }
        }
        self.dispatch_queued(entry);
    }

    /// Applies a decision of the router.
    fn apply_decision(&mut self, id: RequestId, decision: Decision) {
        match decision {
            Decision::Send { target, permit, reason, .. } => {
                *self.stats.reasons.entry(reason.as_str()).or_default() += 1;
                let found = self.targets.iter().position(|t| t.info.name == target);
                if let Some(index) = found {
                    self.dispatch(id, index, Some(permit));
                }
            }
            Decision::Wait { reason, .. } => {
                *self.stats.reasons.entry(reason.as_str()).or_default() += 1;
            }
            Decision::Refuse { reason, .. } => {
                if Simulation::is_measured(
                    self.requests.get(&id).map_or(Instant::ZERO, |r| r.arrived),
                ) {
                    let stage = self.requests.get(&id).map_or(0, |r| r.stage);
                    let attempt = self.requests.get(&id).map_or(0, |r| r.attempt);
                    *self.stats.refusals.entry((reason.as_str(), stage, attempt)).or_default() += 1;
                }
                *self.stats.reasons.entry(reason.as_str()).or_default() += 1;
                if let Some(request) = self.remove_request(id) {
                    self.record_end(&request, RequestEnd::Refused);
                }
            }
        }
    }

    /// Removes a request and cancels its current call.
    pub fn remove_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.swap_remove(&id)?;
        if let Policy::Router(policy) = &mut self.entries[request.entry].policy {
            policy.router.cancel(self.now, call_id(id, &request));
            policy.router.finish_request(self.now, id);
        }
        Some(request)
    }

    /// Handles the end of a call; ignores calls that have ended before.
    pub fn handle_call_end(&mut self, number: u64, outcome: CallOutcome) {
        let Some(call) = self.calls.swap_remove(&number) else {
            return;
        };
        let answered = matches!(outcome, CallOutcome::Answered { .. });
        let target = &mut self.targets[call.target];
        if call.accepted && target.incarnation == call.incarnation {
            target.finish_call(answered);
        }
        let busy = if call.accepted { self.now.since(call.started).as_secs_f64() } else { 0.0 };
        self.stats.busy[call.stage] += busy;
        let entry = &mut self.entries[call.entry];
        let alive = entry.alive && entry.id.boot == call.boot;
        if alive {
            match (&mut entry.policy, call.permit) {
                (Policy::Router(policy), Some(permit)) => {
                    policy.router.finish_call(self.now, permit, outcome);
                }
                (Policy::Baseline(baseline), _) => baseline.finish_call(call.stage, call.target),
                _ => {}
            }
        }
        let is_current = self.requests.get(&call.request).is_some_and(|r| r.stage == call.stage);
        if !alive || !is_current || !answered {
            self.stats.wasted[call.stage] += busy;
        }
        if alive && is_current {
            self.advance(call.request, call.target, answered, busy, outcome);
        }
        self.dispatch_queued(call.entry);
    }

    /// Advances a request to its next stage or attempt, or ends it.
    fn advance(&mut self, id: RequestId, target: usize, ok: bool, busy: f64, out: CallOutcome) {
        let late = self.requests.get(&id).is_some_and(|r| self.now >= r.deadline);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let end = if ok {
            request.completed_work[request.stage] += busy;
            request.stage += 1;
            (request.attempt, request.counted_attempts, request.may_have_run) = (0, 0, false);
            request.excluded.clear();
            (request.stage == POOLS.len()).then_some(RequestEnd::Answered)
        } else {
            let executed = !matches!(out, CallOutcome::Refused | CallOutcome::ConnectFailed);
            request.may_have_run |= executed;
            request.counted_attempts +=
                u16::from(executed || self.config.kind == PolicyKind::Baseline);
            request.attempt += 1;
            if out != CallOutcome::Refused {
                request.excluded.push(target);
            }
            (request.counted_attempts >= MAX_ATTEMPTS).then_some(RequestEnd::Failed)
        };
        let end = if late { Some(RequestEnd::Late) } else { end };
        match end {
            Some(end) => {
                if let Some(request) = self.remove_request(id) {
                    self.record_end(&request, end);
                }
            }
            None => self.start_call(id),
        }
    }

    /// Dispatches the queued calls that are ready, and sends the router's messages.
    pub fn dispatch_queued(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        match &mut self.entries[entry].policy {
            Policy::Baseline(baseline) => {
                for (call, target) in baseline.take_ready(self.now) {
                    match target {
                        Some(target) if self.requests.contains_key(&call.request) => {
                            self.dispatch(call.request, target, None);
                        }
                        Some(target) => {
                            if let Policy::Baseline(p) = &mut self.entries[entry].policy {
                                p.finish_call(usize::from(call.stage.0), target);
                            }
                        }
                        None => {
                            if let Some(request) = self.remove_request(call.request) {
                                self.record_end(&request, RequestEnd::Late);
                            }
                        }
                    }
                }
            }
            Policy::Router(policy) => {
                let ready = policy.router.take_ready(self.now);
                let messages = policy.router.take_messages(self.now);
                for queued in ready {
                    self.apply_decision(queued.call.request, queued.decision);
                }
                for out in messages {
                    let to = self.entries.iter().position(|e| e.id == out.issuer);
                    if let Some(to) = to {
                        self.stats.grant_messages += 1;
                        self.send(
                            entry,
                            to,
                            Event::ToIssuer { from: entry, to, message: out.message },
                        );
                    }
                }
            }
        }
    }
}

/// Returns the identity of a request's current call.
fn call_id(request: RequestId, of: &Request) -> CallId {
    let (stage, attempt) = (StageIndex(of.stage as u16), AttemptNumber(of.attempt));
    CallId { request, stage, attempt }
}

/// Returns the shortest time of the stages from `stage` on.
fn min_remaining_time(stage: usize) -> Duration {
    POOLS.iter().skip(stage).map(|p| p.time / 2).sum()
}

/// Builds the router's query for a request's current call.
fn stage_request(call: CallId, of: &Request, targets: &[crate::target::Target]) -> StageRequest {
    let kind = match (of.attempt, of.may_have_run) {
        (0, _) => AttemptKind::First,
        (_, true) => AttemptKind::Retry,
        (_, false) => AttemptKind::SafeRetry,
    };
    StageRequest {
        call,
        workspace: workspace_name(of.workspace).as_str().into(),
        pool: POOLS[of.stage].name.into(),
        deadline: of.deadline,
        floor: POOLS[of.stage].time / 2,
        later_floor: min_remaining_time(of.stage + 1),
        later_pools: POOLS.iter().skip(of.stage + 1).map(|p| p.name.into()).collect(),
        excluded: of.excluded.iter().map(|t| targets[*t].info.name.clone()).collect(),
        kind,
        ..StageRequest::default()
    }
}
