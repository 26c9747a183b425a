//! Intervals and time-outs of the failover.

use std::time::Duration;

/// Intervals and time-outs of one group.
///
/// The defaults suit groups whose availability zones are a few milliseconds
/// apart; a fleet with thousands of groups probes less often.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Interval between two probes of one upstream by one candidate.
    pub probe_interval: Duration,
    /// Minimum time without an answer before an upstream counts as silent.
    pub min_silence: Duration,
    /// Time without an answer after which an upstream always counts as silent.
    pub max_silence: Duration,
    /// Time for which an upstream without a free connection counts as alive
    /// although it gives no report.
    pub full_grace: Duration,
    /// Interval between two messages of evidence to the other candidates.
    pub evidence_interval: Duration,
    /// Validity of a peer's evidence after its arrival.
    pub evidence_ttl: Duration,
    /// Additional delay of a claim per rank of a candidate.
    pub rank_delay: Duration,
    /// Delay of a claim while a minority of the zones reports the primary
    /// alive.
    pub contested_delay: Duration,
    /// Time for which a reported position of the primary's log may be missing
    /// from a majority before reports that the primary is alive no longer delay
    /// a claim.
    pub unconfirmed_timeout: Duration,
    /// Time for which a majority may lack a position of a primary that all
    /// zones reach before the primary counts as isolated from its replicas.
    pub isolation_timeout: Duration,
    /// Time for which a claim against an isolated primary waits for a majority
    /// without the primary.
    pub exclusion_timeout: Duration,
    /// Age up to which an advance of the replicas shows that the primary
    /// replicates.
    pub progress_window: Duration,
    /// Time without progress after which another candidate overtakes a claim.
    pub claim_timeout: Duration,
    /// Time after which an order without an answer is sent again.
    pub order_timeout: Duration,
    /// Time after which a claim is abandoned if the promotion has not
    /// completed.
    pub promotion_timeout: Duration,
    /// Maximum time for which a handover waits for a replica to catch up with
    /// the old primary.
    pub handover_timeout: Duration,
    /// Time-out of a store call; doubles with each failure, up to eight times
    /// this.
    pub store_timeout: Duration,
    /// Time without any primary after which a group without a record claims a
    /// term.
    pub adoption_timeout: Duration,
    /// Hold-off after a first promotion; doubles with each further one.
    pub hold_off: Duration,
    /// Maximum hold-off.
    pub max_hold_off: Duration,
    /// Time for which a promotion counts towards the hold-off of the next one.
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
    /// Returns the timing for a given probe interval, for fleets whose
    /// thousands of groups cannot be probed at the default interval.
    ///
    /// Values that depend on the frequency of probes and evidence grow with the
    /// interval; the time-outs for the store and for orders do not.
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

    /// Time after a change of primary for which the next one is held off, when
    /// `recent` changes were seen within [`Timing::hold_off_window`].
    pub(crate) fn hold_off(&self, recent: usize) -> Duration {
        let Some(doublings) = recent.checked_sub(1) else {
            return Duration::ZERO;
        };
        let factor = 1u32 << doublings.min(16);
        (self.hold_off * factor).min(self.max_hold_off)
    }
}
