//! State shared by the components of a forwarding entry.

use std::borrow::Cow;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Forward;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::fleet::ServingEntry;
use hawthornkeel_core::fleet::helpers::Helpers;
use hawthornkeel_core::fleet::ownership;
use hawthornkeel_core::fleet::ownership::OwnerView;
use hawthornkeel_core::fleet::reachability::Reachability;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::hedging::HedgeLimits;
use hawthornkeel_core::placement::hedging::Hedging;
use hawthornkeel_core::placement::limit::EntryView;
use hawthornkeel_core::placement::limit::LimitReport;
use hawthornkeel_core::placement::replacement::AskedTargets;
use hawthornkeel_core::placement::retries::RetryBucket;
use hawthornkeel_core::placement::retries::RetryBudget;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::table::RouteTable;
use hawthornkeel_platform::fields;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::control::directory::ControlDirectory;
use crate::control::watch::Watch;
use crate::forward::http_client::HttpClient;
use crate::forward::load_counts::LoadCounts;
use crate::forward::measures;
use crate::forward::quarantine::Quarantine;
use crate::forward::response_memory::ResponseMemory;
use crate::forward::rollouts::Rollouts;
use crate::forward::stop::EntryStop;
use crate::forward::streams::Streams;
use crate::peer::Endpoint;

/// Time for which entries that stopped reporting still count towards the shares of target capacity.
const PEAK_WINDOW: Duration = Duration::from_secs(20);
/// Time after which an entry that no control instance reports any more is forgotten.
const ENTRY_TTL: Duration = Duration::from_millis(1_800);
/// Weight of a new sample in the moving average of response times.
const SMOOTHING_FACTOR: f64 = 0.2;

/// State shared by the components of a forwarding entry.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Endpoint for frames to other instances.
    pub endpoint: Endpoint,
    /// Published state in force and its age.
    pub watch: Watch,
    /// Known control instances.
    pub directory: ControlDirectory,
    /// Control instance that this entry polls.
    pub polled_control: RefCell<Option<InstanceName>>,
    /// HTTP client with the connections to targets.
    pub http_client: HttpClient,
    /// Load balancer over the targets.
    pub balancer: RefCell<Balancer>,
    /// Route table in force, `None` before the first document.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// Entries that serve callers.
    pub serving_entries: RefCell<ServingEntries>,
    /// Entries and data centres that don't respond.
    pub reachability: RefCell<Reachability>,
    /// Planned stop.
    pub stop: EntryStop,
    /// Time at which the list of targets in force was read from the platform, at the latest.
    pub(super) list_read: Cell<Option<hawthornkeel_core::time::Instant>>,
    /// Mark of the limits of targets that a control instance sent last; zero before the first.
    pub(super) limits_mark: Cell<u64>,
    /// Subjects that end targets.
    pub(super) quarantine: Quarantine,
    /// What was done with the loads that targets state.
    pub(super) load_counts: LoadCounts,
    /// Origins of streams.
    pub(super) streams: Streams,
    /// Rollouts.
    pub(super) rollouts: Rollouts,
    /// Other entries as helpers.
    pub(super) helpers: RefCell<Helpers>,
    /// Number of requests in progress, those of other entries included.
    pub(super) in_progress: Rc<Cell<u32>>,
    /// Number of requests of other entries in progress.
    pub(super) helped: Rc<Cell<u32>>,
    /// Size of the bodies of these requests, in bytes.
    pub(super) helped_bytes: Rc<Cell<u32>>,
    /// Hedging: latencies of routes and the share of hedges.
    pub(super) hedging: RefCell<Hedging>,
    retry_buckets: RefCell<IndexMap<PoolName, RetryBucket>>,
    /// Targets that were asked lately to replace silent streams.
    pub(super) asked_targets: RefCell<AskedTargets>,
    latencies: RefCell<IndexMap<PoolName, f64>>,
}

/// Entries that serve callers, as reported by the control instances.
#[derive(Debug, Default)]
pub struct ServingEntries {
    /// Entries in order of their names.
    pub entries: Vec<ServingEntry>,
    /// Mark of the entries that a control instance reported last; zero before the first report.
    pub mark: u64,
    /// Entries that a control instance reported last.
    reported: Vec<ServingEntry>,
    /// Time of the last report about each entry.
    last_reports: IndexMap<InstanceName, (hawthornkeel_core::time::Instant, ServingEntry)>,
    /// Highest recent number of entries and the time at which it was seen.
    peak: Option<(usize, hawthornkeel_core::time::Instant)>,
}

