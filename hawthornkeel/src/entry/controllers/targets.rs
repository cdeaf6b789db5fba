//! Polls the platform's list of targets, which lags behind their actual state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::routing::types::Lifecycle;
use hawthornkeel_core::routing::types::TargetInfo;
use hawthornkeel_core::time::Instant;
use serde::Deserialize;

use crate::entry::context::Context;
use crate::target::call::Call;
use crate::target::error::CallError;

/// Time after which an unchanged list is passed to the router again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response body of the platform's list.
#[derive(Debug, Deserialize)]
struct InstanceList {
    instances: Vec<ListedInstance>,
}

/// Instance on the platform's list.
#[derive(Debug, Deserialize)]
struct ListedInstance {
    name: TargetName,
    address: SocketAddr,
    pool: PoolName,
    data_centre: CentreName,
    #[serde(default)]
    state: Lifecycle,
}

/// Polls until the process ends.
pub async fn run(context: Rc<Context>) {
    let Some(address) = context.settings.platform.address else {
        return;
    };
    let interval = Duration::from_millis(context.settings.platform.poll_ms);
    let mut applied = None;
    loop {
        match poll(&context, address).await {
            Ok(list) => apply_list(&context, list, &mut applied),
            Err(error) => tracing::warn!(event = "platform-poll-failed", %error),
        }
        monoio::time::sleep(interval).await;
    }
}

/// Passes the list to the router if it has changed or the last update is old.
fn apply_list(context: &Context, list: Vec<TargetInfo>, applied: &mut Option<Instant>) {
    let now = context.clock.now();
    let is_fresh = applied.is_some_and(|at| now.since(at) < REFRESH_INTERVAL);
    if is_fresh && *context.targets.borrow() == list {
        return;
    }
    context.router.borrow_mut().update_targets(now, &list);
    *context.targets.borrow_mut() = list;
    *applied = Some(now);
    context.dispatch_queued();
}

async fn poll(context: &Context, address: SocketAddr) -> Result<Vec<TargetInfo>, CallError> {
    let path = context.settings.platform.path.clone();
    let call =
        Call { path, timeout: POLL_TIMEOUT, progress_timeout: POLL_TIMEOUT, ..Call::default() };
    let answer = context.client.get(address, &call).await?;
    let list: InstanceList = serde_json::from_slice(&answer.body)
        .map_err(|_| CallError::Malformed("list of instances can't be parsed"))?;
    Ok(list.instances.into_iter().map(ListedInstance::into_target).collect())
}

impl ListedInstance {
    fn into_target(self) -> TargetInfo {
        TargetInfo {
            name: self.name,
            address: Arc::from(self.address.to_string()),
            pool: self.pool,
            centre: self.data_centre,
            lifecycle: self.state,
        }
    }
}
