//! What an instance is told by its settings.

use std::net::SocketAddr;

use model::name;

/// An instance's settings.
#[derive(Debug, Clone)]
pub struct Conf {
    /// Its name, unique among instances that run at once.
    pub name: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Where peers reach it, by UDP and by TCP.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The newest catalogue format that this version understands.
    pub format: u16,
    /// How many instances of each zone watch the store.
    pub relays: usize,
    /// Peers to ask when the platform's list is absent.
    pub seeds: Vec<SocketAddr>,
    /// Where its random choices start.
    pub seed: u64,
}

impl Conf {
    /// How many instances of a zone watch the store unless settings differ:
    /// one may die without the zone waiting for another zone's rumours.
    pub const RELAYS: usize = 2;

    /// The incarnation of the process; refuted suspicions count up from it.
    pub fn incarnation(&self) -> u64 {
        self.started_ms << 10
    }
}
