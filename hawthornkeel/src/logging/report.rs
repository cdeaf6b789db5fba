//! Tells how many lines of the log were dropped.

use std::convert::Infallible;
use std::time::Duration;

use crate::logging::LogOutput;
use crate::telemetry;

/// Interval at which dropped lines are told.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl LogOutput {
    /// Tells once a second of the dropped lines, without end.
    pub async fn keep_reporting(&self) -> Infallible {
        loop {
            monoio::time::sleep(REPORT_INTERVAL).await;
            self.report_dropped();
        }
    }

    /// Logs and counts the lines that were dropped since the last call, as far as there is room for
    /// the lines that tell so; the rest is left to the next call.
    pub fn report_dropped(&self) {
        // The lines that tell are of one kind, which is limited itself.
        for _ in 0..self.limit.max {
            if !self.writer.has_room() {
                return;
            }
            let dropped = self.writer.dropped();
            let reported = self.reported.replace(dropped);
            let lost = dropped.saturating_sub(reported) as u64;
            if lost > 0 {
                report("queue", "any", lost);
            } else if let Some((kind, count)) = self.limit.take_dropped() {
                report("limit", &kind, count);
            } else {
                return;
            }
        }
    }
}

fn report(reason: &'static str, kind: &str, count: u64) {
    metrics::counter!(telemetry::DROPPED_LINES, "reason" => reason).increment(count);
    tracing::warn!(event = "log-lines-dropped", reason, kind, count);
}
