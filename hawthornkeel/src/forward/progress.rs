//! Progress of a request: the targets tried so far and the results of its stages.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::names::SoftwareVersion;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::streams::origin::StreamOrigin;

use crate::clock::boot_now;
use crate::forward::context::Context;
use crate::forward::load_counts::LoadEvent;
use crate::forward::measures;
use crate::forward::request::IncomingRequest;
use crate::forward::schedulers::JobError;
use crate::forward::schedulers::Schedulers;
use crate::forward::stages;
use crate::forward::stages::StageOutputs;
use crate::forward::stages::StagesError;
use crate::forward::targeting::preferred_centre;
use crate::forward::targeting::target_query;

/// Progress of a request: the targets tried so far and the results of its stages.
///
/// Logs the request as dropped if it ends without [`RequestProgress::log_end`].
pub struct RequestProgress {
    /// Targets that were tried, whether or not the request reached them.
    pub tried: Vec<TargetName>,
    /// Number of attempts in which the request may have run.
    pub possible_runs: u32,
    /// Whether a hedge was sent.
    pub hedged: bool,
    /// Number of passes: times that the stages, if any, were run.
    passes: Cell<u16>,
    outputs: RefCell<StageOutputs>,
    request: Arc<str>,
    ended: Cell<bool>,
    /// Time from arrival until the stages were completed.
    pub stages_done: Duration,
    /// Time from arrival until the response began.
    pub response_began: Duration,
    /// Version of the software whose response began.
    pub software: Option<SoftwareVersion>,
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        if !self.ended.get() {
            tracing::info!(
                event = "request-dropped",
                request = %self.request,
                tries = self.tried.len(),
                runs = self.possible_runs,
                answering = !self.response_began.is_zero(),
            );
        }
    }
}

impl RequestProgress {
    /// Creates the progress of a request that was just admitted.
    pub fn new(request: &IncomingRequest) -> Self {
        Self {
            tried: Vec::new(),
            possible_runs: 0,
            hedged: false,
            passes: Cell::new(0),
            outputs: RefCell::default(),
            request: Arc::clone(&request.id),
            ended: Cell::new(false),
            stages_done: Duration::ZERO,
            response_began: Duration::ZERO,
            software: None,
        }
    }

    /// Returns the stage results that the request consumes at its target.
    pub fn results(&self) -> Vec<Handle> {
        self.outputs.borrow().handles()
    }

    /// Returns the number of passes so far.
    pub fn passes(&self) -> u16 {
        self.passes.get()
    }

    /// Runs the stages, and returns their results.
    ///
    /// # Errors
    /// Returns the error of the first stage that yields no results, or `Late` at the deadline.
    pub async fn run_stages(
        &self,
        schedulers: &Schedulers,
        context: &Rc<Context>,
        request: &IncomingRequest,
    ) -> Result<StageOutputs, StagesError> {
        // Counts for routes without stages as well, whose targets may still report lost results.
        let pass = self.passes.replace(self.passes.get().saturating_add(1));
        if request.route.stages.is_empty() {
            return Ok(StageOutputs::default());
        }
        let pieces = request.piece_counts().ok_or(StagesError::Job(JobError::Failed))?;
        let work = stages::run_stages(context, schedulers, request, &pieces, pass);
        let outputs = monoio::time::timeout(request.time_left(), work).await;
        outputs.map_err(|_| StagesError::Job(JobError::Late))?
    }

    /// Runs the stages again if their results are no longer held.
    ///
    /// # Errors
    /// Returns the error of the first stage that yields no results.
    pub async fn rerun_stages(
        &self,
        schedulers: &Schedulers,
        context: &Rc<Context>,
        request: &IncomingRequest,
    ) -> Result<Option<StageOutputs>, StagesError> {
        if self.outputs.borrow().is_held() {
            return Ok(None);
        }
        self.run_stages(schedulers, context, request).await.map(Some)
    }

