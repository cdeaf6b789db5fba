//! Environment document with an index of its pipelines.

use std::sync::Arc;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pipeline;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::PipelineName;
use indexmap::IndexMap;

/// Environment document that this instance currently applies.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Version of the document.
    pub version: Version,
    /// The document itself.
    pub document: Document,
    pipelines: IndexMap<PipelineName, Arc<Pipeline>>,
}

impl Environment {
    /// Creates the environment for `document`, which was accepted as `version`.
    pub fn new(version: Version, document: Document) -> Self {
        let shared = |p: &Pipeline| (p.name.clone(), Arc::new(p.clone()));
        let pipelines = document.pipelines.iter().map(shared).collect();
        Self { version, document, pipelines }
    }

    /// Returns the pipeline called `name`.
    pub fn pipeline(&self, name: &str) -> Option<Arc<Pipeline>> {
        self.pipelines.get(name).cloned()
    }
}
