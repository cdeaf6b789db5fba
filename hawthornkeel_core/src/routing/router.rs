//! Router of one entry instance: its state and the updates from outside.

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
use crate::routing::admission::AdmittedRequest;
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

/// Entry instance of the fleet, as used for subsetting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryInfo {
    /// Identity of the entry.
    pub id: MemberId,
    /// Data centre that the entry runs in.
    pub centre: CentreName,
}

/// Message to the issuer of a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GrantOutput {
    /// Data centre of the issuer.
    pub centre: CentreName,
    /// Last known issuer.
    pub issuer: MemberId,
    /// Message to send.
    pub message: GrantMessage,
}

/// Issuer of grants for a data centre.
#[derive(Clone, Debug)]
pub(crate) struct KnownIssuer {
    pub id: MemberId,
    pub term: u64,
}

/// Reference to a target within its pool.
pub(crate) struct TargetRef<'a> {
    pub pool: &'a mut PoolState,
    pub index: usize,
    pub settings: &'a RouterSettings,
}

impl TargetRef<'_> {
    /// Returns the target's state.
    pub fn target(&mut self) -> Option<&mut Target> {
        self.pool.targets.get_index_mut(self.index).map(|(_, target)| target)
    }

    /// Updates the selection data of the target.
    pub fn refresh(&mut self, now: Instant) {
        self.pool.refresh(now, self.index, self.settings);
    }
}

/// State of a target for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// Whether the target is proved to sustain full load.
    pub warmth: Warmth,
    /// Calls of this entry in flight.
    pub running: u32,
    /// Concurrent calls allowed to this entry while the target is warm.
    pub limit: u32,
    /// Whether this entry may send new work to the target.
    pub accepts_work: bool,
    /// Whether the target fails repeatedly and gets only probes.
    pub down: bool,
    /// Last incarnation that the target reported, if any.
    pub incarnation: Option<Incarnation>,
}

