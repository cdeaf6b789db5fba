//! Calls in progress for one stage: the primary call and its hedge.

use crate::ids::CallId;

/// Calls in progress for one stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Calls {
    /// Primary call, until it fails.
    primary: Option<CallId>,
    /// Hedge of the primary call, until it fails.
    hedge: Option<CallId>,
    /// Whether a hedge was started; at most one is.
    hedged: bool,
}

impl Calls {
    /// Creates the calls of a stage with only a primary call.
    pub fn new(primary: CallId) -> Self {
        Self { primary: Some(primary), hedge: None, hedged: false }
    }

    /// Returns the calls in progress.
    pub fn all(self) -> impl Iterator<Item = CallId> {
        self.primary.into_iter().chain(self.hedge)
    }

    /// Returns whether `call` is in progress.
    pub fn contains(self, call: CallId) -> bool {
        self.all().any(|c| c == call)
    }

    /// Returns whether `call` is the hedge.
    pub fn is_hedge(self, call: CallId) -> bool {
        self.hedge == Some(call)
    }

    /// Returns whether `call` is the primary call and has not been hedged.
    pub fn may_hedge(self, call: CallId) -> bool {
        self.primary == Some(call) && !self.hedged
    }

    /// Adds the hedge.
    pub fn with_hedge(self, hedge: CallId) -> Self {
        Self { hedge: Some(hedge), hedged: true, ..self }
    }

    /// Returns the calls that remain without `call`, or `None` if there are none.
    pub fn without(self, call: CallId) -> Option<Self> {
        let primary = self.primary.filter(|c| *c != call);
        let hedge = self.hedge.filter(|c| *c != call);
        (primary.is_some() || hedge.is_some()).then_some(Self { primary, hedge, ..self })
    }
}
