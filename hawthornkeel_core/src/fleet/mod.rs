//! Targets and entries as the platform's list and the instances themselves tell of them.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::TargetName;

/// One target, as the platform's list tells of it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Identity of this start of the target.
    pub name: TargetName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: CentreName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving: it gets no new work.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds.
    pub cold_ms: u64,
}

/// The platform's list of targets at one moment.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Targets.
    pub targets: Arc<[ListedTarget]>,
    /// Number that differs between lists with different targets.
    pub mark: u64,
}

/// Entry that serves callers now.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServingEntry {
    /// Instance.
    pub name: InstanceName,
    /// Data centre.
    pub centre: CentreName,
    /// Whether it has been there for a while.
    pub settled: bool,
}