impl ServingEntries {
    /// Merges the entries that a control instance reports; returns whether the set changed.
    ///
    /// `entries` is `None` if they are the same as in the last report. An entry missing from the
    /// report is kept for a while, as another control instance may still report it.
    pub fn merge(&mut self, entries: Option<Vec<ServingEntry>>, mark: u64) -> bool {
        let now = boot_now();
        self.mark = mark;
        if let Some(entries) = entries {
            self.reported = entries;
        }
        for entry in &self.reported {
            self.last_reports.insert(entry.name.clone(), (now, entry.clone()));
        }
        self.last_reports.retain(|_, (at, _)| now.since(*at) < ENTRY_TTL);
        let mut known: Vec<ServingEntry> =
            self.last_reports.values().map(|(_, e)| e.clone()).collect();
        known.sort();
        let count = known.len();
        let outdated = |(peak, at)| count >= peak || now.since(at) > PEAK_WINDOW;
        if self.peak.is_none_or(outdated) {
            self.peak = Some((count, now));
        }
        let changed = self.entries != known;
        self.entries = known;
        changed
    }

    /// Returns the recent peak of the number of entries, by which target capacity is shared.
    ///
    /// Entries that stopped reporting may still send requests.
    pub fn peak_count(&self) -> usize {
        self.peak.map_or(1, |(peak, _)| peak.max(1))
    }
}

impl Context {
    /// Creates the context of an entry that has no document and no targets yet.
    pub fn new(
        settings: Settings,
        endpoint: Endpoint,
        directory: ControlDirectory,
        stop: EntryStop,
    ) -> Self {
        let memory = ResponseMemory::new(settings.forward.response_memory());
        let hedging = Hedging::new(hedge_limits(&settings.forward));
        Self {
            settings,
            endpoint,
            watch: Watch::default(),
            directory,
            polled_control: RefCell::default(),
            http_client: HttpClient::new(fields::REQUEST_ID, memory),
            balancer: RefCell::default(),
            table: RefCell::default(),
            serving_entries: RefCell::default(),
            reachability: RefCell::default(),
            stop,
            list_read: Cell::default(),
            limits_mark: Cell::default(),
            quarantine: Quarantine::default(),
            load_counts: LoadCounts::default(),
            streams: Streams::default(),
            rollouts: Rollouts::new(rand::random()),
            helpers: RefCell::default(),
            in_progress: Rc::default(),
            helped: Rc::default(),
            helped_bytes: Rc::default(),
            hedging: RefCell::new(hedging),
            retry_buckets: RefCell::default(),
            asked_targets: RefCell::default(),
            latencies: RefCell::default(),
        }
    }

    /// Returns the data centre of this entry.
    pub fn centre(&self) -> &CentreName {
        &self.settings.instance.data_centre
    }

    /// Returns the entries to try as owner of a scheduler, in order, as if those that have `refused`
    /// a job didn't serve; none if it can't be reached.
    pub fn owners(&self, scheduler: &SchedulerName, refused: &[InstanceName]) -> Vec<InstanceName> {
        let serving = self.serving_entries.borrow();
        let mut entries = Cow::Borrowed(&serving.entries);
        // An entry without links to the pool says so once, not for each job.
        let mut refused = refused.to_vec();
        refused.extend(self.helpers.borrow().declined(boot_now(), &scheduler.pool));
        if !refused.is_empty() {
            entries.to_mut().retain(|e| !refused.contains(&e.name));
        }
        let view = OwnerView {
            own: self.endpoint.name(),
            centre: self.centre(),
            entries: &entries,
            reachability: &self.reachability.borrow(),
        };
        let mut owners = ownership::owners(scheduler, &view);
        // This entry counts itself even if it isn't listed.
        owners.retain(|o| !refused.contains(o));
        owners
    }

    /// Records that an entry did not respond; returns whether it did so far.
    pub fn suspect_entry(&self, entry: &InstanceName) -> bool {
        let Some(centre) = self.centre_of(entry) else { return false };
        let is_new = self.reachability.borrow_mut().suspect(boot_now(), entry, &centre);
        self.update_cut_off();
        is_new
    }

    /// Records that a suspected entry responded or is gone for good.
    pub fn clear_suspect(&self, entry: &InstanceName) {
        self.reachability.borrow_mut().clear(entry);
        self.update_cut_off();
    }

    /// Records that an entry responded.
    pub fn record_response(&self, entry: &InstanceName) {
        if let Some(centre) = self.centre_of(entry) {
            self.reachability.borrow_mut().record_response(boot_now(), &centre);
            self.update_cut_off();
        }
    }

