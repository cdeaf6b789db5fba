//! What is to be done for a request with stages: which of them, in what order, where and by when.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::stages::admission::StageTiming;
use hawthornkeel_core::stages::admission::Timeliness;
use hawthornkeel_core::stages::admission::Times;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::Locality;
use hawthornkeel_core::stages::job::Reservation;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::table::pool::Workload;
use hawthornkeel_core::table::route::Stage;
use hawthornkeel_platform::fields;
use hawthornkeel_platform::pieces;

use crate::forward::context::Context;
use crate::forward::desks::Desks;
use crate::forward::desks::Results;
use crate::forward::request::Ticket;

/// Time that a request takes at an engine up to its first event, where none was seen yet.
pub const ENGINE_TIME: Duration = Duration::from_millis(150);
/// Times longer that a stage takes as others share its calls.
const SHARED: f64 = 1.2;
/// Bytes of inputs or results from which on it matters in which data centre a stage is done.
const LARGE: u64 = 300_000;
/// Part of the slack, as its divisor, for which a stage waits for a target near its inputs.
const INPUTS_PART: u64 = 2;
/// Part of the slack, as its divisor, for which it waits for one near where its results are used.
///
/// Results cross once, inputs with every piece.
const RESULTS_PART: u64 = 8;
/// Time that a stage takes where its pool's document says nothing.
const STAGE_TIME: Duration = Duration::from_millis(250);

/// What was expected of a request as it was begun.
#[derive(Clone, Copy, Debug)]
pub struct Expected {
    /// Time from its arrival until its answer begins.
    pub end: Duration,
    /// Whether it can meet its objective.
    pub pace: Timeliness,
}

/// What is to be done for one request.
pub(super) struct Plan<'a> {
    pub(super) context: &'a Context,
    pub(super) ticket: &'a Ticket,
    pass: u16,
    /// Pieces of each stage.
    pub(super) counts: Vec<u32>,
    /// Stages whose results the request itself needs.
    pub(super) last: Vec<u16>,
    /// Data centre in which the request is likely to run.
    centre: Option<CentreName>,
    /// Data centre in which its stages are done, where pools are split by data centre.
    pub(super) place: Option<CentreName>,
    /// Whether it can still meet its objective.
    pub(super) pace: Timeliness,
    pub(super) expected: Option<Expected>,
}

impl<'a> Plan<'a> {
    pub(super) fn new(context: &'a Context, ticket: &'a Ticket, pieces: &[u32], pass: u16) -> Self {
        let stages = ticket.route.stages.len();
        let counts = (0..stages).map(|at| pieces.get(at).copied().unwrap_or(0)).collect();
        let last = ticket.route.final_stages();
        let centre = crate::forward::handler::likely_centre(context, ticket);
        let pace = if ticket.fresh.is_zero() { Timeliness::Late } else { Timeliness::OnTime };
        let place = centre.clone();
        Self { context, ticket, pass, counts, last, centre, place, pace, expected: None }
    }

    fn stage(&self, at: u16) -> Option<&Stage> {
        self.ticket.route.stages.get(usize::from(at))
    }

    fn count(&self, at: u16) -> u32 {
        self.counts.get(usize::from(at)).copied().unwrap_or(0)
    }

    /// Returns the stages that may begin.
    pub(super) fn ready(&self, stages: &[Option<Results>], begun: &[bool]) -> Vec<u16> {
        let done = |at: &u16| {
            self.count(*at) == 0 || stages.get(usize::from(*at)).is_some_and(Option::is_some)
        };
        let all = (0..self.counts.len()).filter_map(|at| u16::try_from(at).ok());
        all.filter(|at| {
            self.count(*at) > 0 && !begun.get(usize::from(*at)).copied().unwrap_or(true)
        })
        .filter(|at| self.stage(*at).is_some_and(|s| s.after.iter().all(done)))
        .collect()
    }

    /// Gives up the results that no stage and not the request itself needs any more.
    pub(super) fn give_up(&self, stages: &mut [Option<Results>]) {
        let done: Vec<bool> = stages.iter().map(Option::is_some).collect();
        let done_at = |at: usize| done.get(at).copied().unwrap_or(true);
        for at in 0..stages.len() {
            let Ok(number) = u16::try_from(at) else { continue };
            let mut followers = self
                .ticket
                .route
                .stages
                .iter()
                .enumerate()
                .filter(|(_, s)| s.after.contains(&number));
            let needed = self.last.contains(&number)
                || followers
                    .any(|(f, _)| !done_at(f) && self.counts.get(f).is_some_and(|c| *c > 0));
            if !needed && let Some(stage) = stages.get_mut(at) {
                // Its place still tells that the stage is done.
                if let Some(results) = stage {
                    results.give_up();
                }
            }
        }
    }

    /// Returns the data centres to have the stages done in, the one where the request runs first.
    pub(super) fn places(&self, desks: &Desks) -> Vec<Option<CentreName>> {
        let pools: Vec<&PoolName> =
            self.wanted().filter_map(|at| Some(&self.stage(at)?.pool)).collect();
        let board = self.context.board.borrow();
        let first = self.centre.clone();
        let other = board.alternative_centre(&pools, first.as_ref(), &self.ticket.id);
        let mut places = vec![first];
        places.extend(other.map(Some));
        if places.len() > 1 && self.centre.as_ref().is_some_and(|c| desks.is_cut(c)) {
            places.reverse();
        }
        places
    }

