//! A retry budget: retries are a bounded share of first attempts.
//!
//! Without it an upstream at its capacity fails some requests, their retries
//! come on top of the load, more fail, and the overload outlives its cause.

/// Tokens that a first attempt earns, in thousandths of a retry.
pub const EARNED: u32 = 100;
/// The most retries that can be saved up.
pub const MAX_SAVED: u32 = 10;

const RETRY: u32 = 1_000;

/// The retry budget of one entry at one instance: a token bucket that fills
/// with first attempts, so that retries stay under a tenth of them.
///
/// ```
/// let mut budget = pool::Budget::default();
/// let granted = (0..100).filter(|_| budget.spend()).count();
/// assert_eq!(granted, 10);
/// for _ in 0..20 {
///     budget.earn();
/// }
/// assert!(budget.spend());
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Debug)]
pub struct Budget {
    tokens: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            tokens: MAX_SAVED * RETRY,
        }
    }
}

impl Budget {
    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(MAX_SAVED * RETRY);
    }

    /// Takes one retry out; `false` when the budget is spent.
    pub fn spend(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }
}
