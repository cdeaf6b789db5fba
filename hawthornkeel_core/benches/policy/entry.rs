//! Entry that runs either the router with its lease roles or the baseline.

use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::lease::Holder;
use hawthornkeel_core::lease::Issuer;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::Voter;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;

use crate::baseline::Baseline;
use crate::topology::CENTRES;
use crate::topology::ENTRIES;
use crate::topology::centre;
use crate::topology::document;

/// Policy that all entries of a run use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    Router,
    Baseline,
}

/// Router together with the entry's lease roles: holder, issuer and voter.
pub struct RouterPolicy {
    pub router: Router,
    pub holder: Holder,
    pub issuer: Issuer,
    /// Voters of this entry, by the data centre of the lease.
    pub voters: Vec<(CentreName, Voter)>,
}

/// Policy of one entry.
pub enum Policy {
    Router(Box<RouterPolicy>),
    Baseline(Baseline),
}

/// Connections of an entry to a target.
#[derive(Clone, Copy, Debug)]
pub struct Connections {
    /// Process at the other end.
    pub incarnation: Incarnation,
    pub open: usize,
}

pub struct Entry {
    pub id: MemberId,
    pub centre: CentreName,
    pub alive: bool,
    pub policy: Policy,
    /// Connections by index of the target.
    pub connections: IndexMap<usize, Connections>,
}

pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("entry{index}"))
}

/// Returns the identity of an entry's process.
pub fn info(index: usize, boot: u64) -> EntryInfo {
    EntryInfo { id: MemberId { name: name(index), boot }, centre: centre(index) }
}

/// Returns the voters of a data centre's lease: its own entries and one of the next data centre.
pub fn voters(of: usize) -> Vec<usize> {
    let own = (0..ENTRIES).filter(|e| e % CENTRES == of);
    own.chain([(of + 1) % CENTRES]).collect()
}

impl Entry {
    /// Starts an entry that knows only its settings, the list of targets and the document.
    pub fn start(
        now: Instant,
        index: usize,
        boot: u64,
        kind: PolicyKind,
        list: &[TargetInfo],
    ) -> Self {
        let own = info(index, boot);
        let policy = match kind {
            PolicyKind::Baseline => Policy::Baseline(Baseline::new(index)),
            PolicyKind::Router => Policy::Router(Box::new(start_router(now, index, boot, list))),
        };
        Self { id: own.id, centre: own.centre, alive: true, policy, connections: IndexMap::new() }
    }
}

fn start_router(now: Instant, index: usize, boot: u64, list: &[TargetInfo]) -> RouterPolicy {
    let own = info(index, boot);
    let lease = LeaseSettings::default();
    let settings = RouterSettings { seed: index as u64 * 7919, ..RouterSettings::default() };
    let mut router = Router::new(settings, lease.clone(), own.clone());
    router.apply_document(&document());
    let all: Vec<EntryInfo> = (0..ENTRIES).map(|i| info(i, 0)).collect();
    router.set_entries(now, &all);
    router.update_targets(now, list);
    let mut issuer = Issuer::new(own.centre.clone());
    issuer.apply_document(&document());
    let names = voters(index % CENTRES).into_iter().map(name).collect();
    let votes = (0..CENTRES).filter(|c| voters(*c).contains(&index));
    let voter = |c| (centre(c), Voter::new(now, name(index), lease.clone()));
    RouterPolicy {
        router,
        holder: Holder::new(now, own.id, names, lease.clone()),
        issuer,
        voters: votes.map(voter).collect(),
    }
}
