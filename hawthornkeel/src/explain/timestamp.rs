//! Times of log lines, in UTC as RFC 3339 writes them.

use std::time::Duration;

/// Number of nanoseconds in a second.
const NANOS: u64 = 1_000_000_000;
/// Number of seconds in a day.
const DAY_SECONDS: u64 = 86_400;
/// Digits of the fraction of a second that are read.
const FRACTION_DIGITS: usize = 9;

/// Time of a log line, in nanoseconds since the start of 1970.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Parses a time such as `2026-01-11T05:45:37.013160153Z`.
    pub fn parse(text: &str) -> Option<Self> {
        let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
        let (time, fraction) = time.split_once('.').unwrap_or((time, "0"));
        let [year, month, day] = numbers(date, '-')?;
        let [hour, minute, second] = numbers(time, ':')?;
        let is_valid = (1970..=2400).contains(&year)
            && (1..=12).contains(&month)
            && (1..=31).contains(&day)
            && hour < 24
            && minute < 60
            && second <= 60;
        if !is_valid {
            return None;
        }
        let days = days_since_1970(year, month, day);
        let seconds = days * DAY_SECONDS + hour * 3_600 + minute * 60 + second;
        Some(Self(seconds * NANOS + nanos(fraction)?))
    }

    /// Returns the time `span` earlier.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(in_nanos(span)))
    }

    /// Returns the time `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(in_nanos(span)))
    }

    /// Returns the milliseconds from `start` until this time, negative if it is earlier.
    pub fn millis_since(self, start: Self) -> i64 {
        let signed = |time: Self| i64::try_from(time.0 / 1_000).unwrap_or(i64::MAX);
        (signed(self) - signed(start)).div_euclid(1_000)
    }

    /// Returns the time between this and another time.
    pub fn distance(self, other: Self) -> Duration {
        Duration::from_nanos(self.0.abs_diff(other.0))
    }
}

fn in_nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

fn numbers(text: &str, separator: char) -> Option<[u64; 3]> {
    let mut parts = text.split(separator).map(number);
    let numbers = [parts.next()??, parts.next()??, parts.next()??];
    parts.next().is_none().then_some(numbers)
}

fn number(text: &str) -> Option<u64> {
    let is_short = (1..=4).contains(&text.len());
    (is_short && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}

fn nanos(fraction: &str) -> Option<u64> {
    if fraction.is_empty() || !fraction.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let digits: String = fraction.chars().take(FRACTION_DIGITS).collect();
    format!("{digits:0<FRACTION_DIGITS$}").parse().ok()
}

/// Returns the days from the start of 1970 until a date of the Gregorian calendar.
fn days_since_1970(year: u64, month: u64, day: u64) -> u64 {
    // Counted from March, so that the leap day is the last of its year.
    let (year, month) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leap_days = year / 4 - year / 100 + year / 400;
    let days = year * 365 + leap_days + (month * 153 + 2) / 5 + day - 1;
    days - 719_468
}
