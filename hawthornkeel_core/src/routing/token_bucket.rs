//! Budget of repeated calls, as a share of first calls.

/// Token bucket that first calls fill and repeated calls empty.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    share: f64,
    burst: f64,
    tokens: f64,
}

impl TokenBucket {
    /// Creates a full budget of `burst` calls that gains `share` with each first call.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, tokens: burst }
    }

    /// Takes note of a first call.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Tells whether a repeated call is allowed now.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a repeated call; returns whether the budget allows it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.has_token();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
