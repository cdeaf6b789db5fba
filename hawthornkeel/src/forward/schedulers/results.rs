//! Results of a stage and jobs in progress, released and cancelled on drop.

use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::SchedulerName;

use crate::forward::schedulers::Schedulers;
use crate::peer::frame::Dismiss;

/// Results of a stage, released when dropped.
pub struct StageResults {
    /// Handles of the results, in the order of the pieces.
    pub handles: Vec<Handle>,
    pub(super) name: SchedulerName,
    pub(super) owner: InstanceName,
    pub(super) schedulers: Schedulers,
}

impl StageResults {
    /// Releases the results, so that their targets free them.
    pub fn release(&mut self) {
        let results = std::mem::take(&mut self.handles);
        if results.is_empty() {
            return;
        }
        self.schedulers.send_dismiss(
            &self.owner,
            Dismiss { scheduler: self.name.clone(), jobs: Vec::new(), results },
        );
    }
}

impl Drop for StageResults {
    fn drop(&mut self) {
        self.release();
    }
}

/// Error of a stage that yields no results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobError {
    /// The deadline has passed.
    Late,
    /// Results of earlier stages are no longer available.
    Gone,
    /// Targets failed the stage too often.
    Failed,
    /// All targets of the stage have asked for a pause that ends too late.
    Paused {
        /// Time until the first pause ends.
        left: Duration,
    },
    /// No owner of the stage's scheduler responds.
    Unreachable,
}

/// Guard of a submitted job, which cancels the job when dropped before its outcome is known.
pub(super) struct PendingJob {
    pub(super) schedulers: Schedulers,
    pub(super) owner: InstanceName,
    pub(super) name: SchedulerName,
    pub(super) job: Option<JobId>,
}

impl Drop for PendingJob {
    fn drop(&mut self) {
        if let Some(job) = self.job.take() {
            self.schedulers.cancel(&self.owner, &self.name, vec![job]);
        }
    }
}
