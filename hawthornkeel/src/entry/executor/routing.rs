//! Routing of a stage: requests to the router for a target.

use std::rc::Rc;

use hawthornkeel_core::document::Stage;
use hawthornkeel_core::ids::AttemptNumber;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::StageIndex;
use hawthornkeel_core::request::event::Input;
use hawthornkeel_core::routing::types::StageRequest;
use xxhash_rust::xxh3::Xxh3;

use crate::entry::executor::RequestExecutor;
use crate::entry::executor::ready;
use crate::entry::route::route;

/// Length in bytes of the prefix of the caller's body that is hashed for prefix affinity.
const PREFIX_BYTES: usize = 512;

impl RequestExecutor {
    pub(super) fn start_route(&mut self, index: StageIndex, attempt: AttemptNumber) {
        let Some(request) = self.stage_request(index, attempt) else {
            self.operation = Some(ready(Input::NotRouted { retry_after: None }));
            return;
        };
        let context = Rc::clone(&self.context);
        self.operation = Some(Box::pin(route(context, request)));
    }

    pub(super) fn stage_request(
        &self,
        index: StageIndex,
        attempt: AttemptNumber,
    ) -> Option<StageRequest> {
        let stage = self.stage(index)?;
        let later = || self.parsed.pipeline.stages.iter().skip(usize::from(index.0) + 1);
        let spec = self.run.spec();
        Some(StageRequest {
            call: CallId { request: spec.id, stage: index, attempt },
            workspace: spec.workspace.clone(),
            pool: stage.pool.clone(),
            priority: self.parsed.priority,
            deadline: self.run.due(),
            floor: stage.floor(),
            later_floor: later().map(Stage::floor).sum(),
            later_pools: later().map(|s| s.pool.clone()).collect(),
            prefix_hash: Some(self.prefix_hash(&stage)),
            excluded: self.excluded.clone(),
            kind: self.attempt_kind,
        })
    }

    /// Returns the hash shared by all calls with the same prompt prefix.
    fn prefix_hash(&self, stage: &Stage) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.parsed.workspace.as_str().as_bytes());
        hasher.update(stage.name.as_str().as_bytes());
        hasher.update(self.input.get(..PREFIX_BYTES).unwrap_or(&self.input));
        hasher.digest()
    }
}
