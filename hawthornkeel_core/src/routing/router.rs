//! Router of one entry instance: its state and what changes it from outside.

use indexmap::IndexMap;

use crate::document::Document;
use crate::document::Workspace;
use crate::ids::Incarnation;
use crate::ids::RequestId;
use crate::lease::GrantMessage;
use crate::lease::LeaseSettings;
use crate::lease::MemberId;
use crate::names::CentreName;
use crate::names::PoolName;
use crate::names::TargetName;
use crate::names::WorkspaceName;
use crate::routing::admission::Admitted;
use crate::routing::admission::WorkspaceState;
use crate::routing::pool::PoolState;
use crate::routing::settings::RouterSettings;
use crate::routing::subset;
use crate::routing::subset::RankedEntry;
use crate::routing::target::Target;
use crate::routing::target::Warmth;
use crate::routing::types::LoadReport;
use crate::routing::types::TargetInfo;
use crate::time::Instant;

/// Entry instance of the fleet, for the subsets of targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryInfo {
    /// Identity of the entry.
    pub id: MemberId,
    /// Data centre that it runs in.
    pub centre: CentreName,
}

/// Message for the issuer of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantOutput {
    /// Data centre whose issuer the message goes to.
    pub centre: CentreName,
    /// Member that is known to issue.
    pub issuer: MemberId,
    /// Message to send.
    pub message: GrantMessage,
}

/// Member that issues grants for a data centre.
#[derive(Clone, Debug)]
pub(crate) struct KnownIssuer {
    pub id: MemberId,
    pub term: u64,
}

/// Target that was found by its name.
pub(crate) struct Found<'a> {
    pub pool: &'a mut PoolState,
    pub index: usize,
    pub settings: &'a RouterSettings,
}

impl Found<'_> {
    /// Returns the target's state.
    pub fn target(&mut self) -> Option<&mut Target> {
        self.pool.targets.get_index_mut(self.index).map(|(_, target)| target)
    }

    /// Brings what choices read of the target up to date.
    pub fn refresh(&mut self, now: Instant) {
        self.pool.refresh(now, self.index, self.settings);
    }
}

/// State of a target as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// Whether there is proof that the target bears full load.
    pub warmth: Warmth,
    /// Calls of this entry in flight.
    pub running: u32,
    /// Calls of this entry allowed at once while the target is warm.
    pub limit: u32,
    /// Whether the target may get new work.
    pub accepts_work: bool,
    /// Whether the target fails and gets nothing but probes.
    pub down: bool,
    /// Incarnation that the target named last, if it named any.
    pub incarnation: Option<Incarnation>,
}

/// Router of one entry instance: chooses targets, keeps limits, budgets and waiting calls.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) lease: LeaseSettings,
    pub(crate) own: EntryInfo,
    pub(crate) entries: Vec<EntryInfo>,
    pub(crate) pools: IndexMap<PoolName, PoolState>,
    /// Pool of each target.
    pub(crate) homes: IndexMap<TargetName, PoolName>,
    pub(crate) taken_out: Vec<CentreName>,
    /// Data centres to which contact is lost.
    pub(crate) lost: Vec<CentreName>,
    pub(crate) workspaces: IndexMap<WorkspaceName, WorkspaceState>,
    /// Sum of the weights of the document's workspaces.
    pub(crate) weights: f64,
    pub(crate) requests: IndexMap<RequestId, Admitted>,
    pub(crate) issuers: IndexMap<CentreName, KnownIssuer>,
    pub(crate) outputs: Vec<GrantOutput>,
    pub(crate) next_request: u64,
    pub(crate) next_scan: Instant,
    /// Rises with each choice, so that equal targets take turns.
    pub(crate) turn: u64,
}

