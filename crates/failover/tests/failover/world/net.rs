//! The network: zones of hosts, latencies, cuts and pauses.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use clock::Instant;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Setup;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Host {
    Instance(usize),
    Server(usize),
    Store,
}

#[derive(Debug, Default)]
pub(crate) struct Net {
    cuts: BTreeSet<(Host, Host)>,
    pauses: BTreeMap<Host, Instant>,
    /// True if some messages are delayed by a retransmission.
    pub(crate) lossy: bool,
}

impl Host {
    fn zone(self, setup: &Setup) -> Option<usize> {
        match self {
            Self::Instance(at) => Some(at % setup.zones),
            Self::Server(at) => Some(at),
            Self::Store => None,
        }
    }
}

impl Net {
    pub(crate) fn is_cut(&self, one: Host, other: Host) -> bool {
        self.cuts.contains(&(one, other))
    }

    pub(crate) fn cut(&mut self, one: Host, other: Host) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    pub(crate) fn cut_one_way(&mut self, from: Host, to: Host) {
        self.cuts.insert((from, to));
    }

    pub(crate) fn restore(&mut self, one: Host, other: Host) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// Cuts a zone off from all others and from the store.
    pub(crate) fn cut_zone(&mut self, setup: &Setup, zone: usize) {
        let hosts = hosts(setup);
        for one in hosts.iter().filter(|h| h.zone(setup) == Some(zone)) {
            for other in hosts.iter().filter(|h| h.zone(setup) != Some(zone)) {
                self.cut(*one, *other);
            }
        }
    }

    /// Cuts the zones below an index off from the others; both sides reach the
    /// store.
    pub(crate) fn split_zones(&mut self, setup: &Setup, below: usize) {
        let hosts = hosts(setup);
        for one in hosts
            .iter()
            .filter(|h| h.zone(setup).is_some_and(|z| z < below))
        {
            for other in hosts
                .iter()
                .filter(|h| h.zone(setup).is_some_and(|z| z >= below))
            {
                self.cut(*one, *other);
            }
        }
    }

    /// Cuts an upstream off from all hosts outside its zone.
    pub(crate) fn cut_server(&mut self, setup: &Setup, u: usize) {
        for other in hosts(setup).iter().filter(|h| h.zone(setup) != Some(u)) {
            self.cut(Host::Server(u), *other);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn pause(&mut self, host: Host, until: Instant) {
        self.pauses.insert(host, until);
    }

    pub(crate) fn paused(&self, host: Host) -> Option<Instant> {
        self.pauses.get(&host).copied()
    }

    pub(crate) fn latency(
        &self,
        setup: &Setup,
        rng: &mut ChaCha8Rng,
        from: Host,
        to: Host,
    ) -> Duration {
        let base = match (from.zone(setup), to.zone(setup)) {
            (Some(one), Some(other)) if one == other => Duration::from_micros(100),
            (Some(_), Some(_)) => setup.zone_latency,
            _ => setup.store_latency / 2,
        };
        let spread = -f64::ln(1.0 - rng.random::<f64>()) * 0.2;
        let mut latency = base.mul_f64(1.0 + spread);
        // One message in two thousand is lost and retransmitted after TCP's
        // minimum retransmission time-out.
        if self.lossy && rng.random_range(0..2_000) == 0 {
            latency += Duration::from_millis(200);
        }
        latency
    }
}

pub(crate) fn hosts(setup: &Setup) -> Vec<Host> {
    let instances = (0..setup.instances).map(Host::Instance);
    let servers = (0..setup.upstreams).map(Host::Server);
    instances.chain(servers).chain([Host::Store]).collect()
}
