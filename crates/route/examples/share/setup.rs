//! Settings and results of a simulation.

use std::time::Duration;

use route::{Conf, Policy};

use crate::trace::Lag;

/// Method to find the floor of a session without a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    /// One round for all sessions that wait.
    Shared,
    /// A confirmed read on the primary for each session.
    Primary,
}

/// Tells if answers are verified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verification {
    /// Every answer is verified by the position queried ahead of the read.
    Enabled,
    /// No answer is verified, so that routing relies on earlier reports.
    Disabled,
}

/// Knowledge of the oracle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Knowledge {
    /// All present and future positions of the upstreams.
    Positions,
    /// Also the writes on other instances of a session without a token.
    Sessions,
}

/// Settings of a simulation.
#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
    pub(crate) lags: [Lag; 2],
    pub(crate) length: Duration,
    /// Calendar reads per second over all instances.
    pub(crate) calendar: u32,
    /// Writes per second, each followed by a read of the same user.
    pub(crate) writes: u32,
    /// Percentage of calendar reads on a new connection.
    pub(crate) fresh: u32,
    pub(crate) probe: Duration,
    pub(crate) max_replica_wait: Duration,
    pub(crate) spill_margin: Duration,
    pub(crate) discovery: Discovery,
    pub(crate) verification: Verification,
    pub(crate) knowledge: Knowledge,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            policy: Policy::Routed,
            lags: [Lag::Steady, Lag::Stalls],
            length: Duration::from_secs(60),
            calendar: 600,
            writes: 60,
            fresh: 50,
            probe: Duration::from_millis(250),
            max_replica_wait: Conf::default().max_replica_wait,
            spill_margin: Conf::default().spill_margin,
            discovery: Discovery::Shared,
            verification: Verification::Enabled,
            knowledge: Knowledge::Positions,
        }
    }
}

/// Results of a simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tally {
    pub(crate) calendar: u64,
    pub(crate) calendar_replica: u64,
    pub(crate) own: u64,
    pub(crate) own_replica: u64,
    pub(crate) stale: u64,
    pub(crate) backward: u64,
    pub(crate) discarded: u64,
    pub(crate) refused: u64,
    pub(crate) rounds: u64,
    pub(crate) probes: u64,
    pub(crate) latency: Vec<Duration>,
}

impl Tally {
    /// Returns the share of calendar reads that replicas served.
    pub(crate) fn share(&self) -> f64 {
        self.calendar_replica as f64 / self.calendar.max(1) as f64
    }

    /// Returns the share of reads after a user's own write that replicas served.
    pub(crate) fn own_share(&self) -> f64 {
        self.own_replica as f64 / self.own.max(1) as f64
    }

    /// Returns the latency that `percent` % of the reads don't exceed.
    pub(crate) fn quantile(&self, percent: usize) -> Duration {
        let mut sorted = self.latency.clone();
        sorted.sort_unstable();
        let at = sorted.len().saturating_sub(1) * percent / 100;
        sorted.get(at).copied().unwrap_or_default()
    }
}
