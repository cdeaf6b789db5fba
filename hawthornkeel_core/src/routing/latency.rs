//! Call times of a pool: a decaying histogram with cached quantiles.

use std::time::Duration;

/// Lower bound of the first bucket, in microseconds; shorter calls are counted there.
const LOWEST_MICROS: f64 = 100.0;
/// Ratio of the bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 1.15;
/// Number of buckets; the last one starts beyond two minutes.
const BUCKETS: usize = 104;
/// Number of samples after which all counts are halved.
const DECAY_INTERVAL: u32 = 256;
/// Number of samples between updates of the cached quantiles.
const REFRESH_INTERVAL: u32 = 8;

/// Streaming estimate of call times.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<f32>,
    total: f32,
    since_decay: u32,
    since_refresh: u32,
    median: Option<Duration>,
    p95: Option<Duration>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0.0; BUCKETS],
            total: 0.0,
            since_decay: 0,
            since_refresh: 0,
            median: None,
            p95: None,
        }
    }
}

impl LatencyHistogram {
    /// Records the duration of one call.
    pub fn record(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        let bucket = (micros.max(LOWEST_MICROS) / LOWEST_MICROS).log(BUCKET_RATIO) as usize;
        if let Some(count) = self.counts.get_mut(bucket.min(BUCKETS - 1)) {
            *count += 1.0;
            self.total += 1.0;
        }
        self.since_decay += 1;
        if self.since_decay >= DECAY_INTERVAL {
            self.decay();
        }
        self.since_refresh += 1;
        if self.median.is_none() || self.since_refresh >= REFRESH_INTERVAL {
            self.since_refresh = 0;
            self.median = self.quantile(0.5);
            self.p95 = self.quantile(0.95);
        }
    }

    /// Returns the median, or `None` before the first sample.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the 95th percentile, or `None` before the first sample.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    /// Returns the upper bound of the bucket that contains the quantile `q`.
    fn quantile(&self, q: f32) -> Option<Duration> {
        let rank = self.total * q;
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank && seen > 0.0 {
                let micros = LOWEST_MICROS * BUCKET_RATIO.powi(bucket as i32 + 1);
                return Some(Duration::from_micros(micros as u64));
            }
        }
        None
    }

    /// Halves all counts, so that recent calls weigh more.
    fn decay(&mut self) {
        self.since_decay = 0;
        self.total /= 2.0;
        for count in &mut self.counts {
            *count /= 2.0;
        }
    }
}
