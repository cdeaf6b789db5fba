//! Applies the published environment document and the data centres taken out.

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

/// Time after the first document after which an entry is ready even without an issuer of grants.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// Applies a document, unless the current version is the same or newer.
pub fn apply_document(context: &Context, version: Version, document: Document) {
    let current = context.environment().map_or(Version(0), |e| e.version);
    if version <= current {
        return;
    }
    {
        let mut router = context.router.borrow_mut();
        router.apply_document(&document);
        // The router ignored targets of pools that were missing from the previous document.
        router.update_targets(context.clock.now(), &context.targets.borrow());
    }
    context.lease.borrow_mut().apply_document(&document);
    if context.ready_deadline.get().is_none() {
        context.ready_deadline.set(Some(context.clock.now() + READY_TIMEOUT));
    }
    let environment = Environment::new(version, document);
    *context.environment.borrow_mut() = Some(Rc::new(environment));
    tracing::info!(event = "document-in-force", %version);
    context.dispatch_queued();
}

/// Applies the set of data centres that get no new work.
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
            apply_published(&context, &published);
            apply_taken_out(&context, &watch.taken_out());
        }
        watch.changes().wait_after(seen).await;
    }
}

fn apply_published(context: &Context, published: &PublishedState) {
    if published.version == Version(0) {
        return;
    }
    match parse_document("document", &published.text) {
        Ok(document) => apply_document(context, published.version, document),
        // Documents are validated before they are accepted, so one that can't be parsed comes from
        // a different release.
        Err(findings) => {
            tracing::error!(event = "document-refused", version = %published.version, %findings);
        }
    }
}
