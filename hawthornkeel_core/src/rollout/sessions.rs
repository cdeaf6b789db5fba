//! Sessions that have taken part in a trial.
//!
//! A session that has left the trial stays out of it until the switch, so that it does not move to
//! and fro. Sessions are forgotten by generations, which bounds their memory.

use std::mem;

use indexmap::IndexMap;

/// Number of sessions of a generation.
///
/// Requests without a shared prompt have a session each. At 50 trial requests per second this is
/// the memory of more than six minutes.
const GENERATION: usize = 20_000;

/// Whether a session is in the trial or has left it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Place {
    Inside,
    Left,
}

/// Sessions that have taken part in a trial.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialSessions {
    current: IndexMap<u64, Place>,
    previous: IndexMap<u64, Place>,
}

impl TrialSessions {
    /// Records a request of a session that was sent to a target of the trial.
    pub(super) fn enter(&mut self, session: u64) {
        self.insert(session, Place::Inside);
    }

    /// Records a request of a session that was sent to another version.
    pub(super) fn leave(&mut self, session: u64) {
        if self.place(session) == Some(Place::Inside) {
            self.insert(session, Place::Left);
        }
    }

    /// Returns whether a session has left the trial.
    pub(super) fn has_left(&self, session: u64) -> bool {
        self.place(session) == Some(Place::Left)
    }

    /// Forgets all sessions.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    fn place(&self, session: u64) -> Option<Place> {
        self.current.get(&session).or_else(|| self.previous.get(&session)).copied()
    }

    fn insert(&mut self, session: u64, place: Place) {
        if self.current.len() >= GENERATION {
            self.previous = mem::take(&mut self.current);
        }
        self.current.insert(session, place);
    }
}
