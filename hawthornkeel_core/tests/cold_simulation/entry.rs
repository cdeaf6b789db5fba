//! Entries of the cold target simulation.

use std::time::Duration;

use hawthornkeel_core::document::Document;
use hawthornkeel_core::document::Pool;
use hawthornkeel_core::lease::Holder;
use hawthornkeel_core::lease::Issuer;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::Voter;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::routing::EntryInfo;
use hawthornkeel_core::routing::Permit;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::TargetInfo;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;

use super::COLD_LIMIT;
use super::ENTRIES;
use super::TARGET;
use super::VOTERS;
use super::WARM_AFTER;
use super::WARM_LIMIT;

/// Entry with its lease holder, issuer and voter.
pub struct Entry {
    pub id: MemberId,
    pub router: Router,
    pub holder: Holder,
    pub issuer: Issuer,
    pub voter: Voter,
    /// Offset of the entry's clock, in milliseconds.
    pub offset: u64,
    pub frozen_until: u64,
    pub dead_until: u64,
    pub partitioned_until: u64,
    /// Incarnation of the target that the entry is connected to.
    pub connected: Option<u64>,
    pub permits: IndexMap<u64, Permit>,
}

fn settings() -> LeaseSettings {
    LeaseSettings {
        lease_duration: Duration::from_millis(600),
        renew_interval: Duration::from_millis(200),
        grant_duration: Duration::from_millis(2_000),
        resend_timeout: Duration::from_millis(50),
        unused_timeout: Duration::from_millis(100),
        ..LeaseSettings::default()
    }
}

fn document() -> Document {
    let pool = Pool {
        name: "p".into(),
        warm_limit: WARM_LIMIT,
        cold_limit: COLD_LIMIT,
        warm_after: WARM_AFTER,
        ..Pool::default()
    };
    Document { pools: vec![pool], ..Document::default() }
}

/// Returns the name of an entry.
pub fn name(index: usize) -> InstanceName {
    InstanceName::new(&format!("e{index}"))
}

/// Starts an entry whose clock is `offset` milliseconds ahead of the simulation's.
pub fn start(index: usize, boot: u64, offset: u64, millis: u64) -> Entry {
    let now = Instant::from_millis(offset + millis);
    let id = MemberId { name: name(index), boot };
    let info = |i: usize| EntryInfo { id: MemberId { name: name(i), boot: 0 }, centre: "a".into() };
    let own = EntryInfo { id: id.clone(), centre: "a".into() };
    let mut router = Router::new(RouterSettings::default(), settings(), own);
    router.apply_document(&document());
    router.set_entries(now, &(0..ENTRIES).map(info).collect::<Vec<_>>());
    let (target_name, pool, centre) = (TARGET.into(), "p".into(), "a".into());
    let target = TargetInfo { name: target_name, pool, centre, ..TargetInfo::default() };
    router.update_targets(now, &[target]);
    let mut issuer = Issuer::new("a".into());
    issuer.apply_document(&document());
    Entry {
        holder: Holder::new(now, id.clone(), (0..VOTERS).map(name).collect(), settings()),
        voter: Voter::new(now, name(index), settings()),
        id,
        router,
        issuer,
        offset,
        frozen_until: 0,
        dead_until: 0,
        partitioned_until: 0,
        connected: None,
        permits: IndexMap::new(),
    }
}
