//! Measured times of a pool's calls: a decaying histogram with cached quantiles.

use std::time::Duration;

/// Lower bound of the second bucket, in microseconds.
const FIRST_MICROS: f64 = 100.0;
/// Ratio of the bounds of neighbouring buckets.
const RATIO: f64 = 1.15;
/// Number of buckets: reaches past two minutes.
const BUCKETS: usize = 104;
/// Samples after which all counts are halved.
const HALF_LIFE: u32 = 256;
/// Samples between two computations of the cached quantiles.
const REFRESH: u32 = 8;

/// Streaming estimate of call times.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    counts: Vec<f32>,
    total: f32,
    since_half: u32,
    since_refresh: u32,
    median: Option<Duration>,
    p95: Option<Duration>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self {
            counts: vec![0.0; BUCKETS],
            total: 0.0,
            since_half: 0,
            since_refresh: 0,
            median: None,
            p95: None,
        }
    }
}

impl LatencyHistogram {
    /// Takes the time of one answered call.
    pub fn record(&mut self, latency: Duration) {
        let micros = latency.as_micros() as f64;
        let bucket = (micros.max(FIRST_MICROS) / FIRST_MICROS).log(RATIO) as usize;
        if let Some(count) = self.counts.get_mut(bucket.min(BUCKETS - 1)) {
            *count += 1.0;
            self.total += 1.0;
        }
        self.since_half += 1;
        if self.since_half >= HALF_LIFE {
            self.halve();
        }
        self.since_refresh += 1;
        if self.median.is_none() || self.since_refresh >= REFRESH {
            self.since_refresh = 0;
            self.median = self.quantile(0.5);
            self.p95 = self.quantile(0.95);
        }
    }

    /// Returns the median, once any call was measured.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the time within which 95 in 100 calls are answered, once any call was measured.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    /// Returns the upper bound of the bucket that holds the quantile `q`.
    fn quantile(&self, q: f32) -> Option<Duration> {
        let rank = self.total * q;
        let mut seen = 0.0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank && seen > 0.0 {
                let micros = FIRST_MICROS * RATIO.powi(bucket as i32 + 1);
                return Some(Duration::from_micros(micros as u64));
            }
        }
        None
    }

    /// Halves all counts, so that recent calls count more.
    fn halve(&mut self) {
        self.since_half = 0;
        self.total /= 2.0;
        for count in &mut self.counts {
            *count /= 2.0;
        }
    }
}
