//! Access control for callers' requests, based on the entry's copy of the document.

use std::sync::Arc;
use std::time::Duration;

use crate::names::WorkspaceName;
use crate::table::KeyOwner;
use crate::table::RouteTable;
use crate::table::route::Route;

/// Parts of a request that decide whether it may proceed.
#[derive(Clone, Copy, Debug)]
pub struct AccessRequest<'a> {
    /// Host.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Key, if the request has one.
    pub key: Option<&'a str>,
}

/// How recently the entry's document was confirmed to be in force.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Time since the last confirmation by a control instance.
    pub age: Duration,
    /// Age up to which keys are accepted.
    pub max_key_age: Duration,
    /// Age up to which requests are denied.
    pub max_denial_age: Duration,
}

/// Request that may proceed.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// Route.
    pub route: Arc<Route>,
    /// Workspace of the caller, if its key is known.
    pub workspace: Option<WorkspaceName>,
    /// Priority; zero is the highest. The workspace's priority comes before the route's.
    pub priority: u16,
}

/// Reason why a request may not proceed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// The document has no matching route.
    NoRoute,
    /// The request has no key, or an unknown one.
    NoKey,
    /// The last confirmation of the document is too old to decide.
    Unsure,
}

/// Number of route priorities within one workspace priority.
pub const ROUTE_PRIORITIES: u16 = 16;

/// Decides whether a request may proceed.
///
/// # Errors
/// Returns the reason if it may not. A document that may be outdated does not deny a request, since
/// a newer one might allow it: the result is [`Denied::Unsure`].
pub fn authorize(
    table: &RouteTable,
    request: &AccessRequest<'_>,
    freshness: Freshness,
) -> Result<Admitted, Denied> {
    let denial =
        |denied| if freshness.age <= freshness.max_denial_age { denied } else { Denied::Unsure };
    let route = table.find(request.host, request.path).ok_or_else(|| denial(Denied::NoRoute))?;
    let owner = request.key.and_then(|k| table.keys.get(k));
    if table.requires_key && !route.public {
        if owner.is_none() {
            return Err(denial(Denied::NoKey));
        }
        // The key may have been revoked since.
        if freshness.age > freshness.max_key_age {
            return Err(Denied::Unsure);
        }
    }
    Ok(Admitted {
        priority: priority(owner, route),
        workspace: owner.map(|o| o.workspace.clone()),
        route: route.clone(),
    })
}

fn priority(owner: Option<&KeyOwner>, route: &Route) -> u16 {
    let workspace = owner.map_or(0, |o| u16::from(o.priority));
    workspace * ROUTE_PRIORITIES + u16::from(route.priority).min(ROUTE_PRIORITIES - 1)
}
