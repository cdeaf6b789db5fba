//! What the parts of an entry share.

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
use crate::http::signal::Signal;
use crate::target::client::Client;
use crate::target::client::ClientLimits;

/// State of an entry, shared by the tasks of its one thread.
pub struct Context {
    /// Settings of the process.
    pub settings: Settings,
    /// This run of the instance.
    pub member: MemberId,
    /// Monotonic clock.
    pub clock: Clock,
    /// Router.
    pub router: RefCell<Router>,
    /// Calls that wait for a target.
    pub waiting_calls: RefCell<IndexMap<CallId, Sender<Decision>>>,
    /// Connections to targets.
    pub client: Client,
    /// Where claims are decided.
    pub claims: ClaimStore,
    /// This instance's part in the lease for cold targets.
    pub lease: RefCell<LeaseMember>,
    /// Way to the peers.
    pub messenger: PeerMessenger,
    /// Targets as last listed.
    pub targets: RefCell<Vec<TargetInfo>>,
    /// Environment in force, once known.
    pub environment: RefCell<Option<Rc<Environment>>>,
    /// Time from which the instance counts as ready without an issuer of grants.
    pub ready_deadline: Cell<Option<Instant>>,
    /// Requests in progress by workspace.
    pub workspace_requests: RefCell<IndexMap<WorkspaceName, u32>>,
    /// Requests whose answer or record is still to come.
    pub open_requests: Cell<usize>,
    /// Set once a planned stop has begun: the balancer is told, and requests are still served.
    pub draining: Signal,
    /// Set once the balancer had its time to notice: further requests are refused.
    pub stopping: Signal,
}

/// What differs between a trial and an instance of a fleet.
pub struct Dependencies {
    /// Where claims are decided.
    pub claims: ClaimStore,
    /// Way to the peers.
    pub messenger: PeerMessenger,
    /// Settings of the lease for cold targets.
    pub lease: LeaseSettings,
}

impl Context {
    /// Creates the state of an entry that knows no document and no target yet.
    pub fn new(settings: Settings, dependencies: Dependencies) -> Self {
        let clock = Clock;
        let own = settings.instance.data_centre.clone();
        let member = MemberId { name: settings.instance.name.clone(), boot: rand::random() };
        let entries = entry_infos(&settings, &member);
        let now = clock.now();
        let info = EntryInfo { id: member.clone(), centre: own };
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
            draining: Signal::new(),
            stopping: Signal::new(),
        }
    }

    /// Returns the environment in force, once known.
    pub fn environment(&self) -> Option<Rc<Environment>> {
        self.environment.borrow().clone()
    }

    /// Returns what the instance lacks to serve callers, if anything.
    ///
    /// An entry that has just started knows no warm target. It waits for an issuer of grants, so
    /// that its first callers need not, but not for ever: none may be there.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        if self.environment.borrow().is_none() {
            return Some("no environment document yet");
        }
        if self.targets.borrow().is_empty() {
            return Some("no targets known yet");
        }
        let waited = self.ready_deadline.get().is_some_and(|by| self.clock.now() >= by);
        if !waited && !self.router.borrow().has_issuer() {
            return Some("no issuer of grants heard yet");
        }
        None
    }

    /// Returns the data centre of an instance that the settings name.
    pub fn centre_of(&self, name: &InstanceName) -> Option<CentreName> {
        if *name == self.settings.instance.name {
            return Some(self.settings.instance.data_centre.clone());
        }
        let peer = self.settings.peers.peers.iter().find(|p| p.name == *name)?;
        Some(peer.data_centre.clone())
    }

    /// Returns what an order to the target called `name` needs, where it is known.
    pub fn order_target(&self, name: &TargetName) -> Option<OrderTarget> {
        let targets = self.targets.borrow();
        let target = targets.iter().find(|t| t.name == *name)?;
        let environment = self.environment()?;
        let fencing = environment.document.pool(target.pool.as_str())?.fencing;
        let address = target.address.parse().ok()?;
        Some(OrderTarget { name: name.clone(), address, fencing })
    }

    /// Returns a message about grants as it goes to a peer.
    pub fn grant_message(&self, message: GrantMessage) -> EntryMessage {
        EntryMessage::Grant { from: self.member.clone(), message }
    }

    /// Hands the router's decisions to the calls that wait for them.
    ///
    /// To be called after each change that may give a waiting call its turn.
    pub fn dispatch_queued(&self) {
        let ready = self.router.borrow_mut().take_ready(self.clock.now());
        for item in ready {
            let waiter = self.waiting_calls.borrow_mut().swap_remove(&item.call);
            let unheard = match waiter {
                Some(waiter) => waiter.send(item.decision).err(),
                None => Some(item.decision),
            };
            if let Some(decision) = unheard {
                self.release(decision);
            }
        }
    }

    /// Gives the permit of a decision back that nobody waits for.
    pub fn release(&self, decision: Decision) {
        if let Decision::Send { permit, .. } = decision {
            let now = self.clock.now();
            self.router.borrow_mut().finish_call(now, permit, CallOutcome::Cancelled);
        }
    }
}

/// Returns the entries that the settings name, this one among them.
fn entry_infos(settings: &Settings, own: &MemberId) -> Vec<EntryInfo> {
    let peer = |p: &Peer| EntryInfo {
        // The boot number of another instance plays no part in the choice of subsets.
        id: MemberId { name: p.name.clone(), boot: 0 },
        centre: p.data_centre.clone(),
    };
    let peers = settings.peers.peers.iter().filter(|p| p.entry);
    let mut entries: Vec<_> = peers.map(peer).collect();
    let centre = settings.instance.data_centre.clone();
    entries.push(EntryInfo { id: own.clone(), centre });
    entries
}
