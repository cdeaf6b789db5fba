//! Entries that don't respond: skipped as owners until they respond to a probe.

use std::time::Duration;
use std::time::Instant;

use hawthornkeel_core::names::InstanceName;

use crate::forward::schedulers::RESPONSE_TIMEOUT;
use crate::forward::schedulers::Schedulers;
use crate::peer::Frame;

/// Interval between probes of a suspected entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a suspected entry is dropped from the suspects, as it may be gone for good.
const SUSPECT_TTL: Duration = Duration::from_secs(30);

impl Schedulers {
    /// Skips an entry as owner until it responds to a probe.
    pub fn mark_suspect(&self, owner: &InstanceName) {
        if !self.inner.context.suspect_entry(owner) {
            return;
        }
        tracing::info!(event = "entry-suspected", entry = %owner);
        let (schedulers, owner) = (self.clone(), owner.clone());
        monoio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < SUSPECT_TTL {
                monoio::time::sleep(PROBE_INTERVAL).await;
                let endpoint = &schedulers.inner.context.endpoint;
                if endpoint.call(&owner, &Frame::Ping, RESPONSE_TIMEOUT).await.is_ok() {
                    schedulers.inner.context.record_response(&owner);
                    break;
                }
            }
            tracing::info!(event = "entry-trusted", entry = %owner);
            schedulers.inner.context.clear_suspect(&owner);
        });
    }
}
