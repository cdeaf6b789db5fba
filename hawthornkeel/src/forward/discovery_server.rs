//! Control side of discovery: serves the document, the list of targets and the other entries.
//!
//! Only the leader polls the platform's list of targets. The other control instances fetch it from
//! the leader, and poll the platform themselves while they can't reach the leader.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hawthornkeel_config::settings::Settings;
use hawthornkeel_core::fleet::ServingEntry;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_platform::target_list;
use indexmap::IndexMap;

use crate::control::directory::ControlDirectory;
use crate::control::node::ControlNode;
use crate::control::watch::Watch;
use crate::forward::http_client::HttpClient;
use crate::forward::internal_request;
use crate::forward::internal_request::InternalRequest;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::Discover;
use crate::peer::frame::Discovered;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Presence;
use crate::peer::wakeup::EventCount;

/// Time without a heartbeat after which an entry is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time after its first heartbeat from which an entry counts as settled.
///
/// Schedulers are not moved to an entry that has just started.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Timeout for one page of the platform's list.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of pages of the platform's list.
const MAX_PAGES: usize = 1_000;
/// Timeout of a poll of the leader, in addition to the long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum duration of a long poll.
const MAX_LONG_POLL: Duration = Duration::from_millis(2_000);
/// Maximum age at which the leader's list is accepted.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_500);

/// Control side of discovery; clones share it.
#[derive(Clone)]
pub struct DiscoveryServer {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    control: ControlNode,
    watch: Watch,
    directory: ControlDirectory,
    http_client: HttpClient,
    list_address: SocketAddr,
    poll_interval: Duration,
    target_list: RefCell<TargetList>,
    list_time: Cell<Option<Instant>>,
    entries: RefCell<IndexMap<InstanceName, EntryRecord>>,
    changed: EventCount,
    started: Instant,
}

struct EntryRecord {
    first_heartbeat: Instant,
    last_heartbeat: Instant,
    centre: CentreName,
}

/// Handles of the control instance that a discovery server uses.
pub struct ControlHandles {
    /// Control role.
    pub control: ControlNode,
    /// Published state in force.
    pub watch: Watch,
    /// Known control instances.
    pub directory: ControlDirectory,
}

