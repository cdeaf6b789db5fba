//! Pool of idle connections to targets.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::ids::Incarnation;
use indexmap::IndexMap;

use crate::target::connection::Connection;

/// Idle time within which no server closes a connection because it is idle.
const RECENT: Duration = Duration::from_secs(1);

/// Pool of idle connections to targets, bounded per target.
///
/// A connection is returned to the pool only after a complete exchange.
pub(crate) struct ConnectionPool {
    max_idle: usize,
    idle_timeout: Duration,
    targets: RefCell<IndexMap<SocketAddr, VecDeque<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// Result of a lookup in the pool.
#[derive(Default)]
pub(crate) struct PoolLookup {
    /// Connection, if one was found.
    pub(crate) connection: Option<Connection>,
    /// Whether the connection was used so recently that its loss indicates a restart.
    pub(crate) recent: bool,
    /// Whether the target closed a connection that was used this recently.
    pub(crate) lost: bool,
}

/// Idle connection that its target has closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostConnection {
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the connection was used so recently that its loss indicates a restart.
    pub recent: bool,
}

impl ConnectionPool {
    /// Creates a pool that keeps up to `max_idle` connections per target for up to `idle_timeout`.
    pub(crate) fn new(max_idle: usize, idle_timeout: Duration) -> Self {
        Self { max_idle, idle_timeout, targets: RefCell::new(IndexMap::new()) }
    }

    /// Takes an open connection to `address` on which no byte has arrived since its last exchange.
    ///
    /// Closes connections that are known to lead to a process other than `expected`.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        expected: Option<Incarnation>,
    ) -> PoolLookup {
        let mut lost = false;
        while let Some(idle) = self.pop(address) {
            let mut connection = idle.connection;
            let age = idle.since.elapsed();
            let other = expected.is_some()
                && connection.incarnation.is_some()
                && connection.incarnation != expected;
            if other || age >= self.idle_timeout {
                continue;
            }
            let recent = age < RECENT;
            if connection.is_idle().await {
                return PoolLookup { connection: Some(connection), recent, lost };
            }
            lost |= recent;
        }
        PoolLookup { lost, ..PoolLookup::default() }
    }

    /// Returns whether the target has closed the most recently used connection to `address`.
    pub(crate) async fn is_lost(&self, address: SocketAddr) -> bool {
        let Some(mut idle) = self.pop(address) else { return false };
        let recent = idle.since.elapsed() < RECENT;
        if !idle.connection.is_idle().await {
            return recent;
        }
        self.restore(address, idle);
        false
    }

    /// Closes idle connections that their targets have closed; returns at most one per target.
    ///
    /// Checks the connections of a target from the most recently used one up to the first open one.
    pub(crate) async fn reap_lost(&self) -> Vec<LostConnection> {
        self.close_expired();
        let addresses: Vec<SocketAddr> = self.targets.borrow().keys().copied().collect();
        let mut lost = Vec::new();
        for address in addresses {
            let mut found: Option<LostConnection> = None;
            while let Some(mut idle) = self.pop(address) {
                if idle.connection.is_idle().await {
                    self.restore(address, idle);
                    break;
                }
                let recent = idle.since.elapsed() < RECENT;
                found.get_or_insert(LostConnection { address, recent });
            }
            lost.extend(found);
        }
        lost
    }

    /// Closes expired connections and removes targets that have none left.
    fn close_expired(&self) {
        let now = Instant::now();
        self.targets.borrow_mut().retain(|_, idle| {
            self.drop_expired(idle, now);
            !idle.is_empty()
        });
    }

    /// Closes the expired connections of a target.
    fn drop_expired(&self, idle: &mut VecDeque<IdleConnection>, now: Instant) {
        // The front has been idle longest, since connections are taken from the back.
        while idle.front().is_some_and(|i| now.duration_since(i.since) >= self.idle_timeout) {
            idle.pop_front();
        }
    }

    /// Returns a connection to the pool that was only checked.
    fn restore(&self, address: SocketAddr, idle: IdleConnection) {
        self.targets.borrow_mut().entry(address).or_default().push_back(idle);
    }

    /// Removes the most recently used connection.
    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        // The borrow must end before the connection is checked, since other tasks may run then.
        self.targets.borrow_mut().get_mut(&address)?.pop_back()
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection) {
        let mut targets = self.targets.borrow_mut();
        let idle = targets.entry(address).or_default();
        let now = Instant::now();
        self.drop_expired(idle, now);
        if idle.len() < self.max_idle {
            idle.push_back(IdleConnection { connection, since: now });
        }
    }

    /// Closes the idle connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.targets.borrow_mut().swap_remove(&address);
    }
}