/// Router of one entry instance: selects targets and keeps limits, budgets and waiting calls.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) lease: LeaseSettings,
    pub(crate) own: EntryInfo,
    pub(crate) entries: Vec<EntryInfo>,
    pub(crate) pools: IndexMap<PoolName, PoolState>,
    /// Pool of each target.
    pub(crate) target_pools: IndexMap<TargetName, PoolName>,
    pub(crate) taken_out: Vec<CentreName>,
    /// Data centres whose targets can't be reached.
    pub(crate) unreachable: Vec<CentreName>,
    pub(crate) workspaces: IndexMap<WorkspaceName, WorkspaceState>,
    /// Sum of the weights of the document's workspaces.
    pub(crate) total_weight: f64,
    pub(crate) requests: IndexMap<RequestId, AdmittedRequest>,
    pub(crate) issuers: IndexMap<CentreName, KnownIssuer>,
    pub(crate) outputs: Vec<GrantOutput>,
    /// Number of the last grant request.
    pub(crate) request_counter: u64,
    pub(crate) next_scan: Instant,
    /// Round-robin offset among targets with equal scores; advances with each choice.
    pub(crate) rotation: u64,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(settings: RouterSettings, lease: LeaseSettings, own: EntryInfo) -> Self {
        Self {
            rotation: settings.seed,
            settings,
            lease,
            entries: vec![own.clone()],
            own,
            pools: IndexMap::new(),
            target_pools: IndexMap::new(),
            taken_out: Vec::new(),
            unreachable: Vec::new(),
            workspaces: IndexMap::new(),
            total_weight: 0.0,
            requests: IndexMap::new(),
            issuers: IndexMap::new(),
            outputs: Vec::new(),
            request_counter: 0,
            next_scan: Instant::ZERO,
        }
    }

    /// Applies the document's pools and workspaces. Measurements of remaining pools are kept.
    ///
    /// Targets of new pools are added with the next list. A removed pool continues to serve
    /// requests that were admitted before.
    pub fn apply_document(&mut self, document: &Document) {
        for (name, pool) in &mut self.pools {
            pool.removed = document.pool(name.as_str()).is_none();
        }
        self.drop_obsolete();
        for pool in &document.pools {
            let settings = &self.settings;
            let new = || PoolState::new(pool.clone(), settings);
            let state = self.pools.entry(pool.name.clone()).or_insert_with(new);
            state.config = pool.clone();
        }
        self.total_weight = document.workspaces.iter().map(|w| f64::from(w.weight.max(1))).sum();
        for state in self.workspaces.values_mut() {
            state.apply(&Workspace::default());
        }
        for workspace in &document.workspaces {
            let state = self.workspaces.entry(workspace.name.clone()).or_default();
            state.apply(workspace);
        }
        self.update_shares();
    }

    /// Applies the platform's list of targets.
    ///
    /// The list lags, so a target that is absent from it still gets calls as long as it is seen.
    pub fn update_targets(&mut self, now: Instant, list: &[TargetInfo]) {
        for target in self.pools.values_mut().flat_map(|p| p.targets.values_mut()) {
            target.listed = false;
        }
        for info in list {
            self.apply_listed(now, info);
        }
        self.drop_absent(now);
        self.unreachable = self.unreachable_centres(now);
        self.choose_subset();
        self.refresh_all(now);
    }

    /// Sets the live entries of the fleet, which may or may not include this one.
    pub fn set_entries(&mut self, now: Instant, entries: &[EntryInfo]) {
        self.entries = entries.to_vec();
        if !entries.iter().any(|e| e.id.name == self.own.id.name) {
            self.entries.push(self.own.clone());
        }
        self.unreachable = self.unreachable_centres(now);
        self.choose_subset();
        self.refresh_all(now);
    }

    /// Sets the data centres that get no new work.
    pub fn set_taken_out(&mut self, now: Instant, centres: &[CentreName]) {
        self.taken_out = centres.to_vec();
        for target in self.pools.values_mut().flat_map(|p| p.targets.values_mut()) {
            target.taken_out = centres.contains(&target.info.centre);
        }
        self.refresh_all(now);
    }

    /// Applies a target's load report.
    pub fn report_load(&mut self, now: Instant, target: &TargetName, report: LoadReport) {
        let Some(mut found) = self.find(target) else {
            return;
        };
        let max_calls = f64::from(found.pool.config.warm_limit);
        let age = found.settings.report_age;
        let restarted =
            found.target().is_some_and(|t| t.apply_report(now, &report, max_calls, age));
        found.refresh(now);
        if restarted {
            self.suspect_restart(now, target);
        }
    }

    /// Records a hint that a target may have a prompt prefix in its cache. Hints may be late.
    pub fn cache_hint(&mut self, _now: Instant, target: &TargetName, prefix: u64, sequence: u64) {
        if let Some(found) = self.find(target) {
            found.pool.record_prefix(prefix, target, sequence);
        }
    }

    /// Returns the state of a target for operators.
    pub fn status(&self, target: &TargetName) -> Option<TargetStatus> {
        let state = self.pools.get(self.target_pools.get(target)?)?.targets.get(target)?;
        Some(TargetStatus {
            warmth: state.warmth,
            running: state.running,
            limit: state.limit.calls(),
            accepts_work: state.accepts_work(),
            down: state.is_down(),
            incarnation: state.incarnations.current,
        })
    }

    /// Returns whether the issuer of any data centre is known.
    pub fn has_issuer(&self) -> bool {
        !self.issuers.is_empty()
    }

    /// Returns whether this entry sends to a target.
    pub fn in_subset(&self, target: &TargetName) -> bool {
        let pool = self.target_pools.get(target).and_then(|p| self.pools.get(p));
        pool.and_then(|p| p.targets.get(target)).is_some_and(|t| t.in_subset)
    }

    /// Returns the number of targets of a pool that this entry sends to.
    pub fn subset_size(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |p| p.targets.values().filter(|t| t.in_subset).count())
    }

    /// Finds a target by name.
    pub(crate) fn find(&mut self, target: &TargetName) -> Option<TargetRef<'_>> {
        let pool = self.pools.get_mut(self.target_pools.get(target)?)?;
        let index = pool.targets.get_index_of(target)?;
        Some(TargetRef { pool, index, settings: &self.settings })
    }

    /// Applies one target of the platform's list.
    fn apply_listed(&mut self, now: Instant, info: &TargetInfo) {
        let near = info.centre == self.own.centre;
        let taken_out = self.taken_out.contains(&info.centre);
        let moved = |f: TargetRef<'_>| {
            let known = f.pool.targets.get(&info.name);
            known.is_some_and(|t| t.info.pool != info.pool || t.info.centre != info.centre)
        };
        if self.find(&info.name).is_some_and(moved) {
            self.remove_target(&info.name);
        }
        let Some(pool) = self.pools.get_mut(&info.pool) else {
            return;
        };
        self.target_pools.insert(info.name.clone(), info.pool.clone());
        if !pool.targets.contains_key(&info.name) {
            pool.insert(Target::new(now, info.clone(), near));
        }
        if let Some(target) = pool.targets.get_mut(&info.name) {
            target.update_info(now, info, near);
            target.taken_out = taken_out;
        }
    }

    /// Drops pools that neither the document names nor a request needs.
    pub(crate) fn drop_obsolete(&mut self) {
        self.pools.retain(|_, pool| !pool.is_obsolete());
        self.target_pools.retain(|_, pool| self.pools.contains_key(pool));
    }

    /// Drops idle targets that have been neither listed nor seen for `RouterSettings::drop_after`.
    fn drop_absent(&mut self, now: Instant) {
        let age = self.settings.drop_after;
        let all = self.pools.values().flat_map(|p| p.targets.values());
        let gone = all.filter(|t| !t.listed && t.running == 0 && now.since(t.last_seen) >= age);
        let names: Vec<TargetName> = gone.map(|t| t.info.name.clone()).collect();
        for name in names {
            self.remove_target(&name);
        }
    }

    /// Removes a target.
    fn remove_target(&mut self, name: &TargetName) {
        if let Some(found) = self.find(name) {
            found.pool.remove(found.index);
        }
        self.target_pools.swap_remove(name);
    }

    /// Chooses the targets that this entry sends to.
    fn choose_subset(&mut self) {
        let own_hash = subset::name_hash(self.own.id.name.as_str());
        let mut centres: IndexMap<CentreName, Vec<RankedEntry>> = IndexMap::new();
        for pool in self.pools.values_mut() {
            for target in pool.targets.values_mut() {
                let centre = &target.info.centre;
                if !centres.contains_key(centre) {
                    centres.insert(centre.clone(), ranked_entries(&self.entries, centre));
                }
                let entries = centres.get(centre).map_or(&[][..], |e| e.as_slice());
                let own = RankedEntry { hash: own_hash, near: target.near };
                let hash = subset::name_hash(target.info.name.as_str());
                target.in_subset =
                    subset::contains(own, hash, entries, self.settings.target_entries);
            }
            pool.fill_subset(own_hash, self.settings.pool_targets);
        }
        self.update_shares();
    }

    /// Updates the selection data of all targets.
    pub(crate) fn refresh_all(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.refresh_all(now, &self.settings);
        }
    }
}

/// Returns the entries as ranked for targets of `centre`.
fn ranked_entries(entries: &[EntryInfo], centre: &CentreName) -> Vec<RankedEntry> {
    let one = |e: &EntryInfo| RankedEntry {
        hash: subset::name_hash(e.id.name.as_str()),
        near: e.centre == *centre,
    };
    entries.iter().map(one).collect()
}
