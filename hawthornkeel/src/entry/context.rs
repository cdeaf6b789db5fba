//! Shared state of an entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use futures_channel::oneshot::Sender;
use hawthornkeel_config::settings::Peer;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::names::WorkspaceName;
use hawthornkeel_core::routing::Router;
use hawthornkeel_core::routing::RouterSettings;
use hawthornkeel_core::routing::router::EntryInfo;
use hawthornkeel_core::routing::types::CallOutcome;
use hawthornkeel_core::routing::types::Decision;
use hawthornkeel_core::routing::types::TargetInfo;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;

use crate::clock::Clock;
use crate::control::orders::OrderTarget;
use crate::entry::claims::ClaimStore;
use crate::entry::controllers::lease::LeaseMember;
use crate::entry::environment::Environment;
use crate::entry::messaging::EntryMessage;
use crate::entry::messaging::PeerMessenger;
use crate::http::server::ShutdownSignals;
use crate::target::client::Client;
use crate::target::client::ClientLimits;

/// State of an entry, shared by all tasks of its single thread.
pub struct Context {
    /// Settings of the process.
    pub settings: Settings,
    /// Identity of this run of the instance.
    pub member: MemberId,
    /// Monotonic clock.
    pub clock: Clock,
    /// Chooses targets and admits requests.
    pub router: RefCell<Router>,
    /// Calls queued for a target.
    pub waiting_calls: RefCell<IndexMap<CallId, Sender<Decision>>>,
    /// HTTP client for targets, with its connection pool.
    pub client: Client,
    /// Store that decides claims.
    pub claims: ClaimStore,
    /// Voter, holder and issuer of this instance for the lease on cold targets.
    pub lease: RefCell<LeaseMember>,
    /// Sends messages to other entries.
    pub messenger: PeerMessenger,
    /// Targets of the platform's last list.
    pub targets: RefCell<Vec<TargetInfo>>,
    /// Current environment, if known.
    pub environment: RefCell<Option<Rc<Environment>>>,
    /// Time from which the instance is ready even without an issuer of grants.
    pub ready_deadline: Cell<Option<Instant>>,
    /// Number of requests in progress, by workspace.
    pub workspace_requests: RefCell<IndexMap<WorkspaceName, u32>>,
    /// Number of requests that are not yet answered and recorded.
    pub open_requests: Cell<usize>,
    /// Signals of the server for callers. From `drain` on the readiness check fails, but requests
    /// are still served; from `stop` on new requests are refused.
    pub shutdown: ShutdownSignals,
    /// Time of the final responses to requests in progress, known from the begin of a planned stop.
    pub stop_limit: Cell<Option<Instant>>,
}

/// Components that differ between a trial and an instance of a fleet.
pub struct Dependencies {
    /// Store that decides claims.
    pub claims: ClaimStore,
    /// Sends messages to other entries.
    pub messenger: PeerMessenger,
    /// Settings of the lease on cold targets.
    pub lease: LeaseSettings,
}

impl Context {
    /// Creates the state of an entry without a document and without targets.
    pub fn new(settings: Settings, dependencies: Dependencies) -> Self {
        let clock = Clock;
        let own_centre = settings.instance.data_centre.clone();
        let member = MemberId { name: settings.instance.name.clone(), boot: rand::random() };
        let entries = entry_infos(&settings, &member);
        let now = clock.now();
        let info = EntryInfo { id: member.clone(), centre: own_centre };
        let lease = LeaseMember::new(now, &info, &entries, &dependencies.lease);
        let router_settings = RouterSettings { seed: rand::random(), ..RouterSettings::default() };
        let mut router = Router::new(router_settings, dependencies.lease, info);
        router.set_entries(now, &entries);
        Self {
            settings,
            member,
            clock,
            router: RefCell::new(router),
            waiting_calls: RefCell::default(),
            client: Client::new(ClientLimits::default()),
            claims: dependencies.claims,
            lease: RefCell::new(lease),
            messenger: dependencies.messenger,
            targets: RefCell::default(),
            environment: RefCell::default(),
            ready_deadline: Cell::default(),
            workspace_requests: RefCell::default(),
            open_requests: Cell::default(),
            shutdown: ShutdownSignals::default(),
            stop_limit: Cell::default(),
        }
    }