    /// Returns the data centre of an entry that serves callers.
    fn centre_of(&self, entry: &InstanceName) -> Option<CentreName> {
        let serving = self.serving_entries.borrow();
        serving.entries.iter().find(|e| e.name == *entry).map(|e| e.centre.clone())
    }

    /// Passes the data centres that are cut off on to the balancer.
    fn update_cut_off(&self) {
        let mut cut_off = self.reachability.borrow().cut_off();
        cut_off.retain(|c| c != self.centre());
        let mut balancer = self.balancer.borrow_mut();
        if balancer.cut_off() != cut_off {
            let centres = cut_off.iter().map(CentreName::as_str).collect::<Vec<_>>().join(",");
            tracing::info!(event = "centres-cut-off", centres);
            balancer.set_cut_off(cut_off);
            drop(balancer);
            self.update_links();
        }
    }

    /// Passes the targets to which this entry should have links on to those who watch them.
    pub(super) fn update_links(&self) {
        self.http_client.links().set_targets(self.balancer.borrow().linked_targets());
    }

    /// Applies the entries that serve callers and what they have heard of the limits of targets;
    /// `limits` is `None` if that is the same as before.
    pub(super) fn apply_limits(&self, limits: Option<&[LimitReport]>, mark: u64) {
        let (now, serving) = (boot_now(), self.serving_entries.borrow());
        let view = EntryView {
            own: self.endpoint.name().clone(),
            entries: serving.entries.iter().map(|e| e.name.clone()).collect(),
            peak: serving.peak_count(),
        };
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_entry_view(now, view);
        if let Some(limits) = limits {
            balancer.learn_limits(now, limits);
        }
        self.limits_mark.set(mark);
    }

    /// Records a request that was admitted for a pool, which adds to the retry budget of the pool and
    /// to its share of hedges.
    pub fn record_request(&self, pool: &PoolName) {
        self.rollouts.record_arrival(pool);
        self.hedging.borrow_mut().record_request(boot_now(), pool);
        let (budget, entry_count) =
            (self.retry_budget(), self.serving_entries.borrow().peak_count());
        self.retry_buckets
            .borrow_mut()
            .entry(pool.clone())
            .or_default()
            .record_request(&budget, entry_count);
    }

    /// Returns whether the budget of a pool has a retry left, without taking it.
    pub fn has_retry(&self, pool: &PoolName) -> bool {
        let (budget, entry_count) =
            (self.retry_budget(), self.serving_entries.borrow().peak_count());
        let mut buckets = self.retry_buckets.borrow_mut();
        buckets.entry(pool.clone()).or_default().has_token(boot_now(), &budget, entry_count)
    }

    /// Takes one retry from the budget of a pool; returns whether one was left.
    pub fn try_retry(&self, pool: &PoolName) -> bool {
        let (budget, entry_count) =
            (self.retry_budget(), self.serving_entries.borrow().peak_count());
        let mut buckets = self.retry_buckets.borrow_mut();
        let granted =
            buckets.entry(pool.clone()).or_default().try_take(boot_now(), &budget, entry_count);
        measures::retry_asked(pool, granted);
        if !granted {
            tracing::info!(event = "repeat-refused", %pool, entries = entry_count);
        }
        granted
    }

    fn retry_budget(&self) -> RetryBudget {
        let forward = &self.settings.forward;
        RetryBudget {
            ratio: forward.retry_ratio,
            slack: forward.retry_slack,
            window: window(forward),
        }
    }

    /// Records the time until the response of a pool to one request began.
    pub fn record_latency(&self, pool: &PoolName, latency: Duration) {
        let mut latencies = self.latencies.borrow_mut();
        let sample = latency.as_secs_f64();
        let mean = latencies.entry(pool.clone()).or_insert(sample);
        *mean += (sample - *mean) * SMOOTHING_FACTOR;
    }

    /// Returns the recent mean latency of a pool, or `default` without samples.
    pub fn expected_latency(&self, pool: &PoolName, default: Duration) -> Duration {
        let mean = self.latencies.borrow().get(pool).copied();
        mean.map_or(default, Duration::from_secs_f64)
    }
}

/// Returns the window in which retries and hedges are counted.
fn window(forward: &Forward) -> Duration {
    Duration::from_secs_f64(forward.retry_window_s.max(0.001))
}

fn hedge_limits(forward: &Forward) -> HedgeLimits {
    HedgeLimits {
        share: forward.hedge_share,
        quantile: forward.hedge_quantile,
        window: window(forward),
    }
}
