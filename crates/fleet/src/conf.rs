//! Settings of an instance's membership and mirror.

use std::net::SocketAddr;

use model::name;

/// Settings of an instance.
#[derive(Debug, Clone)]
pub struct Conf {
    /// Name of the instance, unique among running instances.
    pub name: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
    /// Address for peers, by UDP and by TCP.
    pub address: SocketAddr,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Newest catalogue format that this version supports.
    pub format: u16,
    /// Number of relays per zone, the instances that watch the store.
    pub relays: usize,
    /// Peers to contact if the platform's list is absent.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Conf {
    /// Default number of relays per zone: one may die without the zone waiting
    /// for rumours from another zone.
    pub const RELAYS: usize = 2;

    /// Incarnation of the process at its start; each refuted suspicion raises
    /// the incarnation.
    pub fn incarnation(&self) -> u64 {
        self.started_ms << 10
    }
}
