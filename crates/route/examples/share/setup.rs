//! What a run is given and what it counted.

use std::time::Duration;

use route::{Conf, Policy};

use crate::trace::Lag;

/// How floors of sessions that present nothing are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Discovery {
    /// One round for all who wait.
    Shared,
    /// A confirmed read on the primary for each.
    Primary,
}

/// Whether answers are judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verification {
    /// Each is, by the position asked ahead of it.
    Enabled,
    /// None is: routing rests on what was reported earlier.
    Disabled,
}

/// What the oracle knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Knowledge {
    /// Every upstream's position, now and later.
    Positions,
    /// Also what a session that presents nothing wrote elsewhere.
    Sessions,
}

/// One run.
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
    /// Of 100 calendar reads, how many come on a connection just made.
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

/// What a run counted.
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
    /// The share of calendar reads that replicas served.
    pub(crate) fn share(&self) -> f64 {
        self.calendar_replica as f64 / self.calendar.max(1) as f64
    }

    /// The share of reads after a user's own write that replicas served.
    pub(crate) fn own_share(&self) -> f64 {
        self.own_replica as f64 / self.own.max(1) as f64
    }

    /// The latency that `percent` of 100 reads stay within.
    pub(crate) fn quantile(&self, percent: usize) -> Duration {
        let mut sorted = self.latency.clone();
        sorted.sort_unstable();
        let at = sorted.len().saturating_sub(1) * percent / 100;
        sorted.get(at).copied().unwrap_or_default()
    }
}
