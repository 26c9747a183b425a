//! Retry budget: limits retries to a share of the first attempts.
//!
//! Without a budget, an upstream at its capacity fails some requests, their
//! retries add to the load, more requests fail, and the overload outlives its
//! cause.

/// Tokens earned by a first attempt, in thousandths of a retry.
pub const EARNED: u32 = 100;
/// Maximum number of retries that can be saved.
pub const MAX_SAVED: u32 = 10;

const RETRY: u32 = 1_000;

/// Retry budget of one entry at one instance: a token bucket filled by first
/// attempts, so that retries stay below a tenth of them.
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
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED).min(MAX_SAVED * RETRY);
    }

    /// Takes one retry from the budget; `false` if the budget is spent.
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
