//! Routes that an entry forwards, with the pools behind them and the callers' keys.
//!
//! Unlike a pipeline, a route passes a request unchanged to one pool, and the answer back as it
//! came; stages may have to run before. A table is built from one version of a document and is
//! immutable afterwards.

pub mod access;
pub mod pool;
pub mod route;

use std::sync::Arc;

use indexmap::IndexMap;

use crate::ids::Version;
use crate::names::PoolName;
use crate::names::WorkspaceName;
use crate::table::pool::Pool;
use crate::table::route::Route;

/// Routes, pools and keys of one version of a document.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the document.
    pub version: Version,
    /// Pools by name.
    pub pools: IndexMap<PoolName, Arc<Pool>>,
    /// Owners of keys by key; empty if callers need none.
    pub keys: IndexMap<Arc<str>, KeyOwner>,
    /// Whether callers need a key on routes that aren't public.
    pub requires_key: bool,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Routes of each host, longest prefix first.
    hosts: IndexMap<Arc<str>, Vec<Arc<Route>>>,
}

/// Workspace that owns a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Priority of its requests; zero is the highest.
    pub priority: u8,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes; zero for the limit in the settings.
    pub max_body: usize,
}

impl RouteTable {
    /// Creates the table of a version, without routes.
    pub fn new(version: Version, limits: Limits) -> Self {
        Self { version, limits, ..Self::default() }
    }

    /// Adds a route, or returns the existing one with the same host and prefix.
    pub fn add(&mut self, route: Route) -> Option<Arc<Route>> {
        let routes = self.hosts.entry(route.host.clone()).or_default();
        if let Some(existing) = routes.iter().find(|r| r.prefix == route.prefix) {
            return Some(existing.clone());
        }
        let index = routes.partition_point(|r| r.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
        None
    }

    /// Returns the route with the longest prefix that matches a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}
