//! Way of requests through an entry, and the messages between entries.

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
use crate::sites::DEADLINE;
use crate::sites::POOLS;
use crate::sites::workspace as workspace_name;
use crate::stats::End;
use crate::world::Event;
use crate::world::Request;
use crate::world::World;

/// Calls for a stage that may have run, at most; the baseline counts refused ones too.
const ATTEMPTS: u16 = 3;

impl World {
    /// Takes a caller's request at one of the entries that can be reached.
    pub fn submit(&mut self, workspace: usize, arrived: Instant) {
        let cut = self.cut.clone();
        let reachable = |e: &usize| {
            let entry = &self.entries[*e];
            entry.alive && cut.as_ref() != Some(&entry.centre)
        };
        let open: Vec<usize> = (0..self.entries.len()).filter(reachable).collect();
        let deadline = arrived + DEADLINE;
        if open.is_empty() || self.now >= deadline {
            return self.end_unserved(workspace, arrived);
        }
        let rng = if self.now == arrived { &mut self.arrivals } else { &mut self.rng };
        let entry = open[rng.random_range(0..open.len())];
        self.next_id += 1;
        let id = RequestId(u128::from(self.next_id));
        let request = Request {
            entry,
            workspace,
            arrived,
            deadline,
            stage: 0,
            attempt: 0,
            runs: 0,
            excluded: Vec::new(),
            ran: false,
            held: [0.0; POOLS.len()],
        };
        if let Policy::Ours(ours) = &mut self.entries[entry].policy {
            let plan = RequestPlan {
                request: id,
                workspace: workspace_name(workspace).as_str().into(),
                pools: POOLS.iter().map(|p| p.name.into()).collect(),
                deadline,
                floor: floor_from(0),
            };
            if let Admission::Refused { reason, .. } = ours.router.admit(self.now, &plan) {
                if World::counts(arrived) {
                    *self.stats.refusals.entry((reason.as_str(), 9, 0)).or_default() += 1;
                }
                *self.stats.reasons.entry(reason.as_str()).or_default() += 1;
                return self.close(&request, End::Refused);
            }
        }
        self.requests.insert(id, request);
        self.start_call(id);
    }

