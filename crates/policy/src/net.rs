//! Network latency, jitter, loss and partitions between zones.

use std::{collections::HashSet, time::Duration};

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::site::Site;

/// Delay until a lost segment of a stream is retransmitted.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// One message in this many is delayed by a full queue on its path.
const DELAYED_ONE_IN: u32 = 1_000;
/// Longest delay by a full queue.
const MAX_DELAY: Duration = Duration::from_millis(40);
/// One message in this many is lost.
const LOST_ONE_IN: u32 = 5_000;

/// Endpoint of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Place {
    /// An availability zone.
    Zone(usize),
    /// The platform; its store is in no zone.
    Platform,
}

/// Transport of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Datagrams, which may be lost.
    Datagram,
    /// A stream; lost segments are retransmitted.
    Stream,
}

/// Network of one deployment.
#[derive(Debug)]
pub struct Net {
    site: Site,
    rng: ChaCha8Rng,
    partitions: HashSet<(Place, Place)>,
}

impl Net {
    /// Opens a network without partitions.
    pub fn open(site: Site, rng: ChaCha8Rng) -> Self {
        Self {
            site,
            rng,
            partitions: HashSet::new(),
        }
    }

    /// Blocks traffic between two places in both directions.
    pub fn partition(&mut self, a: Place, b: Place) {
        self.partitions.insert((a.min(b), a.max(b)));
    }

    /// Partitions a zone from every other place.
    pub fn isolate(&mut self, zone: usize) {
        for other in (0..self.site.zones).filter(|&other| other != zone) {
            self.partition(Place::Zone(zone), Place::Zone(other));
        }
        self.partition(Place::Zone(zone), Place::Platform);
    }

    /// Removes all partitions.
    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    /// Returns true if no partition blocks messages between two places.
    pub fn is_reachable(&self, a: Place, b: Place) -> bool {
        !self.partitions.contains(&(a.min(b), a.max(b)))
    }

    /// Returns the time that a message takes, or `None` if the message is lost.
    pub fn send(&mut self, from: Place, to: Place, transport: Transport) -> Option<Duration> {
        if !self.is_reachable(from, to) {
            return None;
        }
        let latency = self.latency(from, to);
        if self.rng.random_ratio(1, LOST_ONE_IN) {
            return match transport {
                Transport::Datagram => None,
                Transport::Stream => Some(latency + RETRANSMIT),
            };
        }
        Some(latency)
    }

    /// Returns the latency between two places without jitter.
    pub fn base_latency(&self, from: Place, to: Place) -> Duration {
        match (from, to) {
            (Place::Platform, _) | (_, Place::Platform) => self.site.store_latency,
            (a, b) if a == b => self.site.intra_zone_latency,
            _ => self.site.inter_zone_latency,
        }
    }

    fn latency(&mut self, from: Place, to: Place) -> Duration {
        let base = self.base_latency(from, to);
        let jitter = base.mul_f64(exponential(&mut self.rng, 0.1));
        if self.rng.random_ratio(1, DELAYED_ONE_IN) {
            return base + jitter + MAX_DELAY.mul_f64(self.rng.random());
        }
        base + jitter
    }
}

/// Draws a sample of the exponential distribution.
pub fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
