//! Idle connections to targets.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::ids::Incarnation;
use indexmap::IndexMap;

use crate::target::connection::Connection;

/// Idle time within which no server closes a connection for being idle.
const RECENT: Duration = Duration::from_secs(1);

/// Idle connections to targets, bounded for each target.
///
/// Only a connection whose last exchange ended whole is ever put back.
pub(crate) struct ConnectionPool {
    max_idle: usize,
    idle_time: Duration,
    targets: RefCell<IndexMap<SocketAddr, VecDeque<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// What a search for an idle connection found.
#[derive(Default)]
pub(crate) struct PoolLookup {
    /// Connection, if there is one.
    pub(crate) connection: Option<Connection>,
    /// Whether the connection was used so recently that its loss tells of a restart.
    pub(crate) recent: bool,
    /// Whether the target closed a connection that was used so recently.
    pub(crate) lost: bool,
}

/// Loss of an idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostConnection {
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the connection was used so recently that its loss tells of a restart.
    pub recent: bool,
}

impl ConnectionPool {
    /// Creates a pool that keeps `max_idle` connections a target, each for `idle_time`.
    pub(crate) fn new(max_idle: usize, idle_time: Duration) -> Self {
        Self { max_idle, idle_time, targets: RefCell::new(IndexMap::new()) }
    }

    /// Takes a connection to `address` that nothing came on since its last exchange.
    ///
    /// Connections known to lead to another process than `wanted` are closed.
    pub(crate) async fn take(
        &self,
        address: SocketAddr,
        wanted: Option<Incarnation>,
    ) -> PoolLookup {
        let mut lost = false;
        while let Some(idle) = self.pop(address) {
            let mut connection = idle.connection;
            let age = idle.since.elapsed();
            let other = wanted.is_some()
                && connection.incarnation.is_some()
                && connection.incarnation != wanted;
            if other || age >= self.idle_time {
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

    /// Tells whether the target closed the connection to `address` that was used last.
    pub(crate) async fn is_lost(&self, address: SocketAddr) -> bool {
        let Some(mut idle) = self.pop(address) else { return false };
        let recent = idle.since.elapsed() < RECENT;
        if !idle.connection.is_idle().await {
            return recent;
        }
        self.restore(address, idle);
        false
    }

    /// Closes idle connections that their targets have closed; returns whose and how recent.
    ///
    /// Connections of a target are looked at from the one that was used last, up to an open one.
    pub(crate) async fn reap_lost(&self) -> Vec<LostConnection> {
        self.close_old();
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

    /// Closes connections that were idle for too long, and forgets targets without any.
    fn close_old(&self) {
        let now = Instant::now();
        self.targets.borrow_mut().retain(|_, idle| {
            self.drop_old(idle, now);
            !idle.is_empty()
        });
    }

    /// Closes those connections of a target that were idle for too long.
    fn drop_old(&self, idle: &mut VecDeque<IdleConnection>, now: Instant) {
        // The first has been idle longest, as the last is the first to be taken.
        while idle.front().is_some_and(|i| now.duration_since(i.since) >= self.idle_time) {
            idle.pop_front();
        }
    }

    /// Puts a connection back that was only looked at.
    fn restore(&self, address: SocketAddr, idle: IdleConnection) {
        self.targets.borrow_mut().entry(address).or_default().push_back(idle);
    }

    /// Takes out the connection that was used last.
    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        // The borrow ends before any check, which may let other tasks run.
        self.targets.borrow_mut().get_mut(&address)?.pop_back()
    }

    /// Puts a connection back after a whole exchange.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection) {
        let mut targets = self.targets.borrow_mut();
        let idle = targets.entry(address).or_default();
        let now = Instant::now();
        self.drop_old(idle, now);
        if idle.len() < self.max_idle {
            idle.push_back(IdleConnection { connection, since: now });
        }
    }

    /// Closes the idle connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.targets.borrow_mut().swap_remove(&address);
    }
}