impl Router {
    /// Creates a router that knows no target.
    pub fn new(settings: RouterSettings, lease: LeaseSettings, own: EntryInfo) -> Self {
        Self {
            turn: settings.seed,
            settings,
            lease,
            entries: vec![own.clone()],
            own,
            pools: IndexMap::new(),
            homes: IndexMap::new(),
            taken_out: Vec::new(),
            lost: Vec::new(),
            workspaces: IndexMap::new(),
            weights: 0.0,
            requests: IndexMap::new(),
            issuers: IndexMap::new(),
            outputs: Vec::new(),
            next_request: 0,
            next_scan: Instant::ZERO,
        }
    }

    /// Takes the document's pools and workspaces; what was measured of pools that stay is kept.
    ///
    /// Targets of pools that are new are known from the next list on. A removed pool goes on
    /// serving the requests that were admitted before.
    pub fn apply_document(&mut self, document: &Document) {
        for (name, pool) in &mut self.pools {
            pool.removed = document.pool(name.as_str()).is_none();
        }
        self.drop_removed();
        for pool in &document.pools {
            let settings = &self.settings;
            let new = || PoolState::new(pool.clone(), settings);
            let state = self.pools.entry(pool.name.clone()).or_insert_with(new);
            state.config = pool.clone();
        }
        self.weights = document.workspaces.iter().map(|w| f64::from(w.weight.max(1))).sum();
        for state in self.workspaces.values_mut() {
            state.apply(&Workspace::default());
        }
        for workspace in &document.workspaces {
            let state = self.workspaces.entry(workspace.name.clone()).or_default();
            state.apply(workspace);
        }
        self.bound_limits();
    }

    /// Takes the platform's list of targets, which lags: absence alone stops nothing.
    pub fn update_targets(&mut self, now: Instant, list: &[TargetInfo]) {
        for target in self.pools.values_mut().flat_map(|p| p.targets.values_mut()) {
            target.listed = false;
        }
        for info in list {
            self.take_listed(now, info);
        }
        self.drop_absent(now);
        self.lost = self.lost_centres(now);
        self.choose_subset();
        self.refresh_all(now);
    }

    /// Takes the live entries of the fleet, this one among them or not.
    pub fn set_entries(&mut self, now: Instant, entries: &[EntryInfo]) {
        self.entries = entries.to_vec();
        if !entries.iter().any(|e| e.id.name == self.own.id.name) {
            self.entries.push(self.own.clone());
        }
        self.lost = self.lost_centres(now);
        self.choose_subset();
        self.refresh_all(now);
    }

    /// Takes the data centres that get no new work.
    pub fn set_taken_out(&mut self, now: Instant, centres: &[CentreName]) {
        self.taken_out = centres.to_vec();
        for target in self.pools.values_mut().flat_map(|p| p.targets.values_mut()) {
            target.taken_out = centres.contains(&target.info.centre);
        }
        self.refresh_all(now);
    }

    /// Takes a target's load report.
    pub fn report_load(&mut self, now: Instant, target: &TargetName, report: LoadReport) {
        let Some(mut found) = self.find(target) else {
            return;
        };
        let most = f64::from(found.pool.config.warm_limit);
        let age = found.settings.report_age;
        let restarted = found.target().is_some_and(|t| t.take_report(now, &report, most, age));
        found.refresh(now);
        if restarted {
            self.suspect_restart(now, target);
        }
    }

    /// Takes a hint that a target may have a prompt prefix in its cache; hints may be late.
    pub fn cache_hint(&mut self, _now: Instant, target: &TargetName, prefix: u64, sequence: u64) {
        if let Some(found) = self.find(target) {
            found.pool.remember(prefix, target, sequence);
        }
    }

    /// Returns the state of a target as operators see it.
    pub fn status(&self, target: &TargetName) -> Option<TargetStatus> {
        let state = self.pools.get(self.homes.get(target)?)?.targets.get(target)?;
        Some(TargetStatus {
            warmth: state.warmth,
            running: state.running,
            limit: state.limit.calls(),
            accepts_work: state.accepts_work(),
            down: state.is_down(),
            incarnation: state.named.present,
        })
    }

    /// Tells whether any data centre's issuer of grants is known.
    pub fn has_issuer(&self) -> bool {
        !self.issuers.is_empty()
    }

