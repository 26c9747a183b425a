//! Every wait of the failover, each with the part of the gap it costs.

use std::time::Duration;

/// The waits of one group.
///
/// The defaults suit groups whose availability zones are a few milliseconds
/// apart; a fleet with thousands of groups probes less often.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two probes of one upstream by one candidate.
    pub probe_interval: Duration,
    /// An upstream is never called silent before this long without an answer.
    pub min_silence: Duration,
    /// An upstream is always called silent after this long without an answer.
    pub max_silence: Duration,
    /// For how long an upstream without room for a connection counts as alive
    /// without a report.
    pub full_grace: Duration,
    /// Between two tellings of evidence to the other candidates.
    pub evidence_interval: Duration,
    /// How long a peer's evidence counts after it was heard.
    pub evidence_ttl: Duration,
    /// By how much each candidate waits longer than the one ranked before it.
    pub rank_delay: Duration,
    /// How long a minority that still vouches for the primary delays a claim.
    pub contested_delay: Duration,
    /// How long a place of the primary's log that a voucher told may be missing
    /// from a majority before the vouching counts no more.
    pub unconfirmed_timeout: Duration,
    /// How long a majority may miss a place of a primary that everybody reaches
    /// before the primary counts as isolated from its replicas.
    pub isolation_timeout: Duration,
    /// How long a claim on an isolated primary waits for a majority without it.
    pub exclusion_timeout: Duration,
    /// How recent an advance of the replicas shows that the primary replicates.
    pub progress_window: Duration,
    /// How long a claim may stand still before another candidate overtakes it.
    pub claim_timeout: Duration,
    /// Until an order that was not answered is sent again.
    pub order_timeout: Duration,
    /// How long a promotion order may take before the claim is given up.
    pub promotion_timeout: Duration,
    /// How long a handover waits for a replica to catch up with the old primary.
    pub handover_timeout: Duration,
    /// Until a store call that was not answered is given up; doubles up to
    /// eight times this.
    pub store_timeout: Duration,
    /// How long a group without a record may be without any primary.
    pub adoption_timeout: Duration,
    /// The hold-off after a first promotion; doubles with each further one.
    pub hold_off: Duration,
    /// The longest hold-off.
    pub max_hold_off: Duration,
    /// How long a promotion counts towards the next one's hold-off.
    pub hold_off_window: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(50),
            min_silence: Duration::from_millis(300),
            max_silence: Duration::from_millis(1_000),
            full_grace: Duration::from_millis(2_000),
            evidence_interval: Duration::from_millis(50),
            evidence_ttl: Duration::from_millis(300),
            rank_delay: Duration::from_millis(60),
            contested_delay: Duration::from_millis(1_000),
            unconfirmed_timeout: Duration::from_millis(300),
            isolation_timeout: Duration::from_millis(1_200),
            exclusion_timeout: Duration::from_millis(300),
            progress_window: Duration::from_millis(500),
            claim_timeout: Duration::from_millis(600),
            order_timeout: Duration::from_millis(100),
            promotion_timeout: Duration::from_millis(2_000),
            handover_timeout: Duration::from_millis(500),
            store_timeout: Duration::from_millis(100),
            adoption_timeout: Duration::from_millis(2_000),
            hold_off: Duration::from_millis(500),
            max_hold_off: Duration::from_secs(60),
            hold_off_window: Duration::from_secs(300),
        }
    }
}

impl Timing {
    /// The waits when probes are `probe` apart, for fleets whose thousands of
    /// groups can't be probed as often as the default has it.
    ///
    /// What depends on how often probes and evidence come grows with `probe`;
    /// the waits for the store and for orders stay.
    ///
    /// ```
    /// use std::time::Duration;
    /// use failover::Timing;
    ///
    /// let timing = Timing::with_probe_interval(Duration::from_secs(1));
    /// assert_eq!(timing.min_silence, Duration::from_secs(4));
    /// ```
    pub fn with_probe_interval(probe_interval: Duration) -> Self {
        let usual = Self::default();
        Self {
            probe_interval,
            evidence_interval: probe_interval,
            min_silence: usual.min_silence.max(probe_interval * 4),
            max_silence: usual.max_silence.max(probe_interval * 6),
            full_grace: usual.full_grace.max(probe_interval * 10),
            evidence_ttl: usual.evidence_ttl.max(probe_interval * 4),
            contested_delay: usual.contested_delay.max(probe_interval * 6),
            unconfirmed_timeout: usual.unconfirmed_timeout.max(probe_interval * 4),
            isolation_timeout: usual.isolation_timeout.max(probe_interval * 6),
            progress_window: usual.progress_window.max(probe_interval * 5),
            claim_timeout: usual.claim_timeout.max(probe_interval * 4),
            ..usual
        }
    }

    /// How long after a change of primary the next one is held off, when
    /// `recent` changes were seen within [`Timing::hold_off_window`].
    pub(crate) fn hold_off(&self, recent: usize) -> Duration {
        let Some(doublings) = recent.checked_sub(1) else {
            return Duration::ZERO;
        };
        let factor = 1u32 << doublings.min(16);
        (self.hold_off * factor).min(self.max_hold_off)
    }
}
