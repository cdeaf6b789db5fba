//! Control side of the quarantine of subjects that end targets: adds up the evidence of all
//! entries and lends probes.
//!
//! Each control instance passes the evidence of the entries that poll it on to the others, and they
//! tell each other once a second what they believe. Only the leader lends probes.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::quarantine::board::Board;
use hawthornkeel_core::quarantine::evidence::Evidence;
use hawthornkeel_core::quarantine::record::SubjectRecord;
use hawthornkeel_core::time::Instant;

use crate::clock::boot_now;
use crate::control::directory::ControlDirectory;
use crate::control::node::ControlNode;
use crate::forward::quarantine::log_changes;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::FrameKind;
use crate::peer::frame::LendProbe;
use crate::peer::wakeup::EventCount;

/// Interval at which control instances tell each other what they believe.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a control instance leads before it lends probes: it has heard of those that its
/// predecessor lent.
const MIN_LEAD_TIME: Duration = Duration::from_secs(3);
/// Time to wait for the leader's answer about a probe.
const LEADER_TIMEOUT: Duration = Duration::from_millis(250);

/// Control side of the quarantine; clones share it.
#[derive(Clone)]
pub(super) struct QuarantineServer {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    control: ControlNode,
    directory: ControlDirectory,
    board: RefCell<Board>,
    changes: EventCount,
    /// Mark of the board at the last change.
    mark: Cell<u64>,
    leads_since: Cell<Option<Instant>>,
}

impl QuarantineServer {
    /// Starts to collect evidence.
    pub(super) fn start(
        endpoint: &Endpoint,
        control: &ControlNode,
        directory: &ControlDirectory,
    ) -> Self {
        let board = Board::default();
        let server = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                control: control.clone(),
                directory: directory.clone(),
                mark: Cell::new(board.mark()),
                board: RefCell::new(board),
                changes: EventCount::default(),
                leads_since: Cell::default(),
            }),
        };
        server.register_handlers();
        monoio::spawn(server.clone().exchange_records());
        server
    }

    /// Returns the count of changes of what this instance believes.
    pub(super) fn changes(&self) -> &EventCount {
        &self.inner.changes
    }

    /// Returns a hash that differs between different beliefs.
    pub(super) fn mark(&self) -> u64 {
        self.inner.mark.get()
    }

    /// Returns what this instance believes.
    pub(super) fn records(&self) -> Vec<SubjectRecord> {
        self.inner.board.borrow().records(boot_now())
    }

    fn register_handlers(&self) {
        let endpoint = &self.inner.endpoint;
        let server = self.clone();
        endpoint.on_frame(FrameKind::Evidence, move |_, frame| {
            if let Frame::Evidence(evidence) = frame {
                server.record(evidence);
            }
        });
        let server = self.clone();
        endpoint.on_frame(FrameKind::SubjectRecords, move |_, frame| {
            if let Frame::SubjectRecords(records) = frame {
                server.inner.board.borrow_mut().merge(boot_now(), &records);
                server.publish();
            }
        });
        let server = self.clone();
        endpoint.on_call(FrameKind::LendProbe, move |_, frame| {
            let server = server.clone();
            async move {
                match frame {
                    Frame::LendProbe(request) => Frame::ProbeLent(server.lend(request).await),
                    other => other,
                }
            }
        });
    }

    fn record(&self, evidence: Evidence) {
        log_changes(&self.inner.board.borrow_mut().record(boot_now(), &evidence));
        if !evidence.endings.is_empty() {
            let server = self.clone();
            monoio::spawn(async move { server.judge().await });
        }
        self.publish();
        if !evidence.relayed {
            self.send_to_peers(&Frame::Evidence(Evidence { relayed: true, ..evidence }));
        }
    }

    /// Judges what was recorded until nothing is due any more.
    async fn judge(&self) {
        let settles_at = || self.inner.board.borrow().settles_at();
        while let Some(at) = settles_at() {
            monoio::time::sleep(at.since(boot_now())).await;
            log_changes(&self.inner.board.borrow_mut().settle(boot_now()));
            self.publish();
        }
    }

    /// Wakes the polls of entries if the beliefs have changed.
    fn publish(&self) {
        let mark = self.inner.board.borrow().mark();
        if self.inner.mark.replace(mark) != mark {
            self.inner.changes.notify();
        }
    }

    async fn exchange_records(self) {
        loop {
            monoio::time::sleep(EXCHANGE_INTERVAL).await;
            let leads = self.inner.control.lead().is_leader;
            let since = self.inner.leads_since.get().unwrap_or_else(boot_now);
            self.inner.leads_since.set(leads.then_some(since));
            let records = self.records();
            if !records.is_empty() {
                self.send_to_peers(&Frame::SubjectRecords(records));
            }
        }
    }

    fn send_to_peers(&self, frame: &Frame) {
        for peer in self.inner.directory.peers() {
            if let Err(error) = self.inner.endpoint.send(&peer, frame) {
                tracing::info!(event = "evidence-unsent", control = %peer, %error);
            }
        }
    }

    /// Lends the probe of a subject if it is due, or asks the leader to.
    async fn lend(&self, request: LendProbe) -> bool {
        let lead = self.inner.control.lead();
        if lead.is_leader {
            return self.lend_own(request);
        }
        match lead.leader {
            Some(leader) if !request.relayed => self.ask_leader(&leader, request).await,
            _ => false,
        }
    }

    fn lend_own(&self, request: LendProbe) -> bool {
        let now = boot_now();
        let leads_long =
            self.inner.leads_since.get().is_some_and(|s| now.since(s) >= MIN_LEAD_TIME);
        let lent = leads_long && self.inner.board.borrow_mut().lend_probe(now, request.subject);
        if lent {
            tracing::info!(event = "probe-lent", subject = %request.subject);
            self.publish();
            self.send_to_peers(&Frame::SubjectRecords(self.records()));
        }
        lent
    }

    async fn ask_leader(&self, leader: &InstanceName, request: LendProbe) -> bool {
        let frame = Frame::LendProbe(LendProbe { relayed: true, ..request });
        let answer = self.inner.endpoint.call(leader, &frame, LEADER_TIMEOUT).await;
        matches!(answer, Ok(Frame::ProbeLent(true)))
    }
}