    /// Returns the current environment, if known.
    pub fn environment(&self) -> Option<Rc<Environment>> {
        self.environment.borrow().clone()
    }

    /// Returns the reason why the instance isn't ready for callers, if any.
    ///
    /// An entry that has just started knows no warm target. It waits for an issuer of grants, so
    /// that its first requests don't have to. The wait is bounded, as there may be no issuer.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        if self.environment.borrow().is_none() {
            return Some("no environment document yet");
        }
        if self.targets.borrow().is_empty() {
            return Some("no targets known yet");
        }
        let timed_out =
            self.ready_deadline.get().is_some_and(|deadline| self.clock.now() >= deadline);
        if !timed_out && !self.router.borrow().has_issuer() {
            return Some("no issuer of grants heard yet");
        }
        None
    }

    /// Begins a planned stop whose limit is `limit`: calls that can't be answered by then are
    /// refused.
    pub fn begin_stop(&self, limit: Instant) {
        self.stop_limit.set(Some(limit));
        self.router.borrow_mut().limit_deadlines(limit);
        self.shutdown.drain.set();
        self.dispatch_queued();
    }

    /// Returns the data centre of this instance or of a configured peer.
    pub fn centre_of(&self, name: &InstanceName) -> Option<CentreName> {
        if *name == self.settings.instance.name {
            return Some(self.settings.instance.data_centre.clone());
        }
        let peer = self.settings.peers.peers.iter().find(|p| p.name == *name)?;
        Some(peer.data_centre.clone())
    }

    /// Returns the recipient of an order to the target called `name`, if the target is known.
    pub fn order_target(&self, name: &TargetName) -> Option<OrderTarget> {
        let targets = self.targets.borrow();
        let target = targets.iter().find(|t| t.name == *name)?;
        let environment = self.environment()?;
        let fencing = environment.document.pool(target.pool.as_str())?.fencing;
        let address = target.address.parse().ok()?;
        Some(OrderTarget { name: name.clone(), address, fencing })
    }

    /// Wraps a grant message with the identity of this instance.
    pub fn grant_message(&self, message: GrantMessage) -> EntryMessage {
        EntryMessage::Grant { from: self.member.clone(), message }
    }

    /// Delivers the router's decisions to the queued calls.
    ///
    /// Must be called after every change that may allow a queued call to proceed.
    pub fn dispatch_queued(&self) {
        let ready = self.router.borrow_mut().take_ready(self.clock.now());
        for queued in ready {
            let sender = self.waiting_calls.borrow_mut().swap_remove(&queued.call);
            let undelivered = match sender {
                Some(sender) => sender.send(queued.decision).err(),
                None => Some(queued.decision),
            };
            if let Some(decision) = undelivered {
                self.release(decision);
            }
        }
    }

    /// Releases the permit of a decision that no call waits for any more.
    pub fn release(&self, decision: Decision) {
        if let Decision::Send { permit, .. } = decision {
            let now = self.clock.now();
            self.router.borrow_mut().finish_call(now, permit, CallOutcome::Cancelled);
        }
    }
}

/// Returns all configured entries, including this one.
fn entry_infos(settings: &Settings, own: &MemberId) -> Vec<EntryInfo> {
    let peer = |p: &Peer| EntryInfo {
        // The choice of subsets doesn't depend on the boot number of another instance.
        id: MemberId { name: p.name.clone(), boot: 0 },
        centre: p.data_centre.clone(),
    };
    let peers = settings.peers.peers.iter().filter(|p| p.entry);
    let mut entries: Vec<_> = peers.map(peer).collect();
    let centre = settings.instance.data_centre.clone();
    entries.push(EntryInfo { id: own.clone(), centre });
    entries
}
