//! Execution plan of a request with stages: their order, placement and deadlines.

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

use crate::clock::millis;
use crate::forward::context::Context;
use crate::forward::request::IncomingRequest;
use crate::forward::schedulers::StageResults;
use crate::forward::targeting::likely_centre;

/// Default latency of a target until its response begins, used before any is observed.
pub const DEFAULT_LATENCY: Duration = Duration::from_millis(150);
/// Factor by which a stage takes longer because others share its calls.
const SHARED_CALL_FACTOR: f64 = 1.2;
/// Size of inputs or results from which the data centre of a stage matters, in bytes.
const LOCALITY_BYTES: u64 = 300_000;
/// Divisor of the slack that a stage spends waiting for a target near its inputs.
const INPUT_WAIT_DIVISOR: u64 = 2;
/// Divisor of the slack that a stage spends waiting for a target near the consumer of its results.
///
/// Larger than for inputs, as results are transferred once and inputs once per piece.
const RESULT_WAIT_DIVISOR: u64 = 8;
/// Default time of a stage whose pool has no stage workload in the document.
const DEFAULT_STAGE_TIME: Duration = Duration::from_millis(250);

/// Estimate made when a request is started.
#[derive(Clone, Copy, Debug)]
pub struct ResponseEstimate {
    /// Time from the arrival of the request until its response begins.
    pub until_response: Duration,
    /// Whether the request can meet its objective.
    pub timeliness: Timeliness,
}

/// Execution plan of one request.
pub(super) struct Plan<'a> {
    pub(super) context: &'a Context,
    pub(super) request: &'a IncomingRequest,
    pass: u16,
    /// Number of pieces of each stage.
    pub(super) piece_counts: Vec<u32>,
    /// Stages whose results the request itself consumes.
    pub(super) final_stages: Vec<u16>,
    /// Data centre in which the request is likely to run.
    likely_centre: Option<CentreName>,
    /// Data centre in which its stages run, for pools that are partitioned by data centre.
    pub(super) stage_centre: Option<CentreName>,
    /// Whether the request can still meet its objective.
    pub(super) timeliness: Timeliness,
    pub(super) estimate: Option<ResponseEstimate>,
}

impl<'a> Plan<'a> {
    pub(super) fn new(
        context: &'a Context,
        request: &'a IncomingRequest,
        pieces: &[u32],
        pass: u16,
    ) -> Self {
        let stages = request.route.stages.len();
        let piece_counts =
            (0..stages).map(|index| pieces.get(index).copied().unwrap_or(0)).collect();
        let final_stages = request.route.final_stages();
        let likely_centre = likely_centre(context, request);
        // A caller that takes a stream up was served, not rejected.
        let is_retry = request.first_attempt_slack.is_zero() && request.origin.is_none();
        let timeliness = if is_retry { Timeliness::Late } else { Timeliness::OnTime };
        // Schedulers of a data centre that is cut off can't be reached.
        let is_cut_off = |c: &CentreName| context.balancer.borrow().cut_off().contains(c);
        let stage_centre = match &likely_centre {
            Some(centre) if is_cut_off(centre) => Some(context.centre().clone()),
            centre => centre.clone(),
        };
        Self {
            context,
            request,
            pass,
            piece_counts,
            final_stages,
            likely_centre,
            stage_centre,
            timeliness,
            estimate: None,
        }
    }

    fn stage(&self, index: u16) -> Option<&Stage> {
        self.request.route.stages.get(usize::from(index))
    }

    fn piece_count(&self, index: u16) -> u32 {
        self.piece_counts.get(usize::from(index)).copied().unwrap_or(0)
    }

