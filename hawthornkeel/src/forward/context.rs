//! What the parts of a forwarding entry share.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::fleet::ServingEntry;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::retries::RetryBucket;
use hawthornkeel_core::placement::retries::RetryBudget;
use hawthornkeel_core::stages::job::SchedulerName;
use hawthornkeel_core::table::RouteTable;
use hawthornkeel_platform::fields;
use indexmap::IndexMap;

use crate::clock::boot_now;
use crate::control::directory::ControlDirectory;
use crate::control::watch::Watch;
use crate::forward::exchange::Exchanges;
use crate::peer::Endpoint;

/// Time for which entries that went silent still count for shares of what targets bear.
const REMEMBERED: Duration = Duration::from_secs(20);
/// Time for which an entry is known that was not told of again.
const TOLD: Duration = Duration::from_millis(1_800);
/// Share of a new measurement in an estimate.
const NEWEST: f64 = 0.2;

/// What the parts of a forwarding entry share.
pub struct Context {
    /// Settings.
    pub settings: Settings,
    /// Endpoint of this instance.
    pub endpoint: Endpoint,
    /// Published state in force, with its age.
    pub watch: Watch,
    /// Control instances that are known.
    pub directory: ControlDirectory,
    /// Connections to targets.
    pub exchanges: Exchanges,
    /// Targets.
    pub board: RefCell<Balancer>,
    /// Routes in force.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// Entries that serve callers.
    pub roster: RefCell<Roster>,
    /// Whether a planned stop has begun.
    pub stopping: Cell<bool>,
    /// Requests in progress.
    pub open: Cell<usize>,
    repeats: RefCell<IndexMap<PoolName, RetryBucket>>,
    times: RefCell<IndexMap<PoolName, f64>>,
}

/// Entries that serve callers, as control tells.
#[derive(Debug, Default)]
pub struct Roster {
    /// Entries, by name.
    pub entries: Vec<ServingEntry>,
    /// When each was last told of.
    told: IndexMap<InstanceName, (hawthornkeel_core::time::Instant, ServingEntry)>,
    /// Most entries of late, and when there were that many.
    most: Option<(usize, hawthornkeel_core::time::Instant)>,
}

impl Roster {
    /// Takes in the entries that a control instance knows, and tells whether that changes any.
    ///
    /// One that it does not know is kept for a while, as another may know it.
    pub fn set(&mut self, entries: Vec<ServingEntry>) -> bool {
        let now = boot_now();
        for entry in entries {
            self.told.insert(entry.name.clone(), (now, entry));
        }
        self.told.retain(|_, (at, _)| now.since(*at) < TOLD);
        let mut known: Vec<ServingEntry> = self.told.values().map(|(_, e)| e.clone()).collect();
        known.sort();
        let count = known.len();
        let outdated = |(most, at)| count >= most || now.since(at) > REMEMBERED;
        if self.most.is_none_or(outdated) {
            self.most = Some((count, now));
        }
        let changed = self.entries != known;
        self.entries = known;
        changed
    }

    /// Returns the entries that share what targets bear: those that went silent may still run.
    pub fn sharers(&self) -> usize {
        self.most.map_or(1, |(most, _)| most.max(1))
    }
}

impl Context {
    /// Creates the context of an entry that knows nothing yet.
    pub fn new(settings: Settings, endpoint: Endpoint, directory: ControlDirectory) -> Self {
        Self {
            settings,
            endpoint,
            watch: Watch::default(),
            directory,
            exchanges: Exchanges::new(fields::REQUEST_ID),
            board: RefCell::default(),
            table: RefCell::default(),
            roster: RefCell::default(),
            stopping: Cell::new(false),
            open: Cell::new(0),
            repeats: RefCell::default(),
            times: RefCell::default(),
        }
    }

    /// Returns the data centre of this entry.
    pub fn centre(&self) -> &CentreName {
        &self.settings.instance.data_centre
    }

    /// Returns the entries that may keep a desk, in the order in which they are to be tried.
    ///
    /// All entries that know the same others get the same order, and few desks move where an entry
    /// comes or goes. One that has just started comes last: a desk that moves costs a while in
    /// which two desks call the same targets. Those in the desk's own data centre come first.
    pub fn owners(&self, desk: &SchedulerName) -> Vec<InstanceName> {
        let roster = self.roster.borrow();
        let score = |p: &ServingEntry| {
            let text = format!("{desk}/{}", p.name);
            let far = desk.centre.as_ref().is_some_and(|c| p.centre != *c);
            (far, !p.settled, xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
        };
        let mut ranked: Vec<_> = roster.entries.iter().map(|p| (score(p), &p.name)).collect();
        ranked.sort();
        ranked.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Counts a request for the budget of repeats of a pool.
    pub fn count_request(&self, pool: &PoolName) {
        let (budget, sharers) = (self.budget(), self.roster.borrow().sharers());
        self.repeats.borrow_mut().entry(pool.clone()).or_default().record_request(&budget, sharers);
    }

    /// Takes one repeat from the budget of a pool, where there is one.
    pub fn may_repeat(&self, pool: &PoolName) -> bool {
        let (budget, sharers) = (self.budget(), self.roster.borrow().sharers());
        let mut repeats = self.repeats.borrow_mut();
        let granted =
            repeats.entry(pool.clone()).or_default().try_take(boot_now(), &budget, sharers);
        if !granted {
            tracing::info!(event = "repeat-refused", %pool, entries = sharers);
        }
        granted
    }

    fn budget(&self) -> RetryBudget {
        let forward = &self.settings.forward;
        RetryBudget {
            ratio: forward.retry_ratio,
            slack: forward.retry_slack,
            window: Duration::from_secs_f64(forward.retry_window_s.max(0.001)),
        }
    }

    /// Notes how long the work of a pool took for one request.
    pub fn note_time(&self, pool: &PoolName, took: Duration) {
        let mut times = self.times.borrow_mut();
        let took = took.as_secs_f64();
        let time = times.entry(pool.clone()).or_insert(took);
        *time += (took - *time) * NEWEST;
    }

    /// Returns how long the work of a pool took of late, or `default` where there was none.
    pub fn time(&self, pool: &PoolName, default: Duration) -> Duration {
        let time = self.times.borrow().get(pool).copied();
        time.map_or(default, Duration::from_secs_f64)
    }
}
