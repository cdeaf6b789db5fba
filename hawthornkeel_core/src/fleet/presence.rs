//! Entries that serve callers, as the control instances know them together.
//!
//! Designed for hundreds of entries: each is heard by the one control instance that it polls, and
//! control instances tell each other whom they heard. Reports carry their age and are passed on
//! once more by others, so that a cut between two control instances hides no entry.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::ServingEntry;
use crate::names::CentreName;
use crate::names::InstanceName;
use crate::time::Instant;

/// Time after which an entry that nobody heard is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time after an entry was first heard from which it counts as settled.
///
/// Schedulers are not moved to an entry that has just started.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// When an entry was heard, relative to when the report is sent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Entry.
    pub name: InstanceName,
    /// Data centre of the entry.
    pub centre: CentreName,
    /// Time since it was last heard, in milliseconds.
    pub heard_ms: u32,
    /// Time since it was first heard, in milliseconds.
    pub known_ms: u32,
}

/// What one control instance tells another about the entries.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryReports {
    /// Entries that were heard.
    pub entries: Vec<EntryReport>,
    /// Entries that have said that they stop, with the time since then in milliseconds.
    pub left: Vec<(InstanceName, u32)>,
}

/// Entry that was heard.
#[derive(Clone, Debug)]
struct Record {
    centre: CentreName,
    first: Instant,
    last: Instant,
    /// Time at which this instance itself heard it last.
    direct: Option<Instant>,
}

/// Entries that a control instance knows of.
#[derive(Clone, Debug)]
pub struct PresenceTable {
    started: Instant,
    entries: IndexMap<InstanceName, Record>,
    /// Entries that have said that they stop.
    left: IndexMap<InstanceName, Instant>,
}

impl PresenceTable {
    /// Creates the table of a control instance that starts now.
    pub fn new(now: Instant) -> Self {
        Self { started: now, entries: IndexMap::new(), left: IndexMap::new() }
    }

    /// Records that this instance heard an entry. Returns whether the entry is new.
    pub fn hear(&mut self, now: Instant, name: &InstanceName, centre: &CentreName) -> bool {
        self.left.swap_remove(name);
        let is_new = self.record(name, centre, now, now);
        if let Some(record) = self.entries.get_mut(name) {
            record.direct = Some(now);
        }
        is_new
    }

    /// Records that an entry stops. Returns whether it was known.
    pub fn leave(&mut self, now: Instant, name: &InstanceName) -> bool {
        self.left.insert(name.clone(), now);
        self.entries.swap_remove(name).is_some()
    }

    /// Merges the reports of another control instance. Returns whether the entries changed.
    pub fn merge(&mut self, now: Instant, reports: &EntryReports) -> bool {
        let mut changed = false;
        for (name, ms) in &reports.left {
            let left = now.before_millis(*ms);
            if self.entries.get(name).is_some_and(|r| r.last <= left) {
                self.entries.swap_remove(name);
                changed = true;
            }
            let known = self.left.entry(name.clone()).or_insert(left);
            *known = left.max(*known);
        }
        for report in &reports.entries {
            let heard = now.before_millis(report.heard_ms);
            let has_left = self.left.get(&report.name).is_some_and(|left| heard <= *left);
            if !has_left && now.since(heard) < ENTRY_TIMEOUT {
                changed |= self.record(
                    &report.name,
                    &report.centre,
                    now.before_millis(report.known_ms),
                    heard,
                );
            }
        }
        changed
    }

    /// Removes the entries that nobody heard for a while, and returns them.
    pub fn expire(&mut self, now: Instant) -> Vec<InstanceName> {
        self.left.retain(|_, left| now.since(*left) < ENTRY_TIMEOUT * 2);
        let is_silent = |r: &Record| now.since(r.last) >= ENTRY_TIMEOUT;
        let silent = self.entries.iter().filter(|(_, r)| is_silent(r));
        let names: Vec<InstanceName> = silent.map(|(name, _)| name.clone()).collect();
        self.entries.retain(|_, r| !is_silent(r));
        names
    }

    /// Returns what this instance heard itself.
    pub fn direct_reports(&self, now: Instant) -> EntryReports {
        let is_direct = |r: &Record| r.direct.is_some_and(|d| now.since(d) < ENTRY_TIMEOUT);
        self.reports(now, is_direct)
    }

    /// Returns all that this instance knows.
    pub fn all_reports(&self, now: Instant) -> EntryReports {
        self.reports(now, |_| true)
    }

    /// Returns the entries that serve callers, in an order that is the same everywhere.
    pub fn serving(&self, now: Instant) -> Vec<ServingEntry> {
        // After its own start this instance can't tell old entries from new ones.
        let just_started = now.since(self.started) < SETTLE_TIME * 2;
        let serving = |(name, record): (&InstanceName, &Record)| ServingEntry {
            name: name.clone(),
            centre: record.centre.clone(),
            settled: just_started || now.since(record.first) > SETTLE_TIME,
        };
        let mut entries: Vec<ServingEntry> = self.entries.iter().map(serving).collect();
        entries.sort();
        entries
    }

    /// Adds or updates an entry. Returns whether it is new.
    fn record(
        &mut self,
        name: &InstanceName,
        centre: &CentreName,
        first: Instant,
        last: Instant,
    ) -> bool {
        match self.entries.get_mut(name) {
            Some(record) => {
                record.first = record.first.min(first);
                record.last = record.last.max(last);
                false
            }
            None => {
                let record = Record { centre: centre.clone(), first, last, direct: None };
                self.entries.insert(name.clone(), record);
                true
            }
        }
    }

    fn reports(&self, now: Instant, include: impl Fn(&Record) -> bool) -> EntryReports {
        let report = |(name, record): (&InstanceName, &Record)| EntryReport {
            name: name.clone(),
            centre: record.centre.clone(),
            heard_ms: now.millis_since(record.last),
            known_ms: now.millis_since(record.first),
        };
        let entries = self.entries.iter().filter(|(_, r)| include(r)).map(report).collect();
        let left =
            self.left.iter().map(|(name, at)| (name.clone(), now.millis_since(*at))).collect();
        EntryReports { entries, left }
    }
}

/// Returns a hash that differs between different sets of entries; never zero.
pub fn entries_mark(entries: &[ServingEntry]) -> u64 {
    let mut text = String::new();
    for entry in entries {
        text.push_str(&format!("{}/{}/{};", entry.name, entry.centre, entry.settled));
    }
    xxh3_64(text.as_bytes()).max(1)
}