    /// Returns the stages that are not started and whose inputs are complete.
    pub(super) fn ready(&self, results: &[Option<StageResults>], started: &[bool]) -> Vec<u16> {
        let done = |index: &u16| {
            self.piece_count(*index) == 0
                || results.get(usize::from(*index)).is_some_and(Option::is_some)
        };
        let all = (0..self.piece_counts.len()).filter_map(|index| u16::try_from(index).ok());
        all.filter(|index| {
            self.piece_count(*index) > 0
                && !started.get(usize::from(*index)).copied().unwrap_or(true)
        })
        .filter(|index| self.stage(*index).is_some_and(|s| s.after.iter().all(done)))
        .collect()
    }

    /// Releases the results that neither a stage nor the request itself still needs.
    pub(super) fn release_unneeded(&self, results: &mut [Option<StageResults>]) {
        let done: Vec<bool> = results.iter().map(Option::is_some).collect();
        let is_done = |index: usize| done.get(index).copied().unwrap_or(true);
        for index in 0..results.len() {
            let Ok(stage) = u16::try_from(index) else { continue };
            let mut followers = self
                .request
                .route
                .stages
                .iter()
                .enumerate()
                .filter(|(_, s)| s.after.contains(&stage));
            let needed = self.final_stages.contains(&stage)
                || followers
                    .any(|(f, _)| !is_done(f) && self.piece_counts.get(f).is_some_and(|c| *c > 0));
            if !needed && let Some(slot) = results.get_mut(index) {
                // The slot stays occupied to mark the stage as done.
                if let Some(stage_results) = slot {
                    stage_results.release();
                }
            }
        }
    }

    /// Returns the candidate data centres for the stages in order of preference: the one in which
    /// the request itself is likely to run, or else this entry's own, and an alternative.
    pub(super) fn candidate_centres(&self) -> Vec<Option<CentreName>> {
        let pools: Vec<&PoolName> =
            self.nonempty_stages().filter_map(|index| Some(&self.stage(index)?.pool)).collect();
        let balancer = self.context.balancer.borrow();
        let first = self.stage_centre.clone();
        let alternative = balancer.alternative_centre(&pools, first.as_ref(), &self.request.id);
        let mut centres = vec![first];
        centres.extend(alternative.map(Some));
        centres
    }

    /// Returns the scheduler that runs a stage.
    pub(super) fn scheduler(&self, index: u16) -> Option<SchedulerName> {
        let balancer = self.context.balancer.borrow();
        Some(balancer.scheduler_for(
            &self.stage(index)?.pool,
            self.stage_centre.as_ref(),
            &self.request.id,
        ))
    }

    pub(super) fn stage_timings(&self) -> Vec<StageTiming> {
        let after = |index: u16| self.stage(index).map(|s| s.after.clone()).unwrap_or_default();
        self.nonempty_stages()
            .map(|index| StageTiming {
                stage: index,
                after: after(index),
                expected: self.shared_time(index),
            })
            .collect()
    }

    pub(super) fn times(&self) -> Times {
        let request = self.request;
        Times {
            objective: request.route.objective,
            due: request.objective_deadline.saturating_duration_since(Instant::now()),
            left: request.time_left(),
            fresh: request.first_attempt_slack,
        }
    }

    pub(super) fn reservation(&self, index: u16) -> Reservation {
        let due = self.request.objective_deadline.saturating_duration_since(Instant::now());
        Reservation {
            id: self.job_id(index),
            pieces: self.piece_count(index),
            priority: self.timeliness.priority(self.request.priority),
            due_ms: millis(due.saturating_sub(self.time_after(index))),
        }
    }

    fn job_id(&self, index: u16) -> JobId {
        JobId { request: Arc::clone(&self.request.id), stage: index, pass: self.pass }
    }

    /// Returns the stages that have pieces.
    pub(super) fn nonempty_stages(&self) -> impl Iterator<Item = u16> {
        let all = (0..self.piece_counts.len()).filter_map(|index| u16::try_from(index).ok());
        all.filter(|index| self.piece_count(*index) > 0)
    }

