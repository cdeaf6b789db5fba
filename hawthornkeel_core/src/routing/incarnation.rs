//! What an entry knows of the incarnations of one target.

use crate::ids::Incarnation;
use crate::time::Instant;

/// What an incarnation that a target named is beside the known one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Word {
    /// The known one, or the first one heard of.
    Same,
    /// An earlier one: the answer is late.
    Late,
    /// A new one: the target has restarted.
    New,
}

/// Incarnations of a target, as it has named them.
#[derive(Debug)]
pub(crate) struct Named {
    pub present: Option<Incarnation>,
    /// Incarnation before the present one, whose late reports don't count.
    retired: Option<Incarnation>,
    /// When the present incarnation was first heard of.
    since: Instant,
}

impl Named {
    /// Creates the state of a target that has named none.
    pub fn new(now: Instant) -> Self {
        Self { present: None, retired: None, since: now }
    }

    /// Takes the incarnation named in answer to a call that was given at `given`.
    ///
    /// A call given after the present incarnation was first heard of can't meet an earlier one.
    pub fn answer(&mut self, now: Instant, given: Instant, incarnation: Incarnation) -> Word {
        match self.present {
            Some(known) if known == incarnation => Word::Same,
            Some(_) if given < self.since => Word::Late,
            _ => self.take(now, incarnation),
        }
    }

    /// Takes the incarnation named by a load report, which may lag.
    pub fn report(&mut self, now: Instant, incarnation: Incarnation) -> Word {
        match Some(incarnation) {
            named if named == self.present => Word::Same,
            named if named == self.retired => Word::Late,
            _ => self.take(now, incarnation),
        }
    }

    fn take(&mut self, now: Instant, incarnation: Incarnation) -> Word {
        let first = self.present.is_none();
        self.retired = self.present.replace(incarnation);
        self.since = now;
        if first { Word::Same } else { Word::New }
    }
}
