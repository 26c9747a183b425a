//! What an instance is told at its start.

use std::{net::SocketAddr, time::Duration};

use crate::shares::Slack;

/// What an instance is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This instance's name, unlike any other's.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other instances reach this one, by UDP and TCP.
    pub peers: SocketAddr,
    /// Some other instances, to be asked first; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// How much processor it has, in hundredths of a core.
    pub weight: u32,
    /// How long a stop may take until the process is killed.
    pub grace: Duration,
    /// How long an upstream that is about to leave may be sent new work.
    pub drain: Duration,
    /// How long one proof of a primary holds; the same for all instances.
    pub proof: Duration,
    /// How often a proof is renewed.
    pub renew: Duration,
    /// How long a request may wait for somebody to run it.
    pub hold: Duration,
    /// How long a key may be served after it was taken away, by any instance; `None` if
    /// it is enough that those do in time whom the change reaches.
    pub revocation: Option<Duration>,
    /// What may be asked for beyond a quota; nothing if it is not said.
    pub slack: Option<Slack>,
}

impl Settings {
    /// How long what the operators and all instances agreed on may be used by an instance
    /// that has not heard that it changed.
    pub fn agreement_ttl(&self) -> Duration {
        self.revocation.unwrap_or(DEFAULT_AGREEMENT_TTL)
    }

    /// The names of the settings that `other` has otherwise.
    pub fn changed(&self, other: &Self) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("zone", self.zone == other.zone),
            ("callers", self.callers == other.callers),
            ("peers", self.peers == other.peers),
            ("seeds", self.seeds == other.seeds),
            ("weight", self.weight == other.weight),
            ("grace", self.grace == other.grace),
            ("drain", self.drain == other.drain),
            ("proof", self.proof == other.proof),
            ("renew", self.renew == other.renew),
            ("hold", self.hold == other.hold),
            ("revocation", self.revocation == other.revocation),
            ("slack", self.slack == other.slack),
        ];
        let changed = same.iter().filter(|(_, same)| !same);
        changed.map(|(name, _)| *name).collect()
    }
}

/// How long what was agreed on may be used unseen, where no time is set for keys.
const DEFAULT_AGREEMENT_TTL: Duration = Duration::from_secs(5);

/// How long one proof of a primary holds, unless set.
pub const PROOF: Duration = Duration::from_millis(600);

/// How often a proof is renewed, unless set.
pub const RENEW: Duration = Duration::from_millis(200);

/// How long a request may wait for somebody to run it, unless set.
pub const HOLD: Duration = Duration::from_millis(300);
