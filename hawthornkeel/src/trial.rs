//! Trial: an entry with built-in targets and in-memory state in one process.

use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_config::content_hash;
use hawthornkeel_config::settings::Instance;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::document::Document;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::routing::types::Lifecycle;
use hawthornkeel_core::routing::types::TargetInfo;
use indexmap::IndexMap;

use crate::entry::claims::ClaimBackend;
use crate::entry::claims::ClaimStore;
use crate::entry::context::Context;
use crate::entry::context::Dependencies;
use crate::entry::controllers::document::apply_document;
use crate::entry::messaging::PeerMessenger;
use crate::entry::server::EntryServer;
use crate::http::server::Limits;
use crate::http::server::ListenError;
use crate::http::server::Server;
use crate::stop::StopReport;
use crate::stop::StopRequest;
use crate::target::builtin;

/// Data centre of a trial.
const CENTRE: &str = "trial";
/// Prefix of each workspace's API key; the name of the workspace follows.
const KEY_PREFIX: &str = "trial-";
/// Number of targets in each pool.
const POOL_TARGETS: usize = 2;
/// Lease duration; short, since a trial has a single voter.
const LEASE_DURATION: Duration = Duration::from_millis(300);
/// Renew interval of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(100);
/// Duration of a grant.
const GRANT_DURATION: Duration = Duration::from_secs(1);

/// Serves `document` on `listen` until a stop is requested.
///
/// # Errors
/// Fails if listening on an address fails.
pub async fn run(
    document: Document,
    listen: SocketAddr,
    stop: StopRequest,
) -> Result<StopReport, ListenError> {
    let targets = start_targets(&document)?;
    let commands = example_commands(&document);
    let context = Rc::new(Context::new(settings(&document, listen), dependencies()));
    *context.targets.borrow_mut() = targets.clone();
    let now = context.clock.now();
    apply_document(&context, Version(1), document);
    context.router.borrow_mut().update_targets(now, &targets);
    let started = EntryServer::listen(context, listen)?;
    tracing::info!(event = "trial-started", address = %started.address());
    println!("{}", commands.replace("{address}", &started.address().to_string()));
    Ok(started.serve(stop).await)
}

fn dependencies() -> Dependencies {
    let lease = LeaseSettings {
        lease_duration: LEASE_DURATION,
        renew_interval: RENEW_INTERVAL,
        grant_duration: GRANT_DURATION,
        ..LeaseSettings::default()
    };
    let claims = ClaimStore::new(ClaimBackend::Local(Rc::default()));
    Dependencies { claims, messenger: PeerMessenger::Disabled, lease }
}

fn settings(document: &Document, listen: SocketAddr) -> Settings {
    let mut settings = Settings {
        instance: Instance {
            name: "trial".into(),
            data_centre: CENTRE.into(),
            ..Instance::default()
        },
        keys: keys(document),
        ..Settings::default()
    };
    settings.entry.enabled = true;
    settings.entry.listen = Some(listen);
    settings.entry.drain_ms = 0;
    settings
}

/// Returns the digest of the API key of each workspace.
fn keys(document: &Document) -> IndexMap<String, WorkspaceName> {
    let digest = |name: &WorkspaceName| content_hash(&format!("{KEY_PREFIX}{name}"));
    document.workspaces.iter().map(|w| (digest(&w.name), w.name.clone())).collect()
}

fn start_targets(document: &Document) -> Result<Vec<TargetInfo>, ListenError> {
    let mut targets = Vec::new();
    for pool in &document.pools {
        for number in 0..POOL_TARGETS {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = Server::bind(address, Limits::default())?;
            targets.push(TargetInfo {
                name: format!("{}-{number}", pool.name).as_str().into(),
                address: Arc::from(server.address().to_string()),
                pool: pool.name.clone(),
                centre: CENTRE.into(),
                lifecycle: Lifecycle::Live,
            });
            monoio::spawn(server.serve(builtin::handle));
        }
    }
    Ok(targets)
}

/// Returns a command for each pipeline that calls it with the key of the first workspace.
fn example_commands(document: &Document) -> String {
    let workspace = document.workspaces.first().map_or("", |w| w.name.as_str());
    let mut text = String::from("Call a pipeline with:\n");
    for pipeline in &document.pipelines {
        let key = if pipeline.has_non_idempotent() { " -H 'Idempotency-Key: first'" } else { "" };
        let _ = writeln!(
            text,
            "  curl -sS http://{{address}}/v1/pipelines/{} \\\n    -H 'Authorization: Bearer \
             {KEY_PREFIX}{workspace}'{key} \\\n    -d '{{\"text\":\"hello\"}}'",
            pipeline.name
        );
    }
    text
}
