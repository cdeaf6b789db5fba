//! Control side of the origins of streams: holds what entries record, and the versions that the list of
//! targets has shown.

use std::cell::RefCell;
use std::rc::Rc;

use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::streams::table::OriginTable;
use hawthornkeel_core::streams::versions::VersionHistory;

use crate::clock::boot_now;
use crate::peer::Endpoint;
use crate::peer::Frame;
use crate::peer::frame::FindStream;
use crate::peer::frame::FrameKind;
use crate::peer::frame::StreamFound;
use crate::telemetry;

/// Control side of the origins of streams; clones share it.
#[derive(Clone, Default)]
pub(super) struct StreamServer {
    table: Rc<RefCell<OriginTable>>,
    versions: Rc<RefCell<VersionHistory>>,
}

impl StreamServer {
    /// Starts to hold records.
    pub(super) fn start(endpoint: &Endpoint) -> Self {
        let server = Self::default();
        let holder = server.clone();
        endpoint.on_frame(FrameKind::Streams, move |_, frame| {
            if let Frame::Streams(batches) = frame {
                let mut table = holder.table.borrow_mut();
                batches.iter().for_each(|batch| table.record_batch(boot_now(), batch));
                metrics::gauge!(telemetry::STREAM_RECORDS).set(table.len() as f64);
            }
        });
        let holder = server.clone();
        endpoint.on_call(FrameKind::FindStream, move |_, frame| {
            let answer = match frame {
                Frame::FindStream(request) => Frame::StreamFound(holder.find(&request)),
                other => other,
            };
            std::future::ready(answer)
        });
        server
    }

    /// Records the list of targets as it was read now.
    pub(super) fn observe(&self, list: &TargetList) {
        self.versions.borrow_mut().observe(boot_now(), list);
    }

    fn find(&self, request: &FindStream) -> StreamFound {
        let table = self.table.borrow();
        StreamFound {
            record: request
                .stream
                .and_then(|stream| Some(table.source(stream)?.batch(boot_now(), vec![stream]))),
            sole_version: self.versions.borrow().sole_version(boot_now(), &request.pool),
        }
    }
}
