//! Memory shared by the responses that an entry holds, and which exchange is given up once it is
//! used up.
//!
//! An exchange asks for memory as its bytes arrive. Without room it waits for a while. Small
//! responses get room first, then those that declare their length, then the others; in each group
//! those that hold least. After the wait exchanges are given up to make room:
//!
//! - first those whose response declares no length, then those with one, as the rest of these is
//!   known to be bounded;
//! - among these, the one that holds most;
//! - never one that holds little, and never one whose response is complete.
//!
//! A part of the memory is only for exchanges that hold little, so that large responses, which may
//! be kept by slow callers, don't take it from small ones.

use std::time::Duration;

use indexmap::IndexMap;

use crate::time::Instant;

/// Size up to which a response is small, in bytes.
const SMALL_BYTES: usize = 128 << 10;
/// Divisor of the memory that is only for small responses.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Time that one exchange waits for room in all before others, or itself, are given up.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// Time to wait for the memory of an exchange that was given up.
const RETURN_TIME: Duration = Duration::from_millis(20);

/// Identifier of an exchange that holds memory.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HolderId(u64);

/// Answer to an exchange that asks for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// The exchange holds what it asked for.
    Granted,
    /// The exchange waits, and asks again when it is woken or at this time.
    Wait(Instant),
    /// The exchange is given up and must return what it holds.
    GivenUp,
}

/// Memory shared by the responses that an entry holds.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    used: usize,
    next_id: u64,
    holders: IndexMap<HolderId, Holder>,
    /// Exchanges that got room or were given up since this was last read.
    woken: Vec<HolderId>,
}

/// Exchange that holds memory.
#[derive(Debug)]
struct Holder {
    /// Number of bytes held.
    held: usize,
    /// Whether the response declares its length.
    declared: bool,
    complete: bool,
    given_up: bool,
    waiting: Option<Waiting>,
    /// Time waited for room before.
    waited: Duration,
}

/// Group of exchanges, in the order in which they get room.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Group {
    /// The response is small so far.
    Small,
    /// The response declares its length.
    Declared,
    /// The response may have no end.
    Undeclared,
}

/// Wait for room.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Number of bytes to hold.
    total: usize,
    since: Instant,
}

impl Holder {
    /// Returns the number of bytes that the exchange waits for.
    fn missing(&self) -> usize {
        self.waiting.map_or(0, |w| w.total.saturating_sub(self.held))
    }

    /// Returns the place among those that wait for room; the lowest gets it first.
    fn place(&self) -> (Group, usize) {
        let group = match self.waiting {
            Some(waiting) if waiting.total <= SMALL_BYTES => Group::Small,
            _ if self.declared => Group::Declared,
            _ => Group::Undeclared,
        };
        (group, self.held)
    }

    /// Returns whether the exchange may be given up for others.
    fn may_be_given_up(&self) -> bool {
        self.held > SMALL_BYTES && !self.complete && !self.given_up
    }
}

