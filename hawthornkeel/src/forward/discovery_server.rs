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
use hawthornkeel_core::fleet::presence::EntryReports;
use hawthornkeel_core::fleet::presence::PresenceTable;
use hawthornkeel_core::fleet::presence::entries_mark;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_platform::target_list;

use crate::clock::boot_now;
use crate::control::directory::ControlDirectory;
use crate::control::node::ControlNode;
use crate::control::watch::Watch;
use crate::forward::http_client::HttpClient;
use crate::forward::limit_server::LimitServer;
use crate::forward::list_reader;
use crate::forward::list_reader::ListError;
use crate::forward::list_reader::ListLimits;
use crate::forward::quarantine_server::QuarantineServer;
use crate::forward::stream_server::StreamServer;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::Discover;
use crate::peer::frame::Discovered;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Presence;
use crate::peer::wakeup::EventCount;
use crate::telemetry;

/// Interval between checks for entries that nobody heard.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(875);
/// Interval between reports to the other control instances while nothing changes.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of reports about changes, so that changes at the same time share one.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Time for which a poll is held at least while only the entries differ.
const ENTRIES_DELAY: Duration = Duration::from_millis(150);
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
    presence: RefCell<PresenceTable>,
    quarantine: QuarantineServer,
    limits: LimitServer,
    streams: StreamServer,
    changed: EventCount,
    /// Counts the entries that this instance itself heard for the first time or saw leave.
    heard: EventCount,
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
        let quarantine = QuarantineServer::start(endpoint, &handles.control, &handles.directory);
        let server = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                quarantine,
                limits: LimitServer::start(endpoint, &handles.directory),
                streams: StreamServer::start(endpoint),
                control: handles.control,
                watch: handles.watch,
                directory: handles.directory,
                http_client: HttpClient::default(),
                list_address,
                poll_interval: Duration::from_millis(settings.platform.poll_ms),
                target_list: RefCell::default(),
                list_time: Cell::default(),
                presence: RefCell::new(PresenceTable::new(boot_now())),
                changed: EventCount::default(),
                heard: EventCount::default(),
            }),
        };
        server.register_handlers();
        monoio::spawn(server.clone().follow_list());
        monoio::spawn(server.clone().expire_entries());
        monoio::spawn(server.clone().report_entries());
        server
    }

    fn register_handlers(&self) {
        let endpoint = &self.inner.endpoint;
        let server = self.clone();
        endpoint.on_call(FrameKind::Survey, move |from, frame| {
            let (server, from) = (server.clone(), from.clone());
            async move {
                match frame {
                    Frame::Discover(poll) => {
                        server.inner.limits.record(&poll.limits);
                        if let Some(presence) = &poll.presence {
                            server.record_presence(&from, presence);
                        }
                        Frame::Discovered(Box::new(server.handle_poll(&poll).await))
                    }
                    other => other,
                }
            }
        });
        let server = self.clone();
        endpoint.on_frame(FrameKind::Present, move |from, frame| {
            if let Frame::Present(presence) = frame {
                server.record_presence(from, &presence);
            }
        });
        let server = self.clone();
        endpoint.on_frame(FrameKind::Entries, move |_, frame| {
            if let Frame::Entries(reports) = frame {
                server.merge_reports(&reports);
            }
        });
    }

    fn record_presence(&self, from: &InstanceName, presence: &Presence) {
        let mut table = self.inner.presence.borrow_mut();
        let changed = if presence.draining {
            table.leave(boot_now(), from)
        } else {
            table.hear(boot_now(), from, &presence.centre)
        };
        drop(table);
        if changed {
            tracing::info!(event = "entry-heard", entry = %from, leaving = presence.draining);
            self.inner.changed.notify();
        }
        if changed || presence.draining {
            self.inner.heard.notify();
        }
    }

    fn merge_reports(&self, reports: &EntryReports) {
        if self.inner.presence.borrow_mut().merge(boot_now(), reports) {
            self.inner.changed.notify();
        }
    }

    async fn expire_entries(self) {
        loop {
            monoio::time::sleep(EXPIRY_INTERVAL).await;
            let silent = self.inner.presence.borrow_mut().expire(boot_now());
            for name in &silent {
                tracing::info!(event = "entry-silent", entry = %name);
            }
            if !silent.is_empty() {
                self.inner.changed.notify();
            }
        }
    }

    /// Returns what this instance heard itself, and all that it knows.
    fn entry_reports(&self) -> (Frame, Frame) {
        let (now, table) = (boot_now(), self.inner.presence.borrow());
        (Frame::Entries(table.direct_reports(now)), Frame::Entries(table.all_reports(now)))
    }

    /// Tells the other control instances which entries this one heard.
    ///
    /// One of them in turn is told all that this one knows, in case a partition separates it from
    /// those that heard the rest.
    async fn report_entries(self) {
        for round in 0_usize.. {
            let seen = self.inner.heard.count();
            let peers = self.inner.directory.peers();
            let (direct, all) = self.entry_reports();
            for (index, peer) in peers.iter().enumerate() {
                let in_turn = index == round % peers.len().max(1);
                let frame = if in_turn { &all } else { &direct };
                if let Err(error) = self.inner.endpoint.send(peer, frame) {
                    tracing::info!(event = "entries-unsent", control = %peer, %error);
                }
            }
            let change = self.inner.heard.wait_after(seen);
            let _ = monoio::time::timeout(REPORT_INTERVAL, change).await;
            monoio::time::sleep(REPORT_DELAY).await;
        }
    }

    /// Responds to a poll once there is something new, or at the end of the long poll.
    async fn handle_poll(&self, poll: &Discover) -> Discovered {
        let wait = Duration::from_millis(poll.wait_ms.into()).min(MAX_LONG_POLL);
        let started = monoio::time::Instant::now();
        let deadline = started + wait;
        loop {
            let (state_changes, own_changes) =
                (self.inner.watch.changes().count(), self.inner.changed.count());
            let part_changes = self.inner.quarantine.changes().count();
            let limit_changes = self.inner.limits.changes().count();
            if self.has_news(poll) {
                break;
            }
            // Entries join and leave many at a time, and each change concerns all who poll.
            let deadline = match self.has_other_entries(poll) {
                true => deadline.min(started + ENTRIES_DELAY),
                false => deadline,
            };
            let changed = async {
                monoio::select! {
                    () = self.inner.watch.changes().wait_after(state_changes) => {}
                    () = self.inner.changed.wait_after(own_changes) => {}
                    () = self.inner.quarantine.changes().wait_after(part_changes) => {}
                    () = self.inner.limits.changes().wait_after(limit_changes) => {}
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
            || poll.records_mark.is_some_and(|known| known != self.inner.quarantine.mark())
            || poll.limits_mark.is_some_and(|known| known != self.inner.limits.mark())
    }

    /// Returns whether the caller knows other entries than this instance.
    fn has_other_entries(&self, poll: &Discover) -> bool {
        poll.entries_mark.is_some_and(|mark| mark != entries_mark(&self.serving()))
    }

    /// Returns the list of targets, or `None` before one was read.
    pub fn target_list(&self) -> Option<TargetList> {
        self.inner.list_time.get().map(|_| self.inner.target_list.borrow().clone())
    }

    /// Returns the signal for changes of the targets and the entries.
    pub fn changes(&self) -> &EventCount {
        &self.inner.changed
    }

    /// Returns the entries that serve callers.
    pub fn serving(&self) -> Vec<ServingEntry> {
        self.inner.presence.borrow().serving(boot_now())
    }

    fn update_for(&self, poll: &Discover) -> Discovered {
        self.inner.watch.confirm_as_leader(&self.inner.control);
        let target_list = self.inner.target_list.borrow().clone();
        let list_time = self.inner.list_time.get();
        let entries = self.serving();
        let mark = entries_mark(&entries);
        let records_mark = self.inner.quarantine.mark();
        let records_differ = poll.records_mark.is_some_and(|known| known != records_mark);
        let limits_mark = self.inner.limits.mark();
        let limits_differ = poll.limits_mark.is_some_and(|known| known != limits_mark);
        Discovered {
            followed: self.inner.watch.reply_after(poll.after),
            target_list: (list_time.is_some() && Some(target_list.mark) != poll.list_mark)
                .then_some(target_list),
            list_age_ms: list_time
                .map(|l| u64::try_from(l.elapsed().as_millis()).unwrap_or(u64::MAX)),
            control_instances: self.controls(),
            entries: poll.entries_mark.is_some_and(|known| known != mark).then_some(entries),
            entries_mark: mark,
            subject_records: records_differ.then(|| self.inner.quarantine.records()),
            records_mark,
            limits: limits_differ.then(|| self.inner.limits.reports()),
            limits_mark,
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
            self.record_age();
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
        let poll = Discover {
            after: self.inner.watch.index(),
            list_mark: mark,
            entries_mark: None,
            records_mark: None,
            limits_mark: None,
            limits: Vec::new(),
            presence: None,
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
        match update.target_list {
            Some(target_list) => self.set_target_list(target_list),
            // The list is still the same.
            None => self.inner.streams.observe(&self.inner.target_list.borrow()),
        }
        self.inner.list_time.set(sent.checked_sub(age));
        monoio::time::sleep(self.inner.poll_interval.saturating_sub(sent.elapsed()) / 2).await;
        true
    }

    async fn poll_platform(&self) {
        let (client, address) = (&self.inner.http_client, self.inner.list_address);
        match list_reader::read_list(client, address, &ListLimits::default()).await {
            Ok(reading) if reading.is_complete => {
                self.set_target_list(reading.list);
                self.inner.list_time.set(Some(Instant::now()));
            }
            Ok(reading) => self.use_incomplete_list(&reading.list),
            Err(error) => self.log_unread(&error),
        }
    }

    /// Uses what was read of a list, and what was known of the targets that are missing in it.
    fn use_incomplete_list(&self, list: &TargetList) {
        let time = self.inner.list_time.get();
        let age = time.map(|l| l.elapsed().as_millis());
        metrics::counter!(telemetry::LIST_ERRORS, "cause" => "incomplete").increment(1);
        tracing::warn!(event = "list-incomplete", targets = list.targets.len(), age_ms = age);
        let completed = target_list::complete_list(list, &self.inner.target_list.borrow());
        self.set_target_list(completed);
        // The missing targets are as of the last complete list.
        self.inner.list_time.set(time.or(self.inner.list_time.get()));
    }

    fn record_age(&self) {
        if let Some(time) = self.inner.list_time.get() {
            metrics::gauge!(telemetry::LIST_AGE).set(time.elapsed().as_secs_f64());
        }
    }

    fn log_unread(&self, cause: &ListError) {
        metrics::counter!(telemetry::LIST_ERRORS, "cause" => cause.as_str()).increment(1);
        let age = self.inner.list_time.get().map(|l| l.elapsed().as_millis());
        tracing::warn!(event = "list-unread", %cause, age_ms = age);
    }

    fn set_target_list(&self, list: TargetList) {
        self.inner.streams.observe(&list);
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
