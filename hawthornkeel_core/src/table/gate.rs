//! Whether a caller's request may pass, by the document that the entry has.

use std::sync::Arc;
use std::time::Duration;

use crate::names::WorkspaceName;
use crate::table::Holder;
use crate::table::RouteTable;
use crate::table::route::Route;

/// What a request says of itself.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Host.
    pub host: &'a str,
    /// Path.
    pub path: &'a str,
    /// Key, where there is one.
    pub key: Option<&'a str>,
}

/// How well an entry knows that its document is in force.
#[derive(Clone, Copy, Debug)]
pub struct Confirmed {
    /// Time since control last confirmed it.
    pub age: Duration,
    /// Longest time for which keys are accepted without a confirmation.
    pub keys: Duration,
    /// Longest time for which a request is denied without a confirmation.
    pub denials: Duration,
}

/// Request that may pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Pass {
    /// Route.
    pub route: Arc<Route>,
    /// Workspace of the caller, where its key is known.
    pub workspace: Option<WorkspaceName>,
    /// Rank, zero the highest: the workspace's goes before the route's.
    pub rank: u16,
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
pub const ROUTE_RANKS: u16 = 16;

/// Decides whether a request may pass.
///
/// # Errors
/// Fails with the reason where it may not. A document that may be outdated denies nothing: the
/// entry can't tell.
pub fn admit(table: &RouteTable, claim: &Claim<'_>, confirmed: Confirmed) -> Result<Pass, Denied> {
    let sure = |denied| if confirmed.age <= confirmed.denials { denied } else { Denied::Unsure };
    let route = table.find(claim.host, claim.path).ok_or_else(|| sure(Denied::NoRoute))?;
    let holder = claim.key.and_then(|k| table.keys.get(k));
    if table.keyed && !route.public {
        if holder.is_none() {
            return Err(sure(Denied::NoKey));
        }
        // The key may have been taken away meanwhile.
        if confirmed.age > confirmed.keys {
            return Err(Denied::Unsure);
        }
    }
    Ok(Pass {
        rank: rank(holder, route),
        workspace: holder.map(|h| h.workspace.clone()),
        route: route.clone(),
    })
}

fn rank(holder: Option<&Holder>, route: &Route) -> u16 {
    let workspace = holder.map_or(0, |h| u16::from(h.priority));
    workspace * ROUTE_RANKS + u16::from(route.priority).min(ROUTE_RANKS - 1)
}
