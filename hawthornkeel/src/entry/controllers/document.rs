//! Controller of the document: brings what the instance follows into force.

use std::rc::Rc;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;

use crate::entry::context::Context;
use crate::entry::environment::Environment;

/// Brings a document into force, unless one of the same or a later version is.
pub fn apply_document(context: &Context, version: Version, document: Document) {
    let current = context.environment().map_or(Version(0), |e| e.version);
    if version <= current {
        return;
    }
    context.router.borrow_mut().apply_document(&document);
    context.lease.borrow_mut().apply_document(&document);
    let environment = Environment::new(version, document);
    *context.environment.borrow_mut() = Some(Rc::new(environment));
    tracing::info!(event = "document-in-force", %version);
    context.pump();
}

/// Takes the data centres that get no new work.
pub fn apply_taken_out(context: &Context, centres: &[CentreName]) {
    let now = context.clock.now();
    context.router.borrow_mut().set_taken_out(now, centres);
    let list = centres.iter().map(CentreName::as_str).collect::<Vec<_>>().join(",");
    tracing::info!(event = "data-centres-taken-out", list);
    context.pump();
}
