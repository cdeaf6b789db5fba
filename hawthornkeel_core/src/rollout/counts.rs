//! Counts of the outcomes of requests by route, data centre and target.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::CentreName;
use crate::names::RouteName;
use crate::names::TargetName;
use crate::rollout::message::CountRow;
use crate::rollout::message::LATENCY_BUCKETS;
use crate::rollout::message::OutcomeCounts;

/// Maximum number of rows; outcomes of further ones are not counted.
///
/// A row takes about 100 bytes in a report, which entries send several times per second.
const MAX_ROWS: usize = 1_024;
/// Responses of a process of the new version that don't count for slowness, as its caches are empty.
const UNCOUNTED_LATENCIES: u32 = 3;

/// Response of a target, known as soon as its head has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// Route of the request.
    pub route: &'a RouteName,
    /// Data centre of the target.
    pub centre: &'a CentreName,
    /// Target.
    pub target: &'a TargetName,
    /// Start of its process, if it is known.
    pub born: Option<u64>,
    /// Whether it counted as cold.
    pub cold: bool,
    /// Whether the target reports a failure of its own.
    pub failed: bool,
    /// Time from the sending of the request until the response began.
    pub latency: Duration,
}

type RowKey = (RouteName, CentreName, Option<TargetName>);

/// Counts of one rollout at one entry.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTable {
    rows: IndexMap<RowKey, OutcomeCounts>,
    /// Start of the process of each new target, and the number of its responses.
    warming: IndexMap<TargetName, (Option<u64>, u32)>,
}

impl OutcomeTable {
    /// Records a response of a target of the new version.
    pub fn record_new(&mut self, answer: &Answer<'_>) {
        let warming = self.warming.entry(answer.target.clone()).or_default();
        if warming.0 != answer.born {
            *warming = (answer.born, 0);
        }
        let is_warm = warming.1 >= UNCOUNTED_LATENCIES;
        warming.1 = warming.1.saturating_add(1);
        self.record(answer, Some(answer.target.clone()), is_warm);
    }

    /// Records a response of a target of another version.
    pub fn record_old(&mut self, answer: &Answer<'_>) {
        self.record(answer, None, true);
    }

    /// Returns the counts as rows of a report.
    pub fn rows(&self) -> Vec<CountRow> {
        let row = |((route, centre, target), counts): (&RowKey, &OutcomeCounts)| CountRow {
            route: route.clone(),
            centre: centre.clone(),
            target: target.clone(),
            counts: counts.clone(),
        };
        self.rows.iter().map(row).collect()
    }

    fn record(&mut self, answer: &Answer<'_>, target: Option<TargetName>, is_warm: bool) {
        let key = (answer.route.clone(), answer.centre.clone(), target);
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            return;
        }
        let counts = self.rows.entry(key).or_default();
        counts.answers += 1;
        counts.failures += u64::from(answer.failed);
        if is_warm
            && !answer.cold
            && let Some(bucket) = counts.latencies.get_mut(latency_bucket(answer.latency))
        {
            *bucket = bucket.saturating_add(1);
        }
    }
}

/// Returns the bucket of a latency: the first `i` with a bound of `4 * 2^(i / 2)` ms above it, or the
/// last one.
pub fn latency_bucket(latency: Duration) -> usize {
    let ms = latency.as_secs_f64() * 1_000.0;
    let is_above = |bucket: &usize| ms < 4.0 * 2_f64.powf(*bucket as f64 / 2.0);
    (0..LATENCY_BUCKETS).find(is_above).unwrap_or(LATENCY_BUCKETS - 1)
}