impl DiscoveryServer {
    /// Starts serving polls and following the platform's list at `list_address`.
    pub fn start(
        settings: &Settings,
        endpoint: &Endpoint,
        handles: ControlHandles,
        list_address: SocketAddr,
    ) -> Self {
        let server = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                control: handles.control,
                watch: handles.watch,
                directory: handles.directory,
                http_client: HttpClient::default(),
                list_address,
                poll_interval: Duration::from_millis(settings.platform.poll_ms),
                target_list: RefCell::default(),
                list_time: Cell::default(),
                entries: RefCell::default(),
                changed: EventCount::default(),
                started: Instant::now(),
            }),
        };
        server.register_handlers();
        monoio::spawn(server.clone().follow_list());
        monoio::spawn(server.clone().expire_entries());
        server
    }

    fn register_handlers(&self) {
        let endpoint = &self.inner.endpoint;
        let server = self.clone();
        endpoint.on_call(FrameKind::Survey, move |_, frame| {
            let server = server.clone();
            async move {
                match frame {
                    Frame::Discover(poll) => {
                        Frame::Discovered(Box::new(server.handle_poll(&poll).await))
                    }
                    other => other,
                }
            }
        });
        let server = self.clone();
        endpoint.on_frame(FrameKind::Present, move |from, frame| {
            if let Frame::Present(presence) = frame {
                server.record_heartbeat(from, presence);
            }
        });
    }

    fn record_heartbeat(&self, from: &InstanceName, presence: Presence) {
        let mut entries = self.inner.entries.borrow_mut();
        let changed = if presence.draining {
            entries.shift_remove(from).is_some()
        } else {
            let now = Instant::now();
            let first_heartbeat = entries.get(from).map_or(now, |e| e.first_heartbeat);
            let record =
                EntryRecord { first_heartbeat, last_heartbeat: now, centre: presence.centre };
            entries.insert(from.clone(), record).is_none()
        };
        drop(entries);
        if changed {
            tracing::info!(event = "entry-heard", entry = %from, leaving = presence.draining);
            self.inner.changed.notify();
        }
    }

    async fn expire_entries(self) {
        loop {
            monoio::time::sleep(ENTRY_TIMEOUT / 4).await;
            let mut entries = self.inner.entries.borrow_mut();
            let count = entries.len();
            entries.retain(|name, record| {
                let alive = record.last_heartbeat.elapsed() < ENTRY_TIMEOUT;
                if !alive {
                    tracing::info!(event = "entry-silent", entry = %name);
                }
                alive
            });
            let changed = entries.len() != count;
            drop(entries);
            if changed {
                self.inner.changed.notify();
            }
        }
    }

    /// Responds to a poll once there is something new, or at the end of the long poll.
    async fn handle_poll(&self, poll: &Discover) -> Discovered {
        let wait = Duration::from_millis(poll.wait_ms.into()).min(MAX_LONG_POLL);
        let deadline = monoio::time::Instant::now() + wait;
        loop {
            let (state_changes, own_changes) =
                (self.inner.watch.changes().count(), self.inner.changed.count());
            if self.has_news(poll) {
                break;
            }
            let changed = async {
                monoio::select! {
                    () = self.inner.watch.changes().wait_after(state_changes) => {}
                    () = self.inner.changed.wait_after(own_changes) => {}
                }
            };
            if monoio::time::timeout_at(deadline, changed).await.is_err() {
                break;
            }
        }
        self.update_for(poll)
    }

    fn has_news(&self, poll: &Discover) -> bool {
        self.inner.watch.index() > poll.after
            || Some(self.inner.target_list.borrow().mark) != poll.list_mark
            || self.inner.entries.borrow().len() != poll.entry_count
    }

    fn update_for(&self, poll: &Discover) -> Discovered {
        let target_list = self.inner.target_list.borrow().clone();
        let list_time = self.inner.list_time.get();
        let entries = self.inner.entries.borrow();
        // After its own start this instance can't tell old entries from new ones.
        let just_started = self.inner.started.elapsed() < SETTLE_TIME * 2;
        let serving = |(name, record): (&InstanceName, &EntryRecord)| ServingEntry {
            name: name.clone(),
            centre: record.centre.clone(),
            settled: just_started || record.first_heartbeat.elapsed() > SETTLE_TIME,
        };
        Discovered {
            followed: self.inner.watch.reply_after(poll.after),
            target_list: (list_time.is_some() && Some(target_list.mark) != poll.list_mark)
                .then_some(target_list),
            list_age_ms: list_time
                .map(|l| u64::try_from(l.elapsed().as_millis()).unwrap_or(u64::MAX)),
            control_instances: self.controls(),
            entries: sorted(entries.iter().map(serving).collect()),
        }
    }

    /// Returns the members of the control group known to this instance.
    fn controls(&self) -> Vec<InstanceName> {
        let members = self.inner.control.status().members;
        let mut names: Vec<InstanceName> = members.0.into_iter().map(|m| m.node.name).collect();
        names.sort();
        names.dedup();
        names
    }

    async fn follow_list(self) {
        loop {
            self.inner.directory.update(self.controls());
            let lead = self.inner.control.lead();
            match lead.leader.filter(|l| l != self.inner.endpoint.name()) {
                Some(leader) => {
                    if !self.fetch_from_leader(&leader).await {
                        self.poll_platform().await;
                        monoio::time::sleep(self.inner.poll_interval).await;
                    }
                }
                None => {
                    self.poll_platform().await;
                    monoio::time::sleep(self.inner.poll_interval).await;
                }
            }
        }
    }

    /// Fetches the leader's list; returns whether it is recent enough.
    async fn fetch_from_leader(&self, leader: &InstanceName) -> bool {
        let wait_ms = u32::try_from(self.inner.poll_interval.as_millis()).unwrap_or(u32::MAX);
        let mark = self.inner.list_time.get().map(|_| self.inner.target_list.borrow().mark);
        let entries = self.inner.entries.borrow().len();
        let poll = Discover {
            after: self.inner.watch.index(),
            list_mark: mark,
            entry_count: entries,
            wait_ms,
        };
        let sent = Instant::now();
        let timeout = RESPONSE_TIMEOUT + self.inner.poll_interval;
        let response = self.inner.endpoint.call(leader, &Frame::Discover(poll), timeout).await;
        let Ok(Frame::Discovered(update)) = response else { return false };
        let Some(age) = update.list_age_ms.map(Duration::from_millis) else { return false };
        if age > MAX_LIST_AGE {
            return false;
        }
        if let Some(target_list) = update.target_list {
            self.set_target_list(target_list);
        }
        self.inner.list_time.set(sent.checked_sub(age));
        // The leader responds at once while it knows entries that this instance doesn't.
        monoio::time::sleep(self.inner.poll_interval.saturating_sub(sent.elapsed()) / 2).await;
        true
    }

    async fn poll_platform(&self) {
        let mut targets = Vec::new();
        let mut path = target_list::PATH.to_owned();
        for _ in 0..MAX_PAGES {
            let deadline = Instant::now() + PAGE_TIMEOUT;
            let address = self.inner.list_address;
            let request =
                InternalRequest { address, path: &path, body: None, fields: &[], deadline };
            let response = match internal_request::send(&self.inner.http_client, &request).await {
                Ok(response) if response.status == 200 => response,
                Ok(response) => return self.log_unread(&format!("status {}", response.status)),
                Err(error) => return self.log_unread(&error.to_string()),
            };
            let page = match target_list::decode_page(&response.body) {
                Ok(page) => page,
                Err(error) => return self.log_unread(&error.to_string()),
            };
            if page.skipped > 0 {
                tracing::debug!(event = "list-entries-skipped", count = page.skipped);
            }
            targets.extend(page.targets);
            match page.next {
                Some(next) => path = next,
                None => break,
            }
        }
        self.set_target_list(target_list::merge_pages(targets));
        self.inner.list_time.set(Some(Instant::now()));
    }

    fn log_unread(&self, cause: &str) {
        let age = self.inner.list_time.get().map(|l| l.elapsed().as_millis());
        tracing::warn!(event = "list-unread", cause, age_ms = age);
    }

    fn set_target_list(&self, list: TargetList) {
        let known = self.inner.list_time.get().is_some();
        if known && self.inner.target_list.borrow().mark == list.mark {
            // Only the times of cold targets have changed.
            *self.inner.target_list.borrow_mut() = list;
            return;
        }
        let leaving = list.targets.iter().filter(|t| t.leaving).count();
        let (targets, mark) = (list.targets.len(), list.mark);
        tracing::info!(event = "list-changed", targets, leaving, mark);
        *self.inner.target_list.borrow_mut() = list;
        self.inner.list_time.set(Some(Instant::now()));
        self.inner.changed.notify();
    }
}

/// Returns the entries in an order that is the same on all control instances.
fn sorted(mut entries: Vec<ServingEntry>) -> Vec<ServingEntry> {
    entries.sort();
    entries
}