    /// Returns the desk that does a stage.
    pub(super) fn desk(&self, at: u16) -> Option<SchedulerName> {
        let board = self.context.board.borrow();
        Some(board.scheduler_for(&self.stage(at)?.pool, self.place.as_ref(), &self.ticket.id))
    }

    pub(super) fn steps(&self) -> Vec<StageTiming> {
        let after = |at: u16| self.stage(at).map(|s| s.after.clone()).unwrap_or_default();
        self.wanted()
            .map(|at| StageTiming { stage: at, after: after(at), expected: self.time(at) })
            .collect()
    }

    pub(super) fn times(&self) -> Times {
        let ticket = self.ticket;
        Times {
            objective: ticket.route.objective,
            due: ticket.due.saturating_duration_since(Instant::now()),
            left: ticket.left(),
            fresh: ticket.fresh,
        }
    }

    pub(super) fn booking(&self, at: u16) -> Reservation {
        let due = self.ticket.due.saturating_duration_since(Instant::now());
        Reservation {
            id: self.id(at),
            pieces: self.count(at),
            priority: self.pace.priority(self.ticket.rank),
            due_ms: millis(due.saturating_sub(self.rest(at))),
        }
    }

    fn id(&self, at: u16) -> JobId {
        JobId { request: Arc::clone(&self.ticket.id), stage: at, pass: self.pass }
    }

    /// Returns the stages that have pieces.
    pub(super) fn wanted(&self) -> impl Iterator<Item = u16> {
        let all = (0..self.counts.len()).filter_map(|at| u16::try_from(at).ok());
        all.filter(|at| self.count(*at) > 0)
    }

    pub(super) fn job(&self, at: u16, stages: &[Option<Results>]) -> Job {
        let stage = self.stage(at);
        let after = stage.map(|s| s.after.as_slice()).unwrap_or_default();
        let inputs = after.iter().filter_map(|a| stages.get(usize::from(*a))?.as_ref());
        let inputs: Vec<Handle> = inputs.flat_map(|r| r.handles.iter().cloned()).collect();
        let key = self.ticket.head.header(fields::PIECE_KEY).unwrap_or_default();
        let now = Instant::now();
        let until = |point: Instant| millis(point.saturating_duration_since(now));
        let due_ms = until(self.ticket.due).saturating_sub(millis(self.rest(at)));
        Job {
            id: self.id(at),
            pieces: self.count(at),
            priority: self.pace.priority(self.ticket.rank),
            key: after.is_empty().then(|| Arc::from(key)),
            near: self.near(at, &inputs, due_ms),
            inputs: Arc::from(inputs),
            bytes: stage.map_or(0, |s| s.result_bytes),
            due_ms,
            end_ms: until(self.ticket.end),
        }
    }

    /// Returns where a stage should be done: near its inputs, or near where its results are used.
    fn near(&self, at: u16, inputs: &[Handle], due_ms: u64) -> Option<Locality> {
        if self.desk(at)?.centre.is_some() {
            return None;
        }
        let stage = self.stage(at)?;
        let size =
            |a: &u16| self.stage(*a).map_or(0, |s| s.result_bytes) * u64::from(self.count(*a));
        let read: u64 = stage.after.iter().map(size).sum::<u64>() * u64::from(self.count(at));
        let made = stage.result_bytes * u64::from(self.count(at));
        let slack = due_ms.saturating_sub(millis(self.own_time(at)));
        if read >= LARGE {
            let board = self.context.board.borrow();
            let keeper = inputs.iter().find_map(|i| pieces::target_of_result(i))?;
            let centre = board.centre_at(keeper)?.clone();
            return Some(Locality { centre, wait_ms: slack / INPUTS_PART });
        }
        let used = made >= LARGE && self.last.contains(&at);
        let centre = self.centre.clone().filter(|_| used)?;
        Some(Locality { centre, wait_ms: slack / RESULTS_PART })
    }

    /// Returns the time that a request takes after a stage, about.
    fn rest(&self, at: u16) -> Duration {
        let followers = self.ticket.route.stages.iter().enumerate();
        let followers = followers.filter_map(|(f, s)| {
            let follower = u16::try_from(f).ok().filter(|_| s.after.contains(&at))?;
            (self.count(follower) > 0).then(|| self.time(follower) + self.rest(follower))
        });
        followers.max().unwrap_or_else(|| self.engine_time())
    }

    /// Returns the time that a request takes at its engine up to the first event, about.
    pub(super) fn engine_time(&self) -> Duration {
        self.context.time(&self.ticket.pool.name, ENGINE_TIME)
    }

    /// Returns the time that a stage takes beside others in its calls, about.
    fn time(&self, at: u16) -> Duration {
        self.own_time(at).mul_f64(SHARED)
    }

    /// Returns the time that a stage takes in calls of its own.
    fn own_time(&self, at: u16) -> Duration {
        let pool = self.stage(at).and_then(|s| self.ticket.table.pools.get(&s.pool));
        match pool.map(|p| &p.workload) {
            Some(Workload::Stages(pieces)) => {
                pieces.call_overhead + pieces.piece_time * self.count(at)
            }
            _ => STAGE_TIME,
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
