//! Settings of an instance.

use std::{net::SocketAddr, time::Duration};

use crate::{features::Switches, shares::Slack};

/// Settings of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The instance's unique name.
    pub name: String,
    /// The instance's availability zone.
    pub zone: String,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for other instances, UDP and TCP.
    pub peers: SocketAddr,
    /// Addresses of other instances to contact first; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Processor capacity in hundredths of a core.
    pub weight: u32,
    /// Bandwidth of the instance's network link in bytes per second, if known.
    pub link: Option<usize>,
    /// Time between the order to stop and the kill of the process.
    pub grace: Duration,
    /// Time for which a leaving upstream may get new work.
    pub drain: Duration,
    /// Validity of a proof of a primary; the same on all instances.
    pub proof: Duration,
    /// Interval between renewals of a proof.
    pub renew: Duration,
    /// Longest time for which a request waits for an upstream that may run it.
    pub hold: Duration,
    /// Limit on how long any instance may serve a key after its revocation; `None` if only the
    /// instances that the change reaches have to stop in time.
    pub revocation: Option<Duration>,
    /// Usage allowed beyond a quota; none if not set.
    pub slack: Option<Slack>,
    /// Switches of load control.
    pub switches: Switches,
}

impl Settings {
    /// Returns how long an instance that has not heard of a change may use the operators' settings
    /// and the instances' agreements.
    pub fn agreement_ttl(&self) -> Duration {
        self.revocation.unwrap_or(DEFAULT_AGREEMENT_TTL)
    }

    /// Returns the names of the settings that differ in `other`.
    pub fn changed(&self, other: &Self) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("zone", self.zone == other.zone),
            ("callers", self.callers == other.callers),
            ("peers", self.peers == other.peers),
            ("seeds", self.seeds == other.seeds),
            ("weight", self.weight == other.weight),
            ("link", self.link == other.link),
            ("grace", self.grace == other.grace),
            ("drain", self.drain == other.drain),
            ("proof", self.proof == other.proof),
            ("renew", self.renew == other.renew),
            ("hold", self.hold == other.hold),
            ("revocation", self.revocation == other.revocation),
            ("slack", self.slack == other.slack),
            ("switches", self.switches == other.switches),
        ];
        let changed = same.iter().filter(|(_, same)| !same);
        changed.map(|(name, _)| *name).collect()
    }
}

/// Validity of the operators' settings and the instances' agreements without news, if no time is
/// set for keys.
const DEFAULT_AGREEMENT_TTL: Duration = Duration::from_secs(5);

/// Default validity of a proof of a primary.
pub const PROOF: Duration = Duration::from_millis(600);

/// Default interval between renewals of a proof.
pub const RENEW: Duration = Duration::from_millis(200);

/// Default limit on the wait for an upstream.
pub const HOLD: Duration = Duration::from_millis(300);