    /// Tells whether this entry sends to a target.
    pub fn in_subset(&self, target: &TargetName) -> bool {
        let pool = self.homes.get(target).and_then(|p| self.pools.get(p));
        pool.and_then(|p| p.targets.get(target)).is_some_and(|t| t.known)
    }

    /// Returns the number of targets of a pool that this entry sends to.
    pub fn subset_size(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |p| p.targets.values().filter(|t| t.known).count())
    }

    /// Returns the pool of a target, its position there and the settings.
    pub(crate) fn find(&mut self, target: &TargetName) -> Option<Found<'_>> {
        let pool = self.pools.get_mut(self.homes.get(target)?)?;
        let index = pool.targets.get_index_of(target)?;
        Some(Found { pool, index, settings: &self.settings })
    }

    /// Takes one target of the list.
    fn take_listed(&mut self, now: Instant, info: &TargetInfo) {
        let near = info.centre == self.own.centre;
        let taken_out = self.taken_out.contains(&info.centre);
        let moved = |f: Found<'_>| {
            let known = f.pool.targets.get(&info.name);
            known.is_some_and(|t| t.info.pool != info.pool || t.info.centre != info.centre)
        };
        if self.find(&info.name).is_some_and(moved) {
            self.forget(&info.name);
        }
        let Some(pool) = self.pools.get_mut(&info.pool) else {
            return;
        };
        self.homes.insert(info.name.clone(), info.pool.clone());
        if !pool.targets.contains_key(&info.name) {
            pool.insert(Target::new(now, info.clone(), near));
        }
        if let Some(target) = pool.targets.get_mut(&info.name) {
            target.take_info(now, info, near);
            target.taken_out = taken_out;
        }
    }

    /// Drops the pools that the document no longer names and that no request needs.
    pub(crate) fn drop_removed(&mut self) {
        self.pools.retain(|_, pool| !pool.is_over());
        self.homes.retain(|_, pool| self.pools.contains_key(pool));
    }

    /// Drops targets that are neither listed nor heard for long.
    fn drop_absent(&mut self, now: Instant) {
        let age = self.settings.drop_after;
        let all = self.pools.values().flat_map(|p| p.targets.values());
        let gone = all.filter(|t| !t.listed && t.running == 0 && now.since(t.heard) >= age);
        let names: Vec<TargetName> = gone.map(|t| t.info.name.clone()).collect();
        for name in names {
            self.forget(&name);
        }
    }

    /// Removes a target.
    fn forget(&mut self, name: &TargetName) {
        if let Some(found) = self.find(name) {
            found.pool.remove(found.index);
        }
        self.homes.swap_remove(name);
    }

    /// Chooses which targets this entry sends to.
    fn choose_subset(&mut self) {
        let own_hash = subset::name_hash(self.own.id.name.as_str());
        let mut centres: IndexMap<CentreName, Vec<RankedEntry>> = IndexMap::new();
        for pool in self.pools.values_mut() {
            for target in pool.targets.values_mut() {
                let centre = &target.info.centre;
                if !centres.contains_key(centre) {
                    centres.insert(centre.clone(), ranked(&self.entries, centre));
                }
                let entries = centres.get(centre).map_or(&[][..], |e| e.as_slice());
                let own = RankedEntry { hash: own_hash, near: target.near };
                let hash = subset::name_hash(target.info.name.as_str());
                target.known = subset::contains(own, hash, entries, self.settings.target_entries);
            }
            pool.top_up(own_hash, self.settings.pool_targets);
        }
        self.bound_limits();
    }

    /// Brings what choices read of all targets up to date.
    pub(crate) fn refresh_all(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.refresh_all(now, &self.settings);
        }
    }
}

/// Returns the entries as the ranking for targets of `centre` sees them.
fn ranked(entries: &[EntryInfo], centre: &CentreName) -> Vec<RankedEntry> {
    let one = |e: &EntryInfo| RankedEntry {
        hash: subset::name_hash(e.id.name.as_str()),
        near: e.centre == *centre,
    };
    entries.iter().map(one).collect()
}
