//! Runs the stages of a request, each once the results of its inputs are complete.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::Job;
use hawthornkeel_core::stages::job::SchedulerName;

use crate::forward::context::Context;
use crate::forward::plan::Plan;
use crate::forward::plan::ResponseEstimate;
use crate::forward::request::IncomingRequest;
use crate::forward::reservation::Reservations;
use crate::forward::schedulers::JobError;
use crate::forward::schedulers::Schedulers;
use crate::forward::schedulers::StageResults;

/// Stage results that a request consumes, released on drop.
#[derive(Default)]
pub struct StageOutputs {
    results: Vec<Option<StageResults>>,
    final_stages: Vec<u16>,
    /// Estimate made when the request was started.
    pub estimate: Option<ResponseEstimate>,
    released: bool,
}

impl StageOutputs {
    /// Releases all results.
    pub fn release(&mut self) {
        self.results.clear();
        self.released = true;
    }

    /// Returns whether the results are still held, or the request has none.
    pub fn is_held(&self) -> bool {
        !self.released
    }

    /// Returns the handles of the results in the order of stages and pieces.
    pub fn handles(&self) -> Vec<Handle> {
        let consumed = self
            .final_stages
            .iter()
            .filter_map(|index| self.results.get(usize::from(*index))?.as_ref());
        consumed.flat_map(|r| r.handles.iter().cloned()).collect()
    }
}

/// Error of a request whose stages were not completed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StagesError {
    /// The request would be late or make others late; no stage was started.
    Rejected {
        /// Time after which there may be capacity.
        retry_after: Duration,
    },
    /// A stage yielded no results.
    Job(JobError),
}

impl From<JobError> for StagesError {
    fn from(error: JobError) -> Self {
        Self::Job(error)
    }
}

/// Runs the stages of a request; `pieces` holds the number of pieces of each.
///
/// # Errors
/// Returns the error of the first stage that yields no results, or the rejection of the request.
pub async fn run_stages(
    context: &Rc<Context>,
    schedulers: &Schedulers,
    request: &IncomingRequest,
    pieces: &[u32],
    pass: u16,
) -> Result<StageOutputs, StagesError> {
    let mut plan = Plan::new(context, request, pieces, pass);
    // A request that was started is not rejected any more, so later passes reserve nothing.
    let mut reservations = match pass {
        0 => plan.reserve(schedulers).await?,
        _ => Reservations::new(schedulers),
    };
    let mut results: Vec<Option<StageResults>> = plan.piece_counts.iter().map(|_| None).collect();
    let mut started = vec![false; plan.piece_counts.len()];
    let mut running = FuturesUnordered::new();
    loop {
        for index in plan.ready(&results, &started) {
            if let Some(started) = started.get_mut(usize::from(index)) {
                *started = true;
            }
            reservations.mark_used(index);
            let job = plan.job(index, &results);
            let run = run_stage(schedulers, plan.scheduler(index), job);
            running.push(async move { (index, run.await) });
        }
        let Some((index, outcome)) = running.next().await else { break };
        if let Some(slot) = results.get_mut(usize::from(index)) {
            *slot = Some(outcome?);
        }
        plan.release_unneeded(&mut results);
    }
    Ok(StageOutputs {
        results,
        final_stages: plan.final_stages,
        estimate: plan.estimate,
        released: false,
    })
}

async fn run_stage(
    schedulers: &Schedulers,
    scheduler: Option<SchedulerName>,
    job: Job,
) -> Result<StageResults, JobError> {
    schedulers.run_job(&scheduler.ok_or(JobError::Failed)?, job).await
}
