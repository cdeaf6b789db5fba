//! Token bucket for retry and hedge budgets.

/// Token bucket that first attempts fill and retries or hedges drain.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl TokenBucket {
    /// Creates a full bucket of `capacity` tokens that gains `ratio` tokens per first attempt.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self { ratio, capacity, tokens: capacity }
    }

    /// Adds the tokens earned by one first attempt, up to the capacity.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Returns whether a whole token is available.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes one token. Returns `false` if none is available.
    pub fn withdraw(&mut self) -> bool {
        let available = self.has_token();
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
