//! Control side of what entries follow: the document, the list of targets and the other entries.
//!
//! One control instance at a time reads the platform's list, the one that leads; the others take it
//! from there, and read it themselves only where they are cut off from the leader.

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

use crate::control::directory::Directory;
use crate::control::node::Control;
use crate::control::watch::Watch;
use crate::forward::calls;
use crate::forward::calls::Call;
use crate::forward::exchange::Exchanges;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::FrameKind;
use crate::peer::frame::Presence;
use crate::peer::frame::Survey;
use crate::peer::frame::Surveyed;
use crate::peer::signal::Signal;

/// Time without a word from an entry after which it counts as gone.
const PRESENT: Duration = Duration::from_millis(3_500);
/// Time after which an entry is settled: work is not moved to one that has just started.
const SETTLED: Duration = Duration::from_secs(6);
/// Time for one page of the list.
const PAGE_TIME: Duration = Duration::from_millis(1_500);
/// Pages of the list, at most.
const MAX_PAGES: usize = 1_000;
/// Time for the leader to answer beyond the hold.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Longest hold that is granted.
const MAX_HOLD: Duration = Duration::from_millis(2_000);
/// Age from which on the leader's list is not taken.
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Control side of what entries follow; clones share it.
#[derive(Clone)]
pub struct DiscoveryServer {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    control: Control,
    watch: Watch,
    directory: Directory,
    exchanges: Exchanges,
    list: SocketAddr,
    poll: Duration,
    listing: RefCell<TargetList>,
    listed: Cell<Option<Instant>>,
    entries: RefCell<IndexMap<InstanceName, Seen>>,
    changed: Signal,
    started: Instant,
}

struct Seen {
    first: Instant,
    at: Instant,
    centre: CentreName,
}

/// Handles of the control instance that a discovery server uses.
pub struct ControlHandles {
    /// Control role.
    pub control: Control,
    /// Published state in force.
    pub watch: Watch,
    /// Control instances that are known.
    pub directory: Directory,
}