    pub(super) fn job(&self, index: u16, results: &[Option<StageResults>]) -> Job {
        let stage = self.stage(index);
        let after = stage.map(|s| s.after.as_slice()).unwrap_or_default();
        let inputs = after.iter().filter_map(|a| results.get(usize::from(*a))?.as_ref());
        let inputs: Vec<Handle> = inputs.flat_map(|r| r.handles.iter().cloned()).collect();
        let key = self.request.head.header(fields::PIECE_KEY).unwrap_or_default();
        let now = Instant::now();
        let until_ms = |time: Instant| millis(time.saturating_duration_since(now));
        let due_ms = until_ms(self.request.objective_deadline)
            .saturating_sub(millis(self.time_after(index)));
        Job {
            id: self.job_id(index),
            pieces: self.piece_count(index),
            priority: self.timeliness.priority(self.request.priority),
            key: after.is_empty().then(|| Arc::from(key)),
            near: self.locality(index, &inputs, due_ms),
            inputs: Arc::from(inputs),
            bytes: stage.map_or(0, |s| s.result_bytes),
            due_ms,
            end_ms: until_ms(self.request.deadline),
        }
    }

    /// Returns the data centre that a stage prefers: that of its large inputs, or that of the
    /// consumer of its large results.
    fn locality(&self, index: u16, inputs: &[Handle], due_ms: u64) -> Option<Locality> {
        if self.scheduler(index)?.centre.is_some() {
            return None;
        }
        let stage = self.stage(index)?;
        let size = |a: &u16| {
            self.stage(*a).map_or(0, |s| s.result_bytes) * u64::from(self.piece_count(*a))
        };
        let input_bytes: u64 =
            stage.after.iter().map(size).sum::<u64>() * u64::from(self.piece_count(index));
        let result_bytes = stage.result_bytes * u64::from(self.piece_count(index));
        let slack = due_ms.saturating_sub(millis(self.exclusive_time(index)));
        if input_bytes >= LOCALITY_BYTES {
            let balancer = self.context.balancer.borrow();
            let holder = inputs.iter().find_map(|i| pieces::target_of_result(i))?;
            let centre = balancer.centre_at(holder)?.clone();
            return Some(Locality { centre, wait_ms: slack / INPUT_WAIT_DIVISOR });
        }
        let prefers_consumer = result_bytes >= LOCALITY_BYTES && self.final_stages.contains(&index);
        let centre = self.likely_centre.clone().filter(|_| prefers_consumer)?;
        Some(Locality { centre, wait_ms: slack / RESULT_WAIT_DIVISOR })
    }

    /// Returns the expected time from the end of a stage until the response begins.
    fn time_after(&self, index: u16) -> Duration {
        let followers = self.request.route.stages.iter().enumerate();
        let followers = followers.filter_map(|(f, s)| {
            let follower = u16::try_from(f).ok().filter(|_| s.after.contains(&index))?;
            (self.piece_count(follower) > 0)
                .then(|| self.shared_time(follower) + self.time_after(follower))
        });
        followers.max().unwrap_or_else(|| self.target_latency())
    }

    /// Returns the expected latency of the request at its target until the response begins.
    pub(super) fn target_latency(&self) -> Duration {
        self.context.expected_latency(&self.request.pool.name, DEFAULT_LATENCY)
    }

    /// Returns the expected time of a stage in calls shared with other stages.
    fn shared_time(&self, index: u16) -> Duration {
        self.exclusive_time(index).mul_f64(SHARED_CALL_FACTOR)
    }

    /// Returns the time of a stage in calls of its own.
    fn exclusive_time(&self, index: u16) -> Duration {
        let pool = self.stage(index).and_then(|s| self.request.table.pools.get(&s.pool));
        match pool.map(|p| &p.workload) {
            Some(Workload::Stages(workload)) => {
                workload.call_overhead + workload.piece_time * self.piece_count(index)
            }
            _ => DEFAULT_STAGE_TIME,
        }
    }
}
