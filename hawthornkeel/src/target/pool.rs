//! Idle connections to targets.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::target::connection::Connection;

/// Idle connections to targets, bounded for each target.
///
/// Only a connection whose last exchange ended whole is ever put back.
pub(crate) struct Pool {
    max_idle: usize,
    idle_time: Duration,
    targets: RefCell<IndexMap<SocketAddr, VecDeque<Idle>>>,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// Creates a pool that keeps `max_idle` connections a target, each for `idle_time`.
    pub(crate) fn new(max_idle: usize, idle_time: Duration) -> Self {
        Self { max_idle, idle_time, targets: RefCell::new(IndexMap::new()) }
    }

    /// Takes a connection to `address` that nothing came on since its last exchange.
    pub(crate) async fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            // The borrow ends before the check, which may let other tasks run.
            let idle = self.targets.borrow_mut().get_mut(&address)?.pop_back()?;
            let mut connection = idle.connection;
            if idle.since.elapsed() < self.idle_time && connection.is_quiet().await {
                return Some(connection);
            }
        }
    }

    /// Puts a connection back after a whole exchange.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection) {
        let mut targets = self.targets.borrow_mut();
        let idle = targets.entry(address).or_default();
        let now = Instant::now();
        // The first has been idle longest, as the last is the first to be taken.
        while idle.front().is_some_and(|i| now.duration_since(i.since) >= self.idle_time) {
            idle.pop_front();
        }
        if idle.len() < self.max_idle {
            idle.push_back(Idle { connection, since: now });
        }
    }

    /// Closes the idle connections to `address`.
    pub(crate) fn forget(&self, address: SocketAddr) {
        self.targets.borrow_mut().swap_remove(&address);
    }
}