impl DiscoveryServer {
    /// Starts to serve surveys and to read the platform's list at `list`.
    pub fn start(
        settings: &Settings,
        endpoint: &Endpoint,
        handles: ControlHandles,
        list: SocketAddr,
    ) -> Self {
        let server = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                control: handles.control,
                watch: handles.watch,
                directory: handles.directory,
                exchanges: Exchanges::default(),
                list,
                poll: Duration::from_millis(settings.platform.poll_ms),
                listing: RefCell::default(),
                listed: Cell::default(),
                entries: RefCell::default(),
                changed: Signal::default(),
                started: Instant::now(),
            }),
        };
        server.serve();
        monoio::spawn(server.clone().follow_list());
        monoio::spawn(server.clone().forget_gone());
        server
    }

    fn serve(&self) {
        let endpoint = &self.inner.endpoint;
        let server = self.clone();
        endpoint.on_call(FrameKind::Survey, move |_, frame| {
            let server = server.clone();
            async move {
                match frame {
                    Frame::Survey(survey) => {
                        Frame::Surveyed(Box::new(server.answer(&survey).await))
                    }
                    other => other,
                }
            }
        });
        let server = self.clone();
        endpoint.on_frame(FrameKind::Present, move |from, frame| {
            if let Frame::Present(presence) = frame {
                server.hear(from, presence);
            }
        });
    }

    fn hear(&self, from: &InstanceName, presence: Presence) {
        let mut entries = self.inner.entries.borrow_mut();
        let changed = if presence.leaving {
            entries.shift_remove(from).is_some()
        } else {
            let now = Instant::now();
            let first = entries.get(from).map_or(now, |s| s.first);
            let seen = Seen { first, at: now, centre: presence.centre };
            entries.insert(from.clone(), seen).is_none()
        };
        drop(entries);
        if changed {
            tracing::info!(event = "entry-heard", entry = %from, leaving = presence.leaving);
            self.inner.changed.notify();
        }
    }

    async fn forget_gone(self) {
        loop {
            monoio::time::sleep(PRESENT / 4).await;
            let mut entries = self.inner.entries.borrow_mut();
            let count = entries.len();
            entries.retain(|name, seen| {
                let present = seen.at.elapsed() < PRESENT;
                if !present {
                    tracing::info!(event = "entry-silent", entry = %name);
                }
                present
            });
            let changed = entries.len() != count;
            drop(entries);
            if changed {
                self.inner.changed.notify();
            }
        }
    }

    /// Answers a survey once there is something new, or after its hold.
    async fn answer(&self, survey: &Survey) -> Surveyed {
        let hold = Duration::from_millis(survey.wait_ms.into()).min(MAX_HOLD);
        let deadline = monoio::time::Instant::now() + hold;
        loop {
            let (watched, own) = (self.inner.watch.changes().count(), self.inner.changed.count());
            if self.is_new(survey) {
                break;
            }
            let changed = async {
                monoio::select! {
                    () = self.inner.watch.changes().after(watched) => {}
                    () = self.inner.changed.after(own) => {}
                }
            };
            if monoio::time::timeout_at(deadline, changed).await.is_err() {
                break;
            }
        }
        self.surveyed(survey)
    }

    fn is_new(&self, survey: &Survey) -> bool {
        self.inner.watch.index() > survey.after
            || Some(self.inner.listing.borrow().mark) != survey.listing
            || self.inner.entries.borrow().len() != survey.entries
    }

    fn surveyed(&self, survey: &Survey) -> Surveyed {
        let listing = self.inner.listing.borrow().clone();
        let listed = self.inner.listed.get();
        let entries = self.inner.entries.borrow();
        // What was here before this instance can't be told from what is new.
        let young = self.inner.started.elapsed() < SETTLED * 2;
        let present = |(name, seen): (&InstanceName, &Seen)| ServingEntry {
            name: name.clone(),
            centre: seen.centre.clone(),
            settled: young || seen.first.elapsed() > SETTLED,
        };
        Surveyed {
            followed: self.inner.watch.followed(survey.after),
            listing: (listed.is_some() && Some(listing.mark) != survey.listing).then_some(listing),
            listed_ms: listed.map(|l| u64::try_from(l.elapsed().as_millis()).unwrap_or(u64::MAX)),
            controls: self.controls(),
            entries: sorted(entries.iter().map(present).collect()),
        }
    }

    /// Returns the members of the group, as far as this instance knows.
    fn controls(&self) -> Vec<InstanceName> {
        let members = self.inner.control.status().members;
        let mut names: Vec<InstanceName> = members.0.into_iter().map(|m| m.node.name).collect();
        names.sort();
        names.dedup();
        names
    }

    async fn follow_list(self) {
        loop {
            self.inner.directory.learn(self.controls());
            let lead = self.inner.control.lead();
            match lead.leader.filter(|l| l != self.inner.endpoint.name()) {
                Some(leader) => {
                    if !self.take_list(&leader).await {
                        self.read_list().await;
                        monoio::time::sleep(self.inner.poll).await;
                    }
                }
                None => {
                    self.read_list().await;
                    monoio::time::sleep(self.inner.poll).await;
                }
            }
        }
    }

    /// Takes the leader's list; tells whether it was young enough.
    async fn take_list(&self, leader: &InstanceName) -> bool {
        let wait_ms = u32::try_from(self.inner.poll.as_millis()).unwrap_or(u32::MAX);
        let mark = self.inner.listed.get().map(|_| self.inner.listing.borrow().mark);
        let entries = self.inner.entries.borrow().len();
        let survey = Survey { after: self.inner.watch.index(), listing: mark, entries, wait_ms };
        let asked = Instant::now();
        let timeout = ANSWER_TIME + self.inner.poll;
        let answer = self.inner.endpoint.call(leader, &Frame::Survey(survey), timeout).await;
        let Ok(Frame::Surveyed(surveyed)) = answer else { return false };
        let Some(age) = surveyed.listed_ms.map(Duration::from_millis) else { return false };
        if age > MAX_AGE {
            return false;
        }
        if let Some(listing) = surveyed.listing {
            self.set_listing(listing);
        }
        self.inner.listed.set(asked.checked_sub(age));
        // The leader may have answered at once, for entries that are known only there.
        monoio::time::sleep(self.inner.poll.saturating_sub(asked.elapsed()) / 2).await;
        true
    }

    async fn read_list(&self) {
        let mut targets = Vec::new();
        let mut path = target_list::PATH.to_owned();
        for _ in 0..MAX_PAGES {
            let until = Instant::now() + PAGE_TIME;
            let address = self.inner.list;
            let call = Call { address, path: &path, body: None, fields: &[], until };
            let reply = match calls::make(&self.inner.exchanges, &call).await {
                Ok(reply) if reply.status == 200 => reply,
                Ok(reply) => return self.unread(&format!("status {}", reply.status)),
                Err(failure) => return self.unread(&failure.to_string()),
            };
            let page = match target_list::decode_page(&reply.body) {
                Ok(page) => page,
                Err(error) => return self.unread(&error.to_string()),
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
        self.set_listing(target_list::merge_pages(targets));
        self.inner.listed.set(Some(Instant::now()));
    }

    fn unread(&self, cause: &str) {
        let age = self.inner.listed.get().map(|l| l.elapsed().as_millis());
        tracing::warn!(event = "list-unread", cause, age_ms = age);
    }

    fn set_listing(&self, listing: TargetList) {
        let known = self.inner.listed.get().is_some();
        if known && self.inner.listing.borrow().mark == listing.mark {
            // Only times have changed.
            *self.inner.listing.borrow_mut() = listing;
            return;
        }
        let leaving = listing.targets.iter().filter(|t| t.leaving).count();
        let (targets, mark) = (listing.targets.len(), listing.mark);
        tracing::info!(event = "list-changed", targets, leaving, mark);
        *self.inner.listing.borrow_mut() = listing;
        self.inner.listed.set(Some(Instant::now()));
        self.inner.changed.notify();
    }
}

/// Returns entries in the one order that all control instances give them in.
fn sorted(mut entries: Vec<ServingEntry>) -> Vec<ServingEntry> {
    entries.sort();
    entries
}
