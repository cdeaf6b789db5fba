//! Controller of the document: brings what the instance follows into force.

use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::parse_document;
use hawthornkeel_core::document::Document;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::state::published::PublishedState;

use crate::control::watch::Watch;
use crate::entry::context::Context;
use crate::entry::environment::Environment;

/// Time after its first document for which an entry waits for an issuer before it is ready.
const READY_WAIT: Duration = Duration::from_secs(5);

/// Brings a document into force, unless one of the same or a later version is.
pub fn apply_document(context: &Context, version: Version, document: Document) {
    let current = context.environment().map_or(Version(0), |e| e.version);
    if version <= current {
        return;
    }
    {
        let mut router = context.router.borrow_mut();
        router.apply_document(&document);
        // Targets of pools that the document before did not name were passed over.
        router.update_targets(context.clock.now(), &context.targets.borrow());
    }
    context.lease.borrow_mut().apply_document(&document);
    if context.ready_deadline.get().is_none() {
        context.ready_deadline.set(Some(context.clock.now() + READY_WAIT));
    }
    let environment = Environment::new(version, document);
    *context.environment.borrow_mut() = Some(Rc::new(environment));
    tracing::info!(event = "document-in-force", %version);
    context.dispatch_queued();
}

/// Takes the data centres that get no new work.
pub fn apply_taken_out(context: &Context, centres: &[CentreName]) {
    let now = context.clock.now();
    context.router.borrow_mut().set_taken_out(now, centres);
    let list = centres.iter().map(CentreName::as_str).collect::<Vec<_>>().join(",");
    tracing::info!(event = "data-centres-taken-out", list);
    context.dispatch_queued();
}

/// Follows the published state until the process ends.
pub async fn follow(context: Rc<Context>, watch: Watch) {
    loop {
        let seen = watch.changes().count();
        if let Some(published) = watch.current() {
            take_published(&context, &published);
            apply_taken_out(&context, &watch.taken_out());
        }
        watch.changes().wait_after(seen).await;
    }
}

fn take_published(context: &Context, published: &PublishedState) {
    if published.version == Version(0) {
        return;
    }
    match parse_document("document", &published.text) {
        Ok(document) => apply_document(context, published.version, document),
        // The document was checked before it was accepted, so this is another release's.
        Err(findings) => {
            tracing::error!(event = "document-refused", version = %published.version, %findings);
        }
    }
}
