//! What comes of a stage, and what is given back where nobody waits for it any more.

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::stages::job::Handle;
use hawthornkeel_core::stages::job::JobId;
use hawthornkeel_core::stages::job::SchedulerName;

use crate::forward::desks::Desks;
use crate::peer::frame::Dismiss;

/// Results of a stage, which are given up once they are dropped.
pub struct Results {
    /// Results, in the order of the pieces.
    pub handles: Vec<Handle>,
    pub(super) desk: SchedulerName,
    pub(super) owner: InstanceName,
    pub(super) desks: Desks,
}

impl Results {
    /// Gives the results up, as nothing needs them any more.
    pub fn give_up(&mut self) {
        let results = std::mem::take(&mut self.handles);
        if results.is_empty() {
            return;
        }
        self.desks.dismiss(
            &self.owner,
            Dismiss { scheduler: self.desk.clone(), jobs: Vec::new(), results },
        );
    }
}

impl Drop for Results {
    fn drop(&mut self) {
        self.give_up();
    }
}

/// Why a stage brought no results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Undone {
    /// Its time has passed.
    Late,
    /// Results that it needs are gone.
    Gone,
    /// Targets failed it too often.
    Failed,
}

/// Job on its way: it is withdrawn where nobody waits for it any more.
pub(super) struct Pending {
    pub(super) desks: Desks,
    pub(super) owner: InstanceName,
    pub(super) desk: SchedulerName,
    pub(super) job: Option<JobId>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        if let Some(job) = self.job.take() {
            self.desks.withdraw(&self.owner, &self.desk, vec![job]);
        }
    }
}
