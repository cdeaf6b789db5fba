//! Whether a caller's request may pass, by the document that the entry has.

use std::sync::Arc;
use std::time::Duration;

use crate::names::WorkspaceName;
use crate::table::KeyOwner;
use crate::table::RouteTable;
use crate::table::route::Route;

/// What a request says of itself.
#[derive(Clone, Copy, Debug)]
pub struct AccessRequest<'a> {
    /// Host.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Key, where there is one.
    pub key: Option<&'a str>,
}

/// How well an entry knows that its document is in force.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// Time since control last confirmed it.
    pub age: Duration,
    /// Longest time for which keys are accepted without a confirmation.
    pub max_key_age: Duration,
    /// Longest time for which a request is denied without a confirmation.
    pub max_denial_age: Duration,
}

/// Request that may pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Admitted {
    /// Route.
    pub route: Arc<Route>,
    /// Workspace of the caller, where its key is known.
    pub workspace: Option<WorkspaceName>,
    /// Rank, zero the highest: the workspace's goes before the route's.
    pub priority: u16,
}

/// Why a request does not pass.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// The document has no route for it.
    NoRoute,
    /// It has no key, or an unknown one.
    NoKey,
    /// The document was not confirmed for too long to tell.
    Unsure,
}

/// Ranks of routes within one rank of workspaces.
pub const ROUTE_PRIORITIES: u16 = 16;

/// Decides whether a request may pass.
///
/// # Errors
/// Fails with the reason where it may not. A document that may be outdated denies nothing: the
/// entry can't tell.
pub fn authorize(
    table: &RouteTable,
    claim: &AccessRequest<'_>,
    confirmed: Freshness,
) -> Result<Admitted, Denied> {
    let sure =
        |denied| if confirmed.age <= confirmed.max_denial_age { denied } else { Denied::Unsure };
    let route = table.find(claim.host, claim.path).ok_or_else(|| sure(Denied::NoRoute))?;
    let holder = claim.key.and_then(|k| table.keys.get(k));
    if table.requires_key && !route.public {
        if holder.is_none() {
            return Err(sure(Denied::NoKey));
        }
        // The key may have been taken away meanwhile.
        if confirmed.age > confirmed.max_key_age {
            return Err(Denied::Unsure);
        }
    }
    Ok(Admitted {
        priority: rank(holder, route),
        workspace: holder.map(|h| h.workspace.clone()),
        route: route.clone(),
    })
}

fn rank(holder: Option<&KeyOwner>, route: &Route) -> u16 {
    let workspace = holder.map_or(0, |h| u16::from(h.priority));
    workspace * ROUTE_PRIORITIES + u16::from(route.priority).min(ROUTE_PRIORITIES - 1)
}
