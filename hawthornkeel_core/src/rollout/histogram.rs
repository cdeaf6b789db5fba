//! Latency histograms of reports: what is slow compared with the median of the old versions.

use crate::rollout::message::LATENCY_BUCKETS;

/// Factor over the median above which a response is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Time over the median above which a response is slow, in milliseconds.
const SLOW_MARGIN_MS: f64 = 100.0;
/// Upper bound of the lowest bucket, in milliseconds.
const FIRST_BOUND_MS: f64 = 4.0;

/// Numbers of responses by latency.
pub type Histogram = [f64; LATENCY_BUCKETS];

/// Returns the upper bound of a bucket in milliseconds.
fn bound_ms(bucket: usize) -> f64 {
    FIRST_BOUND_MS * 2_f64.powf(bucket as f64 / 2.0)
}

/// Returns the number of responses.
pub fn total(histogram: &Histogram) -> f64 {
    histogram.iter().sum()
}

/// Adds the responses of `other`, each counted `weight` times.
pub fn add(histogram: &mut Histogram, other: &Histogram, weight: f64) {
    for (count, more) in histogram.iter_mut().zip(other) {
        *count += more * weight;
    }
}

/// Returns the median in milliseconds, interpolated within its bucket, or `None` without responses.
pub fn median_ms(histogram: &Histogram) -> Option<f64> {
    let half = total(histogram) / 2.0;
    let mut below = 0.0;
    for (bucket, count) in histogram.iter().enumerate() {
        if *count > 0.0 && below + count >= half {
            let part = ((half - below) / count).clamp(0.0, 1.0);
            return Some(bound_ms(bucket) * 2_f64.powf((part - 1.0) / 2.0));
        }
        below += count;
    }
    None
}

/// Returns the lowest bucket all of whose responses are slow compared with a median.
///
/// A response of a lower bucket may be slow as well. Those of the old versions are counted the same
/// way, so that this costs a little sharpness and no fairness.
pub fn slow_bucket(median_ms: f64) -> usize {
    let slow_ms = (median_ms * SLOW_FACTOR).max(median_ms + SLOW_MARGIN_MS);
    let above = (0..LATENCY_BUCKETS).find(|b| bound_ms(*b) >= slow_ms);
    above.map_or(LATENCY_BUCKETS, |b| b + 1)
}

/// Returns the number of responses in `bucket` and above.
pub fn count_from(histogram: &Histogram, bucket: usize) -> f64 {
    histogram.iter().skip(bucket).sum()
}
