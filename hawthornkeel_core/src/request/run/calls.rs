//! Calls in progress for one stage: the first, and a hedge that races it.

use crate::ids::CallId;

/// Calls in progress for one stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Calls {
    /// Call that was made first, until it fails.
    first: Option<CallId>,
    /// Call that races the first, until it fails.
    hedge: Option<CallId>,
    /// Whether a hedge was asked for.
    hedged: bool,
}

impl Calls {
    /// Begins with one call.
    pub fn new(first: CallId) -> Self {
        Self { first: Some(first), hedge: None, hedged: false }
    }

    /// Returns the calls in progress.
    pub fn all(self) -> impl Iterator<Item = CallId> {
        self.first.into_iter().chain(self.hedge)
    }

    /// Tells whether `call` is in progress.
    pub fn has(self, call: CallId) -> bool {
        self.all().any(|c| c == call)
    }

    /// Tells whether `call` is the hedge.
    pub fn is_hedge(self, call: CallId) -> bool {
        self.hedge == Some(call)
    }

    /// Tells whether `call` is the first one and no hedge was asked for yet.
    pub fn may_hedge(self, call: CallId) -> bool {
        self.first == Some(call) && !self.hedged
    }

    /// Adds the hedge.
    pub fn with_hedge(self, hedge: CallId) -> Self {
        Self { hedge: Some(hedge), hedged: true, ..self }
    }

    /// Takes out a call that has failed; returns what goes on, if anything does.
    pub fn without(self, call: CallId) -> Option<Self> {
        let first = self.first.filter(|c| *c != call);
        let hedge = self.hedge.filter(|c| *c != call);
        (first.is_some() || hedge.is_some()).then_some(Self { first, hedge, ..self })
    }
}
