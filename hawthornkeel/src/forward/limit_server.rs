//! Control side of the limits that targets name: tells all entries what any of them has heard.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hawthornkeel_core::placement::limit::LimitReport;
use hawthornkeel_core::placement::limit::LimitTable;

use crate::clock::boot_now;
use crate::control::directory::ControlDirectory;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::FrameKind;
use crate::peer::wakeup::EventCount;

/// Interval at which control instances tell each other the limits that they know.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Control side of the limits of targets; clones share it.
#[derive(Clone)]
pub(super) struct LimitServer {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    directory: ControlDirectory,
    table: RefCell<LimitTable>,
    changes: EventCount,
    /// Mark of the table at the last change.
    mark: Cell<u64>,
}

impl LimitServer {
    /// Starts to collect limits.
    pub(super) fn start(endpoint: &Endpoint, directory: &ControlDirectory) -> Self {
        let table = LimitTable::default();
        let server = Self {
            inner: Rc::new(Inner {
                endpoint: endpoint.clone(),
                directory: directory.clone(),
                mark: Cell::new(table.mark()),
                table: RefCell::new(table),
                changes: EventCount::default(),
            }),
        };
        let merging = server.clone();
        endpoint.on_frame(FrameKind::Limits, move |_, frame| {
            if let Frame::Limits(reports) = frame {
                merging.merge(&reports);
            }
        });
        monoio::spawn(server.clone().exchange());
        server
    }

    /// Returns the count of changes of the limits.
    pub(super) fn changes(&self) -> &EventCount {
        &self.inner.changes
    }

    /// Returns a hash that differs between different limits.
    pub(super) fn mark(&self) -> u64 {
        self.inner.mark.get()
    }

    /// Returns the limits that this instance knows.
    pub(super) fn reports(&self) -> Vec<LimitReport> {
        self.inner.table.borrow().reports(boot_now())
    }

    /// Merges what an entry has heard, and tells the other control instances if it is new.
    pub(super) fn record(&self, reports: &[LimitReport]) {
        if !reports.is_empty() && self.merge(reports) {
            self.send_to_peers();
        }
    }

    /// Merges reports; returns whether the limits have changed.
    fn merge(&self, reports: &[LimitReport]) -> bool {
        let mut table = self.inner.table.borrow_mut();
        table.merge(boot_now(), reports);
        let mark = table.mark();
        let changed = self.inner.mark.replace(mark) != mark;
        if changed {
            self.inner.changes.notify();
        }
        changed
    }

    async fn exchange(self) {
        loop {
            monoio::time::sleep(EXCHANGE_INTERVAL).await;
            // Drops what nobody reports any more.
            self.merge(&[]);
            self.send_to_peers();
        }
    }

    fn send_to_peers(&self) {
        let reports = self.reports();
        if reports.is_empty() {
            return;
        }
        let frame = Frame::Limits(reports);
        for peer in self.inner.directory.peers() {
            if let Err(error) = self.inner.endpoint.send(&peer, &frame) {
                tracing::info!(event = "limits-unsent", control = %peer, %error);
            }
        }
    }
}
