//! Targets and entries, as reported by the platform's list and by the instances themselves.

pub mod helpers;
pub mod ownership;
pub mod presence;
pub mod reachability;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::CentreName;
use crate::names::InstanceName;
use crate::names::PoolName;
use crate::names::SoftwareVersion;
use crate::names::TargetName;

/// Target in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Identity of this run of the target.
    pub name: TargetName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Address.
    pub address: SocketAddr,
    /// Data centre.
    pub centre: CentreName,
    /// Start of its process on the wall clock, in milliseconds, if the list names it.
    pub born: Option<u64>,
    /// Version of its software; empty if the list names none.
    pub version: SoftwareVersion,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and must get no new work.
    pub leaving: bool,
    /// Time for which it stays cold, in milliseconds.
    pub cold_ms: u64,
}

/// One process of a target: what an answer says holds for the process that gave it, and no other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRun {
    /// Target.
    pub name: TargetName,
    /// Address.
    pub address: SocketAddr,
    /// Start of the process on the wall clock, in milliseconds, if it is known.
    pub born: Option<u64>,
}

impl ListedTarget {
    /// Returns the process that the entry of the list describes.
    pub fn run(&self) -> TargetRun {
        TargetRun { name: self.name.clone(), address: self.address, born: self.born }
    }
}

impl TargetRun {
    /// Returns whether both may be the same process; an unknown start tells nothing.
    pub fn is_same(&self, other: &Self) -> bool {
        let same_start = self.born.is_none() || other.born.is_none() || self.born == other.born;
        self.name == other.name && self.address == other.address && same_start
    }
}

/// Hash that tells one process of a target from all others.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

impl From<&TargetRun> for ProcessId {
    fn from(run: &TargetRun) -> Self {
        let TargetRun { name, address, born } = run;
        Self(xxh3_64(format!("{name}/{address}/{born:?}").as_bytes()))
    }
}

/// Snapshot of the platform's list of targets.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Targets.
    pub targets: Arc<[ListedTarget]>,
    /// Hash that differs between lists with different targets.
    pub mark: u64,
}

/// Entry that serves callers at the moment.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct ServingEntry {
    /// Instance.
    pub name: InstanceName,
    /// Data centre.
    pub centre: CentreName,
    /// Whether it has been serving for a while.
    pub settled: bool,
}