    /// Replaces the stage results that the request consumes.
    pub fn replace_outputs(&self, outputs: StageOutputs) {
        let mut held = self.outputs.borrow_mut();
        let estimate = held.estimate;
        *held = outputs;
        held.estimate = held.estimate.or(estimate);
    }

    /// Releases the stage results, which the target has fetched or lost.
    pub fn release_outputs(&self) {
        self.outputs.borrow_mut().release();
    }

    /// Chooses the target to try next.
    ///
    /// # Errors
    /// Returns the reason if there is none.
    pub fn choose_target(
        &self,
        context: &Context,
        request: &IncomingRequest,
    ) -> Result<ChosenTarget, NoTarget> {
        self.choose(context, request, &self.tried, request.origin.as_ref())
    }

    /// Chooses the target to try beside those that are silent.
    ///
    /// # Errors
    /// Returns the reason if there is none.
    pub fn choose_replacement(
        &self,
        context: &Context,
        request: &IncomingRequest,
    ) -> Result<ChosenTarget, NoTarget> {
        if !request.route.kind.is_stream() {
            return self.choose_target(context, request);
        }
        let tried = self.tried_or_closed(context);
        self.choose(context, request, &tried, request.origin.as_ref())
    }

    /// Chooses the target that goes on with a stream of some software. `current` is its target, if it may
    /// still go on.
    ///
    /// # Errors
    /// Returns the reason if there is none.
    pub fn choose_next_writer(
        &self,
        context: &Context,
        request: &IncomingRequest,
        current: Option<&TargetName>,
        origin: &StreamOrigin,
    ) -> Result<ChosenTarget, NoTarget> {
        let Some(current) = current else {
            return self.choose(context, request, &self.tried, Some(origin));
        };
        let mut tried = self.tried_or_closed(context);
        tried.push(current.clone());
        self.choose(context, request, &tried, Some(origin))
    }

    /// Returns the targets that were tried, and those that are not to replace silent streams now.
    fn tried_or_closed(&self, context: &Context) -> Vec<TargetName> {
        let asked = context.asked_targets.borrow();
        self.tried.iter().chain(asked.closed(boot_now())).cloned().collect()
    }

    fn choose(
        &self,
        context: &Context,
        request: &IncomingRequest,
        tried: &[TargetName],
        origin: Option<&StreamOrigin>,
    ) -> Result<ChosenTarget, NoTarget> {
        let entry_count = context.serving_entries.borrow().peak_count();
        let centre = preferred_centre(context, request);
        let rule = context.version_rule(request, origin);
        let query = target_query(request, centre.as_ref(), tried, entry_count, &rule);
        let query = TargetQuery { version: origin.map(|o| &o.version), ..query };
        let chosen = context.balancer.borrow_mut().choose(boot_now(), &query);
        if chosen.as_ref().is_ok_and(|c| c.by_load) {
            context.load_counts.record(LoadEvent::Choice);
        }
        chosen
    }

    /// Logs the end of the request.
    pub fn log_end(&self, request: &IncomingRequest, outcome: &str, status: u16) {
        self.ended.set(true);
        measures::request_ended(request, outcome);
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        tracing::info!(
            event = "request-ended",
            request = %request.id,
            route = %request.route.name,
            pool = %request.pool.name,
            session = request.session,
            work = request.subjects.last().map(tracing::field::display),
            version = %request.table.version,
            rank = request.priority,
            outcome,
            status,
            time_ms = ms(request.deadline.saturating_duration_since(request.started)),
            tries = self.tried.len(),
            target = self.tried.last().map(TargetName::as_str),
            software = self.software.as_ref().map(SoftwareVersion::as_str),
            staged_ms = ms(self.stages_done),
            planned_ms = self.outputs.borrow().estimate.map(|e| ms(e.until_response)),
            pace = self.outputs.borrow().estimate.map(|e| e.timeliness.as_str()),
            first_ms = ms(self.response_began),
            ms = ms(request.started.elapsed()),
        );
    }
}