    /// Asks the entry's policy for a target.
    fn start_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let (stage, entry, deadline) = (request.stage, request.entry, request.deadline);
        let call = call_id(id, request);
        let asked = stage_request(call, request, &self.targets);
        match &mut self.entries[entry].policy {
            Policy::Plain(plain) => {
                if let Some(target) = plain.choose(stage, call, deadline) {
                    self.dispatch(id, target, None);
                }
            }
            Policy::Ours(ours) => {
                let decision = ours.router.choose(self.now, &asked);
                self.decided(id, decision);
            }
        }
        self.pump(entry);
    }

    /// Acts on a decision of our router.
    fn decided(&mut self, id: RequestId, decision: Decision) {
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
                if World::counts(self.requests.get(&id).map_or(Instant::ZERO, |r| r.arrived)) {
                    let stage = self.requests.get(&id).map_or(0, |r| r.stage);
                    let attempt = self.requests.get(&id).map_or(0, |r| r.attempt);
                    *self.stats.refusals.entry((reason.as_str(), stage, attempt)).or_default() += 1;
                }
                *self.stats.reasons.entry(reason.as_str()).or_default() += 1;
                if let Some(request) = self.drop_request(id) {
                    self.close(&request, End::Refused);
                }
            }
        }
    }

    /// Removes a request from its entry.
    pub fn drop_request(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.swap_remove(&id)?;
        if let Policy::Ours(ours) = &mut self.entries[request.entry].policy {
            ours.router.cancel(self.now, call_id(id, &request));
            ours.router.finish_request(self.now, id);
        }
        Some(request)
    }

    /// Takes the end of a call; one that has ended before is ignored.
    pub fn call_ended(&mut self, number: u64, outcome: CallOutcome) {
        let Some(call) = self.calls.swap_remove(&number) else {
            return;
        };
        let answered = matches!(outcome, CallOutcome::Answered { .. });
        let target = &mut self.targets[call.target];
        if call.ran && target.incarnation == call.incarnation {
            target.end(answered);
        }
        let busy = if call.ran { self.now.since(call.started).as_secs_f64() } else { 0.0 };
        self.stats.busy[call.stage] += busy;
        let entry = &mut self.entries[call.entry];
        let alive = entry.alive && entry.id.boot == call.boot;
        if alive {
            match (&mut entry.policy, call.permit) {
                (Policy::Ours(ours), Some(permit)) => {
                    ours.router.finish_call(self.now, permit, outcome);
                }
                (Policy::Plain(plain), _) => plain.finished(call.stage, call.target),
                _ => {}
            }
        }
        let waits = self.requests.get(&call.request).is_some_and(|r| r.stage == call.stage);
        if !alive || !waits || !answered {
            self.stats.wasted[call.stage] += busy;
        }
        if alive && waits {
            self.advance(call.request, call.target, answered, busy, outcome);
        }
        self.pump(call.entry);
    }

    /// Takes a request to its next stage, attempt or end.
    fn advance(&mut self, id: RequestId, target: usize, ok: bool, busy: f64, out: CallOutcome) {
        let late = self.requests.get(&id).is_some_and(|r| self.now >= r.deadline);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let end = if ok {
            request.held[request.stage] += busy;
            request.stage += 1;
            (request.attempt, request.runs, request.ran) = (0, 0, false);
            request.excluded.clear();
            (request.stage == POOLS.len()).then_some(End::Answered)
        } else {
            let ran = !matches!(out, CallOutcome::Refused | CallOutcome::ConnectFailed);
            request.ran |= ran;
            request.runs += u16::from(ran || self.run.kind == PolicyKind::Plain);
            request.attempt += 1;
            if out != CallOutcome::Refused {
                request.excluded.push(target);
            }
            (request.runs >= ATTEMPTS).then_some(End::Failed)
        };
        let end = if late { Some(End::Late) } else { end };
        match end {
            Some(end) => {
                if let Some(request) = self.drop_request(id) {
                    self.close(&request, end);
                }
            }
            None => self.start_call(id),
        }
    }

    /// Takes what an entry's policy has ready, and sends its messages.
    pub fn pump(&mut self, entry: usize) {
        if !self.entries[entry].alive {
            return;
        }
        match &mut self.entries[entry].policy {
            Policy::Plain(plain) => {
                for (call, target) in plain.take_ready(self.now) {
                    match target {
                        Some(target) if self.requests.contains_key(&call.request) => {
                            self.dispatch(call.request, target, None);
                        }
                        Some(target) => {
                            if let Policy::Plain(p) = &mut self.entries[entry].policy {
                                p.finished(usize::from(call.stage.0), target);
                            }
                        }
                        None => {
                            if let Some(request) = self.drop_request(call.request) {
                                self.close(&request, End::Late);
                            }
                        }
                    }
                }
            }
            Policy::Ours(ours) => {
                let ready = ours.router.take_ready(self.now);
                let messages = ours.router.take_messages(self.now);
                for one in ready {
                    self.decided(one.call.request, one.decision);
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

/// Returns the identity of a request's present call.
fn call_id(request: RequestId, of: &Request) -> CallId {
    let (stage, attempt) = (StageIndex(of.stage as u16), AttemptNumber(of.attempt));
    CallId { request, stage, attempt }
}

/// Returns the shortest time that the stages from `stage` on take.
fn floor_from(stage: usize) -> Duration {
    POOLS.iter().skip(stage).map(|p| p.time / 2).sum()
}

/// Returns what the router is asked.
fn stage_request(call: CallId, of: &Request, targets: &[crate::target::Target]) -> StageRequest {
    let repeat = match (of.attempt, of.ran) {
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
        later_floor: floor_from(of.stage + 1),
        later_pools: POOLS.iter().skip(of.stage + 1).map(|p| p.name.into()).collect(),
        excluded: of.excluded.iter().map(|t| targets[*t].info.name.clone()).collect(),
        kind: repeat,
        ..StageRequest::default()
    }
}
