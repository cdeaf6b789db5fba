//! Entry instance: our router with its part in the lease, or the baseline.

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

use crate::plain::Plain;
use crate::sites::CENTRES;
use crate::sites::ENTRIES;
use crate::sites::centre;
use crate::sites::document;

/// Which policy entries run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyKind {
    Ours,
    Plain,
}

/// Our policy with the entry's part in the lease.
pub struct Ours {
    pub router: Router,
    pub holder: Holder,
    pub issuer: Issuer,
    /// Votes of the entry, by data centre.
    pub voters: Vec<(CentreName, Voter)>,
}

/// Policy of one entry.
pub enum Policy {
    Ours(Box<Ours>),
    Plain(Plain),
}

/// Connections of an entry to a target.
#[derive(Clone, Copy, Debug)]
pub struct Connected {
    /// Process that they lead to.
    pub incarnation: Incarnation,
    pub open: usize,
}

/// Entry instance.
pub struct Entry {
    pub id: MemberId,
    pub centre: CentreName,
    pub alive: bool,
    pub policy: Policy,
    /// Connections to each target.
    pub connected: IndexMap<usize, Connected>,
}

/// Returns the name of an entry.
pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("entry{index}"))
}

/// Returns the identity of a run of an entry.
pub fn info(index: usize, boot: u64) -> EntryInfo {
    EntryInfo { id: MemberId { name: name(index), boot }, centre: centre(index) }
}

/// Returns the entries that vote for a data centre's lease: its own, and one of the next.
pub fn voters(of: usize) -> Vec<usize> {
    let own = (0..ENTRIES).filter(|e| e % CENTRES == of);
    own.chain([(of + 1) % CENTRES]).collect()
}

impl Entry {
    /// Starts an entry that knows nothing but its settings, the list and the document.
    pub fn start(
        now: Instant,
        index: usize,
        boot: u64,
        kind: PolicyKind,
        list: &[TargetInfo],
    ) -> Self {
        let own = info(index, boot);
        let policy = match kind {
            PolicyKind::Plain => Policy::Plain(Plain::new(index)),
            PolicyKind::Ours => Policy::Ours(Box::new(start_ours(now, index, boot, list))),
        };
        Self { id: own.id, centre: own.centre, alive: true, policy, connected: IndexMap::new() }
    }
}

/// Starts our policy.
fn start_ours(now: Instant, index: usize, boot: u64, list: &[TargetInfo]) -> Ours {
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
    Ours {
        router,
        holder: Holder::new(now, own.id, names, lease.clone()),
        issuer,
        voters: votes.map(voter).collect(),
    }
}