impl ResponseMemory {
    /// Creates a memory of `limit` bytes of which nothing is used.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0, next_id: 0, holders: IndexMap::new(), woken: Vec::new() }
    }

    /// Returns the number of bytes that all exchanges hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds an exchange that holds nothing; `declared` if its response declares its length.
    pub fn open(&mut self, declared: bool) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            held: 0,
            declared,
            complete: false,
            given_up: false,
            waiting: None,
            waited: Duration::ZERO,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Asks for an exchange to hold `total` bytes, more or fewer than before.
    ///
    /// An exchange that waits asks again in the same way.
    pub fn ask(&mut self, now: Instant, id: HolderId, total: usize) -> Room {
        let Some(holder) = self.holders.get_mut(&id) else { return Room::GivenUp };
        if holder.given_up {
            return Room::GivenUp;
        }
        if total <= holder.held {
            self.used -= holder.held - total;
            holder.held = total;
            holder.waiting = None;
            self.grant(now);
            return Room::Granted;
        }
        let since = holder.waiting.map_or(now, |w| w.since);
        holder.waiting = Some(Waiting { total, since });
        self.grant(now);
        self.answer(now, id)
    }

    /// Marks the response of an exchange as complete; it is no longer given up.
    pub fn complete(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.complete = true;
        }
    }

    /// Removes an exchange and takes back what it holds.
    pub fn close(&mut self, now: Instant, id: HolderId) {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.used -= holder.held;
            self.grant(now);
        }
    }

    /// Returns whether an exchange was given up.
    pub fn is_given_up(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_none_or(|h| h.given_up)
    }

    /// Returns whether an exchange waits for room.
    pub fn is_waiting(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|h| h.waiting.is_some() && !h.given_up)
    }

    /// Returns the exchanges that got room or were given up since the last call.
    pub fn take_woken(&mut self) -> Vec<HolderId> {
        std::mem::take(&mut self.woken)
    }

    /// Grants room to waiting exchanges in their order, as long as there is some.
    fn grant(&mut self, now: Instant) {
        loop {
            let used = self.used;
            let waiting = self.holders.iter().filter(|(_, h)| h.waiting.is_some() && !h.given_up);
            let Some(id) = waiting.min_by_key(|(id, h)| (h.place(), **id)).map(|(id, _)| *id)
            else {
                return;
            };
            let limit = self.limit;
            let Some(holder) = self.holders.get_mut(&id) else { return };
            let Some(waiting) = holder.waiting else { return };
            let missing = holder.missing();
            if used.saturating_add(missing) > share(limit, waiting.total) {
                return;
            }
            holder.held = waiting.total;
            holder.waited += now.since(waiting.since);
            holder.waiting = None;
            self.used += missing;
            self.woken.push(id);
        }
    }

    /// Answers an exchange after room was granted; makes room if it has waited for long enough.
    fn answer(&mut self, now: Instant, id: HolderId) -> Room {
        let Some(holder) = self.holders.get(&id) else { return Room::GivenUp };
        let Some(waiting) = holder.waiting else { return Room::Granted };
        let until = waiting.since + MAX_WAIT.saturating_sub(holder.waited);
        if now < until {
            return Room::Wait(until);
        }
        while self.expected_use(id) > share(self.limit, waiting.total) {
            let chosen = self.choose_given_up().unwrap_or(id);
            if let Some(holder) = self.holders.get_mut(&chosen) {
                holder.given_up = true;
                self.woken.push(chosen);
            }
            if chosen == id {
                return Room::GivenUp;
            }
        }
        Room::Wait(now + RETURN_TIME)
    }

    /// Returns what will be used once those given up have returned their memory and `id`, and those
    /// before it, have got room.
    fn expected_use(&self, id: HolderId) -> usize {
        let own = self.holders.get(&id).map(Holder::place);
        let given_up = self.holders.values().filter(|h| h.given_up).map(|h| h.held);
        let before =
            self.holders.iter().filter(|(other, h)| (Some(h.place()), **other) <= (own, id));
        let missing = before.filter(|(_, h)| !h.given_up).map(|(_, h)| h.missing());
        (self.used + missing.sum::<usize>()).saturating_sub(given_up.sum())
    }

    /// Returns the exchange that is given up next.
    fn choose_given_up(&self) -> Option<HolderId> {
        let candidates = self.holders.iter().filter(|(_, h)| h.may_be_given_up());
        let chosen = candidates.max_by_key(|(id, h)| (!h.declared, h.held, **id))?;
        Some(*chosen.0)
    }
}

/// Returns how much of a memory of `limit` bytes may be used once an exchange holds `total` bytes.
fn share(limit: usize, total: usize) -> usize {
    match total {
        0..=SMALL_BYTES => limit,
        _ => limit - limit / SMALL_SHARE_DIVISOR,
    }
}
